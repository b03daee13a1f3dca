/// \file
/// When a snapshot of the settings is due, and whether this VM writes it. A snapshot must stand in the
/// log well before the records that it covers go, and must itself be renewed before it goes.
#pragma once

#include "fuchsialoom/support/ids.h"
#include "fuchsialoom/support/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>

namespace fuchsialoom
{

struct snapshot_rules
{
    std::uint32_t mostChanges = 200; ///< changes after the latest snapshot
    std::uint32_t mostEdits = 2000; ///< edits in these, so that what is kept to relay stays small
    seconds longestAge{3600}; ///< of the latest snapshot, by its author's clock
    seconds firstAfter{30}; ///< from the first change of a log that has no snapshot
    seconds standIn{5}; ///< a VM waits this long for each VM that comes before it
};

class snapshot_schedule
{
public:
    explicit snapshot_schedule(vm_id self, snapshot_rules rules = {});

    /// A snapshot was read or loaded.
    void snapshotSeen(log_offset through, wall_instant writtenAt);
    /// A change of \p edits edits was folded at \p now.
    void changeSeen(instant now, std::size_t edits);
    /// The log keeps the records from \p first up to before \p next.
    void logSeen(log_offset first, log_offset next);

    /// Whether this VM is to write a snapshot now. \p members are the VMs thought alive, this one
    /// among them or not. One VM comes first by rendezvous; the others stand in one after the other,
    /// and a snapshot written twice is harmless.
    bool isDue(instant now, wall_instant wall, std::span<const std::string> members);
    /// A write was begun: no other for a while.
    void writing(instant now);

private:
    bool isFull() const;
    bool isWanted(instant now, wall_instant wall) const;
    std::size_t rank(std::span<const std::string> members) const;

    vm_id m_self;
    snapshot_rules m_rules;
    std::optional<log_offset> m_through; ///< of the latest snapshot; never decreases
    wall_instant m_writtenAt;
    std::uint32_t m_changes = 0; ///< folded after the latest snapshot was seen
    std::size_t m_edits = 0; ///< in m_changes
    std::optional<instant> m_firstChange; ///< of m_changes
    log_offset m_first;
    log_offset m_next;
    std::optional<instant> m_wantedSince;
    instant m_notBefore;
};

} // namespace fuchsialoom
