/// \file
/// Cuts the bytes of an event stream at the ends of its events, so that only whole events go on to a
/// caller and another target can continue after the last of them.
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
    /// Adds \p bytes. \return the whole events that they complete, to be passed on; those up to `lastId`
    /// are left out.
    std::string feed(std::string_view bytes);

    /// Starts on another target's stream, which continues after the last event.
    void restart();

    /// Id of the last event that was passed on; nothing before the first.
    std::optional<std::uint64_t> lastId() const
    {
        return m_lastId;
    }

    /// Events passed on.
    std::uint64_t count() const
    {
        return m_count;
    }

    /// Bytes after the last whole event.
    const std::string &rest() const
    {
        return m_rest;
    }

private:
    bool accept(std::string_view event);

    std::string m_rest;
    std::optional<std::uint64_t> m_lastId;
    std::uint64_t m_count = 0;
    bool m_isResumed = false; ///< another target's stream: events that the caller has are dropped
};

} // namespace fuchsialoom
