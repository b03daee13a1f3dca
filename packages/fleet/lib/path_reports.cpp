/// \file
/// Implements the reports of VMs without a path.
#include "fuchsialoom/fleet/path_reports.h"

#include "fuchsialoom/support/hash.h"

#include <algorithm>

namespace fuchsialoom
{

vm_key::vm_key(const vm_id &id)
    : value(static_cast<std::uint32_t>(hashOf(id.text()).value()))
{
}

bool path_reports::put(const vm_id &source, const std::vector<vm_key> &withoutPath)
{
    const std::set<vm_key> reported(withoutPath.begin(), withoutPath.end());
    const auto known = m_bySource.find(source);
    if (known == m_bySource.end() ? reported.empty() : known->second == reported) {
        return false;
    }
    if (reported.empty()) {
        m_bySource.erase(known);
    } else {
        m_bySource[source] = reported;
    }
    return true;
}

bool path_reports::contains(vm_key vm) const
{
    return std::ranges::any_of(m_bySource, [vm](const auto &entry) {
        return entry.second.contains(vm);
    });
}

std::vector<vm_key> path_reports::of(const vm_id &source) const
{
    const auto known = m_bySource.find(source);
    return known == m_bySource.end() ? std::vector<vm_key>() : std::vector<vm_key>(known->second.begin(), known->second.end());
}

std::vector<vm_key> path_reports::all() const
{
    std::set<vm_key> every;
    for (const auto &[source, withoutPath] : m_bySource) {
        every.insert(withoutPath.begin(), withoutPath.end());
    }
    return {every.begin(), every.end()};
}

} // namespace fuchsialoom
