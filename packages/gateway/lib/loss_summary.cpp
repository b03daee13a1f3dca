/// \file
/// Implements the parser and the counts for decision logs.
#include "fuchsialoom/gateway/loss_summary.h"

#include <algorithm>
#include <charconv>
#include <vector>

namespace fuchsialoom
{

static constexpr std::string_view firstKey = "time=";

std::optional<log_record> log_record::parse(std::string_view line)
{
    const std::size_t begin = line.find(firstKey);
    if (begin == std::string_view::npos) {
        return std::nullopt;
    }
    line.remove_prefix(begin);
    log_record record;
    while (!line.empty()) {
        const std::string_view field = line.substr(0, line.find(' '));
        line.remove_prefix(std::min(line.size(), field.size() + 1));
        const std::size_t equals = field.find('=');
        if (equals != std::string_view::npos) {
            record.m_values.emplace(field.substr(0, equals), field.substr(equals + 1));
        }
    }
    return record.value("event").empty() ? std::nullopt : std::optional(std::move(record));
}

std::string_view log_record::value(std::string_view key) const
{
    const auto found = m_values.find(key);
    return found == m_values.end() ? std::string_view() : found->second;
}

std::int64_t log_record::number(std::string_view key) const
{
    const std::string_view text = value(key);
    std::int64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

static request_ending endingOfAnswered(const log_record &record)
{
    const std::int64_t objective = record.number("objective-ms");
    const bool isStream = !record.value("first-ms").empty();
    const std::int64_t first = record.number(isStream ? "first-ms" : "took-ms");
    if (objective > 0 && first > objective) {
        return 2 * record.number("waited-ms") >= objective ? request_ending::FirstLateWaiting : request_ending::FirstLateAtTarget;
    }
    const std::int64_t longest = record.number("gap-objective-ms");
    return longest > 0 && record.number("gap-ms") > longest ? request_ending::PausedLong : request_ending::OnTime;
}

std::optional<request_ending> endingOf(const log_record &record)
{
    if (record.value("event") != "done") {
        return std::nullopt;
    }
    const std::string_view result = record.value("result");
    if (result == "answered") {
        return endingOfAnswered(record);
    }
    if (result == "refused") {
        return request_ending::Refused;
    }
    return result == "abandoned" ? request_ending::Abandoned : request_ending::Failed;
}

void loss_summary::add(const log_record &record)
{
    const std::optional<request_ending> ending = endingOf(record);
    if (!ending) {
        return;
    }
    m_routes[std::string(record.value("route"))][{*ending, std::string(record.value("reason"))}] += 1;
}

std::string loss_summary::toText() const
{
    std::string text;
    for (const auto &[route, causes] : m_routes) {
        std::uint64_t total = 0;
        std::vector<std::pair<std::uint64_t, cause>> sorted;
        for (const auto &[why, count] : causes) {
            total += count;
            sorted.emplace_back(count, why);
        }
        std::ranges::sort(sorted, std::ranges::greater(), [](const auto &one) {
            return std::pair(one.second.ending != request_ending::OnTime, one.first);
        });
        for (const auto &[count, why] : sorted) {
            text.append("route=").append(route).append(" ending=").append(nameOf(why.ending)).append(" reason=").append(why.reason);
            text.append(" requests=").append(std::to_string(count)).append(" of=").append(std::to_string(total)).append("\n");
        }
    }
    return text;
}

} // namespace fuchsialoom
