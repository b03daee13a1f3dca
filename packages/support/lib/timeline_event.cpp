/// \file
/// Events and their form as key=value lines.
#include "fuchsialoom/support/timeline_event.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace fuchsialoom
{

timeline_event::timeline_event(event_kind eventKind, std::string eventSubject)
    : kind(eventKind)
    , subject(std::move(eventSubject))
{
}

timeline_event &timeline_event::with(event_field field, std::string text) &
{
    values.push_back(event_value{field, std::move(text)});
    return *this;
}

timeline_event &&timeline_event::with(event_field field, std::string text) &&
{
    values.push_back(event_value{field, std::move(text)});
    return std::move(*this);
}

static bool needsQuotes(std::string_view text)
{
    return text.empty() || std::any_of(text.begin(), text.end(), [](unsigned char letter) {
               return std::isspace(letter) != 0 || std::iscntrl(letter) != 0 || letter == '"' || letter == '=' || letter == '\\';
           });
}

static void appendValue(std::string &line, std::string_view text)
{
    if (!needsQuotes(text)) {
        line += text;
        return;
    }
    line += '"';
    for (const char letter : text) {
        if (letter == '"' || letter == '\\') {
            line += '\\';
        }
        // A control character could end the line early.
        const bool isControl = std::iscntrl(static_cast<unsigned char>(letter)) != 0;
        line += isControl ? ' ' : letter;
    }
    line += '"';
}

static void appendPair(std::string &line, std::string_view key, std::string_view text)
{
    line += ' ';
    line += key;
    line += '=';
    appendValue(line, text);
}

std::string toLogLine(const timeline_event &event)
{
    std::string line = "hlc=" + std::to_string(event.stamp.wallMicros) + '.' + std::to_string(event.stamp.counter);
    appendPair(line, "vm", event.vm.text());
    appendPair(line, "event", nameOf(event.kind));
    appendPair(line, "subject", event.subject);
    for (const event_value &value : event.values) {
        appendPair(line, nameOf(value.field), value.text);
    }
    return line;
}

} // namespace fuchsialoom
