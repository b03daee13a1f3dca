/// \file
/// Sums are what the sources told last, whatever the order of their words.
#include "fuchsialoom/fleet/flight_ledger.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace fuchsialoom
{

RC_GTEST_PROP(flight_ledger, sumsAreWhatTheSourcesToldLast, ())
{
    instant now{seconds(1)};
    std::map<vm_id, flight_counts> told;
    flight_counts observed;
    flight_ledger ledger([&observed](target_key key, const target_flights &sum) {
        observed[key] = sum;
    });
    const int steps = *rc::gen::inRange(1, 60);
    for (int step = 0; step < steps; ++step) {
        now += milliseconds(10);
        const vm_id source("v" + std::to_string(*rc::gen::inRange(0, 4)));
        flight_counts counts;
        for (int one = *rc::gen::inRange(0, 4); one > 0; --one) {
            counts[target_key(*rc::gen::inRange<std::uint32_t>(0, 6))] = {*rc::gen::inRange<std::uint32_t>(0, 5),
                                                                          *rc::gen::inRange<std::uint32_t>(0, 500)};
        }
        switch (*rc::gen::inRange(0, 3)) {
        case 0:
            ledger.set(now, source, counts);
            told[source] = counts;
            break;
        case 1:
            ledger.change(now, source, counts);
            for (const auto &[key, flights] : counts) {
                told[source][key] = flights;
            }
            break;
        default:
            ledger.forget(source);
            told.erase(source);
            break;
        }
        for (std::uint32_t key = 0; key < 6; ++key) {
            target_flights sum;
            for (const auto &[vm, counted] : told) {
                const auto found = counted.find(target_key(key));
                sum += found == counted.end() ? target_flights() : found->second;
            }
            RC_ASSERT(ledger.sumAt(target_key(key)) == sum);
            const auto seen = observed.find(target_key(key));
            RC_ASSERT((seen == observed.end() ? target_flights() : seen->second) == sum);
        }
    }
}

TEST(flight_ledger, changesAreToldOnceWithZerosAmongThem)
{
    const instant now{seconds(1)};
    flight_ledger ledger;
    ledger.set(now, vm_id("a"), {{target_key(1), {2, 100}}, {target_key(2), {1, 0}}});
    EXPECT_EQ(ledger.takeChanged().size(), 2U);
    ledger.set(now, vm_id("a"), {{target_key(1), {2, 100}}});
    const flight_counts changed = ledger.takeChanged();
    ASSERT_EQ(changed.size(), 1U);
    EXPECT_TRUE(changed.at(target_key(2)).isNone());
    EXPECT_TRUE(ledger.takeChanged().empty());
}

TEST(flight_ledger, theSilentAreForgotten)
{
    const instant now{seconds(1)};
    flight_ledger ledger;
    ledger.set(now, vm_id("a"), {{target_key(1), {2, 0}}});
    ledger.set(now + seconds(2), vm_id("b"), {{target_key(1), {3, 0}}});
    EXPECT_EQ(ledger.forgetSilent(now + seconds(1)), 1U);
    EXPECT_EQ(ledger.sumAt(target_key(1)).requests, 3U);
}

} // namespace fuchsialoom
