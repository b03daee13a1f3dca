/// \file
/// Implements the turns in which VMs fill the room of targets.
#include "fuchsialoom/gateway/room_turns.h"

#include <algorithm>
#include <cmath>

namespace fuchsialoom
{

static constexpr milliseconds turnLength{75};
/// Counts reach all VMs within this time, and their clocks differ by less.
static constexpr milliseconds settlingTime{25};
/// Factor by which shares grow with each turn that leaves room unused. Small, since the VMs that wait then send as much more.
static constexpr double shareGrowth = 1.5;
static constexpr std::uint64_t maxGrowingTurns = 24;

void room_turns::setMembers(instant now, milliseconds wallTime, std::size_t position, std::size_t count)
{
    m_wallOffset = wallTime - std::chrono::duration_cast<milliseconds>(now.time_since_epoch());
    m_count = std::max<std::size_t>(count, 1);
    m_position = std::min(position, m_count - 1);
}

milliseconds room_turns::wallTimeAt(instant now) const
{
    return std::chrono::duration_cast<milliseconds>(now.time_since_epoch()) + m_wallOffset;
}

std::uint64_t room_turns::turnAt(instant now) const
{
    return static_cast<std::uint64_t>(wallTimeAt(now) / turnLength);
}

bool room_turns::isOpenAt(instant now) const
{
    return m_count == 1 || wallTimeAt(now) % turnLength >= settlingTime;
}

/// Mixes the bits of \p value, so that turns begin at another VM at each target.
static std::uint64_t mixed(std::uint64_t value)
{
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31);
}

std::uint32_t room_turns::shareOf(std::uint64_t turn, target_key target, std::uint32_t room, std::uint64_t unusedTurns) const
{
    const double growth = std::pow(shareGrowth, static_cast<double>(std::min(unusedTurns, maxGrowingTurns)));
    const auto shared = static_cast<std::uint64_t>(room * growth);
    const std::uint64_t first = mixed(turn << 32U | target.value) % m_count;
    const std::uint64_t distance = (m_position + m_count - first) % m_count;
    const std::uint64_t share = shared / m_count + (distance < shared % m_count ? 1 : 0);
    return static_cast<std::uint32_t>(std::min<std::uint64_t>(share, room));
}

} // namespace fuchsialoom
