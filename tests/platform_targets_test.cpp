/// \file
/// VMs that the store doesn't serve, and targets that leave meanwhile, at the sockets of real processes.
#include "odd_entries.h"
#include "platform_world.h"
#include "store_gate.h"

#include <gtest/gtest.h>

#include <chrono>
#include <ostream>
#include <string>
#include <thread>
#include <vector>

namespace fuchsialoom
{

namespace
{

using gate_state = store_gate::state;

/// No request may reach a target this long after the store accepted that it leaves.
constexpr std::chrono::milliseconds drainBound{2000};
constexpr int requestCount = 12;

/// How a target leaves, and how the store turns the VM away.
struct leaving_case
{
    const char *name;
    const char *state; ///< of the target's last entry; empty: its entry is removed
    gate_state gate;

    friend std::ostream &operator<<(std::ostream &out, const leaving_case &shown)
    {
        return out << shown.name;
    }
};

class platform_targets : public testing::TestWithParam<leaving_case>
{
protected:
    void SetUp() override
    {
        m_world.configure(1);
        m_world.addTarget({.id = "p1", .service = "plain", .isEngine = false});
        m_world.addTarget({.id = "p2", .service = "plain", .isEngine = false});
        m_world.startVm("a");
        m_world.startVm("b");
        m_turnedAway = m_world.startVm("b", m_gate.port());
        for (const char *vm : {"vm-1", "vm-2", "vm-3"}) {
            ASSERT_TRUE(m_world.waitReady(vm));
        }
        ASSERT_GT(sendsTo("p1"), 0);
        std::this_thread::sleep_for(std::chrono::seconds(3)); // roles settle
    }

    /// How many of some requests at the VM that the store turns away reach \p target.
    int sendsTo(const std::string &target)
    {
        int sends = 0;
        for (int request = 0; request < requestCount; ++request) {
            m_requests += 1;
            const std::string id = "r" + std::to_string(m_requests);
            const platform_answer answer = m_world.ask(m_turnedAway, {.path = "/post/1", .id = id, .model = ""});
            sends += answer.body == "answer of " + target ? 1 : 0;
        }
        return sends;
    }

    void trimHistory()
    {
        m_world.call([&] {
            m_world.store().trimHistory("keyed.servers");
        });
    }

    platform_world m_world;
    store_gate m_gate{m_world.call([&] {
        return m_world.store().address().port();
    })};
    std::string m_turnedAway;
    int m_requests = 0;
};

class platform_targets_odd : public testing::Test
{
protected:
    /// Among the entries of targets, and among the records of VMs.
    void putOddEntries()
    {
        m_world.call([&] {
            for (const auto &[key, text] : oddEntries()) {
                m_world.store().put("keyed.servers", key, text);
                m_world.store().put("keyed.nodes", key, text);
            }
            for (const char *address : {"nowhere:80", "10.0.0.256:80", "127.0.0.1:0"}) {
                m_world.store().put(
                    "keyed.nodes", address, nlohmann::json{{"address", address}, {"domain", "a"}, {"capacity", 9000}}.dump());
            }
        });
    }

    platform_world m_world;
};

} // namespace

/// Guards against a VM that hears of targets from the store alone.
TEST_P(platform_targets, aLeavingTargetIsHeededThoughTheStoreTurnsAVmAway)
{
    m_gate.set(GetParam().gate);
    std::this_thread::sleep_for(drainBound);
    m_world.listTarget("p1", GetParam().state);
    std::this_thread::sleep_for(drainBound);
    EXPECT_EQ(sendsTo("p1"), 0);
    std::this_thread::sleep_for(drainBound);
    EXPECT_EQ(sendsTo("p1"), 0);
    m_gate.open();
    std::this_thread::sleep_for(drainBound);
    EXPECT_EQ(sendsTo("p1"), 0);
}

TEST_P(platform_targets, aLeavingTargetIsHeededThoughTheVmIsTurnedAwayAtTheSameMoment)
{
    m_gate.set(GetParam().gate);
    m_world.listTarget("p1", GetParam().state);
    std::this_thread::sleep_for(drainBound);
    EXPECT_EQ(sendsTo("p1"), 0);
}

TEST_P(platform_targets, aLeavingTargetIsHeededThoughTheStoreHasForgottenItsHistory)
{
    m_gate.set(GetParam().gate);
    std::this_thread::sleep_for(drainBound);
    m_world.listTarget("p1", GetParam().state);
    trimHistory();
    std::this_thread::sleep_for(drainBound);
    EXPECT_EQ(sendsTo("p1"), 0);
    m_world.listTarget("p1", "ready");
    m_world.listTarget("p2", GetParam().state);
    trimHistory();
    std::this_thread::sleep_for(drainBound);
    EXPECT_EQ(sendsTo("p2"), 0);
    EXPECT_EQ(sendsTo("p1"), requestCount);
}

/// Guards against VMs that end, or stop following the targets, at an entry of another writer.
TEST_F(platform_targets_odd, entriesOfAnotherWriterEndNoVm)
{
    m_world.configure(1);
    putOddEntries();
    m_world.addTarget({.id = "p1", .service = "plain", .isEngine = false});
    m_world.addTarget({.id = "p2", .service = "plain", .isEngine = false});
    for (const char *domain : {"a", "b"}) {
        m_world.startVm(domain);
    }
    ASSERT_TRUE(m_world.waitReady("vm-1") && m_world.waitReady("vm-2"));
    putOddEntries();
    m_world.startVm("b");
    ASSERT_TRUE(m_world.waitReady("vm-3"));
    m_world.listTarget("p1", "draining");
    std::this_thread::sleep_for(drainBound);
    for (const char *vm : {"vm-1", "vm-2", "vm-3"}) {
        const platform_answer answer = m_world.ask(vm, {.path = "/post/1", .id = vm, .model = ""});
        EXPECT_EQ(answer.body, "answer of p2") << vm;
    }
}

INSTANTIATE_TEST_SUITE_P(ways,
                         platform_targets,
                         testing::Values(leaving_case{"saidWhileConnectionsAreReset", "draining", gate_state::Closed},
                                         leaving_case{"removedWhileConnectionsAreReset", "", gate_state::Closed},
                                         leaving_case{"saidWhileTheStoreIsSilent", "draining", gate_state::Silent},
                                         leaving_case{"removedWhileTheStoreIsSilent", "", gate_state::Silent}),
                         [](const auto &info) {
                             return info.param.name;
                         });

} // namespace fuchsialoom
