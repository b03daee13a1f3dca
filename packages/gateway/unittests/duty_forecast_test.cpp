/// \file
/// When orders are expected, by what was heard of the duty.
#include "fuchsialoom/gateway/duty_forecast.h"

#include <gtest/gtest.h>

namespace fuchsialoom
{

static constexpr instant start = instant(std::chrono::seconds(1000));

TEST(duty_forecast, aHolderThatIsHeardOrdersAfterItsWait)
{
    duty_forecast sight;
    sight.noteHolder(start, milliseconds(0));
    EXPECT_EQ(sight.timeToOrders(start + milliseconds(500), {}), milliseconds(0));
    sight.noteHolder(start, milliseconds(3000));
    EXPECT_EQ(sight.timeToOrders(start + milliseconds(500), {}), milliseconds(2500));
}

TEST(duty_forecast, aSilentHolderIsSucceededInSixSeconds)
{
    duty_forecast sight;
    sight.noteHolder(start, milliseconds(0));
    EXPECT_EQ(sight.timeToOrders(start + milliseconds(1000), {}), milliseconds(5200));
    EXPECT_EQ(sight.timeToOrders(start + seconds(30), {}), milliseconds(1500));
}

/// A VM that has just started takes the duty within a second or two where nobody holds it.
TEST(duty_forecast, estimateIsZeroBeforeAnyHolderWasHeard)
{
    EXPECT_EQ(duty_forecast().timeToOrders(start, {}), milliseconds(0));
}

TEST(duty_forecast, anOwnTermTakesPrecedence)
{
    duty_forecast sight;
    EXPECT_EQ(sight.timeToOrders(start, start + milliseconds(700)), milliseconds(700));
    EXPECT_EQ(sight.timeToOrders(start, start - seconds(5)), milliseconds(0));
}

} // namespace fuchsialoom
