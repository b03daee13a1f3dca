/// \file
/// At most once: decides for every keyed request of this VM whether it may be dispatched, and appends
/// what came of it. A plain state machine without clock, thread, socket or random device.
///
/// Its one promise: of all claims for a key, over all VMs, one at a time is answered Won, and another
/// only after the first was voided by the VM that placed it. That VM never answers Won for a claim it
/// has voided, and alone may void it.
#pragma once

#include "fuchsialoom/core/claim_stream.h"
#include "fuchsialoom/core/claims.h"

#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace fuchsialoom
{

class claim_machine
{
public:
    explicit claim_machine(claim_options options);

    /// Takes in one event. Every place_claim gets one claim_decided, by its deadline.
    std::vector<claim_action> step(claim_time time, const claim_event &event);

    /// How long a key is remembered after its request's deadline, as callers may be told: never longer
    /// than the log was seen to keep records, here or by the owners that answered this VM.
    milliseconds window() const;

    /// Claims under way and won, and outcomes and abandons not yet in the log.
    std::size_t load() const;

    const claim_table &tableOf(std::uint32_t partition) const
    {
        return m_streams[partition].table();
    }

private:
    enum class phase {
        Asked, ///< the owner was asked
        Appending, ///< queued or in an append
        Reading, ///< appended, or perhaps: reading on shows it
        Refreshing, ///< the key looks taken: a fresh read tells how it stands now
    };

    struct open_claim
    {
        key_claim claim;
        std::uint32_t partition = 0;
        instant deadline;
        claim_number number;
        std::optional<ask_number> asker; ///< a peer's claim; it alone may void it
        phase at = phase::Appending;
        instant askDeadline = farFuture;
        std::optional<log_offset> position; ///< set when the append was answered with it
        std::uint64_t needsRead = 0; ///< a read of this number or a later one shows the claim if it has landed
        unsigned appends = 0; ///< started by this VM
        bool mayStand = false; ///< it may be in the log, or land there later
        bool mayLandTwice = false;
    };

    struct won_claim
    {
        claim_id id;
        instant deadline;
    };

    void handle(const place_claim &event);
    void handle(const settle_claim &event);
    void handle(const void_claim &event);
    void handle(const claim_append_answered &event);
    void handle(const claim_records_read &event);
    void handle(const claim_owner_answered &event);
    void handle(const claim_ends_answered &event);
    void handle(const peer_claim_arrived &event);
    void handle(const peer_ends_arrived &event);
    void handle(const claim_members_changed &event);
    void handle(const claim_window_changed &event);
    void handle(const claim_log_changed &event);
    void handle(const list_unknown_claims &event);
    void handle(const time_passed &event);

    key_claim makeClaim(const place_claim &event);
    void start(open_claim &open);
    void startHere(open_claim &open);
    void appendNow(open_claim &open);
    void claimAppended(open_claim &open, const claim_append_answered &event);
    void endsAnswered(std::uint32_t partition, bool appended);
    void readFailed(std::uint32_t partition);
    void noteOverdue(std::uint32_t partition);
    void giveUpWaiting(std::uint32_t partition);
    void foldPage(const claim_records_read &event);
    std::optional<milliseconds> seenToKeep() const;
    void seen(open_claim &open);
    void afterRead(std::uint32_t partition, std::uint64_t read, bool caughtUp);
    void afterRead(open_claim &open, std::uint64_t read, bool caughtUp);
    void expireClaims();
    void expireWon();
    void followStreams();
    void startIo(std::uint32_t partition);

    claim_reply judge(const held_claim &held, const open_claim &open);
    bool isUnknown(const held_claim &held, const vm_id &holder) const;
    bool holderGone(const held_claim &held, const vm_id &holder) const;
    void tellUnknown(const held_claim &held, const open_claim &open);
    void answer(const claim_id &claim, claim_reply reply);
    void decide(const open_claim &open, claim_reply reply);
    void giveUp(const claim_id &claim);
    void abandon(std::uint32_t partition, key_abandon what);
    claim_reply unavailable() const;
    /// Whether a claim may be tried now: the log isn't known to be out.
    bool mayTry(const claim_stream &stream) const
    {
        return m_logAvailable && m_time.now >= stream.downUntil();
    }

    const std::optional<vm_id> &ownerOf(std::uint32_t partition) const
    {
        return m_owners[partition];
    }
    bool isElsewhere(std::uint32_t partition) const
    {
        return ownerOf(partition) && *ownerOf(partition) != m_options.vm;
    }
    std::vector<claim_id> openIn(std::uint32_t partition) const;
    void emit(timeline_event event);

    claim_options m_options;
    claim_time m_time{}; ///< of the step in progress
    std::uint64_t m_lastClaim = 0;
    std::vector<claim_stream> m_streams; ///< one a partition
    std::vector<std::optional<vm_id>> m_owners; ///< one a partition; nothing while no members are known
    std::map<vm_id, incarnation_number> m_known; ///< a VM is gone only where a later incarnation took its place
    std::unordered_map<claim_id, open_claim> m_open; ///< not yet decided
    std::map<claim_number, claim_id> m_deciding; ///< the open claims of this VM's requests
    std::map<claim_number, won_claim> m_won; ///< answered Won, and neither settled nor voided
    std::unordered_set<claim_id> m_unknown; ///< answered Unknown here: never again InProgress
    std::deque<claim_id> m_unknownOrder; ///< the same, oldest first; bounded
    std::map<std::uint32_t, milliseconds> m_ownersPromise; ///< for each partition: what its owner last answered
    bool m_logAvailable = true; ///< as the shell last said
    std::vector<claim_action> m_actions; ///< of the step in progress; empty between steps
};

} // namespace fuchsialoom
