/// \file
/// In-flight requests reported by several sources, and their totals per target. Sans-I/O.
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

    /// \p onTotalChanged is called for each target whose total may have changed.
    explicit in_flight_tracker(std::function<void(target_key key, const target_in_flight &sum)> onTotalChanged = {});

    /// Replaces all counts of \p source.
    void set(instant now, const vm_id &source, const in_flight_counts &counts);
    /// Updates the counts of \p source for the targets in \p changed; a zero count removes the target.
    void change(instant now, const vm_id &source, const in_flight_counts &changed);
    void forget(const vm_id &source);
    /// Removes the sources without a report since \p since. \return how many were removed.
    std::size_t removeStale(instant since);

    target_in_flight totalAt(target_key key) const;
    /// Totals of the targets with anything in flight.
    const in_flight_counts &totals() const
    {
        return m_totals;
    }
    /// Totals that may have changed since the last call, including zeros.
    in_flight_counts takeChanged();
    /// The latest reported counts of \p source.
    in_flight_counts reportedBy(const vm_id &source) const;
    /// Requests at \p key, counting only reports since \p oldest.
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
    in_flight_counts m_totals; ///< without zeros
    std::set<target_key> m_changed;
};

} // namespace fuchsialoom
