/// \file
/// Parts of prompts that crash targets, in requests no two of which are alike: which parts are held back and quarantined, and which
/// are not although they were at the same deaths.
#include "containment_play.h"

#include "fuchsialoom/gateway/sound_parts.h"

#include <gtest/gtest.h>

#include <cstdio>

namespace fuchsialoom
{

namespace
{

constexpr milliseconds quarantineLength{600000};
constexpr std::size_t targetsOfService = 18;
constexpr milliseconds settled{500};
const content_hash bad{7};
const content_hash shared{8}; ///< by all requests
const content_hash middle{9};
const content_hash otherMiddle{10};

/// Two VMs that hear of each other at once, and a clock.
class crash_parts : public testing::Test
{
protected:
    /// A request like no other with \p parts in its prompt.
    crash_subjects requestWith(std::vector<content_hash> parts)
    {
        return {content_hash(1000 + ++m_requests), std::move(parts)};
    }
    target_id nextTarget()
    {
        return target_id("e" + std::to_string(++m_targets));
    }
    void tell(std::size_t from, const crash_news &news)
    {
        crash_evidence &other = m_vms[1 - from];
        other.learn(m_now, news);
        const crash_news excuses = other.takeExcuses();
        m_vms[from].learn(m_now, excuses);
    }
    void die(std::size_t vm, const crash_subjects &request)
    {
        const target_id target = nextTarget();
        m_vms[vm].attemptBroke(m_now, request, target);
        tell(vm, m_vms[vm].targetDied(m_now, target));
    }
    void dieUnderTrial(std::size_t vm, const crash_subjects &request)
    {
        const target_id target = nextTarget();
        tell(vm, m_vms[vm].trialBroke(m_now, request, target));
        m_vms[vm].attemptBroke(m_now, request, target);
        tell(vm, m_vms[vm].targetDied(m_now, target));
    }
    void run(std::size_t vm, const crash_subjects &request)
    {
        tell(vm, m_vms[vm].partsRan(m_now, request.parts));
    }
    void pass(milliseconds time)
    {
        m_now += time;
        for (std::size_t vm = 0; vm < m_vms.size(); ++vm) {
            crash_news news;
            for (const quarantine_verdict &verdict : m_vms[vm].weigh(m_now, targetsOfService)) {
                if (verdict.isOwn) {
                    news.quarantines.push_back({verdict.fingerprint, std::chrono::ceil<milliseconds>(verdict.until - m_now)});
                }
            }
            tell(vm, news);
        }
    }
    bool isHeld(const crash_subjects &request) const
    {
        return std::ranges::any_of(m_vms, [&](const crash_evidence &vm) {
            return vm.heldUntil(request).has_value();
        });
    }
    bool isHeldEverywhere(const crash_subjects &request) const
    {
        return std::ranges::all_of(m_vms, [&](const crash_evidence &vm) {
            return vm.heldUntil(request).has_value();
        });
    }
    bool isRefused(const crash_subjects &request) const
    {
        return std::ranges::any_of(m_vms, [&](const crash_evidence &vm) {
            return vm.quarantineOf(m_now, request).has_value();
        });
    }
    bool isRefusedEverywhere(const crash_subjects &request) const
    {
        return std::ranges::all_of(m_vms, [&](const crash_evidence &vm) {
            return vm.quarantineOf(m_now, request).has_value();
        });
    }

    instant m_now = playStart;
    std::vector<crash_evidence> m_vms{crash_evidence(quarantineLength), crash_evidence(quarantineLength)};
    std::uint64_t m_requests = 0;
    int m_targets = 0;
};

} // namespace

TEST_F(crash_parts, aPartOfTwoRequestsThatDiedIsHeldAndAfterOneTrialRefused)
{
    die(0, requestWith({shared, bad}));
    EXPECT_FALSE(isHeld(requestWith({bad})));
    die(1, requestWith({middle, bad}));
    EXPECT_TRUE(isHeldEverywhere(requestWith({otherMiddle, bad})));
    EXPECT_FALSE(isHeld(requestWith({shared, middle}))) << "each of these was at one death";
    pass(seconds(2));
    EXPECT_FALSE(isRefused(requestWith({bad}))) << "by trial only";
    dieUnderTrial(1, requestWith({otherMiddle, bad}));
    pass(settled);
    EXPECT_TRUE(isRefusedEverywhere(requestWith({shared, bad})));
    EXPECT_FALSE(isRefused(requestWith({shared, middle, otherMiddle})));
}

TEST_F(crash_parts, aTrialOfTwoSuspectsConvictsNeither)
{
    die(0, requestWith({middle, bad}));
    die(1, requestWith({middle, otherMiddle}));
    die(0, requestWith({shared, bad}));
    pass(seconds(2));
    dieUnderTrial(1, requestWith({middle, bad}));
    pass(settled);
    EXPECT_FALSE(isRefused(requestWith({middle, bad})));
    EXPECT_GT(m_vms[0].heldUntil(requestWith({middle, bad})), m_now + seconds(5));
    EXPECT_LE(m_vms[0].heldUntil(requestWith({bad})), m_now + seconds(1)) << "it may be tried alone";
    pass(seconds(1));
    dieUnderTrial(0, requestWith({bad}));
    pass(settled);
    EXPECT_TRUE(isRefusedEverywhere(requestWith({bad})));
    EXPECT_FALSE(isRefused(requestWith({middle})));
}

TEST_F(crash_parts, aPartThatRunsAtOtherVmsIsNeverHeld)
{
    run(1, requestWith({shared}));
    for (int death = 0; death < 6; ++death) {
        die(0, requestWith({shared, bad}));
        EXPECT_FALSE(isHeld(requestWith({shared}))) << death;
        pass(seconds(1));
        run(1, requestWith({shared}));
    }
    EXPECT_TRUE(isHeldEverywhere(requestWith({shared, bad})));
}

TEST_F(crash_parts, oneRunAcquitsAtEveryVm)
{
    die(0, requestWith({shared, bad}));
    die(1, requestWith({shared, bad}));
    EXPECT_TRUE(isHeldEverywhere(requestWith({shared})));
    run(0, requestWith({shared}));
    EXPECT_FALSE(isHeld(requestWith({shared})));
    EXPECT_TRUE(isHeldEverywhere(requestWith({bad})));
}

TEST_F(crash_parts, aPartThatBeginsToCrashTargetsAfterManyRunsIsHeldByTheFifthDeath)
{
    for (int before = 0; before < 50; ++before) {
        run(0, requestWith({bad}));
        run(1, requestWith({bad}));
        pass(milliseconds(100));
    }
    for (std::size_t death = 0; death < 5; ++death) {
        die(death % 2, requestWith({shared, bad}));
        pass(seconds(1));
    }
    EXPECT_TRUE(isHeldEverywhere(requestWith({bad})));
}

TEST_F(crash_parts, aWholeServiceThatGoesDownAtOnceHoldsNoPartThatRanBefore)
{
    run(0, requestWith({shared}));
    run(1, requestWith({shared}));
    for (std::size_t death = 0; death < 8; ++death) {
        die(death % 2, requestWith({shared}));
    }
    EXPECT_FALSE(isHeld(requestWith({shared})));
}

TEST_F(crash_parts, ofTwoPartsThatWereAlwaysTogetherTheOneThatRunsAloneIsServed)
{
    die(0, requestWith({middle, bad}));
    die(1, requestWith({middle, bad}));
    pass(seconds(2));
    dieUnderTrial(0, requestWith({middle, bad}));
    pass(settled);
    EXPECT_FALSE(isRefused(requestWith({middle, bad}))) << "nothing tells them apart";
    EXPECT_GT(m_vms[0].heldUntil(requestWith({middle, bad})), m_now + seconds(5));
    EXPECT_LE(m_vms[0].heldUntil(requestWith({middle})), m_now + seconds(1)) << "a request without the other one tells them apart";
    pass(seconds(1));
    run(1, requestWith({middle}));
    pass(settled);
    EXPECT_TRUE(isRefusedEverywhere(requestWith({bad})));
    EXPECT_FALSE(isHeld(requestWith({middle})));
    EXPECT_FALSE(isRefused(requestWith({middle})));
}

TEST_F(crash_parts, oneRequestThatComesAgainAndAgainQuarantinesNoPart)
{
    const crash_subjects request = requestWith({shared, middle});
    die(0, request);
    die(1, request);
    pass(seconds(2));
    dieUnderTrial(0, request);
    pass(settled);
    EXPECT_TRUE(isRefusedEverywhere(request));
    EXPECT_FALSE(isRefused(requestWith({shared, middle})));
    EXPECT_FALSE(isRefused(requestWith({middle})));
}

TEST_F(crash_parts, aVmThatStartsAnewHoldsWhatTheOthersHold)
{
    run(0, requestWith({shared}));
    die(0, requestWith({shared, bad}));
    die(1, requestWith({shared, bad}));
    m_vms[1] = crash_evidence(quarantineLength);
    m_vms[1].learn(m_now, m_vms[0].known(m_now));
    EXPECT_TRUE(m_vms[1].heldUntil(requestWith({bad})));
    EXPECT_FALSE(m_vms[1].heldUntil(requestWith({shared})));
}

/// The parts of an old report take the room of the report itself.
TEST_F(crash_parts, anOldReportIsLearnedByAVmThatHasNoRoom)
{
    crash_evidence &full = m_vms[0];
    for (std::uint64_t made = 0; made < 5000; ++made) {
        full.learn(m_now, {.reports = {{content_hash(100000 + made), nextTarget()}}});
    }
    crash_report old{content_hash(99), nextTarget(), false, milliseconds(300000)};
    old.parts = {shared, middle, bad};
    full.learn(m_now, {.reports = {old}});
    EXPECT_LE(full.reportCount(), 4096U);
    EXPECT_FALSE(full.heldUntil(requestWith({bad})));
}

TEST(sound_parts, areBoundedAndForgotten)
{
    sound_parts parts;
    instant now = playStart;
    parts.noteRun(now, shared);
    EXPECT_TRUE(parts.excusesDeath(now, shared));
    EXPECT_FALSE(parts.excusesDeath(now, bad));
    for (std::uint64_t made = 0; made < 100000; ++made) {
        parts.noteRun(now, content_hash(1000 + made));
    }
    EXPECT_FALSE(parts.excusesDeath(now, shared)) << "made room for others";
    parts.noteRun(now, shared);
    now += seconds(30);
    EXPECT_FALSE(parts.excusesDeath(now, shared));
}

class crash_parts_play : public testing::TestWithParam<std::uint64_t>
{
protected:
    containment_result play(containment_load load)
    {
        const containment_result result = containment_play(GetParam(), load).play();
        std::printf("bad parts %d, waves each %lld ms: late sends %zu, ends %zu; of %zu innocents %zu times suspected, %zu quarantined\n",
                    load.badParts,
                    static_cast<long long>(load.waveInterval.count()),
                    result.mostLateSends,
                    result.mostEnds,
                    result.innocents,
                    result.suspected,
                    result.quarantined);
        return result;
    }
};

INSTANTIATE_TEST_SUITE_P(seeds, crash_parts_play, testing::Range<std::uint64_t>(1, 31));

TEST_P(crash_parts_play, oneOrTwoGetThreeMoreSendsEachAtMostAndInnocentsAreServed)
{
    for (const int badParts : {1, 2}) {
        for (const milliseconds waves : {milliseconds(0), milliseconds(2000)}) {
            const containment_result result = play({.waveInterval = waves, .badParts = badParts, .sharedParts = 4});
            EXPECT_LE(result.mostLateSends, maxSendsAfterwards) << badParts;
            EXPECT_EQ(result.quarantined, 0U) << badParts;
            EXPECT_LE(result.suspected * 2, result.innocents) << badParts;
        }
    }
}

TEST_P(crash_parts_play, besideACrashingRequestGetThreeMoreSendsAtMost)
{
    const containment_result result = play({.crashers = 1, .badParts = 1, .sharedParts = 4});
    EXPECT_LE(result.mostLateSends, maxSendsAfterwards);
    EXPECT_EQ(result.quarantined, 0U);
}

TEST_P(crash_parts_play, noPartIsQuarantinedInWavesWithoutACrashingOne)
{
    for (const milliseconds waves : {milliseconds(700), milliseconds(2000)}) {
        const containment_result result = play({.waveInterval = waves, .sharedParts = 40});
        EXPECT_EQ(result.quarantined, 0U);
        EXPECT_LE(static_cast<double>(result.suspected), 0.05 * static_cast<double>(result.innocents));
    }
}

} // namespace fuchsialoom
