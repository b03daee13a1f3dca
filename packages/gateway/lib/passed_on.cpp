/// \file
/// Encoding of the mark of a passed-on request: numbers in a fixed order, separated by spaces.
#include "fuchsialoom/gateway/passed_on.h"

#include <charconv>
#include <limits>
#include <string>
#include <string_view>

namespace fuchsialoom
{

static constexpr std::string_view markName = "Fuchsialoom-Passed-On";
static constexpr milliseconds maxAge = std::chrono::hours(1);

void writeMark(header_list &headers, const passed_on_mark &mark)
{
    std::string text = std::to_string(mark.age.count()) + ' ' + std::to_string(mark.attempts) + ' ' + (mark.isCharged ? '1' : '0') + ' '
        + std::to_string(mark.configVersion);
    if (mark.resumeAfter) {
        text += ' ' + std::to_string(*mark.resumeAfter);
    }
    headers.set(markName, std::move(text));
}

/// Takes the next number of \p text.
static std::optional<std::uint64_t> takeNumber(std::string_view &text, std::uint64_t most)
{
    std::uint64_t number = 0;
    const auto [end, problem] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (problem != std::errc() || number > most) {
        return std::nullopt;
    }
    text.remove_prefix(static_cast<std::size_t>(end - text.data()));
    if (text.starts_with(' ')) {
        text.remove_prefix(1);
    }
    return number;
}

std::optional<passed_on_mark> takeMark(header_list &headers)
{
    const std::string *found = headers.find(markName);
    if (!found) {
        return std::nullopt;
    }
    const std::string value = *found;
    headers.erase(markName);
    std::string_view text = value;
    const auto age = takeNumber(text, static_cast<std::uint64_t>(maxAge.count()));
    const auto attempts = takeNumber(text, std::numeric_limits<std::uint32_t>::max());
    const auto charged = takeNumber(text, 1);
    const auto version = takeNumber(text, std::numeric_limits<std::uint64_t>::max());
    if (!age || !attempts || !charged || !version) {
        return std::nullopt;
    }
    passed_on_mark mark;
    mark.age = milliseconds(static_cast<std::int64_t>(*age));
    mark.attempts = static_cast<std::uint32_t>(*attempts);
    mark.isCharged = *charged == 1;
    mark.configVersion = *version;
    if (!text.empty()) {
        mark.resumeAfter = takeNumber(text, std::numeric_limits<std::uint64_t>::max());
    }
    return mark;
}

} // namespace fuchsialoom
