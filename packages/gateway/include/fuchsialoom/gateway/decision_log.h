/// \file
/// The log of an event loop: one key=value line for each decision, on standard output. It never blocks:
/// lines wait in a bounded buffer, and what doesn't fit is dropped and counted in a line of its own.
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

/// One line under way: `log_line("refused", id).with("reason", "no-room")`.
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
    /// Writes to the descriptor \p output, which is made non-blocking.
    decision_log(int output, std::string vm);

    /// Lines that decide nothing for a request are written always, those of requests while the second's
    /// share of them lasts.
    void write(instant now, const log_line &line);
    void writeRequest(instant now, const log_line &line);

    /// Writes what waits, as far as the reader takes it. To be called now and then.
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
    instant m_secondStart{}; ///< start of the second that m_linesThisSecond counts
    std::uint32_t m_linesThisSecond = 0;
    std::uint64_t m_dropped = 0; ///< since the last line that told of it
    std::uint64_t m_droppedTotal = 0;
};

} // namespace fuchsialoom
