/// \file
/// The lease of the duty.
#include "fuchsialoom/gateway/duty_lease.h"

#include <algorithm>

namespace fuchsialoom
{

/// After a failed call the next one waits so long.
static constexpr milliseconds retryPause{200};

duty_lease::duty_lease(lease_options options, instant now)
    : m_options(std::move(options))
    , m_nextAt(now)
    , m_heardAt(now)
{
}

bool duty_lease::isMine(const lease_record &record) const
{
    return record.holder == m_options.vm && record.incarnation == m_options.incarnation;
}

lease_action duty_lease::append(instant now, lease_record_kind kind)
{
    m_pending = {kind, m_options.vm, m_options.incarnation, kind == lease_record_kind::Claim ? 0 : m_fence, m_sinceLastOrder};
    m_sentAt = now;
    m_busy = true;
    return lease_action::Append;
}

lease_action duty_lease::tick(instant now)
{
    if (m_busy || now < m_nextAt || m_state == state::Released) {
        return lease_action::None;
    }
    if (m_state == state::Watching) {
        if (now - m_heardAt < m_options.holderSilence) {
            m_seenEnd.reset();
            return lease_action::None;
        }
        if (m_seenEnd && !m_mustRead) {
            return append(now, lease_record_kind::Claim);
        }
    }
    if (m_mustRead || m_state == state::Watching) {
        m_busy = true;
        return lease_action::Read;
    }
    return append(now, m_state == state::Releasing ? lease_record_kind::Release : lease_record_kind::Renewal);
}

void duty_lease::becomeHolder(instant sentAt, std::uint64_t fence)
{
    m_state = state::Holding;
    m_fence = fence;
    m_leaseUntil = sentAt + m_options.lease;
    m_orderFrom = m_claimOrderFrom;
    m_seenEnd.reset();
}

void duty_lease::onRead(instant askedAt,
                        instant now,
                        std::uint64_t end,
                        const std::optional<lease_record> &newest,
                        std::uint64_t newestOffset)
{
    m_busy = false;
    m_mustRead = false;
    m_end = end;
    m_newest = newest;
    const bool mine = newest && isMine(*newest);
    if (m_state != state::Watching) {
        if (!mine) {
            // Somebody else has claimed it: nothing of ours is renewed any more.
            m_state = m_state == state::Releasing ? state::Released : state::Watching;
            m_heardAt = now;
        }
        m_nextAt = now;
        return;
    }
    if (mine && newest->kind != lease_record_kind::Release) {
        // A claim whose answer was lost. Its lease counts from a send that is long past, so it is renewed first.
        becomeHolder(askedAt - m_options.lease, newest->kind == lease_record_kind::Claim ? newestOffset : newest->fence);
        m_nextAt = now;
        return;
    }
    m_tookOver = newest.has_value();
    m_seenEnd = end;
    m_seenAt = now;
    m_nextAt = now;
    instant orderFrom = now;
    if (newest && newest->kind == lease_record_kind::Release) {
        orderFrom = now + std::max(milliseconds(0), m_options.turnTime - newest->sinceLastOrder);
    } else if (newest) {
        orderFrom = now + m_options.lease + m_options.turnTime;
        m_nextAt = now + m_options.confirm;
    }
    m_claimOrderFrom = std::max(m_claimOrderFrom, orderFrom);
}

void duty_lease::onReadFailed(instant now)
{
    m_busy = false;
    m_mustRead = true;
    m_nextAt = now + retryPause;
}

void duty_lease::onAppended(instant now, std::uint64_t offset)
{
    m_busy = false;
    m_end = offset + 1;
    switch (m_pending.kind) {
    case lease_record_kind::Claim:
        becomeHolder(m_sentAt, offset);
        m_nextAt = m_sentAt + m_options.renewEvery;
        return;
    case lease_record_kind::Renewal:
        m_leaseUntil = m_sentAt + m_options.lease;
        m_nextAt = std::max(now, m_sentAt + m_options.renewEvery);
        return;
    case lease_record_kind::Release:
        m_state = state::Released;
        return;
    }
}

void duty_lease::onMoved(instant now)
{
    m_busy = false;
    m_mustRead = true;
    m_seenEnd.reset();
    m_nextAt = now;
    if (m_state == state::Watching) {
        // Whoever appended lives, or did just now.
        m_heardAt = now;
    }
}

void duty_lease::onAppendFailed(instant now, bool unknown)
{
    m_busy = false;
    m_mustRead = m_mustRead || unknown;
    m_nextAt = now + retryPause;
    if (m_state == state::Releasing) {
        m_state = state::Released;
    }
}

void duty_lease::onHolderHeard(instant now)
{
    m_heardAt = now;
}

void duty_lease::release(instant now, std::optional<instant> lastOrder)
{
    if (m_state != state::Holding) {
        m_state = state::Released;
        return;
    }
    m_state = state::Releasing;
    const milliseconds since = lastOrder ? std::chrono::duration_cast<milliseconds>(now - *lastOrder) : m_options.turnTime;
    // Before its first order this VM waits for the turn of the holder before it, which its successor must do too.
    const bool waited = now >= m_orderFrom;
    m_sinceLastOrder = waited ? since : std::min(since, m_options.turnTime - std::chrono::duration_cast<milliseconds>(m_orderFrom - now));
    m_sinceLastOrder = std::max(m_sinceLastOrder, milliseconds(0));
    m_nextAt = now;
}

} // namespace fuchsialoom
