/// \file
/// Tests the estimate of the next orders from reports of the holder.
#include "fuchsialoom/gateway/duty_forecast.h"

#include <gtest/gtest.h>

namespace fuchsialoom
{

static constexpr instant start = instant(std::chrono::seconds(1000));

TEST(duty_forecast, aHolderThatIsHeardOrdersAfterItsWait)
{
    duty_forecast forecast;
    forecast.noteHolder(start, milliseconds(0));
    EXPECT_EQ(forecast.timeToOrders(start + milliseconds(500), {}), milliseconds(0));
    forecast.noteHolder(start, milliseconds(3000));
    EXPECT_EQ(forecast.timeToOrders(start + milliseconds(500), {}), milliseconds(2500));
}

TEST(duty_forecast, aSilentHolderIsSucceededInSixSeconds)
{
    duty_forecast forecast;
    forecast.noteHolder(start, milliseconds(0));
    EXPECT_EQ(forecast.timeToOrders(start + milliseconds(1000), {}), milliseconds(5200));
    EXPECT_EQ(forecast.timeToOrders(start + seconds(30), {}), milliseconds(1500));
}

/// Where nobody holds the duty, a VM that has just started claims it within a second or two.
TEST(duty_forecast, estimateIsZeroBeforeAnyHolderWasHeard)
{
    EXPECT_EQ(duty_forecast().timeToOrders(start, {}), milliseconds(0));
}

TEST(duty_forecast, anOwnTermTakesPrecedence)
{
    duty_forecast forecast;
    EXPECT_EQ(forecast.timeToOrders(start, start + milliseconds(700)), milliseconds(700));
    EXPECT_EQ(forecast.timeToOrders(start, start - seconds(5)), milliseconds(0));
}

} // namespace fuchsialoom
