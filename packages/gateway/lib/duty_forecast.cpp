/// \file
/// Implements the estimate of the next orders.
#include "fuchsialoom/gateway/duty_forecast.h"

#include <algorithm>

namespace fuchsialoom
{

/// A holder not heard from for this long may be gone. Covers several of its digests.
static constexpr milliseconds holderTimeout{800};
/// Time from a holder's last report to its successor's first order: the silence is noticed after 1 to 1.4 s, followed
/// by the lease of 1.5 s and the turn time of 3.5 s.
static constexpr milliseconds takeoverTime{6200};
/// Estimate once takeoverTime has passed. The platform's store is then unavailable or slow and the time to the next order
/// is unknown, so callers check again after this.
static constexpr milliseconds minTakeoverTime{1500};

milliseconds duty_forecast::timeToOrders(instant now, std::optional<instant> own) const
{
    instant expected = now;
    if (own) {
        expected = *own;
    } else if (m_lastReport && now - m_lastReport->heardAt < holderTimeout) {
        expected = m_lastReport->ordersFrom;
    } else if (m_lastReport) {
        expected = std::max(m_lastReport->heardAt + takeoverTime, now + minTakeoverTime);
    }
    return std::max(milliseconds(0), std::chrono::duration_cast<milliseconds>(expected - now));
}

} // namespace fuchsialoom
