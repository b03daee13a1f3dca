/// \file
/// Tests of the rule that a stopping VM starts only requests that finish in time.
#include "fuchsialoom/gateway/drain_rules.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <limits>
#include <random>

namespace fuchsialoom
{

static constexpr instant start = instant(std::chrono::seconds(1000));

TEST(drain_rules, returnsFallbackWithoutSamples)
{
    const run_meter meter;
    EXPECT_EQ(meter.expected(start, 100, 0, milliseconds(3200)), milliseconds(3200));
}

TEST(drain_rules, estimatesPlainRequestByLongestRecentOne)
{
    run_meter meter;
    meter.record(start, {milliseconds(60), milliseconds(0), 0, 0});
    meter.record(start, {milliseconds(450), milliseconds(0), 0, 0});
    EXPECT_EQ(meter.expected(start + seconds(3), 0, 0, milliseconds(0)), milliseconds(450));
}

TEST(drain_rules, estimatesStreamByItsTokens)
{
    run_meter meter;
    // Two tokens per event, one event every 30 ms.
    meter.record(start, {milliseconds(200), milliseconds(600), 20, 40});
    meter.record(start, {milliseconds(100), milliseconds(3000), 100, 200});
    EXPECT_LT(meter.expected(start, 20, 0, milliseconds(0)), milliseconds(1000));
    EXPECT_GT(meter.expected(start, 478, 0, milliseconds(0)), milliseconds(7000));
}

TEST(drain_rules, oldSamplesExpire)
{
    run_meter meter;
    meter.record(start, {milliseconds(5000), milliseconds(0), 0, 0});
    meter.record(start + seconds(11), {milliseconds(60), milliseconds(0), 0, 0});
    EXPECT_EQ(meter.expected(start + seconds(12), 0, 0, milliseconds(0)), milliseconds(5000));
    EXPECT_EQ(meter.expected(start + seconds(21), 0, 0, milliseconds(0)), milliseconds(60));
    EXPECT_EQ(meter.expected(start + seconds(40), 0, 0, milliseconds(7)), milliseconds(7));
}

TEST(drain_rules, runningStreamsShowThatTargetsSlowedDown)
{
    run_meter meter;
    // One event per token, one every 10 ms.
    meter.record(start, {milliseconds(50), milliseconds(1000), 100, 100});
    pace_meter pace;
    pace.record(start + seconds(1), milliseconds(720), 8);
    EXPECT_GE(meter.expected(start, 100, pace.current(start + seconds(1)), milliseconds(0)), milliseconds(9000));
    // Pace samples expire soon, and never lower the estimate below that from finished streams.
    EXPECT_EQ(pace.current(start + seconds(3)), 0);
    pace.record(start + seconds(4), milliseconds(8), 8);
    EXPECT_GE(meter.expected(start, 100, pace.current(start + seconds(4)), milliseconds(0)), milliseconds(1000));
}

TEST(drain_rules, estimatesStreamWithoutTokenLimitByLongestOne)
{
    run_meter meter;
    meter.record(start, {milliseconds(100), milliseconds(4000), 100, 0});
    meter.record(start, {milliseconds(200), milliseconds(50), 2, 0});
    EXPECT_EQ(meter.expected(start, 0, 0, milliseconds(0)), milliseconds(4200));
}

TEST(drain_rules, hugeTokenLimitDoesNotOverflow)
{
    run_meter meter;
    meter.record(start, {milliseconds(100), milliseconds(60000), 1000000, 1});
    const std::uint32_t tokens = std::numeric_limits<std::uint32_t>::max();
    EXPECT_FALSE(endsInTime(start, meter.expected(start, tokens, 10000, milliseconds(0)), start + seconds(10)));
}

TEST(drain_rules, paceAloneGivesNoEstimate)
{
    const run_meter meter;
    EXPECT_EQ(meter.expected(start, 100, 90, milliseconds(3200)), milliseconds(3200));
}

TEST(drain_rules, acceptsAllRequestsWithoutStop)
{
    const stop_plan none;
    EXPECT_FALSE(none.isStopping());
    EXPECT_TRUE(none.acceptsNew(start + std::chrono::hours(10000)));
}

TEST(drain_rules, rejectsNewRequestsFromAcceptUntilOn)
{
    const stop_plan plan = planStop(start, milliseconds(2500), milliseconds(7500));
    EXPECT_TRUE(plan.isStopping());
    EXPECT_TRUE(plan.acceptsNew(start + milliseconds(2500) - microseconds(1)));
    EXPECT_FALSE(plan.acceptsNew(start + milliseconds(2500)));
    EXPECT_EQ(plan.end, start + milliseconds(7500));
}

TEST(drain_rules, acceptUntilIsNotAfterEnd)
{
    const stop_plan plan = planStop(start, milliseconds(2500), milliseconds(1000));
    EXPECT_FALSE(plan.acceptsNew(start + milliseconds(1000)));
    EXPECT_EQ(plan.acceptUntil, plan.end);
}

/// If durations resemble earlier ones, each request started by the rule finishes in time, for any load and grace period.
RC_GTEST_PROP(drain_rules, startedRequestsFinishInTime, ())
{
    std::mt19937 random(*rc::gen::inRange(1U, 1000000U));
    const auto grace = milliseconds(*rc::gen::inRange(500, 20000));
    const int msPerEvent = *rc::gen::inRange(5, 60); // ms per event
    const int maxFirstMs = *rc::gen::inRange(1, 800);
    const auto randomInt = [&random](int least, int most) {
        return least + static_cast<int>(random() % static_cast<unsigned>(most - least + 1));
    };
    const auto runOf = [&](std::uint32_t tokens) {
        // Engines differ by a third in time per event, and streams generate half to all of their token limit.
        const std::uint64_t events = std::max(1, randomInt(static_cast<int>(tokens) / 4, static_cast<int>(tokens) / 2));
        run_sample sample{milliseconds(randomInt(maxFirstMs / 2, maxFirstMs)), milliseconds(0), events, tokens};
        sample.rest = milliseconds(static_cast<std::int64_t>(events) * randomInt(msPerEvent * 3 / 4, msPerEvent));
        return sample;
    };
    run_meter meter;
    meter.record(start, {milliseconds(maxFirstMs), milliseconds(50L * msPerEvent), 50, 100});
    for (int run = 0; run < 40; ++run) {
        meter.record(start, runOf(static_cast<std::uint32_t>(randomInt(8, 480))));
    }
    const instant end = start + grace;
    for (int attempt = 0; attempt < 50; ++attempt) {
        const instant now = start + milliseconds(randomInt(0, static_cast<int>(grace.count())));
        const auto tokens = static_cast<std::uint32_t>(randomInt(8, 480));
        if (endsInTime(now, meter.expected(now, tokens, 0, grace), end)) {
            const run_sample run = runOf(tokens);
            RC_ASSERT(now + run.first + run.rest <= end);
        }
    }
}

} // namespace fuchsialoom
