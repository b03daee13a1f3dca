/// \file
/// Splits the bytes of an event stream into events, so that only complete events are relayed to a caller and another
/// target can resume after the last of them.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace fuchsialoom
{

class event_scanner
{
public:
    /// Adds \p bytes. \return the complete events to relay. After a restart, events up to `lastId` are omitted.
    std::string feed(std::string_view bytes);

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
    bool accept(std::string_view event);

    std::string m_rest;
    std::optional<std::uint64_t> m_lastId;
    std::uint64_t m_count = 0;
    bool m_isResumed = false; ///< the stream was restarted: events that the caller has received are dropped
};

} // namespace fuchsialoom
