/// \file
/// No silence is shorter than what it watches, for fleets of every size.
#include "fuchsialoom/fleet/pacing.h"
#include "fuchsialoom/fleet/membership_view.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace fuchsialoom
{

namespace
{

membership_view fleetOf(std::size_t vms, std::size_t domains)
{
    membership_view made;
    for (std::size_t vm = 0; vm < vms; ++vm) {
        const std::string name = "vm-" + std::to_string(vm);
        made.put({vm_id(name), {"10.0.0.1", 1}, domain_id("d" + std::to_string(vm % domains)), vm % 16 == 0 ? 500U : 120U});
    }
    return made;
}

/// The most VMs that one relay tells: the other relays, and its share of its domain's members.
std::size_t maxReceivers(const membership_view &fleet)
{
    std::size_t relays = 0;
    std::size_t members = 0;
    for (const domain_id &domain : fleet.domains()) {
        const std::size_t count = fleet.relayCount(domain);
        relays += count;
        members = std::max(members, (fleet.ranked(domain).size() - count + count - 1) / count);
    }
    return relays - 1 + members;
}

} // namespace

TEST(pacing, suspectTimeoutsTolerateLostMessagesAtEveryFleetSize)
{
    for (const std::size_t domains : {1, 3, 4, 6, 19}) {
        for (std::size_t vms = std::max<std::size_t>(2, domains); vms <= 400; vms += vms < 40 ? 1 : 13) {
            const milliseconds every = pacing::digestInterval(maxReceivers(fleetOf(vms, domains)));
            EXPECT_GE(pacing::suspectTimeout(every), 4 * every) << vms << " VMs in " << domains;
            EXPECT_GE(pacing::minSuspectTimeout, 2 * every) << vms << " VMs in " << domains;
            EXPECT_GE(pacing::stateRetention, 4 * every) << vms << " VMs in " << domains;
        }
    }
}

TEST(pacing, receiverCountIsBoundedAsTheFleetGrows)
{
    EXPECT_LE(maxReceivers(fleetOf(9, 4)), 8U);
    EXPECT_LE(maxReceivers(fleetOf(60, 3)), 24U);
    EXPECT_LE(maxReceivers(fleetOf(295, 6)), 48U);
    EXPECT_LE(maxReceivers(fleetOf(330, 19)), 48U);
}

TEST(pacing, deltaIntervalsAreBounded)
{
    for (const std::uint32_t capacity : {120U, 250U, 500U, 1000U}) {
        for (std::size_t receivers = 1; receivers <= 64; ++receivers) {
            const milliseconds every = pacing::deltaInterval(receivers, capacity);
            EXPECT_GE(every, milliseconds(2));
            EXPECT_LE(every, milliseconds(200));
        }
    }
    EXPECT_LE(pacing::deltaInterval(8, 250), milliseconds(10));
    EXPECT_LE(pacing::deltaInterval(40, 500), milliseconds(25));
}

TEST(membership_view, largestVmsRelayInALargeFleet)
{
    const membership_view fleet = fleetOf(295, 6);
    for (const domain_id &domain : fleet.domains()) {
        EXPECT_GE(fleet.relayCount(domain), 2U);
        for (const vm_record &relay : fleet.relaysOf(domain)) {
            const bool anyStronger = std::ranges::any_of(fleet.ranked(domain), [&](const vm_record &one) {
                return one.capacity > relay.capacity;
            });
            EXPECT_FALSE(anyStronger && relay.capacity < 500) << relay.vm.text();
        }
    }
}

TEST(membership_view, allVmsOfASmallFleetRelay)
{
    const membership_view fleet = fleetOf(9, 4);
    for (const domain_id &domain : fleet.domains()) {
        EXPECT_EQ(fleet.relayCount(domain), fleet.ranked(domain).size());
    }
}

TEST(membership_view, aRecordAtAnotherAddressReplacesTheEarlierOne)
{
    membership_view fleet = fleetOf(20, 2);
    EXPECT_FALSE(fleet.put(*fleet.find(vm_id("vm-3"))));
    EXPECT_TRUE(fleet.put({vm_id("vm-3"), {"10.0.0.2", 1}, domain_id("d0"), 120}));
    EXPECT_EQ(fleet.size(), 20U);
    EXPECT_EQ(fleet.ranked(domain_id("d0")).size(), 11U);
    EXPECT_EQ(fleet.ranked(domain_id("d1")).size(), 9U);
}

} // namespace fuchsialoom
