/// \file
/// Which share of new connections a VM takes by how late its timers run.
#include "fuchsialoom/gateway/accept_throttle.h"

#include <gtest/gtest.h>

namespace fuchsialoom
{

namespace
{

constexpr milliseconds interval{25};

class accept_throttle_test : public testing::Test
{
protected:
    /// Timers run \p late behind for \p length.
    void pass(milliseconds length, milliseconds late)
    {
        const instant end = m_now + length;
        while (m_now < end) {
            const instant due = m_now + interval;
            m_now = due + late;
            m_throttle.onTick(due, m_now);
        }
    }
    double takenOf(int connections)
    {
        int taken = 0;
        for (int made = 0; made < connections; ++made) {
            taken += m_throttle.admits() ? 1 : 0;
        }
        return static_cast<double>(taken) / connections;
    }

    accept_throttle m_throttle{1};
    instant m_now{seconds(100)};
};

} // namespace

TEST_F(accept_throttle_test, takesAllWhileTimersRunInTime)
{
    pass(seconds(10), milliseconds(3));
    EXPECT_FALSE(m_throttle.isShedding());
    EXPECT_EQ(takenOf(1000), 1);
}

TEST_F(accept_throttle_test, aLoopThatIsBehindForTwoSecondsTakesAFewOnly)
{
    pass(seconds(2), milliseconds(80));
    EXPECT_TRUE(m_throttle.isShedding());
    const double taken = takenOf(10000);
    EXPECT_LT(taken, 0.2);
    EXPECT_GT(taken, 0) << "else it wouldn't notice when it has room";
}

TEST_F(accept_throttle_test, takesAllAgainOnceItHasRoom)
{
    pass(seconds(5), milliseconds(80));
    pass(seconds(4), milliseconds(1));
    EXPECT_FALSE(m_throttle.isShedding());
}

TEST_F(accept_throttle_test, oneLongPauseTurnsNobodyAway)
{
    pass(seconds(1), milliseconds(1));
    pass(milliseconds(100), seconds(4));
    pass(milliseconds(100), milliseconds(80));
    EXPECT_FALSE(m_throttle.isShedding());
}

TEST_F(accept_throttle_test, takesMoreAndMoreAfterwards)
{
    pass(seconds(5), milliseconds(80));
    const double least = m_throttle.share();
    pass(milliseconds(600), milliseconds(1));
    EXPECT_GT(m_throttle.share(), least);
    EXPECT_LT(m_throttle.share(), 0.5) << "not all at once";
}

} // namespace fuchsialoom
