/// \file
/// Leadership of a failure domain: who leads by the domain's stream, and when this VM may act, claim,
/// renew or release. Sans-I/O: records and instants come in, records to append and events go out.
#pragma once

#include "fuchsialoom/core/leader_messages.h"
#include "fuchsialoom/core/records.h"
#include "fuchsialoom/support/time.h"
#include "fuchsialoom/support/timeline_event.h"

#include <map>
#include <optional>
#include <vector>

namespace fuchsialoom
{

/// The claim in force. Its offset is the leader's fencing number.
struct leader_term
{
    log_offset claim;
    vm_id holder;
    incarnation_number incarnation;
    bool released = false;

    friend bool operator==(const leader_term &, const leader_term &) = default;
};

/// The fold of claims and renewals: the same records give every VM the same leader.
class leadership_fold
{
public:
    /// \return whether the record changed anything: an invalid claim or renewal doesn't.
    bool apply(log_offset offset, const log_record &record);

    /// Whether \p vm led with the claim \p fence after the records folded so far. A released term leads no more.
    bool leads(const vm_id &vm, incarnation_number incarnation, log_offset fence) const;

    const std::optional<leader_term> &inForce() const
    {
        return m_term;
    }

    /// The records below the first one folded are lost to this VM, so it can't check the first claim.
    /// Until a renewal confirms a claim, it takes what the records suggest.
    void startBehindTrim()
    {
        m_provisional = true;
    }

private:
    bool applyClaim(log_offset offset, const leadership_claim &claim);
    bool applyRenewal(const log_record &record, const leadership_renewal &renewal);

    std::optional<leader_term> m_term; ///< the newest valid claim, also when lapsed or released
    bool m_provisional = false; ///< m_term rests on records that this VM couldn't check
};

/// One VM's part. The holder counts its lease from before it sent the append; everybody else counts
/// from when they read the record, which is later. So the holder stops first, whatever the append took.
class leadership
{
public:
    leadership(domain_id domain, vm_id vm, incarnation_number incarnation);

    void setLease(milliseconds lease)
    {
        m_lease = lease;
    }

    /// The live VMs of the domain; the order in which they claim is the rendezvous order of these.
    void setCandidates(std::vector<vm_id> candidates);

    /// Folds the record at \p offset, read at \p now.
    std::vector<leader_action> onRecord(instant now, log_offset offset, const log_record &record);

    /// A read that was asked for at \p askedAt reached the end of the stream.
    void onCaughtUp(instant askedAt);
    void onLogUnavailable(instant now);
    void startBehindTrim()
    {
        m_fold.startBehindTrim();
    }
    void onAppendRefused(const record_id &id);

    /// Claims, renews, or notices a lapse. To be called often: several times in a lease.
    std::vector<leader_action> tick(instant now);

    /// Gives the lease up and claims no more.
    std::vector<leader_action> drain();

    /// Whether this VM holds the lease at \p now. To be asked right before each send.
    bool holds(instant now) const
    {
        return m_leading && now < m_deadline;
    }

    /// Whether this VM may go on towards targets that check fencing while the log is down: there the
    /// target is the arbiter, so two VMs that both act do no harm.
    bool actsInOutage(instant now) const;

    /// When the lease ends on this VM's clock; meaningful while it leads.
    instant deadline() const
    {
        return m_deadline;
    }

    /// This VM's fencing number; none unless its claim is in force.
    log_offset fence() const;

    const leadership_fold &fold() const
    {
        return m_fold;
    }

    record_id nextRecordId();

private:
    bool isMine(const leader_term &term) const;
    std::vector<leader_action> onTermChanged(instant now, const log_record &record);
    leader_action append(instant now, record_body body);
    std::vector<leader_action> renewIfDue(instant now);
    std::vector<leader_action> claimIfFree(instant now);
    std::vector<leader_action> lose(const char *cause);
    instant claimFrom() const;
    std::size_t rankOf() const;

    const domain_id m_domain;
    const vm_id m_vm;
    const incarnation_number m_incarnation;
    milliseconds m_lease{6000};
    std::vector<vm_id> m_candidates;
    leadership_fold m_fold;
    std::map<record_id, instant> m_sent; ///< own claims and renewals not yet read back, and when each was sent
    instant m_lapsesAt{}; ///< others' view: when the lease in force lapses or was given up, from reading it
    instant m_caughtUpAt{}; ///< when the latest read that reached the end of the stream was asked for
    bool m_caughtUpEver = false;
    bool m_leading = false; ///< own claim in force, not released, and not noticed as lapsed
    instant m_deadline{}; ///< own view of the own lease, counted from before the send
    instant m_nextAppendAt{}; ///< the next claim or renewal isn't sent before
    std::optional<instant> m_unavailableSince; ///< set while reads of the log fail
    instant m_lastTick{};
    bool m_draining = false;
    std::uint64_t m_lastRecord = 0;
};

} // namespace fuchsialoom
