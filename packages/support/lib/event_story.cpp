/// \file
/// Events of several VMs for a person.
#include "fuchsialoom/support/event_story.h"

#include <algorithm>
#include <cstdio>

namespace fuchsialoom
{

static bool isBefore(const timeline_event &left, const timeline_event &right)
{
    if (left.stamp != right.stamp) {
        return left.stamp < right.stamp;
    }
    return left.vm < right.vm;
}

std::vector<timeline_event> mergeEvents(std::vector<timeline_event> events)
{
    std::stable_sort(events.begin(), events.end(), isBefore);
    events.erase(std::unique(events.begin(), events.end()), events.end());
    return events;
}

/// For example `+1.250s`.
static std::string renderOffset(std::int64_t micros)
{
    static constexpr std::int64_t microsPerMilli = 1000;
    static constexpr std::int64_t millisPerSecond = 1000;
    const std::int64_t millis = micros / microsPerMilli;
    std::string fraction = std::to_string(millis % millisPerSecond);
    fraction.insert(0, 3 - fraction.size(), '0');
    return '+' + std::to_string(millis / millisPerSecond) + '.' + fraction + 's';
}

static std::string padded(std::string text, std::size_t width)
{
    text.resize(std::max(width, text.size()), ' ');
    return text;
}

std::vector<std::string> renderStory(std::string_view subject, const std::vector<timeline_event> &events)
{
    static constexpr std::size_t offsetWidth = 10;
    static constexpr std::size_t eventWidth = 20;
    std::size_t vmWidth = 0;
    for (const timeline_event &event : events) {
        vmWidth = std::max(vmWidth, event.vm.text().size());
    }
    std::vector<std::string> lines;
    for (const timeline_event &event : events) {
        const std::int64_t offset = std::max<std::int64_t>(0, event.stamp.wallMicros - events.front().stamp.wallMicros);
        std::string line = padded(renderOffset(offset), offsetWidth) + ' ' + padded(event.vm.text(), vmWidth) + ' '
            + padded(std::string(nameOf(event.kind)), eventWidth);
        if (event.subject != subject) {
            line += ' ' + event.subject;
        }
        for (const event_value &value : event.values) {
            if (value.text != subject) {
                line += ' ' + std::string(nameOf(value.field)) + '=' + value.text;
            }
        }
        line.erase(line.find_last_not_of(' ') + 1);
        lines.push_back(std::move(line));
    }
    return lines;
}

} // namespace fuchsialoom
