/// \file
/// The commands `timeline` and `explain`.
#include "events.h"

#include "admin_client.h"
#include "fuchsialoom/node/process_options.h"
#include "fuchsialoom/support/errors.h"
#include "fuchsialoom/support/event_story.h"
#include "log_commands.h"

#include <httplib.h>

#include <chrono>
#include <iostream>
#include <optional>

namespace fuchsialoom::ctl
{

using json = nlohmann::json;

static constexpr std::string_view sincePrefix = "--since=";
static constexpr const char *timelineForm = "timeline [--since SECONDS]";

static std::optional<timeline_event> readEvent(const json &from)
{
    const std::optional<event_kind> kind = parseName<event_kind>(from.value("event", ""));
    if (!kind) {
        return std::nullopt;
    }
    timeline_event event(*kind, from.value("subject", ""));
    event.stamp = hlc_stamp{from.value("wall_micros", std::int64_t{0}), from.value("counter", std::uint32_t{0})};
    event.vm = vm_id(from.value("vm", ""));
    for (const auto &[name, text] : from.at("values").items()) {
        if (const std::optional<event_field> field = parseName<event_field>(name)) {
            event.values.push_back(event_value{*field, text.get<std::string>()});
        }
    }
    return event;
}

/// The events that the VMs named know, their peers' included, in order.
static std::vector<timeline_event> askAll(const context &with, const std::string &query)
{
    std::vector<timeline_event> all;
    bool isAnswered = false;
    for (const endpoint &vm : with.vms) {
        const std::optional<json> answer = askOne(vm, "/events?all=1" + query);
        if (!answer || !answer->contains("events")) {
            std::cerr << "fuchsialoomctl: " << toText(vm) << " doesn't answer\n";
            continue;
        }
        isAnswered = true;
        for (const json &entry : (*answer)["events"]) {
            if (std::optional<timeline_event> event = readEvent(entry)) {
                all.push_back(std::move(*event));
            }
        }
    }
    if (!isAnswered) {
        throw error(error_kind::PeerUnreachable, "none of the VMs answers");
    }
    return mergeEvents(std::move(all));
}

static std::string sinceQuery(const std::string &argument)
{
    static constexpr std::size_t longestSeconds = 31536000;
    if (!argument.starts_with(sincePrefix)) {
        throw error(error_kind::InvalidOption, "'" + argument + "' is not expected; usage: " + timelineForm);
    }
    const std::size_t back = parseCount("since", argument.substr(sincePrefix.size()), 0, longestSeconds);
    const auto since = std::chrono::system_clock::now() - std::chrono::seconds(back);
    return "&since=" + std::to_string(std::chrono::duration_cast<std::chrono::microseconds>(since.time_since_epoch()).count());
}

static std::string timeOf(const timeline_event &event)
{
    static constexpr std::int64_t microsAMs = 1000;
    return utcText(event.stamp.wallMicros / microsAMs);
}

exit_code showTimeline(const context &with, const words &arguments)
{
    requireWords(arguments, 0, 1, timelineForm);
    for (const timeline_event &event : askAll(with, arguments.empty() ? std::string() : sinceQuery(arguments.front()))) {
        std::cout << "time=" << timeOf(event) << ' ' << toLogLine(event) << '\n';
    }
    return exit_code::Done;
}

exit_code explain(const context &with, const words &arguments)
{
    if (arguments.size() > 1) {
        return explainFromFiles(arguments.front(), words(arguments.begin() + 1, arguments.end()));
    }
    requireWords(arguments, 1, 1, "explain ID [FILE...]");
    const std::string &subject = arguments.front();
    const std::vector<timeline_event> events = askAll(with, "&subject=" + httplib::detail::encode_query_param(subject));
    if (events.empty()) {
        std::cerr << "fuchsialoomctl: nothing is known of '" << subject << "'\n";
        return exit_code::Failed;
    }
    std::cout << subject << ", first seen " << timeOf(events.front()) << '\n';
    for (const std::string &line : renderStory(subject, events)) {
        std::cout << line << '\n';
    }
    return exit_code::Done;
}

} // namespace fuchsialoom::ctl
