/// \file
/// Tests the lease on the duty under virtual time: VMs freeze, restart, and lose contact with the log or with each
/// other; the log loses responses, delays appends and comes back from older copies.
#include "fuchsialoom/gateway/duty_lease.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>

namespace fuchsialoom
{

namespace
{

constexpr milliseconds minHandoverTime{3000};
constexpr instant start = instant(std::chrono::seconds(1000));

/// Probability of each kind of fault, per opportunity.
struct fault_rates
{
    double lostResponses = 0;
    double delayedAppends = 0;
    double readFailures = 0;
    double freezes = 0;
    double restarts = 0;
    double lostDigests = 0; ///< digests of a holder that a peer doesn't receive
    double rollBacks = 0; ///< of the log, by up to 6 s
    double orders = 1; ///< steps in which a holder orders
};

struct issued_order
{
    instant at;
    int vm = 0;
    std::uint64_t fence = 0;
};

/// Simulates three VMs and a log in steps of 20 ms.
class lease_world
{
public:
    lease_world(unsigned seed, fault_rates faults)
        : m_random(seed)
        , m_faults(faults)
    {
        for (int vm = 0; vm < vmCount; ++vm) {
            startVm(vm);
        }
    }

    void run(seconds length)
    {
        const instant end = m_now + length;
        while (m_now < end) {
            m_now += milliseconds(20);
            if (m_faults.rollBacks > 0 && chance(m_faults.rollBacks)) {
                rollBack(randomDelay(0, 6000));
            }
            runDue();
            for (int vm = 0; vm < vmCount; ++vm) {
                stepVm(vm);
            }
        }
    }

    void stopFaults()
    {
        m_faults = {};
    }
    /// The log comes back from a copy that is \p age old.
    void rollBack(milliseconds age)
    {
        m_era += 1;
        while (!m_log.empty() && m_log.back().acceptedAt > m_now - age) {
            m_log.pop_back();
        }
    }
    /// \return whether a VM other than \p vm has ordered since \p from, and when it did first.
    std::optional<instant> firstOrderOfOthers(int vm, instant from) const
    {
        const auto found = std::ranges::find_if(m_orders, [vm, from](const issued_order &order) {
            return order.vm != vm && order.at > from;
        });
        return found == m_orders.end() ? std::nullopt : std::optional(found->at);
    }

    duty_lease &leaseOf(int vm)
    {
        return *m_vms[vm].lease;
    }
    void partitionFromLog(int vm)
    {
        m_partitionedVm = vm;
    }
    void kill(int vm)
    {
        m_vms[vm].frozenUntil = farFuture;
    }
    instant now() const
    {
        return m_now;
    }
    const std::vector<issued_order> &orders() const
    {
        return m_orders;
    }
    int holder()
    {
        for (int vm = 0; vm < vmCount; ++vm) {
            if (m_vms[vm].frozenUntil <= m_now && m_vms[vm].lease->isHolder(m_now)) {
                return vm;
            }
        }
        return -1;
    }

    static constexpr int vmCount = 3;

private:
    struct logged_record
    {
        lease_record record;
        instant acceptedAt;
    };

    struct vm_state
    {
        std::unique_ptr<duty_lease> lease;
        std::uint64_t incarnation = 0;
        instant frozenUntil{};
    };

    bool chance(double share)
    {
        return std::uniform_real_distribution<double>(0, 1)(m_random) < share;
    }
    milliseconds randomDelay(int least, int most)
    {
        return milliseconds(std::uniform_int_distribution<int>(least, most)(m_random));
    }

    void startVm(int vm)
    {
        m_incarnations += 1;
        lease_options options;
        options.vm = vm_id("vm-" + std::to_string(vm));
        options.incarnation = m_incarnations;
        options.minHandoverTime = minHandoverTime;
        options.isFirstStart = m_now == start;
        m_vms[vm].incarnation = m_incarnations;
        m_vms[vm].lease = std::make_unique<duty_lease>(options, m_now);
        m_vms[vm].lease->onEra(m_now, m_era);
    }

    void schedule(milliseconds wait, std::function<void()> action)
    {
        m_due.emplace(m_now + wait, std::move(action));
    }

    void runDue()
    {
        while (!m_due.empty() && m_due.begin()->first <= m_now) {
            const auto action = std::move(m_due.begin()->second);
            m_due.erase(m_due.begin());
            action();
        }
    }

    /// Delivers a response to a VM. A frozen VM gets it when it resumes.
    void deliverResponse(int vm, std::uint64_t incarnation, const std::function<void(duty_lease &)> &action)
    {
        vm_state &state = m_vms[vm];
        if (state.incarnation != incarnation || state.frozenUntil == farFuture) {
            return;
        }
        if (state.frozenUntil > m_now) {
            m_due.emplace(state.frozenUntil, [this, vm, incarnation, action] {
                deliverResponse(vm, incarnation, action);
            });
            return;
        }
        action(*state.lease);
    }

    void stepVm(int vm)
    {
        vm_state &state = m_vms[vm];
        if (state.frozenUntil > m_now) {
            return;
        }
        if (chance(m_faults.restarts)) {
            startVm(vm);
        }
        if (chance(m_faults.freezes)) {
            state.frozenUntil = m_now + randomDelay(200, 6000);
            return;
        }
        duty_lease &lease = *state.lease;
        switch (lease.tick(m_now)) {
        case lease_action::None:
            break;
        case lease_action::Read:
            read(vm);
            break;
        case lease_action::Append:
            append(vm);
            break;
        }
        if (lease.mayOrder(m_now) && (m_faults.orders >= 1 || chance(m_faults.orders))) {
            m_orders.push_back({m_now, vm, lease.fence()});
            lease.noteOrder(m_now);
        }
        if (const auto announcement = lease.renounced(m_now)) {
            broadcastRenounced(vm, *announcement);
        }
        if (lease.isHolder(m_now)) {
            for (int other = 0; other < vmCount; ++other) {
                if (other != vm && m_vms[other].frozenUntil <= m_now && !chance(m_faults.lostDigests)) {
                    m_vms[other].lease->onHolderReport(m_now);
                }
            }
        }
    }

    void broadcastRenounced(int vm, const renounced_fence &announcement)
    {
        for (int other = 0; other < vmCount; ++other) {
            if (other == vm || chance(m_faults.lostDigests)) {
                continue;
            }
            const std::uint64_t incarnation = m_vms[other].incarnation;
            schedule(randomDelay(0, 2000), [=, this] {
                deliverResponse(other, incarnation, [=, this](duty_lease &lease) {
                    lease.onRenounced(m_now, announcement);
                });
            });
        }
    }

    void read(int vm)
    {
        const std::uint64_t incarnation = m_vms[vm].incarnation;
        if (vm == m_partitionedVm || chance(m_faults.readFailures)) {
            schedule(randomDelay(1, 1500), [=, this] {
                deliverResponse(vm, incarnation, [this](duty_lease &lease) {
                    lease.onReadFailed(m_now);
                });
            });
            return;
        }
        schedule(randomDelay(1, 40), [=, this] {
            const std::uint64_t end = m_log.size();
            const std::optional<lease_record> newest = m_log.empty() ? std::nullopt : std::optional(m_log.back().record);
            schedule(randomDelay(1, 40), [=, this, era = m_era] {
                deliverResponse(vm, incarnation, [=, this](duty_lease &lease) {
                    if (!lease.onEra(m_now, era)) {
                        lease.onReadFailed(m_now);
                        return;
                    }
                    lease.onRead(m_now, end, newest, end == 0 ? 0 : end - 1);
                });
            });
        });
    }

    void append(int vm)
    {
        const std::uint64_t incarnation = m_vms[vm].incarnation;
        const lease_record record = m_vms[vm].lease->nextRecord();
        const std::uint64_t expectedEnd = m_vms[vm].lease->end();
        if (vm == m_partitionedVm) {
            schedule(milliseconds(1500), [=, this] {
                deliverResponse(vm, incarnation, [this](duty_lease &lease) {
                    lease.onAppendFailed(m_now, true);
                });
            });
            return;
        }
        if (chance(m_faults.delayedAppends)) {
            schedule(randomDelay(1000, 6000), [=, this] {
                if (m_log.size() == expectedEnd) {
                    m_log.push_back({record, m_now});
                }
            });
            schedule(milliseconds(1500), [=, this] {
                deliverResponse(vm, incarnation, [this](duty_lease &lease) {
                    lease.onAppendFailed(m_now, true);
                });
            });
            return;
        }
        schedule(randomDelay(1, 40), [=, this] {
            const bool matches = m_log.size() == expectedEnd;
            if (matches) {
                m_log.push_back({record, m_now});
            }
            const bool lost = chance(m_faults.lostResponses);
            schedule(lost ? milliseconds(1500) : randomDelay(1, 40), [=, this, era = m_era] {
                deliverResponse(vm, incarnation, [=, this](duty_lease &lease) {
                    if (!lease.onEra(m_now, lost ? 0 : era) || lost) {
                        lease.onAppendFailed(m_now, true);
                    } else if (matches) {
                        lease.onAppended(m_now, expectedEnd);
                    } else {
                        lease.onAppendConflict(m_now);
                    }
                });
            });
        });
    }

    std::mt19937 m_random;
    fault_rates m_faults;
    instant m_now = start;
    std::map<int, vm_state> m_vms;
    std::uint64_t m_incarnations = 0;
    std::vector<logged_record> m_log;
    std::uint64_t m_era = 1;
    std::multimap<instant, std::function<void()>> m_due;
    std::vector<issued_order> m_orders;
    int m_partitionedVm = -1; ///< VM that can't reach the log
};

/// Checks that no two VMs order within the turn time or under the same fence, and that fences never decrease.
::testing::AssertionResult respectsTurnTime(const std::vector<issued_order> &orders)
{
    for (std::size_t at = 1; at < orders.size(); ++at) {
        const issued_order &before = orders[at - 1];
        const issued_order &after = orders[at];
        if (after.fence < before.fence) {
            return ::testing::AssertionFailure() << "vm-" << after.vm << " ordered with fence " << after.fence << " after vm-" << before.vm
                                                 << " with fence " << before.fence << ", at " << (after.at - start).count() << " us";
        }
        if (before.vm == after.vm) {
            continue;
        }
        if (after.fence == before.fence) {
            return ::testing::AssertionFailure() << "two VMs ordered under fence " << after.fence;
        }
        if (after.at - before.at < minHandoverTime) {
            return ::testing::AssertionFailure()
                << "vm-" << after.vm << " ordered with fence " << after.fence << ' ' << (after.at - before.at).count() << " us after vm-"
                << before.vm << " with fence " << before.fence << ", at " << (after.at - start).count() << " us";
        }
    }
    return ::testing::AssertionSuccess();
}

} // namespace

TEST(duty_lease, theFirstHolderOrdersSoon)
{
    lease_world world(1, {});
    world.run(seconds(2));
    ASSERT_FALSE(world.orders().empty());
    EXPECT_LE(world.orders().front().at - start, milliseconds(1300));
    EXPECT_TRUE(respectsTurnTime(world.orders()));
}

TEST(duty_lease, aDeadHolderIsReplacedWithinSevenSeconds)
{
    lease_world world(2, {});
    world.run(seconds(3));
    const int first = world.holder();
    ASSERT_GE(first, 0);
    world.kill(first);
    const instant killedAt = world.now();
    world.run(seconds(8));
    const issued_order &last = world.orders().back();
    EXPECT_NE(last.vm, first);
    for (const issued_order &order : world.orders()) {
        if (order.vm != first) {
            EXPECT_LE(order.at - killedAt, seconds(7));
            break;
        }
    }
    EXPECT_TRUE(respectsTurnTime(world.orders()));
}

TEST(duty_lease, aReleaseShortensTheWait)
{
    lease_world world(3, {});
    world.run(seconds(3));
    const int first = world.holder();
    ASSERT_GE(first, 0);
    const instant releasedAt = world.now();
    world.leaseOf(first).release(world.now());
    world.run(seconds(4));
    EXPECT_TRUE(world.leaseOf(first).isReleased());
    const int second = world.holder();
    ASSERT_GE(second, 0);
    EXPECT_NE(second, first);
    // The successor waits for the turn time after the last order, not for the silence, the lease and the turn time.
    EXPECT_LE(world.leaseOf(second).orderFrom() - releasedAt, minHandoverTime + milliseconds(100));
}

TEST(duty_lease, aHolderWithoutTheLogStopsAtLeaseExpiryAndRenounces)
{
    lease_world world(4, {});
    world.run(seconds(3));
    const int holder = world.holder();
    ASSERT_GE(holder, 0);
    world.partitionFromLog(holder);
    const instant cutAt = world.now();
    world.run(seconds(8));
    EXPECT_TRUE(respectsTurnTime(world.orders()));
    instant last{};
    instant next = farFuture;
    for (const issued_order &order : world.orders()) {
        if (order.vm == holder) {
            last = order.at;
        } else {
            next = std::min(next, order.at);
        }
    }
    EXPECT_LE(last - cutAt, milliseconds(1500));
    // Without the announcement a successor would wait for the silence, the lease and the turn time: 6.5 s.
    EXPECT_LE(next - last, minHandoverTime + milliseconds(300));
}

/// Guards against a successor that finds the log as it was before the holder's claim.
TEST(duty_lease, aClaimThatTheLogLostIsWaitedOut)
{
    lease_world world(5, {});
    world.run(seconds(4));
    const int holder = world.holder();
    ASSERT_GE(holder, 0);
    world.rollBack(seconds(5));
    world.kill(holder);
    const instant lastOrder = world.orders().back().at;
    world.run(seconds(12));
    const std::optional<instant> next = world.firstOrderOfOthers(holder, lastOrder);
    ASSERT_TRUE(next);
    EXPECT_GE(*next - lastOrder, minHandoverTime);
    EXPECT_TRUE(respectsTurnTime(world.orders()));
}

/// Guards against a holder that forgets its last order when it claims its lapsed lease again.
TEST(duty_lease, aReleaseTellsTheLastOrderOfAnEarlierTerm)
{
    lease_options options{.vm = vm_id("vm-0"), .incarnation = 1, .minHandoverTime = minHandoverTime};
    duty_lease lease(options, start);
    instant now = start;
    const auto claim = [&lease, &now](std::uint64_t offset, const std::optional<lease_record> &newest) {
        now += seconds(2);
        ASSERT_EQ(lease.tick(now), lease_action::Read);
        lease.onRead(now, offset, newest, offset == 0 ? 0 : offset - 1);
        ASSERT_EQ(lease.tick(now), lease_action::Append);
        lease.onAppended(now, offset);
    };
    claim(0, std::nullopt);
    ASSERT_TRUE(lease.mayOrder(now));
    lease.noteOrder(now);
    claim(1, lease.nextRecord());
    ASSERT_TRUE(lease.isHolder(now));
    lease.release(now);
    ASSERT_EQ(lease.tick(now), lease_action::Append);
    EXPECT_EQ(lease.nextRecord().kind, lease_record_kind::Release);
    EXPECT_EQ(lease.nextRecord().sinceLastOrder, milliseconds(2000));
}

RC_GTEST_PROP(duty_lease, respectsTurnTimeUnderFaults, ())
{
    fault_rates faults;
    faults.lostResponses = *rc::gen::element(0.0, 0.1, 0.35);
    faults.delayedAppends = *rc::gen::element(0.0, 0.1, 0.35);
    faults.readFailures = *rc::gen::element(0.0, 0.3);
    faults.freezes = *rc::gen::element(0.0, 0.002, 0.01);
    faults.restarts = *rc::gen::element(0.0, 0.001);
    faults.lostDigests = *rc::gen::element(0.0, 0.5, 1.0);
    faults.rollBacks = *rc::gen::element(0.0, 0.002, 0.01);
    faults.orders = *rc::gen::element(1.0, 0.02, 0.005);
    lease_world world(*rc::gen::arbitrary<unsigned>(), faults);
    world.run(seconds(40));
    world.stopFaults();
    world.run(seconds(20));
    const ::testing::AssertionResult turnTime = respectsTurnTime(world.orders());
    if (!turnTime) {
        RC_FAIL(std::string(turnTime.message()));
    }
    RC_ASSERT(world.holder() >= 0);
    RC_ASSERT(!world.orders().empty() && world.orders().back().at > world.now() - seconds(1));
}

} // namespace fuchsialoom
