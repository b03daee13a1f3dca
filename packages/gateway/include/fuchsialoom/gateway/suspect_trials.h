/// \file
/// Whose turn it is to send a suspected request: over all VMs, one such request at a time runs at a service, so that a target's
/// death accuses it alone, and a service loses one target at a time. A VM announces its turn and waits until it would have
/// heard of others' before it sends. Sans-I/O.
#pragma once

#include "fuchsialoom/fleet/crash_news.h"

#include <map>
#include <optional>
#include <random>
#include <vector>

namespace fuchsialoom
{

class suspect_trials
{
public:
    /// \p seed: of the claimants, which differ between VMs.
    explicit suspect_trials(std::uint64_t seed);

    /// Claims the turn for \p fingerprint. \return the claim, to be told to all VMs; nothing while another one holds.
    std::optional<trial_claim> claim(instant now, const service_id &service, content_hash fingerprint);

    /// Whether \p own still holds.
    bool holds(instant now, const trial_claim &own) const;
    /// Whether every VM has heard of \p own by now, unless messages were lost.
    bool isSettled(instant now, const trial_claim &own) const;

    /// Ends \p own. \return what all VMs have to hear.
    trial_claim release(instant now, const trial_claim &own);

    /// Adds what another VM claims. \return whether it changed anything here.
    bool learn(instant now, const trial_claim &other);

    /// When the turn that is taken at \p service is likely over, or nothing if none is.
    std::optional<instant> likelyFreeAt(instant now, const service_id &service) const;

private:
    struct turn
    {
        trial_claim claim;
        instant claimedAt{};
        bool isOver = false; ///< kept, so that a repeated message doesn't begin it again

        bool isTaken(instant now) const;
    };

    std::map<service_id, turn> m_turns; ///< the latest of each service; bounded
    std::mt19937_64 m_random;
};

} // namespace fuchsialoom
