/// \file
/// Sums of flights over sources.
#include "fuchsialoom/fleet/in_flight_tracker.h"

#include "fuchsialoom/support/hash.h"

namespace fuchsialoom
{

target_key::target_key(const target_id &id)
    : value(static_cast<std::uint32_t>(hashOf(id.text()).value()))
{
}

in_flight_tracker::in_flight_tracker(std::function<void(target_key, const target_in_flight &)> onTotalChanged)
    : m_onTotalChanged(std::move(onTotalChanged))
{
}

void in_flight_tracker::replaceReport(target_key key, const target_in_flight &from, const target_in_flight &to)
{
    if (from == to) {
        return;
    }
    target_in_flight &sum = m_totals[key];
    sum += to;
    sum -= from;
    m_changed.insert(key);
    if (m_onTotalChanged) {
        m_onTotalChanged(key, sum);
    }
    if (sum.isNone()) {
        m_totals.erase(key);
    }
}

void in_flight_tracker::set(instant now, const vm_id &source, const in_flight_counts &counts)
{
    source_state &known = m_sources[source];
    known.lastReportAt = now;
    for (auto one = known.counts.begin(); one != known.counts.end();) {
        if (counts.contains(one->first)) {
            ++one;
            continue;
        }
        replaceReport(one->first, one->second.inFlight, {});
        one = known.counts.erase(one);
    }
    change(now, source, counts);
}

void in_flight_tracker::change(instant now, const vm_id &source, const in_flight_counts &changed)
{
    source_state &known = m_sources[source];
    known.lastReportAt = now;
    for (const auto &[key, inFlight] : changed) {
        reported_in_flight &told = known.counts[key];
        replaceReport(key, told.inFlight, inFlight);
        told = {inFlight, now};
        if (inFlight.isNone()) {
            known.counts.erase(key);
        }
    }
}

void in_flight_tracker::forget(const vm_id &source)
{
    const auto found = m_sources.find(source);
    if (found == m_sources.end()) {
        return;
    }
    for (const auto &[key, told] : found->second.counts) {
        replaceReport(key, told.inFlight, {});
    }
    m_sources.erase(found);
}

std::size_t in_flight_tracker::removeStale(instant since)
{
    std::size_t gone = 0;
    for (auto one = m_sources.begin(); one != m_sources.end();) {
        const vm_id source = one->first;
        const bool isSilent = one->second.lastReportAt < since;
        ++one;
        if (isSilent) {
            forget(source);
            gone += 1;
        }
    }
    return gone;
}

target_in_flight in_flight_tracker::totalAt(target_key key) const
{
    const auto found = m_totals.find(key);
    return found == m_totals.end() ? target_in_flight() : found->second;
}

in_flight_counts in_flight_tracker::takeChanged()
{
    in_flight_counts changed;
    for (const target_key key : m_changed) {
        changed[key] = totalAt(key);
    }
    m_changed.clear();
    return changed;
}

in_flight_counts in_flight_tracker::reportedBy(const vm_id &source) const
{
    in_flight_counts counts;
    const auto found = m_sources.find(source);
    if (found == m_sources.end()) {
        return counts;
    }
    for (const auto &[key, told] : found->second.counts) {
        counts[key] = told.inFlight;
    }
    return counts;
}

std::uint32_t in_flight_tracker::requestsReportedSince(target_key key, instant oldest) const
{
    std::uint32_t requests = 0;
    for (const auto &[source, state] : m_sources) {
        const auto told = state.counts.find(key);
        if (told != state.counts.end() && told->second.reportedAt >= oldest) {
            requests += told->second.inFlight.requests;
        }
    }
    return requests;
}

} // namespace fuchsialoom
