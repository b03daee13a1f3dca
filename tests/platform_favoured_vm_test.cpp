/// \file
/// Most new connections reach one VM for a while, more than it can serve: what becomes of the first tries that it reads.
#include "cpu_quota.h"
#include "fake_balancer.h"
#include "open_loop_callers.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace fuchsialoom
{

namespace
{

using std::chrono::steady_clock;

constexpr std::size_t vmCount = 4;
/// Spread over the VMs, what they can serve; together more than one of them can.
constexpr double requestsPerSecond = 2400;
/// How much processor time a VM gets, between what it needs while the requests are spread (0) and what the favoured one needs (1). The
/// machine decides how much time both are.
constexpr double limitBetween = 0.15;
constexpr std::chrono::milliseconds measuringTime{2000};
constexpr double favouredShare = 0.9;
constexpr std::chrono::milliseconds calmTime{4000};
constexpr std::chrono::milliseconds favouredTime{9000};
/// From the beginning of the favour until VMs have to serve what they read.
constexpr std::chrono::milliseconds settling{3000};

class platform_favoured_vm : public testing::Test
{
protected:
    struct shares
    {
        std::size_t read = 0;
        std::size_t served = 0;
        std::size_t unread = 0;

        double servedShare() const
        {
            return read == 0 ? 0 : static_cast<double>(served) / static_cast<double>(read);
        }
    };

    static shares sharesOf(const std::vector<open_loop_result> &results, steady_clock::time_point from, steady_clock::time_point until)
    {
        shares counted;
        for (const open_loop_result &one : results) {
            if (one.at < from || one.at >= until) {
                continue;
            }
            counted.unread += one.outcome == first_try::Unread ? 1 : 0;
            counted.read += one.outcome == first_try::Unread ? 0 : 1;
            counted.served += one.outcome == first_try::Served ? 1 : 0;
        }
        return counted;
    }

    void start()
    {
        m_world.configure(1);
        for (const char *id : {"p1", "p2", "p3"}) {
            m_world.addTarget({.id = id, .service = "plain", .isEngine = false, .slots = 200});
        }
        for (std::size_t vm = 0; vm < vmCount; ++vm) {
            m_vms.push_back(m_world.startVm());
        }
        for (const std::string &vm : m_vms) {
            ASSERT_TRUE(m_world.waitReady(vm));
        }
        std::this_thread::sleep_for(std::chrono::seconds(3)); // the VMs find each other
    }

    /// \return the share of a core that the busiest VM uses for the requests.
    double busiestShare(open_loop_callers &callers)
    {
        std::vector<std::chrono::nanoseconds> before;
        for (const std::string &vm : m_vms) {
            before.push_back(processorTimeOf(m_world.vm(vm)));
        }
        callers.run(requestsPerSecond, measuringTime, m_request);
        std::chrono::nanoseconds most{0};
        for (std::size_t vm = 0; vm < vmCount; ++vm) {
            most = std::max(most, processorTimeOf(m_world.vm(m_vms[vm])) - before[vm]);
        }
        return std::chrono::duration<double>(most) / measuringTime;
    }

    void limitProcessorTime(open_loop_callers &callers, fake_balancer &balancer)
    {
        const double spread = busiestShare(callers);
        balancer.favourOne(favouredShare);
        const double favoured = busiestShare(callers);
        balancer.favourOne(0);
        const double share = spread + limitBetween * (favoured - spread);
        std::printf("a VM uses %.4f of a core, the favoured one %.4f; each gets %.4f\n", spread, favoured, share);
        for (const std::string &vm : m_vms) {
            m_quotas.push_back(std::make_unique<cpu_quota>(m_world.vm(vm), share));
        }
    }

    const platform_request m_request{.path = "/get/", .model = "", .deadlineMs = 1000};

    platform_world m_world;
    std::vector<std::string> m_vms;
    std::vector<std::unique_ptr<cpu_quota>> m_quotas; ///< end before the VMs
};

} // namespace

TEST_F(platform_favoured_vm, servesTheFirstTriesThatItReads)
{
    start();
    std::mutex mutex;
    fake_balancer balancer(m_vms, 1);
    open_loop_callers callers(m_world, [&](const std::string &tried) {
        const std::scoped_lock lock(mutex);
        return balancer.choose(tried);
    });
    limitProcessorTime(callers, balancer);
    std::atomic<bool> isOver = false;
    const steady_clock::time_point begun = steady_clock::now();
    std::thread platform([&] {
        while (!isOver) {
            std::this_thread::sleep_for(std::chrono::milliseconds(100));
            const auto elapsed = steady_clock::now() - begun;
            const std::scoped_lock lock(mutex);
            balancer.favourOne(elapsed >= calmTime ? favouredShare : 0);
        }
    });
    callers.run(requestsPerSecond, calmTime + favouredTime, m_request);
    isOver = true;
    platform.join();
    const shares before = sharesOf(callers.results(), begun + std::chrono::seconds(1), begun + calmTime);
    const shares favoured = sharesOf(callers.results(), begun + calmTime + settling, begun + calmTime + favouredTime);
    std::printf("calm: read %zu, served %.3f; favoured: read %zu, served %.3f, unread %zu\n",
                before.read,
                before.servedShare(),
                favoured.read,
                favoured.servedShare(),
                favoured.unread);
    EXPECT_GE(before.servedShare(), 0.9) << "the VMs can't serve what is spread over them";
    EXPECT_GT(favoured.read, 100U);
    EXPECT_GE(favoured.servedShare(), before.servedShare() * 3 / 4);
}

} // namespace fuchsialoom
