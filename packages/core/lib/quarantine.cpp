/// \file
/// Which requests may have killed targets, by fingerprint.
#include "fuchsialoom/core/quarantine.h"

#include <algorithm>

namespace fuchsialoom
{

/// A target that died is found dead within this time after its connections broke.
static constexpr seconds brokenMemory{30};
/// Bounds on memory, in case somebody sends many requests that kill targets.
static constexpr std::size_t maxFingerprints = 4096;
static constexpr std::size_t maxBroken = 4096;

quarantine::quarantine(quarantine_rules rules)
    : m_rules(rules)
{
}

quarantine::quarantine(milliseconds length)
    : quarantine(quarantine_rules{length, length})
{
}

/// Erases the entry with the earliest time of a full \p map, unless \p key is in it.
template<typename Map, typename TimeOf>
static void makeRoom(Map &map, content_hash key, TimeOf timeOf)
{
    if (map.size() < maxFingerprints || map.contains(key)) {
        return;
    }
    map.erase(std::ranges::min_element(map, {}, [&timeOf](const auto &entry) {
        return timeOf(entry.second);
    }));
}

std::size_t quarantine::charge::count() const
{
    const auto leaving = static_cast<std::size_t>(std::count_if(died.begin(), died.end(), [](const target_process &one) {
        return one.leaving;
    }));
    return died.size() - leaving + std::min<std::size_t>(leaving, 1);
}

double quarantine::charge::chance() const
{
    double product = 1;
    for (const target_process &one : died) {
        product *= one.chance;
    }
    return product;
}

std::optional<instant> quarantine::accuse(instant now,
                                          content_hash fingerprint,
                                          const target_id &target,
                                          incarnation_number incarnation,
                                          bool leaving,
                                          double chance)
{
    makeRoom(m_charges, fingerprint, [](const charge &one) {
        return one.forgetAt;
    });
    charge &against = m_charges[fingerprint];
    against.forgetAt = now + m_rules.memory;
    const auto known = std::find_if(against.died.begin(), against.died.end(), [&](const target_process &one) {
        return one.target == target && one.incarnation == incarnation;
    });
    if (known != against.died.end()) {
        known->leaving = known->leaving || leaving;
        return std::nullopt;
    }
    against.died.push_back(target_process{target, incarnation, leaving, chance});
    const bool isGuilty = against.count() >= m_rules.deaths && against.chance() <= m_rules.maxChance;
    if (!isGuilty || !learn(now, fingerprint, now + m_rules.length)) {
        return std::nullopt;
    }
    return m_until[fingerprint];
}

bool quarantine::learn(instant now, content_hash fingerprint, instant until)
{
    if (until <= now) {
        return false;
    }
    makeRoom(m_until, fingerprint, [](instant end) {
        return end;
    });
    instant &known = m_until[fingerprint];
    if (until <= known) {
        return false;
    }
    known = until;
    return true;
}

void quarantine::clear(content_hash fingerprint)
{
    m_charges.erase(fingerprint);
    std::erase_if(m_broken, [&](const broken_attempt &one) {
        return one.fingerprint == fingerprint;
    });
}

std::vector<accusation> quarantine::accusationsOf(content_hash fingerprint) const
{
    std::vector<accusation> found;
    const auto against = m_charges.find(fingerprint);
    if (against != m_charges.end()) {
        for (const target_process &one : against->second.died) {
            found.push_back(accusation{one.target, one.incarnation, {fingerprint}, one.leaving});
        }
    }
    return found;
}

bool quarantine::isAccused(content_hash fingerprint) const
{
    return m_charges.contains(fingerprint) || m_until.contains(fingerprint);
}

std::optional<instant> quarantine::until(instant now, content_hash fingerprint) const
{
    const auto found = m_until.find(fingerprint);
    return found != m_until.end() && found->second > now ? std::optional(found->second) : std::nullopt;
}

void quarantine::remember(instant now, broken_attempt attempt)
{
    attempt.forgetAt = now + brokenMemory;
    if (m_broken.size() >= maxBroken) {
        m_broken.erase(m_broken.begin());
    }
    m_broken.push_back(std::move(attempt));
}

void quarantine::markUnjudged(const request_id &request, const target_id &target, incarnation_number incarnation)
{
    for (broken_attempt &one : m_broken) {
        if (one.request == request && one.target == target && one.incarnation == incarnation) {
            one.unjudged = true;
        }
    }
}

void quarantine::forget(const request_id &request)
{
    std::erase_if(m_broken, [&](const broken_attempt &one) {
        return one.request == request;
    });
}

std::vector<broken_attempt> quarantine::takeBroken(const target_id &target, incarnation_number incarnation)
{
    const auto kept = std::stable_partition(m_broken.begin(), m_broken.end(), [&](const broken_attempt &one) {
        return one.target != target || (one.incarnation != incarnation && !one.incarnation.isNone());
    });
    std::vector<broken_attempt> taken(kept, m_broken.end());
    m_broken.erase(kept, m_broken.end());
    return taken;
}

std::vector<content_hash> quarantine::expire(instant now)
{
    std::vector<content_hash> ended;
    for (const auto &[fingerprint, until] : m_until) {
        if (until <= now) {
            ended.push_back(fingerprint);
        }
    }
    for (const content_hash fingerprint : ended) {
        m_until.erase(fingerprint);
    }
    std::erase_if(m_charges, [&](const auto &one) {
        return one.second.forgetAt <= now;
    });
    std::erase_if(m_broken, [&](const broken_attempt &one) {
        return one.forgetAt <= now;
    });
    return ended;
}

} // namespace fuchsialoom
