/// \file
/// Reads the decision log of any number of VMs back: the lines of one request, and what all requests lost by
/// cause, from the line that each ends with.
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
    FirstLateWaiting, ///< its first event was late, and it had waited here for half of its objective or more
    FirstLateAtTarget, ///< its first event was late, and the target took most of the time
    PausedLong, ///< a pause between events exceeded the objective
    Refused,
    Failed,
    Abandoned, ///< its caller left first
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

/// One line of a decision log; values are single words.
class log_record
{
public:
    /// \return nothing for a line that is none of a decision log. What stands before the line's time is skipped, so
    /// that lines which a collector has prefixed can be read.
    static std::optional<log_record> parse(std::string_view line);

    /// Empty where the line hasn't \p key.
    std::string_view value(std::string_view key) const;
    /// 0 where the line hasn't \p key, or it holds no number.
    std::int64_t number(std::string_view key) const;

    milliseconds wallTime() const
    {
        return milliseconds(number("time"));
    }

private:
    std::map<std::string, std::string, std::less<>> m_values;
};

/// \return nothing for a line that ends no request.
std::optional<request_ending> endingOf(const log_record &record);

/// Counts of endings by route, with the reason that the log gives for each.
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

    /// A line for each route and cause, the largest losses of a route first.
    std::string toText() const;

private:
    std::map<std::string, std::map<cause, std::uint64_t>> m_routes;
};

} // namespace fuchsialoom
