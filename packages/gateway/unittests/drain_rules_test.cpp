/// \file
/// A VM that stops begins only what ends before it does.
#include "fuchsialoom/gateway/drain_rules.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <limits>
#include <random>

namespace fuchsialoom
{

static constexpr instant start = instant(std::chrono::seconds(1000));

TEST(drain_rules, nothingIsKnownBeforeTheFirstRun)
{
    const run_meter meter;
    EXPECT_EQ(meter.expected(start, 100, 0, milliseconds(3200)), milliseconds(3200));
}

TEST(drain_rules, aPlainRequestTakesAsLongAsTheLongestOfLate)
{
    run_meter meter;
    meter.record(start, {milliseconds(60), milliseconds(0), 0, 0});
    meter.record(start, {milliseconds(450), milliseconds(0), 0, 0});
    EXPECT_EQ(meter.expected(start + seconds(3), 0, 0, milliseconds(0)), milliseconds(450));
}

TEST(drain_rules, aStreamTakesWhatItsTokensTake)
{
    run_meter meter;
    // Two tokens an event, an event each 30 ms.
    meter.record(start, {milliseconds(200), milliseconds(600), 20, 40});
    meter.record(start, {milliseconds(100), milliseconds(3000), 100, 200});
    EXPECT_LT(meter.expected(start, 20, 0, milliseconds(0)), milliseconds(1000));
    EXPECT_GT(meter.expected(start, 478, 0, milliseconds(0)), milliseconds(7000));
}

TEST(drain_rules, whatWasSeenLongAgoCountsNoMore)
{
    run_meter meter;
    meter.record(start, {milliseconds(5000), milliseconds(0), 0, 0});
    meter.record(start + seconds(11), {milliseconds(60), milliseconds(0), 0, 0});
    EXPECT_EQ(meter.expected(start + seconds(12), 0, 0, milliseconds(0)), milliseconds(5000));
    EXPECT_EQ(meter.expected(start + seconds(21), 0, 0, milliseconds(0)), milliseconds(60));
    EXPECT_EQ(meter.expected(start + seconds(40), 0, 0, milliseconds(7)), milliseconds(7));
}

TEST(drain_rules, streamsUnderWayTellThatTargetsHaveBecomeSlower)
{
    run_meter meter;
    // An event for each token, each 10 ms.
    meter.record(start, {milliseconds(50), milliseconds(1000), 100, 100});
    pace_meter pace;
    pace.record(start + seconds(1), milliseconds(720), 8);
    EXPECT_GE(meter.expected(start, 100, pace.present(start + seconds(1)), milliseconds(0)), milliseconds(9000));
    // They count for a short time, and never make a run shorter than those that ended.
    EXPECT_EQ(pace.present(start + seconds(3)), 0);
    pace.record(start + seconds(4), milliseconds(8), 8);
    EXPECT_GE(meter.expected(start, 100, pace.present(start + seconds(4)), milliseconds(0)), milliseconds(1000));
}

TEST(drain_rules, aStreamThatNamesNoTokensTakesAsLongAsTheLongest)
{
    run_meter meter;
    meter.record(start, {milliseconds(100), milliseconds(4000), 100, 0});
    meter.record(start, {milliseconds(200), milliseconds(50), 2, 0});
    EXPECT_EQ(meter.expected(start, 0, 0, milliseconds(0)), milliseconds(4200));
}

TEST(drain_rules, anyNumberOfTokensIsTooLongAndNoOverflow)
{
    run_meter meter;
    meter.record(start, {milliseconds(100), milliseconds(60000), 1000000, 1});
    const std::uint32_t tokens = std::numeric_limits<std::uint32_t>::max();
    EXPECT_FALSE(endsInTime(start, meter.expected(start, tokens, 10000, milliseconds(0)), start + seconds(10)));
}

TEST(drain_rules, aPaceAloneTellsNoLength)
{
    const run_meter meter;
    EXPECT_EQ(meter.expected(start, 100, 90, milliseconds(3200)), milliseconds(3200));
}

TEST(drain_rules, aVmThatDoesNotStopTakesEverything)
{
    const stop_plan none;
    EXPECT_FALSE(none.isStopping());
    EXPECT_TRUE(none.acceptsNew(start + std::chrono::hours(10000)));
}

TEST(drain_rules, newRequestsEndAtTheirInstant)
{
    const stop_plan plan = planStop(start, milliseconds(2500), milliseconds(7500));
    EXPECT_TRUE(plan.isStopping());
    EXPECT_TRUE(plan.acceptsNew(start + milliseconds(2500) - microseconds(1)));
    EXPECT_FALSE(plan.acceptsNew(start + milliseconds(2500)));
    EXPECT_EQ(plan.end, start + milliseconds(7500));
}

TEST(drain_rules, aShortGraceTakesNewRequestsNoLongerThanItLasts)
{
    const stop_plan plan = planStop(start, milliseconds(2500), milliseconds(1000));
    EXPECT_FALSE(plan.acceptsNew(start + milliseconds(1000)));
    EXPECT_EQ(plan.acceptUntil, plan.end);
}

/// Runs like those seen before: what is begun by the rule ends in time, whatever the load and the grace.
RC_GTEST_PROP(drain_rules, whatIsBegunEndsInTime, ())
{
    std::mt19937 random(*rc::gen::inRange(1U, 1000000U));
    const auto grace = milliseconds(*rc::gen::inRange(500, 20000));
    const int slowest = *rc::gen::inRange(5, 60); // ms an event
    const int reading = *rc::gen::inRange(1, 800);
    const auto between = [&random](int least, int most) {
        return least + static_cast<int>(random() % static_cast<unsigned>(most - least + 1));
    };
    const auto runOf = [&](std::uint32_t tokens) {
        // The engines' pace differs by a third, and half of the streams end before their limit.
        const std::uint64_t events = std::max(1, between(static_cast<int>(tokens) / 4, static_cast<int>(tokens) / 2));
        run_sample sample{milliseconds(between(reading / 2, reading)), milliseconds(0), events, tokens};
        sample.rest = milliseconds(static_cast<std::int64_t>(events) * between(slowest * 3 / 4, slowest));
        return sample;
    };
    run_meter meter;
    meter.record(start, {milliseconds(reading), milliseconds(50L * slowest), 50, 100});
    for (int run = 0; run < 40; ++run) {
        meter.record(start, runOf(static_cast<std::uint32_t>(between(8, 480))));
    }
    const instant end = start + grace;
    for (int asked = 0; asked < 50; ++asked) {
        const instant now = start + milliseconds(between(0, static_cast<int>(grace.count())));
        const auto tokens = static_cast<std::uint32_t>(between(8, 480));
        if (endsInTime(now, meter.expected(now, tokens, 0, grace), end)) {
            const run_sample run = runOf(tokens);
            RC_ASSERT(now + run.first + run.rest <= end);
        }
    }
}

} // namespace fuchsialoom
