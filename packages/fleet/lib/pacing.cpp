/// \file
/// Intervals and silences.
#include "fuchsialoom/fleet/pacing.h"

#include <algorithm>

namespace fuchsialoom::pacing
{

static constexpr milliseconds shortestWhole{150};
/// Whole words cost some kilobytes for each receiver.
static constexpr milliseconds wholePerReceiver{8};
/// Silences are counted against it, so it is kept also while more VMs than usual relay, at the start of a fleet.
static constexpr milliseconds longestWhole{400};
/// Changes of so long go into one note at the least.
static constexpr milliseconds shortestNote{2};
/// Notes that a whole core may send in a second: 2 in 100 of its time.
static constexpr double notesPerCore = 4000;
static constexpr milliseconds longestNote{200};
/// Words in a row that may be lost or late before their sender counts as gone.
static constexpr int lostWords = 4;

milliseconds wholeEvery(std::size_t receivers)
{
    return std::clamp(wholePerReceiver * static_cast<int>(receivers), shortestWhole, longestWhole);
}

milliseconds noteEvery(std::size_t receivers, std::uint32_t capacity)
{
    static constexpr double millisecondsPerSecond = 1000;
    static constexpr double thousandths = 1000;
    const double perSecond = notesPerCore * std::max<std::uint32_t>(1, capacity) / thousandths;
    const auto spacing = milliseconds(static_cast<std::int64_t>(millisecondsPerSecond * static_cast<double>(receivers) / perSecond));
    return std::clamp(spacing, shortestNote, longestNote);
}

milliseconds silenceOf(milliseconds due)
{
    return std::max(leastSilence, lostWords * due);
}

} // namespace fuchsialoom::pacing
