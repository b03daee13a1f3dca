/// \file
/// Sums are what the sources told last, whatever the order of their words.
#include "fuchsialoom/fleet/in_flight_tracker.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace fuchsialoom
{

RC_GTEST_PROP(in_flight_tracker, totalsMatchTheLatestReports, ())
{
    instant now{seconds(1)};
    std::map<vm_id, in_flight_counts> latest;
    in_flight_counts observed;
    in_flight_tracker ledger([&observed](target_key key, const target_in_flight &sum) {
        observed[key] = sum;
    });
    const int steps = *rc::gen::inRange(1, 60);
    for (int step = 0; step < steps; ++step) {
        now += milliseconds(10);
        const vm_id source("v" + std::to_string(*rc::gen::inRange(0, 4)));
        in_flight_counts counts;
        for (int one = *rc::gen::inRange(0, 4); one > 0; --one) {
            counts[target_key(*rc::gen::inRange<std::uint32_t>(0, 6))] = {*rc::gen::inRange<std::uint32_t>(0, 5),
                                                                          *rc::gen::inRange<std::uint32_t>(0, 500)};
        }
        switch (*rc::gen::inRange(0, 3)) {
        case 0:
            ledger.set(now, source, counts);
            latest[source] = counts;
            break;
        case 1:
            ledger.change(now, source, counts);
            for (const auto &[key, inFlight] : counts) {
                latest[source][key] = inFlight;
            }
            break;
        default:
            ledger.forget(source);
            latest.erase(source);
            break;
        }
        for (std::uint32_t key = 0; key < 6; ++key) {
            target_in_flight sum;
            for (const auto &[vm, counted] : latest) {
                const auto found = counted.find(target_key(key));
                sum += found == counted.end() ? target_in_flight() : found->second;
            }
            RC_ASSERT(ledger.totalAt(target_key(key)) == sum);
            const auto seen = observed.find(target_key(key));
            RC_ASSERT((seen == observed.end() ? target_in_flight() : seen->second) == sum);
        }
    }
}

TEST(in_flight_tracker, changesAreReturnedOnceIncludingZeros)
{
    const instant now{seconds(1)};
    in_flight_tracker ledger;
    ledger.set(now, vm_id("a"), {{target_key(1), {2, 100}}, {target_key(2), {1, 0}}});
    EXPECT_EQ(ledger.takeChanged().size(), 2U);
    ledger.set(now, vm_id("a"), {{target_key(1), {2, 100}}});
    const in_flight_counts changed = ledger.takeChanged();
    ASSERT_EQ(changed.size(), 1U);
    EXPECT_TRUE(changed.at(target_key(2)).isNone());
    EXPECT_TRUE(ledger.takeChanged().empty());
}

TEST(in_flight_tracker, staleSourcesAreRemoved)
{
    const instant now{seconds(1)};
    in_flight_tracker ledger;
    ledger.set(now, vm_id("a"), {{target_key(1), {2, 0}}});
    ledger.set(now + seconds(2), vm_id("b"), {{target_key(1), {3, 0}}});
    EXPECT_EQ(ledger.removeStale(now + seconds(1)), 1U);
    EXPECT_EQ(ledger.totalAt(target_key(1)).requests, 3U);
}

} // namespace fuchsialoom
