/// \file
/// Implements the quota of processor time.
#include "cpu_quota.h"

#include <csignal>
#include <cstdint>
#include <fstream>
#include <string>

namespace fuchsialoom
{

using std::chrono::steady_clock;

static constexpr std::chrono::milliseconds period{100};
static constexpr std::chrono::milliseconds checkInterval{1};

cpu_quota::cpu_quota(const child_process &process, double share)
    : m_process(process)
    , m_thread([this, share] {
        enforce(share);
    })
{
}

cpu_quota::~cpu_quota()
{
    m_isOver = true;
    m_thread.join();
    m_process.send(SIGCONT);
}

std::chrono::nanoseconds processorTimeOf(const child_process &process)
{
    std::uint64_t used = 0;
    std::ifstream("/proc/" + std::to_string(process.id()) + "/schedstat") >> used;
    return std::chrono::nanoseconds(used);
}

void cpu_quota::enforce(double share) const
{
    const auto budget = std::chrono::duration_cast<std::chrono::nanoseconds>(period * share);
    while (!m_isOver) {
        const auto end = steady_clock::now() + period;
        const auto before = processorTimeOf(m_process);
        while (!m_isOver && steady_clock::now() < end) {
            if (processorTimeOf(m_process) - before >= budget) {
                m_process.send(SIGSTOP);
                std::this_thread::sleep_until(end);
                m_process.send(SIGCONT);
                break;
            }
            std::this_thread::sleep_for(checkInterval);
        }
    }
}

} // namespace fuchsialoom
