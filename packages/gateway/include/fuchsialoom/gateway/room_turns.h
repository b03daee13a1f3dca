/// \file
/// Divides the room at targets that must not be overfilled between the VMs. Each VM learns of the others' sends with a delay, so without
/// this a free slot would get a request of every VM that waits for one. Sans-I/O.
#pragma once

#include "fuchsialoom/fleet/in_flight.h"
#include "fuchsialoom/support/time.h"

#include <cstddef>
#include <cstdint>

namespace fuchsialoom
{

/// Time passes in turns, in each of which all VMs together may fill the room of a target once.
class room_turns
{
public:
    /// This VM is number \p position of \p count, in an order that all VMs share. \p wallTime: time of day at \p now.
    void setMembers(instant now, milliseconds wallTime, std::size_t position, std::size_t count);

    /// Number of the turn at \p now, which is the same at all VMs as far as their clocks agree.
    std::uint64_t turnAt(instant now) const;
    /// Whether what was sent in the turn before is known at all VMs.
    bool isOpenAt(instant now) const;
    /// How many requests this VM may send in \p turn to \p target, which had room for \p room at its beginning. While VMs have left room
    /// unused for \p unusedTurns in a row, few of them have requests waiting, and each may send more.
    std::uint32_t shareOf(std::uint64_t turn, target_key target, std::uint32_t room, std::uint64_t unusedTurns) const;

private:
    milliseconds wallTimeAt(instant now) const;

    milliseconds m_wallOffset{0}; ///< of the time of day from the event loop's clock
    std::size_t m_position = 0;
    std::size_t m_count = 1; ///< at least 1; greater than m_position
};

} // namespace fuchsialoom
