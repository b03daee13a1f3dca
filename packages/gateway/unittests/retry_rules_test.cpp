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
    attempt_history gaveUp = history(true, 2, 2);
    gaveUp.mayHaveRun = true;
    EXPECT_EQ(nextStep(attempt_outcome::NotRun, gaveUp, true), retry_step::Fail);
    gaveUp.gaveUpSilent = true;
    EXPECT_EQ(nextStep(attempt_outcome::NotRun, gaveUp, true), retry_step::ReturnToSilent);
    EXPECT_EQ(nextStep(attempt_outcome::NotRun, gaveUp, false), retry_step::Fail);
    EXPECT_EQ(nextStep(attempt_outcome::Broken, gaveUp, true), retry_step::Fail);
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

namespace
{

/// VMs that retry as soon as their budgets allow; the limit must hold in every window.
class retrying_fleet
{
public:
    explicit retrying_fleet(instant startedAt)
        : m_budgets(vms)
    {
        startAnew(startedAt);
    }

    /// All VMs lose what they have counted.
    void startAnew(instant now)
    {
        for (shared_retry_budget &budget : m_budgets) {
            budget = shared_retry_budget();
            budget.setLimits({ratio, window, slack}, now);
            budget.setLiveVmCount(vms);
        }
    }

    /// Each VM gets a request, and wants \p retries of it.
    void step(instant now, int retries)
    {
        for (shared_retry_budget &budget : m_budgets) {
            budget.countRequest(now);
            m_requests.push_back(now);
            for (int count = 0; count < retries && budget.allows(now); ++count) {
                budget.countRetry(now);
                m_retries.push_back(now);
            }
        }
        for (std::deque<instant> *one : {&m_requests, &m_retries}) {
            std::erase_if(*one, [now](instant at) {
                return now - at > window;
            });
        }
    }

    std::size_t retriesInWindow() const
    {
        return m_retries.size();
    }
    double allowedInWindow() const
    {
        return ratio * static_cast<double>(m_requests.size()) + slack;
    }

private:
    static constexpr std::size_t vms = 9;
    static constexpr double ratio = 0.2;
    static constexpr double slack = 58;
    static constexpr milliseconds window{10000};

    std::vector<shared_retry_budget> m_budgets;
    std::deque<instant> m_requests;
    std::deque<instant> m_retries;
};

} // namespace

TEST(shared_retry_budget, allVmsTogetherStayWithinTheLimit)
{
    retrying_fleet fleet(start - seconds(60));
    for (int step = 0; step < 60 * 20; ++step) {
        fleet.step(start + milliseconds(50) * step, 1);
        ASSERT_LE(static_cast<double>(fleet.retriesInWindow()), fleet.allowedInWindow());
    }
    EXPECT_GT(fleet.retriesInWindow(), 100U);
}

/// Guards against VMs that spend their parts of the slack once more, since they have forgotten that they did.
TEST(shared_retry_budget, vmsThatStartAnewTogetherStayWithinTheLimit)
{
    for (int secondsToRestart = 0; secondsToRestart < 15; ++secondsToRestart) {
        retrying_fleet fleet(start - seconds(60));
        for (int second = 0; second < 40; ++second) {
            const instant now = start + seconds(second);
            if (second == secondsToRestart) {
                fleet.startAnew(now);
            }
            fleet.step(now, 100);
            ASSERT_LE(static_cast<double>(fleet.retriesInWindow()), fleet.allowedInWindow()) << secondsToRestart << " " << second;
        }
        EXPECT_GT(fleet.retriesInWindow(), 40U) << "the slack is used again after a window";
    }
}

} // namespace fuchsialoom
