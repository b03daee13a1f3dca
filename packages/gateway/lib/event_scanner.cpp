/// \file
/// Whole events out of a stream of bytes.
#include "fuchsialoom/gateway/event_scanner.h"

#include <charconv>

namespace fuchsialoom
{

static constexpr std::string_view idField = "id:";

/// The number in the event's id line, or nothing.
static std::optional<std::uint64_t> idOf(std::string_view event)
{
    while (!event.empty()) {
        const std::size_t end = event.find('\n');
        std::string_view line = event.substr(0, end);
        if (line.starts_with(idField)) {
            line.remove_prefix(idField.size());
            while (line.starts_with(' ')) {
                line.remove_prefix(1);
            }
            std::uint64_t id = 0;
            const auto parsed = std::from_chars(line.data(), line.data() + line.size(), id);
            return parsed.ec == std::errc() ? std::optional(id) : std::nullopt;
        }
        event = end == std::string_view::npos ? std::string_view() : event.substr(end + 1);
    }
    return std::nullopt;
}

/// Length of the first event in \p text with the empty line that ends it; 0 when it isn't whole.
static std::size_t eventLength(std::string_view text)
{
    const std::size_t plain = text.find("\n\n");
    const std::size_t carriage = text.find("\n\r\n");
    if (carriage != std::string_view::npos && (plain == std::string_view::npos || carriage < plain)) {
        return carriage + 3;
    }
    return plain == std::string_view::npos ? 0 : plain + 2;
}

bool event_scanner::accept(std::string_view event)
{
    const std::optional<std::uint64_t> id = idOf(event);
    if (id && m_isResumed && m_lastId && *id <= *m_lastId) {
        return false;
    }
    if (id) {
        m_lastId = id;
    }
    m_count += 1;
    return true;
}

std::string event_scanner::feed(std::string_view bytes)
{
    m_rest.append(bytes);
    std::string whole;
    std::string_view text(m_rest);
    for (std::size_t length = eventLength(text); length > 0; length = eventLength(text)) {
        const std::string_view event = text.substr(0, length);
        if (accept(event)) {
            whole.append(event);
        }
        text.remove_prefix(length);
    }
    m_rest.erase(0, m_rest.size() - text.size());
    return whole;
}

void event_scanner::restart()
{
    m_rest.clear();
    m_isResumed = true;
}

} // namespace fuchsialoom
