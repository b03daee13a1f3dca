/// \file
/// Flights told by several sources, and their sums by target. Sans-I/O.
#pragma once

#include "fuchsialoom/fleet/in_flight.h"
#include "fuchsialoom/support/time.h"

#include <functional>
#include <map>
#include <set>

namespace fuchsialoom
{

class in_flight_tracker
{
public:
    struct reported_in_flight
    {
        target_in_flight inFlight;
        instant reportedAt{};
    };

    /// \p onTotalChanged is called with each target whose sum may have changed.
    explicit in_flight_tracker(std::function<void(target_key key, const target_in_flight &sum)> onTotalChanged = {});

    /// \p source's counts, in place of its earlier ones.
    void set(instant now, const vm_id &source, const in_flight_counts &counts);
    /// Those that changed, zeros among them.
    void change(instant now, const vm_id &source, const in_flight_counts &changed);
    void forget(const vm_id &source);
    /// Sources that told nothing since \p since. \return how many.
    std::size_t removeStale(instant since);

    target_in_flight totalAt(target_key key) const;
    /// Targets with anything in flight.
    const in_flight_counts &totals() const
    {
        return m_totals;
    }
    /// Sums that may have changed since the last call, zeros among them.
    in_flight_counts takeChanged();
    /// What a source has in flight, as it told last.
    in_flight_counts reportedBy(const vm_id &source) const;
    /// Requests at \p key by the words that are no older than \p oldest.
    std::uint32_t requestsReportedSince(target_key key, instant oldest) const;

private:
    struct source_state
    {
        std::map<target_key, reported_in_flight> counts;
        instant lastReportAt{};
    };

    void replaceReport(target_key key, const target_in_flight &from, const target_in_flight &to);

    std::function<void(target_key, const target_in_flight &)> m_onTotalChanged;
    std::map<vm_id, source_state> m_sources;
    in_flight_counts m_totals; ///< no zeros
    std::set<target_key> m_changed;
};

} // namespace fuchsialoom
