/// \file
/// One append to the log.
#include "fuchsialoom/core/append_tracker.h"

#include <algorithm>
#include <cassert>

namespace fuchsialoom
{

append_tracker::append_tracker(instant deadline, backoff_limits retry, std::uint64_t seed)
    : m_deadline(deadline)
    , m_backoff(retry, seed)
{
}

append_decision append_tracker::next(instant now) const
{
    if (m_offset) {
        return append_decision{append_step::Taken, {}, *m_offset};
    }
    if (now >= m_deadline) {
        return append_decision{mayLand() ? append_step::Unknown : append_step::NotTaken, {}, {}};
    }
    if (m_inProgress) {
        return append_decision{append_step::Wait, m_deadline, {}};
    }
    if (now >= m_nextTry) {
        return append_decision{append_step::Send, {}, {}};
    }
    return append_decision{append_step::Wait, std::min(m_nextTry, m_deadline), {}};
}

void append_tracker::sent()
{
    assert(!m_inProgress && "one try is in progress at a time");
    m_inProgress = true;
}

void append_tracker::answered(instant now, const append_result &result)
{
    m_inProgress = false;
    if (result.status == append_status::Appended) {
        seen(result.offset);
        return;
    }
    if (result.status == append_status::Uncertain) {
        m_mayHaveLanded = true;
    }
    m_nextTry = m_backoff.failed(now);
}

void append_tracker::seen(log_offset offset)
{
    m_offset = m_offset ? std::min(*m_offset, offset) : offset;
}

} // namespace fuchsialoom
