/// \file
/// The faults that a test sets on the platform stand-in.
#include "platform_faults.h"

namespace fuchsialoom
{

void platform_faults::set(const nlohmann::json &change)
{
    // The way of failing first, so that no call sees an outage of the other kind.
    hang = change.value("hang", hang.load());
    outage = change.value("outage", outage.load());
    slowMs = change.value("slow_ms", slowMs.load());
    loseAnswers = change.value("lose_answers", loseAnswers.load());
    keepRecords = change.value("keep_records", keepRecords.load());
    listFrozen = change.value("list_frozen", listFrozen.load());
}

bool platform_faults::takeLostAnswer()
{
    std::uint64_t left = loseAnswers;
    while (left > 0 && !loseAnswers.compare_exchange_weak(left, left - 1)) {}
    return left > 0;
}

} // namespace fuchsialoom
