/// \file
/// Which VMs of a domain read a stream from the platform's log, and by whom the others go. Two VMs of a
/// domain, chosen by rendezvous over those that share its duties, are its tailers: they read the log and
/// tell the rest how far they are and when the log last showed them nothing newer. The others ask a tailer
/// for records when it is ahead, and read the log themselves once no tailer's word is recent. VMs that
/// disagree on who lives cost more readers, never fewer than needed.
#pragma once

#include "fuchsialoom/core/targets.h"
#include "fuchsialoom/support/ids.h"
#include "fuchsialoom/support/time.h"

#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace fuchsialoom
{

// Events.

/// The VMs that share the domain's duties, see membership::dutyHolders().
struct tail_readers_known
{
    std::vector<vm_id> live; ///< ordered
    bool stale = false; ///< the own process was paused and has heard nothing since
};

/// A tailer's digest arrived.
struct tail_position_told
{
    vm_id peer;
    log_offset applied;
    instant provenAt; ///< when the log last showed the peer nothing beyond what it had applied
    log_offset first; ///< the lowest offset that the log then kept
};

/// Asks what to read now; asked again at once where what was read brought records.
struct tail_due
{
    log_offset applied; ///< here
    bool isAwaited = false; ///< somebody here waits for a record of the stream, or a gap is open
};

using tail_event = std::variant<tail_readers_known, tail_position_told, tail_due>;

// Actions.

/// That nothing was missing here at an earlier instant.
struct tail_proof
{
    instant at;
    log_offset first; ///< the lowest offset that the log then kept

    friend bool operator==(const tail_proof &, const tail_proof &) = default;
};

struct tail_actions
{
    bool readLog = false;
    std::optional<vm_id> readPeer; ///< a peer that is ahead; only where the log is not read
    std::optional<tail_proof> proof; ///< by a peer's word; only where the log is not read
};

class tail_plan
{
public:
    tail_plan(stream_name stream, vm_id self);

    tail_actions step(instant now, const tail_event &event);

    /// Whether this VM reads the log for the others, and tells them.
    bool isTailer() const
    {
        return m_isTailer;
    }

private:
    struct told_position
    {
        log_offset applied;
        log_offset first;
        instant provenAt;
        instant until; ///< deadline of the peer's word
    };

    void handle(instant now, const tail_readers_known &event, tail_actions &actions);
    void handle(instant now, const tail_position_told &event, tail_actions &actions);
    void handle(instant now, const tail_due &event, tail_actions &actions);
    std::vector<vm_id> aheadOf(log_offset applied) const;
    std::optional<tail_proof> proofOf(log_offset applied) const;
    bool isLeftBehind(instant now, log_offset applied);

    const stream_name m_stream;
    const vm_id m_self;
    bool m_isTailer = true; ///< until others are known
    bool m_stale = false;
    std::map<vm_id, told_position> m_told; ///< only words whose deadline lies ahead, as of the last step
    std::optional<instant> m_behindUntil; ///< set while a peer is ahead: a record must come by then
    log_offset m_behindAt; ///< applied here when m_behindUntil was set
    std::size_t m_turn = 0; ///< spreads requests over the peers that are ahead
};

} // namespace fuchsialoom
