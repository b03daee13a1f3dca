/// \file
/// Tests of the mark of passed-on requests, of the choice of a peer, and of words about targets that contradict each other.
#include "fuchsialoom/gateway/crash_evidence.h"
#include "fuchsialoom/gateway/passed_on.h"
#include "fuchsialoom/gateway/peer_choice.h"
#include "fuchsialoom/gateway/target_pool.h"

#include <gtest/gtest.h>

#include <map>
#include <string>

namespace fuchsialoom
{

static constexpr instant start{seconds(100)};

TEST(passed_on_test, aMarkIsReadAsItWasWrittenAndTakenOut)
{
    for (const std::optional<std::uint64_t> resumeAfter : {std::optional<std::uint64_t>(), std::optional<std::uint64_t>(17)}) {
        const passed_on_mark mark{milliseconds(120), 2, true, 41, resumeAfter};
        header_list headers;
        headers.add("Fuchsialoom-Passed-On", "forged");
        writeMark(headers, mark);
        EXPECT_EQ(takeMark(headers), mark);
        EXPECT_TRUE(headers.fields().empty());
    }
}

TEST(passed_on_test, aMalformedMarkIsNoneAndTakenOut)
{
    for (const char *text : {"", "x", "1 2", "1 2 3 4", "-1 2 0 4", "99999999999 1 0 1"}) {
        header_list headers;
        headers.add("Fuchsialoom-Passed-On", text);
        EXPECT_FALSE(takeMark(headers)) << text;
        EXPECT_TRUE(headers.fields().empty()) << text;
    }
}

static serving_peer peerOf(const char *vm, const char *domain)
{
    serving_peer peer;
    peer.vm = vm_id(vm);
    peer.domain = domain_id(domain);
    return peer;
}

static const std::vector<serving_peer> peers{peerOf("near", "a"), peerOf("far", "b"), peerOf("farther", "c")};

TEST(peer_choice_test, requestsAreSpreadOverThePeersOfAllDomains)
{
    peer_choice choice(domain_id("a"));
    std::map<vm_id, int> chosen;
    for (std::uint64_t draw = 1; draw <= 30; ++draw) {
        const std::optional<serving_peer> peer = choice.choose(start, peers, draw * 7919);
        ASSERT_TRUE(peer);
        chosen[peer->vm] += 1;
        choice.begin(peer->vm);
    }
    for (const serving_peer &one : peers) {
        EXPECT_GE(chosen[one.vm], 8) << one.vm.text();
    }
}

TEST(peer_choice_test, requestsAreSpreadByCapacity)
{
    std::vector<serving_peer> unequal = peers;
    unequal.back().capacity = 4000;
    peer_choice choice(domain_id("other"));
    std::map<vm_id, int> chosen;
    for (std::uint64_t draw = 1; draw <= 60; ++draw) {
        const std::optional<serving_peer> peer = choice.choose(start, unequal, draw * 7919);
        ASSERT_TRUE(peer);
        chosen[peer->vm] += 1;
        choice.begin(peer->vm);
    }
    EXPECT_NEAR(chosen[unequal.back().vm], 40, 4);
}

TEST(peer_choice_test, aPeerWithoutPathIsNotAsked)
{
    std::vector<serving_peer> cut = peers;
    cut[0].hasPath = false;
    cut[2].hasPath = false;
    const peer_choice choice(domain_id("a"));
    for (std::uint64_t draw = 1; draw <= 30; ++draw) {
        EXPECT_EQ(choice.choose(start, cut, draw * 7919), cut[1]);
    }
    cut[1].hasPath = false;
    EXPECT_FALSE(choice.choose(start, cut, 1));
}

TEST(peer_choice_test, aPeerThatDeclinedIsAskedAgainAfterAWhile)
{
    peer_choice choice(domain_id("a"));
    for (const serving_peer &one : peers) {
        choice.avoid(start, one.vm);
    }
    EXPECT_FALSE(choice.choose(start + milliseconds(500), peers, 1)) << "all of them declined a moment ago";
    EXPECT_TRUE(choice.choose(start + milliseconds(1500), peers, 1));
}

class contradicted_word : public testing::Test
{
protected:
    contradicted_word()
        : m_pool(domain_id("a"))
    {
        target_listing listing;
        listing.id = target_id("t");
        listing.service = service_id("s");
        listing.domain = domain_id("a");
        m_pool.list(start, listing);
    }
    target_choice choose(instant now)
    {
        target_query query;
        query.service = service_id("s");
        return m_pool.choose(now, query, 1);
    }

    target_pool m_pool;
};

TEST_F(contradicted_word, aTargetThatRefusedAnotherVmIsUsedOnceItIsReached)
{
    m_pool.addResidencyChange(start, {target_id("t"), {}, {}, false});
    EXPECT_FALSE(choose(start).target);
    EXPECT_FALSE(m_pool.isHeardDespiteWord(start + milliseconds(10), target_id("t"))) << "sent before it may have died";
    EXPECT_TRUE(m_pool.isHeardDespiteWord(start + milliseconds(60), target_id("t")));
    m_pool.addResidencyChange(start + milliseconds(60), {target_id("t"), {}, {}, true});
    EXPECT_TRUE(choose(start + milliseconds(60)).target);
}

TEST_F(contradicted_word, aTargetThatRefusesThisVmAloneIsOutOfReachHere)
{
    EXPECT_TRUE(m_pool.noteUnreachable(start, target_id("t")));
    EXPECT_EQ(choose(start).outOfReach, 0U) << "it may have died";
    m_pool.addResidencyChange(start, {target_id("t"), {}, {}, true});
    const target_choice choice = choose(start);
    EXPECT_FALSE(choice.target);
    EXPECT_EQ(choice.outOfReach, 1U);
}

TEST(crash_evidence_retraction, aTargetThatIsReachedAccusesNobody)
{
    const content_hash request(5);
    crash_evidence evidence(milliseconds(600000));
    for (const char *target : {"t1", "t2"}) {
        evidence.attemptBroke(start, request, target_id(target));
        evidence.targetDied(start, target_id(target));
    }
    const crash_news told = evidence.known(start);
    ASSERT_TRUE(evidence.heldUntil(request)) << "it was at two deaths";
    evidence.retract(start, target_id("t1"));
    EXPECT_FALSE(evidence.heldUntil(request));
    evidence.learn(start + milliseconds(500), told);
    EXPECT_FALSE(evidence.heldUntil(request)) << "the report is heard again";
    EXPECT_FALSE(evidence.isKnownDead(target_id("t1")));
    EXPECT_TRUE(evidence.isKnownDead(target_id("t2")));
}

} // namespace fuchsialoom
