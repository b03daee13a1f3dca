/// \file
/// Tests of retry decisions and of the shared retry budget.
#include "fuchsialoom/gateway/retry_rules.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace fuchsialoom
{

static constexpr instant start = instant(std::chrono::seconds(1000));

static attempt_history history(bool repeatable, std::uint32_t targetsTried, std::uint32_t attempts, bool mayHaveRun = false)
{
    attempt_history made;
    made.repeatable = repeatable;
    made.targetsTried = targetsTried;
    made.attempts = attempts;
    made.mayHaveRun = mayHaveRun;
    return made;
}

TEST(retry_rules, retriesRequestsThatWereNotSent)
{
    EXPECT_EQ(nextStep(attempt_outcome::NotSent, history(false, 0, 1), false), retry_step::TryElsewhere);
    attempt_history exhausted = history(false, 0, 1);
    exhausted.connectFailures = 4;
    EXPECT_EQ(nextStep(attempt_outcome::NotSent, exhausted, true), retry_step::Refuse);
}

TEST(retry_rules, retriesRequestsThatDidNotRunWithinTheirAttempts)
{
    EXPECT_EQ(nextStep(attempt_outcome::NotRun, history(false, 1, 2), true), retry_step::TryElsewhere);
    EXPECT_EQ(nextStep(attempt_outcome::NotRun, history(false, 1, 1), true), retry_step::Refuse);
    EXPECT_EQ(nextStep(attempt_outcome::NotRun, history(false, 1, 2), false), retry_step::Refuse);
}

TEST(retry_rules, passesServerErrorsOnUnlessTheRequestIsRepeatable)
{
    EXPECT_EQ(nextStep(attempt_outcome::Failed, history(false, 1, 2, true), true), retry_step::PassOn);
    EXPECT_EQ(nextStep(attempt_outcome::Failed, history(true, 1, 2, true), true), retry_step::TryElsewhere);
    EXPECT_EQ(nextStep(attempt_outcome::Failed, history(true, 2, 2, true), true), retry_step::PassOn);
}

/// A request is refused as not run only if no attempt can have run. A request that must not be repeated is retried only
/// in that case as well.
RC_GTEST_PROP(retry_rules, neverRefusesOrRepeatsWhatMayHaveRun, ())
{
    attempt_history made;
    made.repeatable = *rc::gen::arbitrary<bool>();
    made.targetsTried = *rc::gen::inRange<std::uint32_t>(0, 4);
    made.attempts = *rc::gen::inRange<std::uint32_t>(1, 4);
    made.connectFailures = *rc::gen::inRange<std::uint32_t>(0, 6);
    const auto outcome = *rc::gen::element(attempt_outcome::NotSent,
                                           attempt_outcome::Declined,
                                           attempt_outcome::NotRun,
                                           attempt_outcome::Failed,
                                           attempt_outcome::Broken,
                                           attempt_outcome::Silent);
    const bool neverSent = outcome == attempt_outcome::NotSent || outcome == attempt_outcome::Declined;
    const bool ran = !neverSent && outcome != attempt_outcome::NotRun;
    const bool earlier = made.repeatable && *rc::gen::arbitrary<bool>();
    made.mayHaveRun = ran || earlier;
    const retry_step step = nextStep(outcome, made, *rc::gen::arbitrary<bool>());
    if (made.mayHaveRun) {
        RC_ASSERT(step != retry_step::Refuse);
    }
    if (ran && !made.repeatable) {
        RC_ASSERT(step != retry_step::TryElsewhere);
    }
    if (step == retry_step::TryElsewhere && !neverSent) {
        RC_ASSERT(made.targetsTried < made.attempts);
    }
}

TEST(shared_retry_budget, allVmsTogetherStayWithinTheLimit)
{
    static constexpr int vms = 9;
    static constexpr double ratio = 0.2;
    static constexpr double slack = 58;
    std::vector<shared_retry_budget> budgets(vms);
    for (shared_retry_budget &budget : budgets) {
        budget.setLimits({ratio, seconds(10), slack});
        budget.setLiveVmCount(vms);
    }
    std::deque<instant> requests;
    std::deque<instant> retries;
    // For a minute, every request of every VM is retried as soon as the budget allows.
    for (int step = 0; step < 60 * 20; ++step) {
        const instant now = start + milliseconds(50) * step;
        for (shared_retry_budget &budget : budgets) {
            budget.countRequest(now);
            requests.push_back(now);
            if (budget.allows(now)) {
                budget.countRetry(now);
                retries.push_back(now);
            }
        }
        std::erase_if(requests, [now](instant at) {
            return now - at > seconds(10);
        });
        std::erase_if(retries, [now](instant at) {
            return now - at > seconds(10);
        });
        ASSERT_LE(static_cast<double>(retries.size()), ratio * static_cast<double>(requests.size()) + slack);
    }
    EXPECT_GT(retries.size(), 100U);
}

} // namespace fuchsialoom
