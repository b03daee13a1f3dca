/// \file
/// The faults that a test sets on the platform stand-in.
#pragma once

#include <nlohmann/json.hpp>

#include <atomic>
#include <cstdint>

namespace fuchsialoom
{

/// Thread-safe.
struct platform_faults
{
    std::atomic<bool> outage{false}; ///< every call is answered 503 and takes no effect
    std::atomic<bool> hang{false}; ///< with an outage: calls get no answer at all
    std::atomic<std::int64_t> slowMs{0}; ///< every call takes this much longer
    std::atomic<std::uint64_t> loseAnswers{0}; ///< so many appends take effect, and their answers get lost
    std::atomic<std::uint64_t> keepRecords{0}; ///< the newest records that a stream keeps; 0: all
    std::atomic<bool> listFrozen{false}; ///< the list is answered as it was when this was set

    /// Sets the faults that \p change names.
    void set(const nlohmann::json &change);

    /// \return whether the answer to this append gets lost.
    bool takeLostAnswer();
};

} // namespace fuchsialoom
