/// \file
/// Which VMs of the fleet say that they reach no target. Sans-I/O.
#pragma once

#include "fuchsialoom/support/ids.h"

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace fuchsialoom
{

/// The hash of a VM's id, which takes less room in messages. Where two VMs share one, neither gets requests of others while one of them
/// reaches no target.
struct vm_key
{
    vm_key() = default;
    vm_key(const vm_id &id);
    explicit vm_key(std::uint32_t hash)
        : value(hash)
    {
    }

    friend auto operator<=>(const vm_key &, const vm_key &) = default;

    std::uint32_t value = 0;
};

class path_reports
{
public:
    /// \p source reported \p withoutPath, in place of what it reported before. \return whether that changed.
    bool put(const vm_id &source, const std::vector<vm_key> &withoutPath);
    void forget(const vm_id &source)
    {
        m_bySource.erase(source);
    }

    bool contains(vm_key vm) const;
    /// What \p source reported.
    std::vector<vm_key> of(const vm_id &source) const;
    /// What all sources reported, sorted.
    std::vector<vm_key> all() const;

private:
    std::map<vm_id, std::set<vm_key>> m_bySource; ///< without empty sets
};

} // namespace fuchsialoom
