/// \file
/// One VM's copy of the settings: follows the stream from the log or from peers, knows how fresh it
/// is, and says when this VM is to write a snapshot. It does no input or output itself.
#pragma once

#include "fuchsialoom/core/log_follower.h"
#include "fuchsialoom/core/settings_freshness.h"
#include "fuchsialoom/core/settings_stream.h"
#include "fuchsialoom/core/snapshot_schedule.h"
#include "fuchsialoom/support/timeline_event.h"

#include <deque>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace fuchsialoom
{

struct replica_rules
{
    milliseconds staleAfter{3000};
    std::size_t mostHistory = 500; ///< changes shown to operators
    std::size_t mostEditsShown = 20; ///< of each of these
    snapshot_rules snapshots;
};

struct replica_status
{
    log_offset applied;
    log_offset head; ///< the highest offset that the log or a peer has shown
    freshness fresh = freshness::Starting;
    bool isSeeking = false; ///< the records next in line are gone and no snapshot was found yet
    bool isLogBehind = false; ///< the log has lost records that were applied here
    std::uint64_t passed = 0; ///< records that were unknown, corrupt or out of place
};

class settings_replica
{
public:
    explicit settings_replica(vm_id self, replica_rules rules = {});

    /// The offset to ask \p source for.
    log_offset nextFrom(tail_id source) const
    {
        return m_follower.nextFrom(source);
    }

    /// Takes in what \p source answered when asked for nextFrom(source).
    std::vector<timeline_event> take(instant now, tail_id source, const record_page &page);

    /// The log can't be reached and every peer was asked; \p highest is the best that they have applied.
    void peersAsked(log_offset highest);

    /// A peer's word, that the log kept records from \p first on and had no more than is applied here at \p at.
    void provenByPeer(instant at, log_offset first);

    /// Notes the passing of time. \return an event where the settings went stale or are current again.
    std::optional<timeline_event> tick(instant now);

    /// The snapshot that this VM is to write now, if any; the caller appends it.
    std::optional<settings_snapshot> snapshotDue(instant now, wall_instant wall, std::span<const std::string> members);

    /// What became of the change, once it was folded and while it is remembered.
    const folded_change *verdictOf(const record_id &change) const
    {
        return m_follower.fold().fold().find(change);
    }

    const settings_tree &tree() const
    {
        return m_follower.fold().fold().tree();
    }

    /// The latest changes, oldest first. Those known from a snapshot have no edits.
    const std::deque<change_seen> &history() const
    {
        return m_history;
    }

    bool isSeeking() const
    {
        return m_follower.isSeeking();
    }

    replica_status status(instant now) const;

private:
    void handle(instant now, change_seen &news);
    void handle(instant now, snapshot_seen &news);
    void handle(instant now, record_passed &news);
    void keepHistory(change_seen seen);

    replica_rules m_rules;
    log_follower<settings_stream> m_follower;
    snapshot_schedule m_schedule;
    settings_freshness m_freshness;
    freshness m_reported = freshness::Starting; ///< the state last told by an event
    std::deque<change_seen> m_history;
    std::uint64_t m_passed = 0;
    std::vector<timeline_event> m_events; ///< of the call in progress; empty between calls
};

} // namespace fuchsialoom
