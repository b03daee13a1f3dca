/// \file
/// A fleet too large for every VM to tell every other one: real processes, most of which hear of the store and of each
/// other through relays.
#include "platform_world.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

namespace fuchsialoom
{

namespace
{

constexpr std::size_t fleetSize = 18;
/// A leaving target is to be heeded, and a configuration in force, this long after the store accepted it.
constexpr std::chrono::milliseconds applyBound{2000};

class platform_fleet_test : public testing::Test
{
protected:
    void SetUp() override
    {
        m_world.configure(1);
        m_world.addTarget({.id = "e1", .service = "models", .models = {"m1", "m2"}});
        m_world.addTarget({.id = "p1", .service = "plain", .isEngine = false});
        m_world.addTarget({.id = "p2", .service = "plain", .isEngine = false});
        for (std::size_t vm = 0; vm < fleetSize; ++vm) {
            m_vms.push_back(m_world.startVm(vm % 2 == 0 ? "a" : "b"));
        }
        for (const std::string &vm : m_vms) {
            ASSERT_TRUE(m_world.waitReady(vm));
        }
        std::this_thread::sleep_for(std::chrono::seconds(4)); // roles settle
    }

    platform_answer askPlain(const std::string &vm)
    {
        m_requests += 1;
        return m_world.ask(vm, {.method = "POST", .path = "/post/1", .id = "r" + std::to_string(m_requests), .model = ""});
    }

    /// VMs that still find \p target two seconds after the store accepted that it leaves.
    std::vector<std::string> heedless(const std::string &target)
    {
        m_world.call([&] {
            m_world.store().put("keyed.servers", target, m_world.target(target).entry("draining"));
        });
        std::this_thread::sleep_for(applyBound);
        std::vector<std::string> found;
        for (const std::string &vm : m_vms) {
            for (int request = 0; request < 4; ++request) {
                if (askPlain(vm).body == "answer of " + target) {
                    found.push_back(vm);
                    break;
                }
            }
        }
        return found;
    }

    std::vector<std::string> members()
    {
        std::vector<std::string> found;
        for (const std::string &vm : m_vms) {
            const std::string log = m_world.vm(vm).output();
            if (log.rfind("change=relay-chosen") != std::string::npos
                && (log.rfind("change=became-relay") == std::string::npos
                    || log.rfind("change=became-relay") < log.rfind("change=relay-chosen"))) {
                found.push_back(vm);
            }
        }
        return found;
    }

    platform_world m_world;
    std::vector<std::string> m_vms;
    int m_requests = 0;
};

} // namespace

TEST_F(platform_fleet_test, membersHeedALeavingTarget)
{
    EXPECT_GE(members().size(), 8U);
    EXPECT_TRUE(heedless("p1").empty());
}

/// Guards against members that keep waiting for a relay whose own read is unanswered.
TEST_F(platform_fleet_test, aLeavingTargetIsHeededThoughAllWaitingReadsAreUnanswered)
{
    const std::size_t discarded = m_world.call([&] {
        return m_world.store().discardWaitingReads("keyed.servers");
    });
    EXPECT_GE(discarded, 2U);
    EXPECT_TRUE(heedless("p1").empty());
}

TEST_F(platform_fleet_test, membersHaveAConfigurationInForceWithoutReadingTheStore)
{
    const std::uint64_t before = m_world.call([&] {
        return m_world.store().calls();
    });
    m_world.call([&] {
        m_world.store().put("keyed.op", "config", R"({"version":2,"routes":[],"services":[],"limits":{}})");
    });
    std::this_thread::sleep_for(applyBound);
    const std::uint64_t calls = m_world.call([&] {
        return m_world.store().calls();
    }) - before;
    for (const std::string &vm : m_vms) {
        EXPECT_EQ(askPlain(vm).status, 404) << vm;
    }
    // Eight relays read the targets each 0.45 s and the configuration once; the lease is renewed.
    EXPECT_LE(calls, 8U * 6U + 8U);
}

/// Guards against VMs that retry an unanswered read only when another VM has a newer version.
TEST_F(platform_fleet_test, aConfigurationIsInForceThoughAllWaitingReadsAreUnanswered)
{
    const std::size_t discarded = m_world.call([&] {
        return m_world.store().discardWaitingReads("keyed.op");
    });
    EXPECT_GE(discarded, 2U);
    m_world.call([&] {
        m_world.store().put("keyed.op", "config", R"({"version":2,"routes":[],"services":[],"limits":{}})");
    });
    std::this_thread::sleep_for(applyBound);
    for (const std::string &vm : m_vms) {
        EXPECT_EQ(askPlain(vm).status, 404) << vm;
    }
}

TEST_F(platform_fleet_test, membersOfALostRelayHeedALeavingTarget)
{
    const std::vector<std::string> served = members();
    std::vector<std::string> relays;
    std::ranges::copy_if(m_vms, std::back_inserter(relays), [&served](const std::string &vm) {
        return std::ranges::find(served, vm) == served.end();
    });
    ASSERT_GE(relays.size(), 2U);
    m_world.vm(relays.front()).kill();
    std::erase(m_vms, relays.front());
    EXPECT_TRUE(heedless("p1").empty());
}

} // namespace fuchsialoom
