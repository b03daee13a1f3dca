/// \file
/// The VMs that have registered themselves, and which of them relay for their failure domain. Sans-I/O.
///
/// Every VM ranks the same records alike, so VMs that know the same records agree on the relays without a call.
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
    endpoint address; ///< where it takes datagrams
    domain_id domain;
    std::uint32_t capacity = 0; ///< its processor share, in thousandths of a core

    friend bool operator==(const vm_record &, const vm_record &) = default;
};

class membership_view
{
public:
    /// In place of an earlier record of the same VM. \return whether anything changed.
    bool put(vm_record record);

    const vm_record *find(const vm_id &vm) const;
    std::size_t size() const
    {
        return m_records.size();
    }
    std::vector<domain_id> domains() const;

    /// The VMs of \p domain: those that can carry most first, equal ones in an order of their own.
    const std::vector<vm_record> &ranked(const domain_id &domain) const;

    /// How many VMs of \p domain relay: all in a small fleet, a few in a large one.
    std::size_t relayCount(const domain_id &domain) const;

    /// The first of ranked(), as many as relayCount() says.
    std::vector<vm_record> relaysOf(const domain_id &domain) const;

private:
    std::map<vm_id, vm_record> m_records;
    std::map<domain_id, std::vector<vm_record>> m_ranked; ///< none is empty
};

} // namespace fuchsialoom
