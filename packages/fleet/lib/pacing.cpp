/// \file
/// Intervals and silences.
#include "fuchsialoom/fleet/pacing.h"

#include <algorithm>

namespace fuchsialoom::pacing
{

static constexpr milliseconds minDigestInterval{150};
/// Whole words cost some kilobytes for each receiver.
static constexpr milliseconds digestIntervalPerReceiver{8};
/// Silences are counted against it, so it is kept also while more VMs than usual relay, at the start of a fleet.
static constexpr milliseconds maxDigestInterval{400};
/// Changes of so long go into one note at the least.
static constexpr milliseconds minDeltaInterval{2};
/// Notes that a whole core may send in a second: 2 in 100 of its time.
static constexpr double deltasPerCoreSecond = 4000;
static constexpr milliseconds maxDeltaInterval{200};
/// Words in a row that may be lost or late before their sender counts as gone.
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
