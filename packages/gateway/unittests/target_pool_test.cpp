/// \file
/// Tests the choice of a target by the models it holds, the requests in flight there, and its failures.
#include "fuchsialoom/gateway/target_pool.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>

namespace fuchsialoom
{

static constexpr instant start = instant(std::chrono::seconds(1000));
static const service_id service("s");

static target_listing engineAt(const std::string &id, const std::string &domain, std::vector<held_model> models)
{
    target_listing made;
    made.id = target_id(id);
    made.service = service;
    made.domain = domain_id(domain);
    made.slots = 4;
    made.isEngine = true;
    made.models = std::move(models);
    return made;
}

class target_pool_test : public testing::Test
{
protected:
    target_pool_test()
    {
        m_pool.list(start, engineAt("near", "here", {{model_id("m"), {adapter_id("a1")}}}));
        m_pool.list(start, engineAt("far", "there", {{model_id("m"), {}}, {model_id("n"), {}}}));
    }

    std::string choose(const std::string &model, const std::string &adapter = "", const std::set<target_id> *tried = nullptr)
    {
        const target_choice choice = m_pool.choose(m_now, {service, model_id(model), adapter_id(adapter), 0, tried}, ++m_draw);
        m_verdict = choice.verdict;
        return choice.target ? choice.target->listed.id.text() : "";
    }

    instant m_now = start;
    std::uint64_t m_draw = 0;
    pool_verdict m_verdict = pool_verdict::Chosen;
    target_pool m_pool{domain_id("here")};
};

TEST_F(target_pool_test, choosesOnlyTargetsWithModelAndAdapter)
{
    EXPECT_EQ(choose("n"), "far");
    EXPECT_EQ(choose("m", "a1"), "near");
    EXPECT_EQ(choose("m", "a2"), "");
    EXPECT_EQ(m_verdict, pool_verdict::NotResident);
    EXPECT_EQ(choose("x"), "");
    EXPECT_EQ(m_verdict, pool_verdict::NotResident);
}

TEST_F(target_pool_test, peersRequestsUseSlotsToo)
{
    m_pool.setPeerInFlight(m_now, vm_id("peer"), {{target_id("near"), {4, 0}}});
    EXPECT_EQ(choose("m"), "far");
    m_pool.setPeerInFlight(m_now, vm_id("other"), {{target_id("far"), {3, 0}}});
    m_pool.begin(target_id("far"), 0);
    EXPECT_EQ(choose("m"), "");
    EXPECT_EQ(m_verdict, pool_verdict::NoRoom);
    EXPECT_FALSE(m_pool.hasRoom(service, model_id("m")));
    m_now += seconds(3);
    m_pool.expirePeers(m_now);
    EXPECT_NE(choose("m"), "");
}

TEST_F(target_pool_test, aTargetThatLeavesGetsNothing)
{
    target_listing leaving = engineAt("near", "here", {{model_id("m"), {}}});
    leaving.leaving = true;
    m_pool.list(m_now, leaving);
    for (int draw = 0; draw < 20; ++draw) {
        EXPECT_EQ(choose("m"), "far");
    }
    m_pool.unlist(target_id("far"));
    EXPECT_EQ(choose("m"), "");
    EXPECT_EQ(m_verdict, pool_verdict::NoTarget);
}

TEST_F(target_pool_test, excludesTriedTargets)
{
    const std::set<target_id> tried{target_id("near")};
    EXPECT_EQ(choose("m", "", &tried), "far");
    const std::set<target_id> both{target_id("near"), target_id("far")};
    EXPECT_EQ(choose("m", "", &both), "");
}

TEST_F(target_pool_test, failuresDriveRequestsAwayAndAreForgotten)
{
    for (int failure = 0; failure < 6; ++failure) {
        m_pool.failed(m_now, target_id("near"));
    }
    int near = 0;
    for (int draw = 0; draw < 50; ++draw) {
        near += choose("m") == "near" ? 1 : 0;
    }
    EXPECT_EQ(near, 0);
    m_now += seconds(15);
    for (int draw = 0; draw < 50; ++draw) {
        near += choose("m") == "near" ? 1 : 0;
    }
    EXPECT_GT(near, 25);
}

TEST_F(target_pool_test, anAvoidedTargetIsTakenWhenNoOtherIsLeft)
{
    m_pool.avoid(m_now, target_id("near"), seconds(1));
    EXPECT_EQ(choose("m"), "far");
    m_pool.unlist(target_id("far"));
    EXPECT_EQ(choose("m"), "near");
}

TEST_F(target_pool_test, residencyChangeOverridesAnOlderEntry)
{
    m_pool.addResidencyChange(m_now, {target_id("near"), model_id("k"), {}, true});
    EXPECT_EQ(choose("k"), "near");
    // The engine wrote this entry before the load completed.
    m_pool.list(m_now, engineAt("near", "here", {{model_id("m"), {}}}));
    EXPECT_EQ(choose("k"), "near");
    m_now += seconds(4);
    m_pool.list(m_now, engineAt("near", "here", {{model_id("m"), {}}}));
    EXPECT_EQ(choose("k"), "");
}

TEST_F(target_pool_test, aModelThatTheTargetReportsAbsentIsNotUsed)
{
    m_pool.noteAbsent(m_now, target_id("far"), model_id("n"), {});
    EXPECT_EQ(choose("n"), "");
}

TEST_F(target_pool_test, equalTargetsShareTheRequests)
{
    std::map<std::string, int> counts;
    for (int draw = 0; draw < 400; ++draw) {
        counts[choose("m")] += 1;
    }
    EXPECT_GT(counts["near"], counts["far"]);
    EXPECT_GT(counts["far"], 20);
}

/// Engines that start together are listed over 2.5 s, at most 1.2 s apart (observed).
TEST_F(target_pool_test, aListingIsSettledOnceNothingNewComes)
{
    m_pool.list(start + milliseconds(1200), engineAt("second", "here", {}));
    m_pool.list(start + milliseconds(2500), engineAt("third", "here", {}));
    EXPECT_FALSE(m_pool.isSettled(start + milliseconds(4600)));
    EXPECT_TRUE(m_pool.isSettled(start + milliseconds(4700)));
    m_pool.list(start + seconds(9), engineAt("late", "here", {}));
    EXPECT_TRUE(m_pool.isSettled(start + seconds(9)));
    EXPECT_FALSE(target_pool(domain_id("here")).isSettled(start + seconds(9)));
}

/// With 60 VMs and calls of 15 ms, a peer reports a send at once but its end up to a second later. Guards against counting
/// the call for longer than it can last, which keeps requests from an idle target.
TEST(target_pool_flights, aPeersCountOfAShortCallExpires)
{
    const instant start(std::chrono::seconds(1000));
    target_pool pool(domain_id("d"));
    target_listing plain;
    plain.id = target_id("p1");
    plain.service = service_id("calls");
    plain.slots = 6;
    pool.list(start, plain);
    const target_query query{service_id("calls"), {}, {}, 0, nullptr};
    pool.setPeerInFlight(start, vm_id("b"), {{target_id("p1"), {6, 0}}});
    EXPECT_EQ(pool.choose(start + milliseconds(500), query, 1).verdict, pool_verdict::NoRoom) << "run time isn't known yet";
    for (int run = 0; run < 20; ++run) {
        pool.noteRun(service_id("calls"), milliseconds(15));
    }
    pool.updatePeerInFlight(start + milliseconds(500), vm_id("b"), {{target_id("p1"), {6, 0}}});
    EXPECT_EQ(pool.choose(start + milliseconds(510), query, 1).verdict, pool_verdict::NoRoom);
    EXPECT_EQ(pool.choose(start + milliseconds(560), query, 1).verdict, pool_verdict::Chosen);
}

/// Streams at engines last for seconds, so a peer's count stays valid until the peer changes it.
TEST(target_pool_flights, aPeersCountOfStreamsDoesNotExpire)
{
    const instant start(std::chrono::seconds(1000));
    target_pool pool(domain_id("d"));
    target_listing engine;
    engine.id = target_id("e1");
    engine.service = service_id("models");
    engine.slots = 6;
    engine.isEngine = true;
    engine.models = {{model_id("m1"), {}}};
    pool.list(start, engine);
    pool.noteRun(service_id("models"), milliseconds(15));
    pool.setPeerInFlight(start, vm_id("b"), {{target_id("e1"), {6, 0}}});
    EXPECT_EQ(pool.choose(start + milliseconds(900), {service_id("models"), model_id("m1"), {}, 0, nullptr}, 1).verdict,
              pool_verdict::NoRoom);
}

/// For digests, notes, silence, and targets listed and unlisted in any order, the sum is that of the latest counts.
RC_GTEST_PROP(target_pool_flights, sumsTheLatestCounts, ())
{
    std::mt19937 random(*rc::gen::inRange(1U, 1000000U));
    const instant start(std::chrono::seconds(1000));
    target_pool pool(domain_id("d"));
    std::map<vm_id, in_flight_counts> latestCounts;
    const auto targetAt = [](unsigned number) {
        return target_id("e" + std::to_string(number));
    };
    instant now = start;
    for (int step = 0; step < 300; ++step) {
        now += milliseconds(random() % 20);
        const vm_id vm("vm" + std::to_string(random() % 4));
        in_flight_counts counts;
        for (unsigned number = 0; number < random() % 4; ++number) {
            counts[targetAt(random() % 5)] = {static_cast<std::uint32_t>(random() % 3), static_cast<std::uint32_t>(random() % 900)};
        }
        switch (random() % 8) {
        case 0:
            pool.unlist(targetAt(random() % 5));
            break;
        case 1: {
            target_listing listed;
            listed.id = targetAt(random() % 5);
            pool.list(now, listed);
            break;
        }
        case 2:
            pool.setPeerInFlight(now, vm, counts);
            latestCounts[vm] = counts;
            break;
        case 3:
            now += seconds(3);
            pool.expirePeers(now);
            latestCounts.clear();
            break;
        default:
            pool.updatePeerInFlight(now, vm, counts);
            for (const auto &[id, count] : counts) {
                latestCounts[vm][id] = count;
            }
            break;
        }
        for (const auto &[id, target] : pool.targets()) {
            target_in_flight sum;
            for (const auto &[peer, reported] : latestCounts) {
                const auto of = reported.find(id);
                sum += of == reported.end() ? target_in_flight() : of->second;
            }
            RC_ASSERT(target.peers == sum);
        }
    }
}

/// A repeated entry isn't listed again, so the listed models must be restored when a residency change expires.
TEST(target_pool_residency_change, expiredChangeRestoresTheListing)
{
    constexpr instant start = instant(std::chrono::seconds(1000));
    target_pool pool{domain_id("a")};
    target_listing engine;
    engine.id = target_id("e1");
    engine.service = service_id("s");
    engine.isEngine = true;
    engine.models = {{model_id("m1"), {}}};
    pool.list(start, engine);
    pool.noteAbsent(start, engine.id, model_id("m1"), {});
    pool.addResidencyChange(start + milliseconds(1000), {engine.id, model_id("m2"), {}, true});
    EXPECT_FALSE(pool.find(engine.id)->holds(model_id("m1"), {}));
    EXPECT_FALSE(pool.expireResidencyChanges(start + milliseconds(500)));
    EXPECT_TRUE(pool.expireResidencyChanges(start + milliseconds(3500)));
    EXPECT_TRUE(pool.find(engine.id)->holds(model_id("m1"), {}));
    EXPECT_TRUE(pool.find(engine.id)->holds(model_id("m2"), {})) << "this change hasn't expired yet";
}

/// A crashed engine has nothing in flight. Guards against its being every VM's first choice until its entry expires.
TEST_F(target_pool_test, aTargetWhoseHostRefusesIsNotChosenUntilItHadTimeToRestart)
{
    EXPECT_EQ(choose("n"), "far");
    m_pool.addResidencyChange(m_now, {target_id("far"), {}, {}, false});
    EXPECT_EQ(choose("n"), "");
    EXPECT_FALSE(m_pool.find(target_id("far"))->takesNew());
    m_pool.addResidencyChange(m_now + milliseconds(900), {target_id("far"), {}, {}, false});
    m_now += milliseconds(1600);
    m_pool.expirePeers(m_now);
    EXPECT_EQ(choose("n"), "far") << "a repeated change must not extend the time";
    EXPECT_TRUE(m_pool.noteUnreachable(m_now, target_id("far")));
    m_now += milliseconds(1600);
    m_pool.expirePeers(m_now);
    EXPECT_EQ(choose("n"), "") << "the time doubles with each refusal";
    m_now += milliseconds(1500);
    m_pool.expirePeers(m_now);
    m_pool.succeeded(m_now, target_id("far"));
    EXPECT_TRUE(m_pool.noteUnreachable(m_now, target_id("far")));
    m_now += milliseconds(1600);
    m_pool.expirePeers(m_now);
    EXPECT_EQ(choose("n"), "far") << "a successful attempt resets the time";
}

} // namespace fuchsialoom
