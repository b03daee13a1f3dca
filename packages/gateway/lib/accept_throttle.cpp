/// \file
/// Implements the choice of new connections.
#include "fuchsialoom/gateway/accept_throttle.h"

#include <algorithm>

namespace fuchsialoom
{

static constexpr milliseconds windowLength{100};
/// Share of a window by which timers run late in a process that gets no more processor time.
static constexpr double lateShare = 0.5;
/// The same in one that has processor time to spare.
static constexpr double timelyShare = 0.2;
/// Windows in a row. A single long pause, of a frozen VM for example, or a burst isn't an overload.
static constexpr int windowsToShed = 8;
/// For each window, so that shedding outruns the queue that has grown meanwhile.
static constexpr double decrease = 0.8;
static constexpr double increase = 0.05;
/// Taken all the same, so that the VM notices when it has room.
static constexpr double minShare = 0.02;

accept_throttle::accept_throttle(std::uint64_t seed)
    : m_random(seed)
{
}

void accept_throttle::onTick(instant due, instant now)
{
    if (m_windowBegan == instant{}) {
        m_windowBegan = due;
    }
    m_lost += std::max(microseconds(0), std::chrono::duration_cast<microseconds>(now - due));
    if (now >= m_windowBegan + windowLength) {
        endWindow(now);
    }
}

void accept_throttle::endWindow(instant now)
{
    const double late = static_cast<double>(m_lost.count()) / static_cast<double>(microseconds(now - m_windowBegan).count());
    m_lateWindows = late > lateShare ? m_lateWindows + 1 : 0;
    if (m_lateWindows >= windowsToShed) {
        m_share = std::max(minShare, m_share * decrease);
    } else if (late < timelyShare) {
        m_share = std::min(1.0, m_share + increase);
    }
    m_windowBegan = now;
    m_lost = microseconds(0);
}

bool accept_throttle::admits()
{
    return m_share >= 1 || std::uniform_real_distribution<double>(0, 1)(m_random) < m_share;
}

} // namespace fuchsialoom
