/// \file
/// What of a target's stream reaches the caller.
#include "fuchsialoom/core/stream_relay.h"

#include <utility>

namespace fuchsialoom
{

stream_relay::stream_relay(request_id request)
    : m_request(std::move(request))
{
}

void stream_relay::attach(std::optional<attempt_number> streamAttempt)
{
    m_attempt = streamAttempt;
}

bool stream_relay::isOwn(const token_frame &frame) const
{
    return frame.request == m_request && (!m_attempt || frame.attempt == *m_attempt);
}

frame_verdict stream_relay::drop()
{
    ++m_dropped;
    return frame_verdict::Dropped;
}

frame_verdict stream_relay::takeFinish(const token_frame &frame)
{
    // An end before or after the next token would cut the answer short unseen.
    if (frame.offset != m_nextOffset || !frame.text.empty()) {
        return frame_verdict::Broken;
    }
    m_finished = true;
    return frame_verdict::Finished;
}

frame_verdict stream_relay::take(const token_frame &frame)
{
    if (m_finished || !isOwn(frame)) {
        return drop();
    }
    if (frame.finish) {
        return takeFinish(frame);
    }
    if (frame.offset < m_nextOffset) {
        return drop();
    }
    if (frame.offset > m_nextOffset) {
        return frame_verdict::Broken;
    }
    m_attempt = frame.attempt;
    m_text += frame.text;
    ++m_nextOffset;
    return frame_verdict::Delivered;
}

} // namespace fuchsialoom
