/// \file
/// Lease on the duty: the role of the one VM that may send load and unload orders to targets. The lease is the
/// newest record of a log with conditional appends: an append succeeds only if the log still ends where the caller
/// expects. Sans-I/O.
///
/// Targets check no fencing token. Two VMs nevertheless never order within the turn time of each other:
///
///   - A holder orders only while less than `lease` has passed since it *sent* its last successful renewal.
///     Its clock keeps running while the VM is suspended.
///   - A renewal succeeds only if the holder's record is still the newest. Once a successor's record is in the log,
///     no renewal succeeds.
///   - A successor reads the newest record and claims on the condition that it still is the newest. The earlier
///     holder therefore sent every successful renewal before that read was answered, and sends no order more than
///     `lease` after the read. The successor orders only after `lease` plus the turn time.
///   - The log may come back from an older copy and lose records. Its answers name its era, which rises by one each time. A term ends
///     with its era, and an append counts only in the era in which its condition was read. A VM that finds a record of another era, or a
///     log that may have lost its records, orders only after `lease` plus the turn time: the holder that the log has forgotten sent its
///     last renewal before. Fences hold the era in their upper part, so they rise though offsets are given out again.
///   - A holder whose lease expires never orders under that fence again, and announces when it last ordered. A
///     successor that receives the announcement waits only for the turn time after that order.
#pragma once

#include "fuchsialoom/fleet/messages.h"
#include "fuchsialoom/support/ids.h"
#include "fuchsialoom/support/name_table.h"
#include "fuchsialoom/support/time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace fuchsialoom
{

enum class lease_record_kind {
    Claim,
    Renewal,
    Release,
};

template<>
struct name_table<lease_record_kind>
{
    static constexpr auto entries = std::to_array<enum_name<lease_record_kind>>({
        {lease_record_kind::Claim, "claim"},
        {lease_record_kind::Renewal, "renewal"},
        {lease_record_kind::Release, "release"},
    });
};

struct lease_record
{
    lease_record_kind kind = lease_record_kind::Claim;
    vm_id holder;
    std::uint64_t incarnation = 0;
    std::uint64_t fence = 0; ///< see fenceOf(); 0 in the claim itself
    milliseconds sinceLastOrder{0}; ///< set in a release only; negative while an order of the holder before may still come
    std::uint64_t era = 0; ///< of the log when its end was read

    friend bool operator==(const lease_record &, const lease_record &) = default;
};

/// \return the fence of a claim at \p offset of the log in \p era; below 2^53 for eras below 2^21.
constexpr std::uint64_t fenceOf(std::uint64_t era, std::uint64_t offset)
{
    constexpr int offsetBits = 32;
    return era << offsetBits | offset;
}

struct lease_options
{
    vm_id vm;
    std::uint64_t incarnation = 0;
    milliseconds lease{1500};
    milliseconds renewInterval{600};
    milliseconds minHandoverTime{3000}; ///< minimum time between orders of two VMs
    milliseconds holderSilence{1000}; ///< initial value for setHolderSilence()
    bool isFirstStart = false; ///< no VM has held the duty before, so an empty log has lost nothing
    milliseconds confirmDelay{900}; ///< between reading the log and claiming; a running holder renews in this time
};

/// The I/O that the caller must perform after tick().
enum class lease_action {
    None,
    Read, ///< read the newest record and the end of the log, then call onRead() or onReadFailed()
    Append, ///< append nextRecord() if the log ends at end(), then call onAppended(), onAppendConflict() or onAppendFailed()
};

class duty_lease
{
public:
    explicit duty_lease(lease_options options, instant now);

    /// Must be called several times per renewal interval, and after each completed call to the log.
    lease_action tick(instant now);

    /// The era of an answer of the log or of its store, 0 if it names none. Must be called before an answer of the log is reported below,
    /// and once the VM knows any era. \return false if the era is over, so that the answer tells nothing of the log.
    bool onEra(instant now, std::uint64_t era);

    /// \p newest is empty if the log is empty.
    void onRead(instant now, std::uint64_t end, const std::optional<lease_record> &newest, std::uint64_t newestOffset);
    void onReadFailed(instant now);
    void onAppended(instant now, std::uint64_t offset);
    /// The log doesn't end at end(): another VM appended, or an earlier append of this VM succeeded but its response
    /// was lost.
    void onAppendConflict(instant now);
    /// \p unknown: the record may have been appended, or may still be.
    void onAppendFailed(instant now, bool unknown);

    /// A peer reported that it holds the duty.
    void onHolderReport(instant now);

    /// Sets the time without a report from a holder after which this VM tries to claim the duty.
    void setHolderSilence(milliseconds silence)
    {
        m_holderSilence = silence;
    }

    /// A former holder announced that it orders no more under its fence.
    void onRenounced(instant now, const renounced_fence &announcement);

    /// The announcement for this VM's last term as holder; empty while it holds the duty or if it never did.
    std::optional<renounced_fence> renounced(instant now) const;

    /// Records that this VM sends an order at \p now.
    void noteOrder(instant now)
    {
        m_lastOrder = now;
    }

    lease_record nextRecord() const
    {
        return m_pending;
    }
    std::uint64_t end() const
    {
        return m_end;
    }

    /// Ends this VM's term as holder, if it is one, as if the lease had expired.
    void yield(instant now);

    /// Gives up the duty permanently, with a release record if this VM holds it.
    void release(instant now);

    /// Whether this VM has the lease. It may still have to wait before its first order.
    bool isHolder(instant now) const
    {
        return m_state == state::Holding && now < m_leaseUntil;
    }
    /// Must be checked right before each order.
    bool mayOrder(instant now) const
    {
        return isHolder(now) && now >= m_orderFrom;
    }
    instant orderFrom() const
    {
        return m_orderFrom;
    }
    std::uint64_t fence() const
    {
        return m_fence;
    }
    /// Whether another VM may have sent orders since acknowledgeTakeover(), or before this VM's first term.
    bool tookOver() const
    {
        return m_tookOver;
    }
    /// What another VM may have ordered is accounted for. A lease that lapses and that this VM claims again is no takeover.
    void acknowledgeTakeover()
    {
        m_tookOver = false;
    }
    bool isReleased() const
    {
        return m_state == state::Released;
    }

private:
    enum class state {
        Watching, ///< another VM holds the lease, or no holder is known
        Holding,
        Releasing, ///< the release record isn't appended yet
        Released,
    };

    lease_action append(instant now, lease_record_kind kind);
    bool isMine(const lease_record &record) const;
    void becomeHolder(instant sentAt, std::uint64_t fence);
    void expireLease(instant now);
    bool isRenounced(const lease_record &record, std::uint64_t offset) const;
    /// Whether the log may have lost the records of a holder, given its newest record.
    bool mayHaveLostHolder(const std::optional<lease_record> &newest) const;
    milliseconds elapsedTurnTime(instant now) const;

    const lease_options m_options;
    milliseconds m_holderSilence; ///< a duration, not a deadline: it can change with this VM's rank during the silence
    state m_state = state::Watching;
    bool m_callInFlight = false; ///< a read or append is in flight
    bool m_mustRead = true; ///< the log's newest record isn't known for certain
    std::uint64_t m_era = 0; ///< of the log's latest answer that named one
    bool m_sawEraEnd = false; ///< the log came back from an older copy while this VM ran
    std::uint64_t m_end = 0; ///< last known end of the log in m_era
    lease_record m_pending; ///< record being appended
    instant m_sentAt{}; ///< when the current append was sent
    instant m_nextAt{}; ///< no read or append starts before
    instant m_heardAt{}; ///< when a holder was last heard from
    std::optional<std::uint64_t> m_observedEnd; ///< end of the log at the read in this silence; empty before it
    std::optional<std::uint64_t> m_observedFence; ///< fence of the holder found by that read, if it may still order
    instant m_claimOrderFrom{}; ///< earliest order under a claim made now
    instant m_leaseUntil{};
    instant m_orderFrom{};
    std::uint64_t m_fence = 0;
    std::optional<instant> m_lastOrder; ///< this VM's last order in any term
    std::optional<std::uint64_t> m_ownRenouncedFence; ///< fence of this VM's last term, once ended
    std::optional<std::uint64_t> m_renouncedFence; ///< last fence that a peer renounced
    instant m_renouncedOrderFrom{}; ///< earliest order of a successor to that term
    bool m_tookOver = false;
};

} // namespace fuchsialoom
