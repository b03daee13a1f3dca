/// \file
/// Parses the decision logs of any number of VMs, and counts how requests ended, by cause, from the last line of each.
#pragma once

#include "fuchsialoom/support/ids.h"
#include "fuchsialoom/support/name_table.h"
#include "fuchsialoom/support/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace fuchsialoom
{

/// How a request ended, for its caller.
enum class request_ending {
    OnTime,
    FirstLateWaiting, ///< its first event was late after it waited in the queue for at least half of its objective
    FirstLateAtTarget, ///< its first event was late for any other reason
    PausedLong, ///< a pause between events exceeded the objective
    Refused,
    Failed,
    Abandoned, ///< its caller disconnected first
};

template<>
struct name_table<request_ending>
{
    static constexpr auto entries = std::to_array<enum_name<request_ending>>({
        {request_ending::OnTime, "on-time"},
        {request_ending::FirstLateWaiting, "first-late-waiting"},
        {request_ending::FirstLateAtTarget, "first-late-at-target"},
        {request_ending::PausedLong, "paused-long"},
        {request_ending::Refused, "refused"},
        {request_ending::Failed, "failed"},
        {request_ending::Abandoned, "abandoned"},
    });
};

/// One line of a decision log, as `key=value` pairs; values contain no spaces.
class log_record
{
public:
    /// \return nothing if \p line isn't from a decision log. Skips anything before the time, so that lines prefixed by a
    /// log collector can be parsed.
    static std::optional<log_record> parse(std::string_view line);

    /// Empty if the line has no \p key.
    std::string_view value(std::string_view key) const;
    /// 0 if the line has no \p key or its value isn't a number.
    std::int64_t number(std::string_view key) const;

    milliseconds wallTime() const
    {
        return milliseconds(number("time"));
    }

private:
    std::map<std::string, std::string, std::less<>> m_values;
};

/// \return nothing if \p record doesn't end a request.
std::optional<request_ending> endingOf(const log_record &record);

/// Counts endings by route and logged reason.
class loss_summary
{
public:
    struct cause
    {
        request_ending ending = request_ending::OnTime;
        std::string reason;

        friend auto operator<=>(const cause &, const cause &) = default;
    };

    void add(const log_record &record);

    const std::map<std::string, std::map<cause, std::uint64_t>> &routes() const
    {
        return m_routes;
    }

    /// One line per route and cause; within a route, losses come first, most frequent first.
    std::string toText() const;

private:
    std::map<std::string, std::map<cause, std::uint64_t>> m_routes;
};

} // namespace fuchsialoom
