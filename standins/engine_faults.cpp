/// \file
/// The faults that a test sets on an engine stand-in.
#include "engine_faults.h"

#include <limits>

namespace fuchsialoom
{

using json = nlohmann::json;

/// A number of occurrences; true stands for "from now on" and false for none.
static std::uint64_t countOf(const json &value)
{
    if (value.is_boolean()) {
        return value.get<bool>() ? std::numeric_limits<std::uint64_t>::max() : 0;
    }
    return value.get<std::uint64_t>();
}

void engine_faults::set(const json &change)
{
    if (change.value("silent", false)) {
        ++silences;
    }
    if (change.contains("drop_orders")) {
        dropOrders = countOf(change["drop_orders"]);
    }
    delayOrdersMs = change.value("delay_orders_ms", delayOrdersMs.load());
    lagMs = change.value("lag_ms", lagMs.load());
    refuse = change.value("refuse", refuse.load());
    crossFrames = change.value("cross_frames", crossFrames.load());
    cacheGapEvery = change.value("cache_gap_every", cacheGapEvery.load());
}

} // namespace fuchsialoom
