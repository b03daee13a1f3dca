/// \file
/// The faults that a test sets on an engine stand-in.
#pragma once

#include <nlohmann/json.hpp>

#include <atomic>
#include <cstdint>

namespace fuchsialoom
{

/// Thread-safe.
struct engine_faults
{
    /// Grows with each `"silent": true`. A connection older than the latest gets no more bytes, for good.
    std::atomic<std::uint64_t> silences{0};
    std::atomic<std::int64_t> delayOrdersMs{0}; ///< an order takes effect, and is answered, this much later
    std::atomic<std::uint64_t> dropOrders{0}; ///< so many orders get lost, with no answer
    std::atomic<std::int64_t> lagMs{0}; ///< how old a load report may be
    std::atomic<bool> refuse{false}; ///< streams and calls are refused as not run
    std::atomic<bool> crossFrames{false}; ///< frames of others, of old attempts and late ones are mixed in
    std::atomic<std::uint64_t> cacheGapEvery{0}; ///< every so many cache events, one is never published

    /// Sets the faults that \p change names.
    void set(const nlohmann::json &change);
};

} // namespace fuchsialoom
