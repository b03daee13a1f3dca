/// \file
/// Tests of the decisions about silent targets.
#include "fuchsialoom/gateway/silence_rules.h"

#include <gtest/gtest.h>

namespace fuchsialoom
{

namespace
{

attempt_history historyOf(std::uint32_t attempts)
{
    attempt_history history;
    history.repeatable = true;
    history.attempts = attempts;
    return history;
}

constexpr takeover_facts favourable{.budgetAllows = true, .isSuspected = false, .endsInTime = true};

} // namespace

TEST(silence_rules, aRequestThatMayRunAgainIsTakenOver)
{
    EXPECT_EQ(judgeTakeover(historyOf(2), favourable), takeover_verdict::Possible);
}

TEST(silence_rules, eachReasonAgainstATakeoverIsNamed)
{
    attempt_history once = historyOf(2);
    once.repeatable = false;
    EXPECT_EQ(judgeTakeover(once, favourable), takeover_verdict::NotRepeatable);
    EXPECT_EQ(judgeTakeover(historyOf(1), favourable), takeover_verdict::NoAttemptsLeft);
    attempt_history unreachable = historyOf(2);
    unreachable.connectFailures = maxConnectFailures;
    EXPECT_EQ(judgeTakeover(unreachable, favourable), takeover_verdict::NoAttemptsLeft);
    EXPECT_EQ(judgeTakeover(historyOf(2), {.budgetAllows = true, .isSuspected = true}), takeover_verdict::Suspected);
    EXPECT_EQ(judgeTakeover(historyOf(2), {.budgetAllows = true, .endsInTime = false}), takeover_verdict::TooLate);
    EXPECT_EQ(judgeTakeover(historyOf(2), {.budgetAllows = false}), takeover_verdict::NoBudget);
}

} // namespace fuchsialoom
