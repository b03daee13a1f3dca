/// \file
/// What requests take, for a VM that stops.
#include "fuchsialoom/gateway/drain_rules.h"

#include <algorithm>

namespace fuchsialoom
{

/// A window's length: a VM sees several requests of each busy route in it.
static constexpr seconds windowLength{10};
/// Of the pace of streams under way: several of them make events in it.
static constexpr seconds paceWindowLength{1};
/// Pauses between events are longer for some streams than on the mean, and an engine that fills up or takes over what
/// others lose goes on becoming slower while a stream runs.
static constexpr double gapMargin = 2.5;
/// Longer than any stop; a caller may name any number of tokens.
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

double pace_meter::present(instant now) const
{
    milliseconds span{0};
    std::uint64_t events = 0;
    for (const window &one : m_windows) {
        if (one.events > 0 && now - one.from < 2 * paceWindowLength) {
            span += one.span;
            events += one.events;
        }
    }
    return events > 0 ? static_cast<double>(span.count()) / static_cast<double>(events) : 0;
}

bool run_meter::isFresh(instant now, const window &one) const
{
    return one.runs > 0 && now - one.from < 2 * windowLength;
}

void run_meter::record(instant now, const run_sample &sample)
{
    if (m_windows[0].runs == 0 || now - m_windows[0].from >= windowLength) {
        m_windows[1] = m_windows[0];
        m_windows[0] = window{now};
    }
    window &present = m_windows[0];
    present.runs += 1;
    present.longestFirst = std::max(present.longestFirst, sample.first);
    present.longestRest = std::max(present.longestRest, sample.rest);
    present.rest += sample.rest;
    present.events += sample.events;
    if (sample.outputTokens > 0) {
        present.eventsPerToken = std::max(present.eventsPerToken, static_cast<double>(sample.events) / sample.outputTokens);
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
    for (const window &one : m_windows) {
        if (!isFresh(now, one)) {
            continue;
        }
        known = true;
        first = std::max(first, one.longestFirst);
        longestRest = std::max(longestRest, one.longestRest);
        rest += one.rest;
        events += one.events;
        eventsPerToken = std::max(eventsPerToken, one.eventsPerToken);
    }
    if (!known) {
        return fallback;
    }
    if (outputTokens == 0) {
        return first + longestRest;
    }
    const double endedPace = events > 0 ? static_cast<double>(rest.count()) / static_cast<double>(events) : 0;
    const double pause = std::max(endedPace, currentPace);
    const double allowed = eventsPerToken * outputTokens;
    const double generated = std::min(gapMargin * pause * allowed, static_cast<double>(maxExpectedRun.count()));
    return first + milliseconds(static_cast<std::int64_t>(generated));
}

} // namespace fuchsialoom
