/// \file
/// Sums of flights over sources.
#include "fuchsialoom/fleet/flight_ledger.h"

#include "fuchsialoom/support/hash.h"

namespace fuchsialoom
{

target_key::target_key(const target_id &id)
    : value(static_cast<std::uint32_t>(hashOf(id.text()).value()))
{
}

flight_ledger::flight_ledger(std::function<void(target_key, const target_flights &)> onSum)
    : m_onSum(std::move(onSum))
{
}

void flight_ledger::shift(target_key key, const target_flights &from, const target_flights &to)
{
    if (from == to) {
        return;
    }
    target_flights &sum = m_sums[key];
    sum += to;
    sum -= from;
    m_changed.insert(key);
    if (m_onSum) {
        m_onSum(key, sum);
    }
    if (sum.isNone()) {
        m_sums.erase(key);
    }
}

void flight_ledger::set(instant now, const vm_id &source, const flight_counts &counts)
{
    source_state &known = m_sources[source];
    known.heardAt = now;
    for (auto one = known.counts.begin(); one != known.counts.end();) {
        if (counts.contains(one->first)) {
            ++one;
            continue;
        }
        shift(one->first, one->second.flights, {});
        one = known.counts.erase(one);
    }
    change(now, source, counts);
}

void flight_ledger::change(instant now, const vm_id &source, const flight_counts &changed)
{
    source_state &known = m_sources[source];
    known.heardAt = now;
    for (const auto &[key, flights] : changed) {
        told_flights &told = known.counts[key];
        shift(key, told.flights, flights);
        told = {flights, now};
        if (flights.isNone()) {
            known.counts.erase(key);
        }
    }
}

void flight_ledger::forget(const vm_id &source)
{
    const auto found = m_sources.find(source);
    if (found == m_sources.end()) {
        return;
    }
    for (const auto &[key, told] : found->second.counts) {
        shift(key, told.flights, {});
    }
    m_sources.erase(found);
}

std::size_t flight_ledger::forgetSilent(instant since)
{
    std::size_t gone = 0;
    for (auto one = m_sources.begin(); one != m_sources.end();) {
        const vm_id source = one->first;
        const bool isSilent = one->second.heardAt < since;
        ++one;
        if (isSilent) {
            forget(source);
            gone += 1;
        }
    }
    return gone;
}

target_flights flight_ledger::sumAt(target_key key) const
{
    const auto found = m_sums.find(key);
    return found == m_sums.end() ? target_flights() : found->second;
}

flight_counts flight_ledger::takeChanged()
{
    flight_counts changed;
    for (const target_key key : m_changed) {
        changed[key] = sumAt(key);
    }
    m_changed.clear();
    return changed;
}

flight_counts flight_ledger::toldBy(const vm_id &source) const
{
    flight_counts counts;
    const auto found = m_sources.find(source);
    if (found == m_sources.end()) {
        return counts;
    }
    for (const auto &[key, told] : found->second.counts) {
        counts[key] = told.flights;
    }
    return counts;
}

std::uint32_t flight_ledger::requestsToldSince(target_key key, instant oldest) const
{
    std::uint32_t requests = 0;
    for (const auto &[source, state] : m_sources) {
        const auto told = state.counts.find(key);
        if (told != state.counts.end() && told->second.toldAt >= oldest) {
            requests += told->second.flights.requests;
        }
    }
    return requests;
}

} // namespace fuchsialoom
