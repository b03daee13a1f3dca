/// \file
/// What several VMs report of the fleet at the same time: each report replaces the one before of the same VM. Sans-I/O.
#pragma once

#include "fuchsialoom/support/ids.h"

#include <algorithm>
#include <map>
#include <set>
#include <vector>

namespace fuchsialoom
{

template<typename Key>
class source_reports
{
public:
    /// \p source reported \p keys, in place of what it reported before. \return whether that changed.
    bool put(const vm_id &source, const std::vector<Key> &keys)
    {
        std::set<Key> reported(keys.begin(), keys.end());
        const auto known = m_bySource.find(source);
        if (known == m_bySource.end() ? reported.empty() : known->second == reported) {
            return false;
        }
        if (reported.empty()) {
            m_bySource.erase(known);
        } else {
            m_bySource.insert_or_assign(source, std::move(reported));
        }
        return true;
    }

    /// \return whether \p source had reported anything.
    bool forget(const vm_id &source)
    {
        return m_bySource.erase(source) > 0;
    }

    bool contains(const Key &key) const
    {
        return std::ranges::any_of(m_bySource, [&key](const auto &entry) {
            return entry.second.contains(key);
        });
    }

    /// What \p source reported.
    std::vector<Key> of(const vm_id &source) const
    {
        const auto known = m_bySource.find(source);
        return known == m_bySource.end() ? std::vector<Key>() : std::vector<Key>(known->second.begin(), known->second.end());
    }

    /// What all sources reported, sorted.
    std::vector<Key> all() const
    {
        std::set<Key> every;
        for (const auto &[source, keys] : m_bySource) {
            every.insert(keys.begin(), keys.end());
        }
        return {every.begin(), every.end()};
    }

private:
    std::map<vm_id, std::set<Key>> m_bySource; ///< without empty sets
};

} // namespace fuchsialoom
