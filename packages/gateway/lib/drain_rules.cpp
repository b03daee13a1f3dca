/// \file
/// Estimates of request durations for a stopping VM.
#include "fuchsialoom/gateway/drain_rules.h"

#include <algorithm>

namespace fuchsialoom
{

/// Long enough for a VM to see several requests of each busy route.
static constexpr seconds windowLength{10};
/// Long enough for several running streams to produce events.
static constexpr seconds paceWindowLength{1};
/// Some streams have longer gaps between events than the mean, and an engine that fills up or takes over requests of
/// failed engines slows down further while a stream runs.
static constexpr double gapMargin = 2.5;
/// Upper bound that avoids overflow, since callers may send any token limit; longer than any shutdown.
static constexpr milliseconds maxExpectedRun = std::chrono::hours(24);

void pace_meter::record(instant now, milliseconds span, std::uint64_t events)
{
    if (m_windows[0].events == 0 || now - m_windows[0].from >= paceWindowLength) {
        m_windows[1] = m_windows[0];
        m_windows[0] = window{now};
    }
    m_windows[0].span += span;
    m_windows[0].events += events;
}

double pace_meter::current(instant now) const
{
    milliseconds span{0};
    std::uint64_t events = 0;
    for (const window &period : m_windows) {
        if (period.events > 0 && now - period.from < 2 * paceWindowLength) {
            span += period.span;
            events += period.events;
        }
    }
    return events > 0 ? static_cast<double>(span.count()) / static_cast<double>(events) : 0;
}

bool run_meter::isFresh(instant now, const window &period) const
{
    return period.runs > 0 && now - period.from < 2 * windowLength;
}

void run_meter::record(instant now, const run_sample &sample)
{
    if (m_windows[0].runs == 0 || now - m_windows[0].from >= windowLength) {
        m_windows[1] = m_windows[0];
        m_windows[0] = window{now};
    }
    window &current = m_windows[0];
    current.runs += 1;
    current.longestFirst = std::max(current.longestFirst, sample.first);
    current.longestRest = std::max(current.longestRest, sample.rest);
    current.rest += sample.rest;
    current.events += sample.events;
    if (sample.outputTokens > 0) {
        current.eventsPerToken = std::max(current.eventsPerToken, static_cast<double>(sample.events) / sample.outputTokens);
    }
}

milliseconds run_meter::expected(instant now, std::uint32_t outputTokens, double currentPace, milliseconds fallback) const
{
    milliseconds first{0};
    milliseconds longestRest{0};
    milliseconds rest{0};
    std::uint64_t events = 0;
    double eventsPerToken = 0;
    bool known = false;
    for (const window &period : m_windows) {
        if (!isFresh(now, period)) {
            continue;
        }
        known = true;
        first = std::max(first, period.longestFirst);
        longestRest = std::max(longestRest, period.longestRest);
        rest += period.rest;
        events += period.events;
        eventsPerToken = std::max(eventsPerToken, period.eventsPerToken);
    }
    if (!known) {
        return fallback;
    }
    if (outputTokens == 0) {
        return first + longestRest;
    }
    const double endedPace = events > 0 ? static_cast<double>(rest.count()) / static_cast<double>(events) : 0;
    const double gap = std::max(endedPace, currentPace);
    const double maxEvents = eventsPerToken * outputTokens;
    const double restEstimate = std::min(gapMargin * gap * maxEvents, static_cast<double>(maxExpectedRun.count()));
    return first + milliseconds(static_cast<std::int64_t>(restEstimate));
}

} // namespace fuchsialoom
