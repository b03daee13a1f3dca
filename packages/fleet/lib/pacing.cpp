/// \file
/// Intervals and suspect timeouts.
#include "fuchsialoom/fleet/pacing.h"

#include <algorithm>

namespace fuchsialoom::pacing
{

static constexpr milliseconds minDigestInterval{150};
/// A digest takes some kilobytes for each receiver.
static constexpr milliseconds digestIntervalPerReceiver{8};
/// Suspect timeouts are derived from it, so it also holds while a fleet starts and more VMs than usual are relays.
static constexpr milliseconds maxDigestInterval{400};
/// Changes are batched into one delta for at least this time.
static constexpr milliseconds minDeltaInterval{2};
/// Deltas that one core may send per second, which takes 2 % of its time.
static constexpr double deltasPerCoreSecond = 4000;
static constexpr milliseconds maxDeltaInterval{200};
/// Consecutive messages that may be lost or late before their sender is suspected.
static constexpr int missedMessageLimit = 4;

milliseconds digestInterval(std::size_t receivers)
{
    return std::clamp(digestIntervalPerReceiver * static_cast<int>(receivers), minDigestInterval, maxDigestInterval);
}

milliseconds deltaInterval(std::size_t receivers, std::uint32_t capacity)
{
    static constexpr double millisecondsPerSecond = 1000;
    static constexpr double thousandths = 1000;
    const double perSecond = deltasPerCoreSecond * std::max<std::uint32_t>(1, capacity) / thousandths;
    const auto spacing = milliseconds(static_cast<std::int64_t>(millisecondsPerSecond * static_cast<double>(receivers) / perSecond));
    return std::clamp(spacing, minDeltaInterval, maxDeltaInterval);
}

milliseconds suspectTimeout(milliseconds nextWithin)
{
    return std::max(minSuspectTimeout, missedMessageLimit * nextWithin);
}

} // namespace fuchsialoom::pacing
