/// \file
/// The credit of one team under its quota, which allows rate x length + burst of cost in any interval up to the quota's
/// window. A token bucket alone allows a team that sends steadily no more than the rate, although the burst counts anew in
/// each window. So there are two buckets, and credit in either is enough: one lets a whole burst pass at once, the other
/// pays the burst out evenly over the window. A count of the last window keeps their sum within the quota.
///
/// The credit may become negative: what VMs admit in ignorance of each other is charged once they hear of it, and the debt
/// is worked off before anything else is admitted.
#pragma once

#include "fuchsialoom/support/time.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace fuchsialoom
{

struct quota_limits
{
    double perSecond = 0; ///< cost that may be spent per second, over all VMs; above 0
    double burst = 0; ///< cost that may be spent in addition in each window
    double windowSeconds = 0; ///< 0: the burst comes back at the rate only, as in a token bucket

    friend bool operator==(const quota_limits &, const quota_limits &) = default;
};

class quota_bucket
{
public:
    /// Starts empty at \p now, since what the fleet spent before isn't known. For the same reason, only the rate is paid
    /// out during the first window.
    quota_bucket(instant now, quota_limits limits);

    /// Credit beyond the new burst is dropped.
    void setLimits(instant now, quota_limits limits);

    /// Sets the fraction of the limits that this bucket may use; VMs out of reach may use the rest. When it shrinks, the
    /// credit shrinks with it.
    void setShare(instant now, double share);

    /// Spends \p cost if there is credit for it. A cost above the whole burst needs a full bucket and leaves a debt.
    bool take(instant now, double cost);

    /// Spends \p cost whether there is credit or not; a negative cost gives credit back.
    void spend(instant now, double cost);

    /// Spends or gives back the difference to \p credit.
    void setCredit(instant now, double credit);

    /// Sets the credit to the whole burst, of a team that is known to have spent nothing.
    void fill(instant now);

    /// Negative: debt.
    double credit(instant now) const;

    /// Whether so little credit is left that VMs have to tell each other at once what they spend.
    bool isTight(instant now) const;

    /// Time until take() succeeds if nothing else is spent, at most the window; a lower bound if the count of the window
    /// binds.
    milliseconds timeUntil(instant now, double cost) const;

private:
    static constexpr std::size_t slotCount = 32;

    double burst() const;
    double rate() const;
    /// The rate that uses up the quota of a window if it is spent evenly.
    double evenRate() const;
    double evenBurst() const;
    bool paysBurstOut(instant now) const;
    double neededFor(double cost) const;
    double leftOfWindow() const;
    std::int64_t slotNumber(instant at) const;
    void expireSlots(instant now);
    void advance(instant now);

    quota_limits m_limits;
    double m_share = 1; ///< above 0
    double m_burstCredit = 0; ///< filled at the rate; at most burst(), and at least -burst() if there is a window
    double m_evenCredit = 0; ///< filled at the even rate; at most evenBurst()
    std::array<double, slotCount> m_slots{}; ///< cost spent in parts of the window; negative where more was given back
    double m_spent = 0; ///< sum of m_slots
    std::int64_t m_slot = 0; ///< number of the current slot since the epoch; its index is modulo slotCount
    instant m_startedAt;
    instant m_updatedAt;
    bool m_knowsHistory = false; ///< what was spent before the start is known
};

} // namespace fuchsialoom
