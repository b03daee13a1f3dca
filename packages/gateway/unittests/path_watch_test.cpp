/// \file
/// Tests of the decision whether a VM or a target is out of reach.
#include "fuchsialoom/gateway/path_watch.h"

#include <gtest/gtest.h>

#include <map>
#include <string>

namespace fuchsialoom
{

namespace
{

std::vector<target_id> targets(int count)
{
    std::vector<target_id> ids;
    ids.reserve(static_cast<std::size_t>(count));
    for (int number = 0; number < count; ++number) {
        ids.emplace_back("t" + std::to_string(number));
    }
    return ids;
}

class path_watch_test : public testing::Test
{
protected:
    path_change connect(int target, connect_result result)
    {
        return m_paths.onConnect(m_now, targets(target + 1).back(), result);
    }
    /// Ends all probes that are due with \p result. \return what the last one decided.
    path_change probeAll(connect_result result)
    {
        path_change change = path_change::None;
        for (const target_id &one : m_paths.takeProbes(m_now, targets(9))) {
            const path_change decided = m_paths.onConnect(m_now, one, result);
            change = decided == path_change::None ? change : decided;
        }
        return change;
    }
    void lose()
    {
        connect(0, connect_result::NoAnswer);
        ASSERT_EQ(probeAll(connect_result::NoAnswer), path_change::Lost);
    }

    path_watch m_paths;
    instant m_now{seconds(100)};
};

} // namespace

TEST_F(path_watch_test, aRefusalIsTheTargetsOwnOnceAnotherTargetConnects)
{
    EXPECT_EQ(connect(0, connect_result::Refused), path_change::None);
    EXPECT_TRUE(m_paths.takeProbes(m_now, targets(9)).size() > 1);
    EXPECT_EQ(connect(1, connect_result::Connected), path_change::Confirmed);
    EXPECT_EQ(m_paths.takeSuspects(), std::set<target_id>{target_id("t0")});
    EXPECT_FALSE(m_paths.isLost());
}

TEST_F(path_watch_test, thePathIsLostWhenAllProbesFail)
{
    for (const connect_result result : {connect_result::Refused, connect_result::NoAnswer}) {
        m_paths = path_watch();
        connect(0, result);
        EXPECT_EQ(probeAll(result), path_change::Lost) << nameOf(result);
        EXPECT_TRUE(m_paths.isLost());
        EXPECT_TRUE(m_paths.takeSuspects().empty()) << "no target is to blame";
    }
}

TEST_F(path_watch_test, aProbeThatIsRefusedIsASuspectToo)
{
    connect(0, connect_result::Refused);
    const std::vector<target_id> probes = m_paths.takeProbes(m_now, targets(9));
    m_paths.onConnect(m_now, probes.at(0), connect_result::Refused);
    EXPECT_EQ(m_paths.onConnect(m_now, probes.at(1), connect_result::Connected), path_change::Confirmed);
    EXPECT_EQ(m_paths.takeSuspects().size(), 2U);
    EXPECT_EQ(m_paths.onConnect(m_now, probes.at(2), connect_result::Refused), path_change::Confirmed) << "a late result counts as well";
    EXPECT_EQ(m_paths.takeSuspects(), std::set<target_id>{probes.at(2)});
}

TEST_F(path_watch_test, anUnansweredConnectionIsTheTargetsOwnWhileOthersAreHeard)
{
    m_paths.onHeard(m_now);
    EXPECT_EQ(connect(0, connect_result::NoAnswer), path_change::Confirmed);
    EXPECT_TRUE(m_paths.takeProbes(m_now, targets(9)).empty());
}

TEST_F(path_watch_test, bytesOnOpenConnectionsDontProveThatNewOnesAreAccepted)
{
    m_paths.onHeard(m_now);
    EXPECT_EQ(connect(0, connect_result::Refused), path_change::None);
    EXPECT_EQ(probeAll(connect_result::Refused), path_change::Lost);
}

TEST_F(path_watch_test, silenceOfAllTargetsIsCheckedByProbes)
{
    m_paths.onQuiet();
    EXPECT_EQ(probeAll(connect_result::Connected), path_change::None);
    EXPECT_FALSE(m_paths.isLost());
    m_paths.onQuiet();
    EXPECT_EQ(probeAll(connect_result::NoAnswer), path_change::Lost);
}

TEST_F(path_watch_test, aSingleTargetThatRefusesHasEnded)
{
    connect(0, connect_result::Refused);
    EXPECT_TRUE(m_paths.takeProbes(m_now, targets(1)).empty());
    EXPECT_EQ(m_paths.decideWithoutProbes(), path_change::Confirmed);
    EXPECT_FALSE(m_paths.isLost());
}

TEST_F(path_watch_test, aLostPathIsProbedSparselyAndRegainedByTwoConnections)
{
    lose();
    EXPECT_EQ(probeAll(connect_result::NoAnswer), path_change::None);
    int probes = 0;
    for (int step = 0; step < 100; ++step, m_now += milliseconds(10)) {
        const std::vector<target_id> due = m_paths.takeProbes(m_now, targets(9));
        EXPECT_LE(due.size(), 1U);
        probes += static_cast<int>(due.size());
    }
    EXPECT_LE(probes, 4) << "in one second";
    EXPECT_EQ(connect(1, connect_result::Connected), path_change::None);
    EXPECT_EQ(connect(2, connect_result::Refused), path_change::None);
    EXPECT_EQ(connect(1, connect_result::Connected), path_change::None) << "the row was broken";
    EXPECT_EQ(connect(3, connect_result::Connected), path_change::Regained);
    EXPECT_FALSE(m_paths.isLost());
}

} // namespace fuchsialoom
