/// \file
/// The registered VMs, and which of them are relays of their failure domain. Sans-I/O.
///
/// The ranking is a deterministic function of the records, so VMs that know the same records agree on the relays without
/// communicating.
#pragma once

#include "fuchsialoom/core/targets.h"
#include "fuchsialoom/support/ids.h"

#include <cstdint>
#include <map>
#include <vector>

namespace fuchsialoom
{

struct vm_record
{
    vm_id vm;
    endpoint address; ///< receives datagrams
    domain_id domain;
    std::uint32_t capacity = 0; ///< CPU share, in thousandths of a core

    friend bool operator==(const vm_record &, const vm_record &) = default;
};

class membership_view
{
public:
    /// Adds \p record, replacing an earlier one of the same VM. \return whether anything changed.
    bool put(vm_record record);

    const vm_record *find(const vm_id &vm) const;
    /// All registered VMs, also those that have ended.
    const std::map<vm_id, vm_record> &records() const
    {
        return m_records;
    }
    std::size_t size() const
    {
        return m_records.size();
    }
    std::vector<domain_id> domains() const;

    /// The VMs of \p domain by descending capacity; ties are broken by a hash of the id.
    const std::vector<vm_record> &ranked(const domain_id &domain) const;

    /// How many VMs of \p domain are relays: all in a small fleet, a few in a large one.
    std::size_t relayCount(const domain_id &domain) const;

    /// The first relayCount() VMs of ranked().
    std::vector<vm_record> relaysOf(const domain_id &domain) const;

private:
    std::map<vm_id, vm_record> m_records;
    std::map<domain_id, std::vector<vm_record>> m_ranked; ///< no list is empty
};

} // namespace fuchsialoom
