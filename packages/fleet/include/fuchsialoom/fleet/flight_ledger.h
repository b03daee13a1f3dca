/// \file
/// Flights told by several sources, and their sums by target. Sans-I/O.
#pragma once

#include "fuchsialoom/fleet/flights.h"
#include "fuchsialoom/support/time.h"

#include <functional>
#include <map>
#include <set>

namespace fuchsialoom
{

class flight_ledger
{
public:
    struct told_flights
    {
        target_flights flights;
        instant toldAt{};
    };

    /// \p onSum is called with each target whose sum may have changed.
    explicit flight_ledger(std::function<void(target_key key, const target_flights &sum)> onSum = {});

    /// \p source's counts, in place of its earlier ones.
    void set(instant now, const vm_id &source, const flight_counts &counts);
    /// Those that changed, zeros among them.
    void change(instant now, const vm_id &source, const flight_counts &changed);
    void forget(const vm_id &source);
    /// Sources that told nothing since \p since. \return how many.
    std::size_t forgetSilent(instant since);

    target_flights sumAt(target_key key) const;
    /// Targets with anything in flight.
    const flight_counts &sums() const
    {
        return m_sums;
    }
    /// Sums that may have changed since the last call, zeros among them.
    flight_counts takeChanged();
    /// What a source has in flight, as it told last.
    flight_counts toldBy(const vm_id &source) const;
    /// Requests at \p key by the words that are no older than \p oldest.
    std::uint32_t requestsToldSince(target_key key, instant oldest) const;

private:
    struct source_state
    {
        std::map<target_key, told_flights> counts;
        instant heardAt{};
    };

    void shift(target_key key, const target_flights &from, const target_flights &to);

    std::function<void(target_key, const target_flights &)> m_onSum;
    std::map<vm_id, source_state> m_sources;
    flight_counts m_sums; ///< no zeros
    std::set<target_key> m_changed;
};

} // namespace fuchsialoom
