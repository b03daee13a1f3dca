/// \file
/// Who may order what targets hold: a lease kept as the newest record of a log that appends under the
/// condition that nothing came in between. Sans-I/O.
///
/// Why two VMs never order within the turn time of each other, though targets check nothing:
///
///   - A holder orders only while less than `lease` has passed since it *sent* its last renewal that
///     succeeded; the clock it counts by runs on while the VM is suspended.
///   - A renewal succeeds only if the holder's record is still the newest. So from the moment a successor's
///     record is in the log, no renewal succeeds.
///   - A successor reads the newest record and claims under the condition that it still is. All renewals of
///     the earlier holder that ever succeed were therefore sent before that read was answered, and it
///     orders nothing later than `lease` after that. The successor orders from `lease` plus the turn time after.
///   - A holder whose lease ends unrenewed never orders under its fence again, and tells when it last did.
///     A successor that hears so waits only for the turn time after that order.
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
    std::uint64_t fence = 0; ///< position of the claim; 0 in the claim itself
    milliseconds sinceLastOrder{0}; ///< in a release

    friend bool operator==(const lease_record &, const lease_record &) = default;
};

struct lease_options
{
    vm_id vm;
    std::uint64_t incarnation = 0;
    milliseconds lease{1500};
    milliseconds renewInterval{600};
    milliseconds turnTime{3000}; ///< between orders of two VMs
    milliseconds holderSilence{1000}; ///< a holder that peers don't hear for so long may be gone, unless set otherwise
    milliseconds confirmDelay{900}; ///< between two looks at the log: a holder that lives renews meanwhile
};

/// What the caller of step functions is to do.
enum class lease_action {
    None,
    Read, ///< the newest record, and the end of the log; answer with onRead() or onReadFailed()
    Append, ///< nextRecord() under the condition end(); answer with onAppended() or onAppendFailed()
};

class duty_lease
{
public:
    explicit duty_lease(lease_options options, instant now);

    /// To be called several times in a renewal interval, and after each answer.
    lease_action tick(instant now);

    /// \p newest: nothing where the log is empty.
    void onRead(instant now, std::uint64_t end, const std::optional<lease_record> &newest, std::uint64_t newestOffset);
    void onReadFailed(instant now);
    void onAppended(instant now, std::uint64_t offset);
    /// The log ends elsewhere: another record came, or an own append whose answer was lost.
    void onAppendConflict(instant now);
    /// \p unknown: it may have been appended, or may be yet.
    void onAppendFailed(instant now, bool unknown);

    /// Word of a peer that holds the duty.
    void onHolderHeard(instant now);

    /// A holder that peers don't hear for so long may be gone.
    void setHolderSilence(milliseconds silence)
    {
        m_holderSilence = silence;
    }

    /// Word of a peer that held it.
    void onRenounced(instant now, const renounced_fence &announcement);

    /// What this VM has to tell of its own last term; nothing while it holds one, or never held any.
    std::optional<renounced_fence> renounced(instant now) const;

    /// This VM ordered something just now.
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

    /// Gives the duty up for good.
    void release(instant now);

    /// Whether this VM has the lease; it may still have to wait for its first order.
    bool isHolder(instant now) const
    {
        return m_state == state::Holding && now < m_leaseUntil;
    }
    /// To be asked right before each order.
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
    /// Another VM may have ordered before this one, in this term or since the term before.
    bool tookOver() const
    {
        return m_tookOver;
    }
    bool isReleased() const
    {
        return m_state == state::Released;
    }

private:
    enum class state {
        Watching, ///< somebody else holds it, or nobody is known to
        Holding,
        Releasing, ///< the release is to be appended
        Released,
    };

    lease_action append(instant now, lease_record_kind kind);
    bool isMine(const lease_record &record) const;
    void becomeHolder(instant sentAt, std::uint64_t fence);
    void expireLease(instant now);
    bool isRenounced(const lease_record &record, std::uint64_t offset) const;
    milliseconds elapsedTurnTime(instant now) const;

    const lease_options m_options;
    milliseconds m_holderSilence; ///< a duration, since it changes with this VM's rank while the silence lasts
    state m_state = state::Watching;
    bool m_callInFlight = false; ///< a read or append is under way
    bool m_mustRead = true; ///< what the log's newest record is isn't known for certain
    std::uint64_t m_end = 0; ///< of the log, as last known
    lease_record m_pending; ///< being appended
    instant m_sentAt{}; ///< of the append under way
    instant m_nextAt{}; ///< nothing is done before
    instant m_heardAt{}; ///< latest word of a holder
    std::optional<std::uint64_t> m_observedEnd; ///< of the first look in this silence
    std::optional<std::uint64_t> m_observedFence; ///< of the holder that the look showed, where one may still order
    instant m_claimOrderFrom{}; ///< from when a claim made now may order
    instant m_leaseUntil{};
    instant m_orderFrom{};
    std::uint64_t m_fence = 0;
    std::optional<instant> m_lastOrder; ///< of this VM
    std::optional<std::uint64_t> m_ownRenouncedFence; ///< fence of the own term that ended
    std::optional<std::uint64_t> m_renouncedFence; ///< fence of another's term that ended by its own word
    instant m_renouncedOrderFrom{}; ///< from when a successor of that term may order
    bool m_tookOver = false;
};

} // namespace fuchsialoom
