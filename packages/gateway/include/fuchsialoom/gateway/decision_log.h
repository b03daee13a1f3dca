/// \file
/// Structured log of an event loop, on standard output: one line of key=value fields per decision. It never blocks: lines
/// are kept in a bounded buffer, and lines that don't fit are dropped and counted in a line of their own.
#pragma once

#include "fuchsialoom/support/ids.h"
#include "fuchsialoom/support/name_table.h"
#include "fuchsialoom/support/time.h"

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>

namespace fuchsialoom
{

/// Builds one line: `log_line("refused", id).with("reason", "no-room")`.
class log_line
{
public:
    explicit log_line(std::string_view decision);
    log_line(std::string_view decision, const request_id &request);

    log_line &with(std::string_view key, std::string_view value) &;
    log_line &&with(std::string_view key, std::string_view value) &&;

    template<std::integral Number>
    log_line &&with(std::string_view key, Number value) &&
    {
        return std::move(*this).with(key, std::string_view(std::to_string(value)));
    }
    template<typename Tag>
    log_line &&with(std::string_view key, const text_id<Tag> &id) &&
    {
        return std::move(*this).with(key, std::string_view(id.text()));
    }
    template<named_enum Enum>
    log_line &&with(std::string_view key, Enum value) &&
    {
        return std::move(*this).with(key, nameOf(value));
    }
    log_line &&with(std::string_view key, milliseconds value) &&
    {
        return std::move(*this).with(key, value.count());
    }

    const std::string &text() const
    {
        return m_text;
    }

private:
    std::string m_text;
};

class decision_log
{
public:
    /// Writes to the file descriptor \p output, which is made non-blocking.
    decision_log(int output, std::string vm);

    /// Appends a line that isn't about a request.
    void write(instant now, const log_line &line);
    /// Appends a line about a request, or drops it if this second's limit on such lines is reached.
    void writeRequest(instant now, const log_line &line);

    /// Writes buffered lines until the descriptor would block. To be called periodically.
    void flush();

    std::uint64_t dropped() const
    {
        return m_droppedTotal;
    }

private:
    void append(instant now, const log_line &line);

    int m_output;
    std::string m_vm;
    std::string m_buffer;
    instant m_secondStart{}; ///< start of the second in which m_linesThisSecond counts
    std::uint32_t m_linesThisSecond = 0;
    std::uint64_t m_dropped = 0; ///< since the last log-dropped line
    std::uint64_t m_droppedTotal = 0;
};

} // namespace fuchsialoom
