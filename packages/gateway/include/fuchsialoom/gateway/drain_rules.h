/// \file
/// Which requests a VM that is to stop may still begin: those that end before the VM does, by what such
/// requests have taken of late. Pure.
///
/// A stream that is begun and can't end is cut off, and its caller has waited for nothing; another VM serves it
/// whole if it is told so at once. The same holds for a request that waits for an engine until the VM ends.
#pragma once

#include "fuchsialoom/support/time.h"

#include <algorithm>
#include <array>
#include <cstdint>

namespace fuchsialoom
{

/// One answered request.
struct run_sample
{
    milliseconds first{0}; ///< from its send to its first event, or to its whole answer where it is no stream
    milliseconds rest{0}; ///< from the first event to the end; 0 for what is no stream
    std::uint64_t events = 0;
    std::uint32_t outputTokens = 0; ///< the most that its caller allows; 0: not said
};

/// The pace of the streams under way of one model, over the last 1 to 2 s. While a model's targets become slower, the
/// slow streams have not ended yet, so those that ended say nothing of it.
class pace_meter
{
public:
    /// A stream made \p events events within \p span.
    void record(instant now, milliseconds span, std::uint64_t events);

    /// Milliseconds an event; 0 where none was noted of late.
    double present(instant now) const;

private:
    struct window
    {
        instant from{};
        milliseconds span{0}; ///< sum
        std::uint64_t events = 0; ///< sum
    };

    std::array<window, 2> m_windows{}; ///< the present one and the one before it
};

/// What the requests of one route took, over the last 10 to 20 s.
class run_meter
{
public:
    void record(instant now, const run_sample &sample);

    /// From the send of a request that allows \p outputTokens to the end of its answer; on the long side. Its events
    /// come at the pace of those that ended, or at \p currentPace (ms an event) where that is slower. One that names no
    /// tokens is as long as the longest.
    /// \p otherwise: while no run is known.
    milliseconds expected(instant now, std::uint32_t outputTokens, double currentPace, milliseconds fallback) const;

private:
    struct window
    {
        instant from{};
        std::uint32_t runs = 0;
        milliseconds longestFirst{0};
        milliseconds longestRest{0};
        milliseconds rest{0}; ///< sum
        std::uint64_t events = 0; ///< sum
        double eventsPerToken = 0; ///< the most
    };

    bool isFresh(instant now, const window &one) const;

    std::array<window, 2> m_windows{}; ///< the present one and the one before it
};

/// Until when a VM that stops does what. These are compared where a request is decided: a flag that is set once its
/// moment has come would be late by as much as whatever sets it, and let in what arrives meanwhile.
struct stop_plan
{
    instant acceptUntil = farFuture; ///< what arrives from then on is refused
    instant end = farFuture; ///< what still runs is given up; never before acceptUntil

    bool isStopping() const
    {
        return end != farFuture;
    }
    /// Also true while no stop is under way.
    bool acceptsNew(instant now) const
    {
        return now < acceptUntil;
    }
};

/// For a VM that heard at \p heardAt that it is to stop: takes new requests for \p acceptFor, and runs on for \p runFor.
constexpr stop_plan planStop(instant heardAt, milliseconds acceptFor, milliseconds runFor)
{
    return {heardAt + std::min(acceptFor, runFor), heardAt + runFor};
}

/// Whether a request that is sent at \p now and runs for \p run is over by \p end.
constexpr bool endsInTime(instant now, milliseconds run, instant end)
{
    return now + run <= end;
}

} // namespace fuchsialoom
