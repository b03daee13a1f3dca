/// \file
/// Splits the bytes of an event stream into events, so that only complete events are relayed to a caller and another
/// target can resume after the last of them, and decides whether a stream that has ended is whole.
#pragma once

#include "fuchsialoom/http/answer_reader.h"
#include "fuchsialoom/support/name_table.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace fuchsialoom
{

/// What the end of a stream says about it.
enum class stream_end {
    Whole,
    InsideEvent, ///< broken off: part of an event was left over
    NoEvent, ///< broken off: it ended with its connection, before an event that the caller doesn't have
};

template<>
struct name_table<stream_end>
{
    static constexpr auto entries = std::to_array<enum_name<stream_end>>({
        {stream_end::Whole, "whole"},
        {stream_end::InsideEvent, "inside-event"},
        {stream_end::NoEvent, "no-event"},
    });
};

/// An event is a block of lines up to an empty line; lines end with LF, CRLF or CR.
class event_scanner
{
public:
    /// Adds \p bytes. \return the complete events to relay. After a restart, events up to `lastId` are omitted.
    std::string feed(std::string_view bytes);

    /// The message with the events has ended, as its framing says. \return the events to relay that this completes.
    std::string finish();

    /// Judges the stream after finish(). A connection that is closed in order ends an answer with neither length nor chunks, and
    /// may end one that its target had to break off.
    stream_end judge(answer_framing framing) const;

    /// Prepares for the stream of another attempt, which resumes after the last event.
    void restart();

    /// Id of the last relayed event; empty before the first.
    std::optional<std::uint64_t> lastId() const
    {
        return m_lastId;
    }

    /// Number of relayed events.
    std::uint64_t count() const
    {
        return m_count;
    }

    /// Bytes after the last complete event.
    const std::string &rest() const
    {
        return m_rest;
    }

private:
    std::string scan(bool isEnd);
    bool accept(std::string_view event);

    std::string m_rest;
    std::size_t m_lineStart = 0; ///< of the last, incomplete line of m_rest
    bool m_hasField = false; ///< a complete line of m_rest is neither empty nor a comment
    std::optional<std::uint64_t> m_lastId;
    std::uint64_t m_count = 0;
    std::uint64_t m_countAtRestart = 0;
    bool m_isResumed = false; ///< the stream was restarted: events that the caller has received are dropped
};

} // namespace fuchsialoom
