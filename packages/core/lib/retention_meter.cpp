/// \file
/// How long the log keeps the records of one stream.
#include "fuchsialoom/core/retention_meter.h"

#include <algorithm>

namespace fuchsialoom
{

static constexpr std::size_t mostSamples = 4096;

static milliseconds ageAt(wall_instant written, wall_instant when)
{
    return std::max(std::chrono::duration_cast<milliseconds>(when - written), milliseconds(0));
}

void retention_meter::recordSeen(log_offset offset, wall_instant written, milliseconds spacing)
{
    if (!m_samples.empty() && (offset <= m_samples.back().offset || written < m_samples.back().written + spacing)) {
        return;
    }
    m_samples.push_back(sample{offset, written});
    if (m_samples.size() > mostSamples) {
        m_samples.pop_front();
    }
}

void retention_meter::logSeen(log_offset first, wall_instant now)
{
    m_hasTrimmed = m_hasTrimmed || first.value() > 1;
    while (!m_samples.empty() && m_samples.front().offset < first) {
        // It was there when the log was last seen, and went at some time since then.
        m_kept = ageAt(m_samples.front().written, m_seenAt.value_or(now));
        m_samples.pop_front();
    }
    m_seenAt = now;
}

std::optional<milliseconds> retention_meter::kept(wall_instant now) const
{
    if (!m_hasTrimmed || m_samples.empty()) {
        return m_kept;
    }
    const milliseconds oldest = ageAt(m_samples.front().written, std::min(now, m_seenAt.value_or(now)));
    return std::max(oldest, m_kept.value_or(milliseconds(0)));
}

} // namespace fuchsialoom
