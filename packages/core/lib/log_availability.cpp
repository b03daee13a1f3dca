/// \file
/// Whether the log answers.
#include "fuchsialoom/core/log_availability.h"

namespace fuchsialoom
{

log_availability::log_availability(backoff_limits limits, std::uint64_t seed)
    : m_backoff(limits, seed)
{
}

std::optional<timeline_event> log_availability::answered(instant now, instant due)
{
    if (now > due) {
        return failed(now);
    }
    m_backoff.succeeded();
    m_nextTry = instant();
    if (!m_downSince) {
        return std::nullopt;
    }
    const auto outage = std::chrono::duration_cast<milliseconds>(now - *m_downSince);
    m_downSince.reset();
    return timeline_event(event_kind::LogRecovered, "log").with(event_field::ElapsedMs, outage.count());
}

std::optional<timeline_event> log_availability::failed(instant now)
{
    m_nextTry = m_backoff.failed(now);
    if (m_downSince) {
        return std::nullopt;
    }
    m_downSince = now;
    return timeline_event(event_kind::LogUnavailable, "log");
}

} // namespace fuchsialoom
