/// \file
/// When orders are given next.
#include "fuchsialoom/gateway/duty_forecast.h"

#include <algorithm>

namespace fuchsialoom
{

/// A holder that wasn't heard for so long may be gone: several of its digests.
static constexpr milliseconds holderTimeout{800};
/// From a holder's last word to its successor's first order: its silence is noticed after 1 to 1.4 s, then come its
/// lease of 1.5 s and a turn of 3.5 s.
static constexpr milliseconds takeoverTime{6200};
/// Where that has passed already, the platform's store is away or slow, and nothing is known; look again after this.
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
