/// \file
/// Implements the turns of suspected requests.
#include "fuchsialoom/gateway/suspect_trials.h"

#include <algorithm>

namespace fuchsialoom
{

/// Longer than a message takes to reach all VMs through their relays.
static constexpr milliseconds claimSettleTime{300};
/// A turn ends by itself after this, in case its VM is gone. Covers the wait for a target and the beginning of a run.
static constexpr milliseconds turnLength{3000};
/// Time in which most runs end, or show that they crash nothing.
static constexpr milliseconds usualRun{500};
static constexpr std::size_t maxServices = 1024;

suspect_trials::suspect_trials(std::uint64_t seed)
    : m_random(seed)
{
}

bool suspect_trials::turn::isTaken(instant now) const
{
    return !isOver && now < claimedAt + turnLength;
}

std::optional<trial_claim> suspect_trials::claim(instant now, const service_id &service, content_hash fingerprint)
{
    // A VM that starts anew draws the same numbers again, at another time.
    const auto claimant = m_random() ^ static_cast<std::uint64_t>(now.time_since_epoch().count());
    const trial_claim made{service, fingerprint, claimant, false, milliseconds(0)};
    const auto found = m_turns.find(service);
    if (found != m_turns.end() && found->second.isTaken(now)) {
        return std::nullopt;
    }
    if (found == m_turns.end() && m_turns.size() >= maxServices) {
        m_turns.erase(std::ranges::min_element(m_turns, {}, [](const auto &entry) {
            return entry.second.claimedAt;
        }));
    }
    m_turns.insert_or_assign(service, turn{made, now});
    return made;
}

bool suspect_trials::holds(instant now, const trial_claim &own) const
{
    const auto found = m_turns.find(own.service);
    return found != m_turns.end() && found->second.claim.claimant == own.claimant && found->second.isTaken(now);
}

bool suspect_trials::isSettled(instant now, const trial_claim &own) const
{
    return holds(now, own) && now >= m_turns.at(own.service).claimedAt + claimSettleTime;
}

trial_claim suspect_trials::release(instant now, const trial_claim &own)
{
    trial_claim over = own;
    over.isOver = true;
    if (holds(now, own)) {
        turn &ended = m_turns.at(own.service);
        ended.isOver = true;
        over.age = std::chrono::duration_cast<milliseconds>(now - ended.claimedAt);
    }
    return over;
}

bool suspect_trials::learn(instant now, const trial_claim &other)
{
    const instant claimedAt = now - other.age;
    const auto found = m_turns.find(other.service);
    if (found != m_turns.end() && found->second.claim.claimant == other.claimant) {
        const bool isNews = other.isOver && !found->second.isOver;
        found->second.isOver = found->second.isOver || other.isOver;
        return isNews;
    }
    if (other.isOver || now >= claimedAt + turnLength) {
        return false;
    }
    if (found != m_turns.end() && found->second.isTaken(now)) {
        // Of two claims made before their VMs heard of each other, all VMs keep the same one.
        const bool isOlder = now >= found->second.claimedAt + claimSettleTime;
        if (isOlder || found->second.claim.claimant < other.claimant) {
            return false;
        }
    }
    if (found == m_turns.end() && m_turns.size() >= maxServices) {
        return false;
    }
    m_turns.insert_or_assign(other.service, turn{other, claimedAt});
    return true;
}

std::optional<instant> suspect_trials::likelyFreeAt(instant now, const service_id &service) const
{
    const auto found = m_turns.find(service);
    if (found == m_turns.end() || !found->second.isTaken(now)) {
        return std::nullopt;
    }
    return std::max(now + claimSettleTime, found->second.claimedAt + claimSettleTime + usualRun);
}

} // namespace fuchsialoom
