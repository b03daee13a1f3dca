/// \file
/// Requests that crash the targets which run them, on the users' platform: real processes, attempts under new ids at any VM.
#include "platform_world.h"
#include "store_gate.h"

#include <gtest/gtest.h>

#include <chrono>
#include <string>
#include <thread>
#include <vector>

namespace fuchsialoom
{

namespace
{

constexpr const char *crashPath = "/chat/crash";
/// After the third target has ended, the whole fleet has this long to stop sending the request.
constexpr std::chrono::milliseconds containmentTime{3000};
constexpr int crashesToContain = 3;

class platform_poison_test : public testing::Test
{
protected:
    void startVms(std::size_t count, std::size_t targets)
    {
        m_world.configure(1, 2, true);
        for (std::size_t target = 0; target < targets; ++target) {
            addTarget();
        }
        for (std::size_t vm = 0; vm < count; ++vm) {
            m_vms.push_back(m_world.startVm());
        }
        for (const std::string &vm : m_vms) {
            ASSERT_TRUE(m_world.waitReady(vm));
        }
        std::this_thread::sleep_for(std::chrono::seconds(3)); // the VMs find each other
    }

    void addTarget()
    {
        const std::string id = "e" + std::to_string(m_targets.size() + 1);
        m_world.addTarget({.id = id, .service = "models", .models = {"m1", "m2"}, .crashPath = crashPath});
        m_targets.push_back(id);
    }

    platform_answer askAt(const std::string &vm, const std::string &path)
    {
        return m_world.ask(vm, {.path = path, .id = "r" + std::to_string(++m_requests)});
    }

    int crashedTargets()
    {
        return m_world.call([&] {
            int crashed = 0;
            for (const std::string &id : m_targets) {
                crashed += m_world.target(id).hasCrashed() ? 1 : 0;
            }
            return crashed;
        });
    }

    /// Sends the crashing request to one VM after the other until three targets have crashed.
    void crashThree()
    {
        for (std::size_t attempt = 0; crashedTargets() < crashesToContain && attempt < 2 * crashesToContain; ++attempt) {
            askAt(m_vms[attempt % m_vms.size()], crashPath);
        }
        ASSERT_GE(crashedTargets(), crashesToContain);
    }

    platform_world m_world;
    std::vector<std::string> m_vms;
    std::vector<std::string> m_targets;
    int m_requests = 0;
};

} // namespace

TEST_F(platform_poison_test, aRequestThatCrashedThreeTargetsReachesNoFurtherOneFromAnyVm)
{
    startVms(3, 12);
    crashThree();
    std::this_thread::sleep_for(containmentTime);
    const int contained = crashedTargets();
    for (const std::string &vm : m_vms) {
        const platform_answer refused = askAt(vm, crashPath);
        EXPECT_EQ(refused.status, 503) << vm;
        EXPECT_FALSE(refused.field("Retry-After").empty()) << vm;
        EXPECT_EQ(askAt(vm, "/chat/1").status, 200) << "another request at " << vm;
    }
    EXPECT_EQ(crashedTargets(), contained);
    EXPECT_LE(contained, crashesToContain + 3);
}

} // namespace fuchsialoom
