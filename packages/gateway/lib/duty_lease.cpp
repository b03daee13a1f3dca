/// \file
/// Implements the lease on the duty.
#include "fuchsialoom/gateway/duty_lease.h"

#include <algorithm>
#include <utility>

namespace fuchsialoom
{

/// Delay before the next call to the log after one failed.
static constexpr milliseconds retryDelay{200};

duty_lease::duty_lease(lease_options options, instant now)
    : m_options(std::move(options))
    , m_holderSilence(m_options.holderSilence)
    , m_nextAt(now)
    , m_heardAt(now)
{
}

bool duty_lease::isMine(const lease_record &record) const
{
    return record.holder == m_options.vm && record.incarnation == m_options.incarnation && record.era == m_era;
}

/// The part of the turn time that has passed since the last order of this VM, in whichever term, and since the last possible order of
/// the holder before it. Negative while that order may still come.
milliseconds duty_lease::elapsedTurnTime(instant now) const
{
    milliseconds elapsed = m_options.minHandoverTime;
    if (now < m_orderFrom) {
        elapsed -= std::chrono::ceil<milliseconds>(m_orderFrom - now);
    }
    if (m_lastOrder) {
        elapsed = std::min(elapsed, std::chrono::duration_cast<milliseconds>(now - *m_lastOrder));
    }
    return elapsed;
}

lease_action duty_lease::append(instant now, lease_record_kind kind)
{
    m_pending = {kind, m_options.vm, m_options.incarnation, kind == lease_record_kind::Claim ? 0 : m_fence, milliseconds(0), m_era};
    if (kind == lease_record_kind::Release) {
        m_pending.sinceLastOrder = elapsedTurnTime(now);
    }
    m_sentAt = now;
    m_callInFlight = true;
    return lease_action::Append;
}

/// Ends the term after the lease expired. The fence is renounced with it, so that a successor needn't wait out the lease.
void duty_lease::expireLease(instant now)
{
    m_state = state::Watching;
    m_ownRenouncedFence = m_fence;
    m_mustRead = true;
    m_observedEnd.reset();
    m_heardAt = now - m_options.holderSilence;
}

lease_action duty_lease::tick(instant now)
{
    if (m_state == state::Holding && now >= m_leaseUntil) {
        expireLease(now);
    }
    if (m_callInFlight || now < m_nextAt || m_state == state::Released) {
        return lease_action::None;
    }
    if (m_state == state::Watching) {
        if (now - m_heardAt < m_holderSilence) {
            m_observedEnd.reset();
            return lease_action::None;
        }
        if (m_observedEnd && !m_mustRead) {
            return append(now, lease_record_kind::Claim);
        }
    }
    if (m_mustRead || m_state == state::Watching) {
        m_callInFlight = true;
        return lease_action::Read;
    }
    return append(now, m_state == state::Releasing ? lease_record_kind::Release : lease_record_kind::Renewal);
}

bool duty_lease::onEra(instant now, std::uint64_t era)
{
    if (era == 0 || era <= m_era) {
        return era == 0 || era == m_era;
    }
    const bool isFirst = std::exchange(m_era, era) == 0;
    if (isFirst) {
        return true;
    }
    m_sawEraEnd = true;
    m_tookOver = true;
    m_mustRead = true;
    m_observedEnd.reset();
    if (m_state == state::Holding) {
        expireLease(now);
        m_ownRenouncedFence.reset(); // what is announced of a term of an earlier era shortens nobody's wait
    } else if (m_state == state::Releasing) {
        // A release would shorten the wait of a successor, and the log may have lost the claim of a holder after this VM.
        m_state = state::Released;
    }
    return true;
}

void duty_lease::becomeHolder(instant sentAt, std::uint64_t fence)
{
    m_state = state::Holding;
    m_fence = fence;
    m_leaseUntil = sentAt + m_options.lease;
    m_orderFrom = m_claimOrderFrom;
    m_observedEnd.reset();
    m_ownRenouncedFence.reset();
}

/// Whether the VM that appended \p record announced that it orders no more under that fence.
bool duty_lease::isRenounced(const lease_record &record, std::uint64_t offset) const
{
    const std::uint64_t fence = record.kind == lease_record_kind::Claim ? fenceOf(record.era, offset) : record.fence;
    return m_renouncedFence == fence;
}

bool duty_lease::mayHaveLostHolder(const std::optional<lease_record> &newest) const
{
    if (newest) {
        return newest->era != m_era;
    }
    return m_sawEraEnd || (m_era != 0 && !m_options.isFirstStart);
}

void duty_lease::onRead(instant now, std::uint64_t end, const std::optional<lease_record> &newest, std::uint64_t newestOffset)
{
    m_callInFlight = false;
    m_mustRead = false;
    m_end = end;
    m_nextAt = now;
    const bool mine = newest && isMine(*newest);
    if (m_state != state::Watching) {
        if (!mine) {
            // Another VM has claimed the lease, so it can't be renewed any more.
            m_state = m_state == state::Releasing ? state::Released : state::Watching;
            m_heardAt = now;
        }
        return;
    }
    m_tookOver = m_tookOver || (newest && !mine);
    m_observedEnd = end;
    m_observedFence.reset();
    instant orderFrom = now;
    if (mayHaveLostHolder(newest)) {
        orderFrom = now + m_options.lease + m_options.minHandoverTime;
        m_nextAt = now + m_options.confirmDelay;
    } else if (newest && !mine && isRenounced(*newest, newestOffset)) {
        orderFrom = std::max(now, m_renouncedOrderFrom);
    } else if (newest && newest->kind == lease_record_kind::Release) {
        orderFrom = now + std::max(milliseconds(0), m_options.minHandoverTime - newest->sinceLastOrder);
    } else if (newest && !mine) {
        orderFrom = now + m_options.lease + m_options.minHandoverTime;
        m_nextAt = now + m_options.confirmDelay;
        m_observedFence = newest->kind == lease_record_kind::Claim ? fenceOf(newest->era, newestOffset) : newest->fence;
    }
    // An earlier claim of this VM may still be appended; it was made with the wait computed at an earlier read.
    m_claimOrderFrom = mine ? std::max(m_claimOrderFrom, orderFrom) : orderFrom;
}

void duty_lease::onReadFailed(instant now)
{
    m_callInFlight = false;
    m_mustRead = true;
    m_nextAt = now + retryDelay;
}

void duty_lease::onAppended(instant now, std::uint64_t offset)
{
    if (m_pending.era != m_era) {
        // The log ends at the same offset in another era by chance.
        onAppendFailed(now, true);
        return;
    }
    m_callInFlight = false;
    m_end = offset + 1;
    switch (m_pending.kind) {
    case lease_record_kind::Claim:
        becomeHolder(m_sentAt, fenceOf(m_era, offset));
        m_nextAt = m_sentAt + m_options.renewInterval;
        return;
    case lease_record_kind::Renewal:
        if (m_state == state::Holding) {
            m_leaseUntil = m_sentAt + m_options.lease;
        }
        m_nextAt = std::max(now, m_sentAt + m_options.renewInterval);
        return;
    case lease_record_kind::Release:
        m_state = state::Released;
        return;
    }
}

void duty_lease::onAppendConflict(instant now)
{
    m_callInFlight = false;
    m_mustRead = true;
    m_observedEnd.reset();
    m_nextAt = now;
    if (m_state == state::Watching) {
        // Another VM appended a record, so it was running a moment ago.
        m_heardAt = now;
    }
}

void duty_lease::onAppendFailed(instant now, bool unknown)
{
    m_callInFlight = false;
    m_mustRead = m_mustRead || unknown;
    m_nextAt = now + retryDelay;
    if (m_state == state::Releasing) {
        m_state = state::Released;
    }
}

void duty_lease::onHolderReport(instant now)
{
    m_heardAt = now;
}

void duty_lease::onRenounced(instant now, const renounced_fence &announcement)
{
    if (m_renouncedFence == announcement.fence) {
        return;
    }
    m_renouncedFence = announcement.fence;
    m_renouncedOrderFrom = now + std::max(milliseconds(0), m_options.minHandoverTime - announcement.sinceLastOrder);
    if (m_state == state::Watching) {
        m_heardAt = std::min(m_heardAt, now - m_options.holderSilence);
        if (m_observedFence == announcement.fence) {
            // The last read found this holder. It orders no more, so the wait for its lease can be cut short.
            m_claimOrderFrom = std::min(m_claimOrderFrom, std::max(now, m_renouncedOrderFrom));
            m_nextAt = std::min(m_nextAt, now);
        }
    } else if (m_state == state::Holding && m_observedFence == announcement.fence) {
        m_orderFrom = std::min(m_orderFrom, std::max(now, m_renouncedOrderFrom));
    }
}

std::optional<renounced_fence> duty_lease::renounced(instant now) const
{
    const milliseconds sinceLastOrder = elapsedTurnTime(now);
    if (!m_ownRenouncedFence || sinceLastOrder < milliseconds(0)) {
        return std::nullopt;
    }
    return renounced_fence{*m_ownRenouncedFence, sinceLastOrder};
}

void duty_lease::yield(instant now)
{
    if (m_state == state::Holding) {
        expireLease(now);
    }
}

void duty_lease::release(instant now)
{
    if (m_state != state::Holding) {
        m_state = state::Released;
        return;
    }
    m_state = state::Releasing;
    m_ownRenouncedFence = m_fence;
    m_nextAt = now;
}

} // namespace fuchsialoom
