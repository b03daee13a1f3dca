/// \file
/// Which requests a stopping VM may still start: those expected to finish before it stops, going by the durations of
/// recent similar requests. No I/O.
///
/// A stream that can't finish is cut off, and its caller has waited in vain; if it is refused at once, another VM can
/// serve all of it. The same holds for a request that is queued until the VM stops.
#pragma once

#include "fuchsialoom/support/time.h"

#include <algorithm>
#include <array>
#include <cstdint>

namespace fuchsialoom
{

/// Measurements of one answered request.
struct run_sample
{
    milliseconds first{0}; ///< from the send to the first event of a stream, or to the complete answer otherwise
    milliseconds rest{0}; ///< from a stream's first event to its end; 0 if not a stream
    std::uint64_t events = 0;
    std::uint32_t outputTokens = 0; ///< the caller's limit; 0 if it sent none
};

/// Measures the time per event of one model's running streams over the last 1 to 2 s. While targets slow down, the slow
/// streams are still running, so finished streams alone would miss the slowdown.
class pace_meter
{
public:
    /// Adds a sample: a stream produced \p events events in \p span.
    void record(instant now, milliseconds span, std::uint64_t events);

    /// Milliseconds per event; 0 without recent samples.
    double current(instant now) const;

private:
    struct window
    {
        instant from{};
        milliseconds span{0}; ///< sum
        std::uint64_t events = 0; ///< sum
    };

    std::array<window, 2> m_windows{}; ///< current and previous
};

/// Measures the durations of one route's requests over the last 10 to 20 s.
class run_meter
{
public:
    void record(instant now, const run_sample &sample);

    /// Conservative estimate of the time from the send of a request with the limit \p outputTokens to the end of its
    /// answer. Assumes the time per event of finished streams, or \p currentPace (ms per event) if that is longer.
    /// Without a token limit (0), assumes the longest recent duration.
    /// \return \p fallback if there are no recent samples.
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
        double eventsPerToken = 0; ///< maximum
    };

    bool isFresh(instant now, const window &period) const;

    std::array<window, 2> m_windows{}; ///< current and previous
};

/// The deadlines of a stopping VM. They are compared with the clock at each decision: a flag set by a timer would be
/// as late as the timer, and requests that arrive meanwhile would be accepted.
struct stop_plan
{
    instant acceptUntil = farFuture; ///< requests that arrive later are refused
    instant end = farFuture; ///< requests still running are aborted; never before acceptUntil

    bool isStopping() const
    {
        return end != farFuture;
    }
    /// Also true if no stop is planned.
    bool acceptsNew(instant now) const
    {
        return now < acceptUntil;
    }
};

/// Plan for a VM that received a stop signal at \p heardAt: accepts requests for \p acceptFor and exits after \p runFor.
constexpr stop_plan planStop(instant heardAt, milliseconds acceptFor, milliseconds runFor)
{
    return {heardAt + std::min(acceptFor, runFor), heardAt + runFor};
}

/// Whether a request sent at \p now that takes \p run finishes by \p end.
constexpr bool endsInTime(instant now, milliseconds run, instant end)
{
    return now + run <= end;
}

} // namespace fuchsialoom
