/// \file
/// Splits a byte stream into events.
#include "fuchsialoom/gateway/event_scanner.h"

#include <charconv>

namespace fuchsialoom
{

static constexpr std::string_view idField = "id:";
static constexpr char commentMark = ':';

/// The number in the event's id field, if any.
static std::optional<std::uint64_t> idOf(std::string_view event)
{
    while (!event.empty()) {
        const std::size_t end = event.find_first_of("\r\n");
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

struct line_end
{
    std::size_t at = std::string_view::npos; ///< first byte after the line's content; npos: the line is incomplete
    std::size_t next = 0; ///< first byte of the next line
};

/// \p isEnd: nothing follows \p text, so a CR at its end isn't the first half of a CRLF.
static line_end findLineEnd(std::string_view text, std::size_t from, bool isEnd)
{
    const std::size_t feed = text.find('\n', from);
    const std::size_t carriage = text.substr(0, feed).find('\r', from);
    if (carriage == std::string_view::npos) {
        return {feed, feed + 1};
    }
    if (carriage + 1 == feed) {
        return {carriage, feed + 1};
    }
    if (carriage + 1 == text.size() && !isEnd) {
        return {};
    }
    return {carriage, carriage + 1};
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
    m_count += m_hasField ? 1 : 0;
    return true;
}

std::string event_scanner::scan(bool isEnd)
{
    std::string whole;
    const std::string_view text(m_rest);
    std::size_t eventStart = 0;
    for (line_end end = findLineEnd(text, m_lineStart, isEnd); end.at != std::string_view::npos;
         end = findLineEnd(text, m_lineStart, isEnd)) {
        const bool isEmpty = end.at == m_lineStart;
        if (!isEmpty) {
            m_hasField = m_hasField || text[m_lineStart] != commentMark;
            m_lineStart = end.next;
            continue;
        }
        const std::string_view event = text.substr(eventStart, end.next - eventStart);
        if (accept(event)) {
            whole.append(event);
        }
        m_hasField = false;
        m_lineStart = end.next;
        eventStart = end.next;
    }
    m_rest.erase(0, eventStart);
    m_lineStart -= eventStart;
    return whole;
}

std::string event_scanner::feed(std::string_view bytes)
{
    m_rest.append(bytes);
    return scan(false);
}

std::string event_scanner::finish()
{
    return scan(true);
}

stream_end event_scanner::judge(answer_framing framing) const
{
    if (m_hasField || m_lineStart < m_rest.size()) {
        return stream_end::InsideEvent;
    }
    const bool hasNews = m_count > m_countAtRestart;
    return framing == answer_framing::Connection && !hasNews ? stream_end::NoEvent : stream_end::Whole;
}

void event_scanner::restart()
{
    m_rest.clear();
    m_lineStart = 0;
    m_hasField = false;
    m_countAtRestart = m_count;
    m_isResumed = true;
}

} // namespace fuchsialoom
