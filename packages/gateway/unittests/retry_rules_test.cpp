/// \file
/// What follows an attempt, and the shared limit on repeats.
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

TEST(retry_rules, whatWasNeverSentGoesElsewhere)
{
    EXPECT_EQ(nextStep(attempt_outcome::NotSent, history(false, 0, 1), false), retry_step::TryElsewhere);
    attempt_history tired = history(false, 0, 1);
    tired.connectFailures = 4;
    EXPECT_EQ(nextStep(attempt_outcome::NotSent, tired, true), retry_step::Refuse);
}

TEST(retry_rules, whatDidNotRunGoesElsewhereWithinItsAttempts)
{
    EXPECT_EQ(nextStep(attempt_outcome::NotRun, history(false, 1, 2), true), retry_step::TryElsewhere);
    EXPECT_EQ(nextStep(attempt_outcome::NotRun, history(false, 1, 1), true), retry_step::Refuse);
    EXPECT_EQ(nextStep(attempt_outcome::NotRun, history(false, 1, 2), false), retry_step::Refuse);
}

TEST(retry_rules, aTargetsOwnFailureIsPassedOnUnlessTheRequestMayRunAgain)
{
    EXPECT_EQ(nextStep(attempt_outcome::Failed, history(false, 1, 2, true), true), retry_step::PassOn);
    EXPECT_EQ(nextStep(attempt_outcome::Failed, history(true, 1, 2, true), true), retry_step::TryElsewhere);
    EXPECT_EQ(nextStep(attempt_outcome::Failed, history(true, 2, 2, true), true), retry_step::PassOn);
}

/// "Not run" is told only when no attempt can have run, and what may not be repeated is sent on only then.
RC_GTEST_PROP(retry_rules, neverLiesAndNeverRepeats, ())
{
    attempt_history made;
    made.repeatable = *rc::gen::arbitrary<bool>();
    made.targetsTried = *rc::gen::inRange<std::uint32_t>(0, 4);
    made.attempts = *rc::gen::inRange<std::uint32_t>(1, 4);
    made.connectFailures = *rc::gen::inRange<std::uint32_t>(0, 6);
    const auto outcome = *rc::gen::element(
        attempt_outcome::NotSent, attempt_outcome::NotRun, attempt_outcome::Failed, attempt_outcome::Broken, attempt_outcome::Silent);
    const bool ran = outcome != attempt_outcome::NotSent && outcome != attempt_outcome::NotRun;
    const bool earlier = made.repeatable && *rc::gen::arbitrary<bool>();
    made.mayHaveRun = ran || earlier;
    const retry_step step = nextStep(outcome, made, *rc::gen::arbitrary<bool>());
    if (made.mayHaveRun) {
        RC_ASSERT(step != retry_step::Refuse);
    }
    if (ran && !made.repeatable) {
        RC_ASSERT(step != retry_step::TryElsewhere);
    }
    if (step == retry_step::TryElsewhere && outcome != attempt_outcome::NotSent) {
        RC_ASSERT(made.targetsTried < made.attempts);
    }
}

TEST(shared_retry_budget, theVmsTogetherKeepTheLimit)
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
    // Every request of every VM wants to be repeated at once, for a minute.
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
