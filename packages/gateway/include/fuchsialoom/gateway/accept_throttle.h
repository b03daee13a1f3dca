/// \file
/// How many new connections a VM takes while its event loop runs behind. A connection that is closed with its request unread goes to
/// another VM at once, whereas one that is taken and read late may miss its deadline. Sans-I/O.
#pragma once

#include "fuchsialoom/support/time.h"

#include <cstdint>
#include <random>

namespace fuchsialoom
{

class accept_throttle
{
public:
    explicit accept_throttle(std::uint64_t seed);

    /// A timer that was due at \p due ran at \p now. To be called every few milliseconds.
    void onTick(instant due, instant now);

    /// Whether to take the next new connection.
    bool admits();

    /// Whether some new connections aren't taken; callers are asked to leave then.
    bool isShedding() const
    {
        return m_share < 1;
    }
    /// Of the new connections, what is taken.
    double share() const
    {
        return m_share;
    }

private:
    void endWindow(instant now);

    std::mt19937_64 m_random;
    instant m_windowBegan{};
    microseconds m_lost{0}; ///< in this window, by which timers ran late
    int m_lateWindows = 0; ///< in a row
    double m_share = 1;
};

} // namespace fuchsialoom
