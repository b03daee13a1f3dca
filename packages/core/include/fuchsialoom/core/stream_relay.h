/// \file
/// Decides, frame by frame, what of a target's stream reaches the caller: exactly the own text, once
/// and in order, whatever else arrives on the connection. Frames in, text out; no socket or clock.
#pragma once

#include "fuchsialoom/support/ids.h"

#include <cstdint>
#include <optional>
#include <string>

namespace fuchsialoom
{

/// One token of a stream, or its end.
struct token_frame
{
    request_id request;
    attempt_number attempt;
    std::uint64_t offset = 0; ///< index of the token in the whole answer
    std::string text;
    std::optional<std::string> finish; ///< set on the last frame, which has no text

    friend bool operator==(const token_frame &, const token_frame &) = default;
};

/// What the relay made of a frame.
enum class frame_verdict {
    Delivered, ///< its text is the next piece of the answer
    Dropped, ///< late, crossed or repeated: nothing to deliver, and counted
    Finished, ///< the answer is whole
    Broken, ///< a token is missing: this connection can't be trusted further
};

/// One request's answer, over as many connections and attempts as it takes.
class stream_relay
{
public:
    explicit stream_relay(request_id request);

    /// Begins a new connection. \p streamAttempt is the attempt that started the stream which runs at the
    /// target; nothing where that isn't known (it ran there already), in which case the first frame that
    /// fits names it.
    void attach(std::optional<attempt_number> streamAttempt);

    frame_verdict take(const token_frame &frame);

    /// The offset of the next token to deliver, which is the number of tokens delivered.
    std::uint64_t nextOffset() const
    {
        return m_nextOffset;
    }

    /// The text that was delivered.
    const std::string &text() const
    {
        return m_text;
    }

    bool finished() const
    {
        return m_finished;
    }

    /// Frames dropped over all connections.
    std::uint64_t dropped() const
    {
        return m_dropped;
    }

    /// The attempt whose frames are taken, once it is known.
    std::optional<attempt_number> streamAttempt() const
    {
        return m_attempt;
    }

private:
    bool isOwn(const token_frame &frame) const;
    frame_verdict takeFinish(const token_frame &frame);
    frame_verdict drop();

    request_id m_request;
    std::optional<attempt_number> m_attempt; ///< the stream's; of the connection in use
    std::uint64_t m_nextOffset = 0; ///< never decreases
    std::string m_text; ///< the text of the tokens below m_nextOffset
    bool m_finished = false; ///< once true, every frame is dropped
    std::uint64_t m_dropped = 0;
};

} // namespace fuchsialoom
