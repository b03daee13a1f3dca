/// \file
/// Implements the view of the targets and the choice between them.
#include "fuchsialoom/gateway/target_pool.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace fuchsialoom
{

/// Time for which a residency change of a target overrides its listing: a target writes its entry every 1.2 s, and readers see it up to
/// 1 s later.
static constexpr milliseconds residencyChangeOverrideTime{3000};
/// A peer silent for this long counts as gone, and its requests in flight with it. Covers several digests.
static constexpr milliseconds peerSilence{2000};
/// If another process has the address of a listed target, the target's process has ended. Its entry expires within three
/// heartbeats of 1.2 s, but some entries are written once more after that. Without this bound, four such engines stayed
/// in the plan with their former models for 3 s and more.
static constexpr milliseconds displacementTime{10000};
/// A target whose host refused a connection is tried again after this; the time doubles with each further refusal. It is
/// longer than VMs repeat the change to each other, so that a repetition doesn't take the target out again.
static constexpr milliseconds initialUnreachableTime{1500};
static constexpr std::uint32_t maxBackoffDoublings = 2;
/// Bytes that arrive this long after another VM was refused were sent after that.
static constexpr milliseconds bytesInFlightTime{50};
/// A target that some VM reached isn't reported as dead by VMs that it refuses for this long. Its death is found by the others.
static constexpr milliseconds aliveWordTime{10000};
/// The newest run has the weight 1 / newestRunDivisor in a service's moving average.
static constexpr int newestRunDivisor = 8;
/// Half-life of a target's share of failures. The shortest grey failure that users name lasts 4 s, and a target that has
/// recovered must get its share of requests within a few seconds.
static constexpr milliseconds failureHalfLife{1500};
/// Weight of the newest attempt in a target's share of failures.
static constexpr double newestAttemptWeight = 0.25;
/// Targets that start together are listed one by one, as their heartbeats arrive (1.2 s apart) and the list is read
/// (every 0.9 s). A plan made in between considers most models lost and drops replicas of busy models to load the others
/// again: of ten replicas of the busiest model, five were gone before the first request.
static constexpr milliseconds listingSettleTime{2200};
/// Targets say in each answer whether they are brittle. A VM that gets none for so long hardly sends anything.
static constexpr milliseconds brittleWordTime{10000};
/// A brittle target that turned a request away counts as full for this long. Then its slots are tried one by one.
static constexpr milliseconds withheldTime{1000};
static constexpr milliseconds withheldStep{500};
/// For this long after it was seen silent, a target that isn't heard gets only requests that no other target can take.
static constexpr milliseconds silenceAvoidance{1000};
double pool_target::failureShareNow(instant now) const
{
    const double halvings = std::chrono::duration<double>(now - failureShareAt) / std::chrono::duration<double>(failureHalfLife);
    return failureShare * std::exp2(-std::max(0.0, halvings));
}

bool pool_target::holds(const model_id &model, const adapter_id &adapter) const
{
    for (const held_model &held : listed.models) {
        if (held.model == model) {
            return adapter.empty() || held.adapters.contains(adapter);
        }
    }
    return false;
}

target_pool::target_pool(domain_id ownDomain)
    : m_ownDomain(std::move(ownDomain))
    , m_peers([this](target_key key, const target_in_flight &sum) {
        const auto named = m_keys.find(key);
        if (named != m_keys.end()) {
            m_targets.at(named->second).peers = sum;
        }
    })
{
}

void target_pool::setHeld(pool_target &target, const residency_change &residencyChange)
{
    std::vector<held_model> &models = target.listed.models;
    const auto held = std::find_if(models.begin(), models.end(), [&residencyChange](const held_model &one) {
        return one.model == residencyChange.model;
    });
    if (residencyChange.adapter.empty()) {
        if (residencyChange.present && held == models.end()) {
            models.push_back({residencyChange.model, {}});
        } else if (!residencyChange.present && held != models.end()) {
            models.erase(held);
        }
        return;
    }
    if (held == models.end()) {
        return;
    }
    if (residencyChange.present) {
        held->adapters.insert(residencyChange.adapter);
    } else {
        held->adapters.erase(residencyChange.adapter);
    }
}

void target_pool::applyResidencyChanges(instant now, pool_target &target)
{
    const auto found = m_residencyChanges.find(target.listed.id);
    if (found == m_residencyChanges.end()) {
        return;
    }
    std::erase_if(found->second, [now](const unexpired_change &one) {
        return one.until <= now;
    });
    for (const unexpired_change &one : found->second) {
        setHeld(target, one.residencyChange);
    }
    if (found->second.empty()) {
        m_residencyChanges.erase(found);
    }
}

bool target_pool::list(instant now, target_listing target)
{
    pool_target &entry = m_targets[target.id];
    const target_listing before = entry.listed;
    entry.listed = std::move(target);
    entry.listedModels = entry.listed.models;
    applyResidencyChanges(now, entry);
    if (before.address != entry.listed.address) {
        entry.displaced = false;
        entry.unreachable = false;
    }
    if (before.id.empty()) {
        m_lastNewTargetAt = now;
        entry.key = target_key(entry.listed.id);
        m_keys.insert_or_assign(entry.key, entry.listed.id);
        entry.peers = m_peers.totalAt(entry.key);
    }
    return before != entry.listed;
}

bool target_pool::expireResidencyChanges(instant now)
{
    std::vector<target_id> lapsed;
    for (const auto &[id, kept] : m_residencyChanges) {
        const bool anyLapsed = std::any_of(kept.begin(), kept.end(), [now](const unexpired_change &one) {
            return one.until <= now;
        });
        if (anyLapsed) {
            lapsed.push_back(id);
        }
    }
    for (const target_id &id : lapsed) {
        pool_target &target = m_targets.at(id);
        target.listed.models = target.listedModels;
        applyResidencyChanges(now, target);
    }
    return !lapsed.empty();
}

bool target_pool::isSettled(instant now)
{
    m_settled = m_settled || (!m_targets.empty() && now - m_lastNewTargetAt >= listingSettleTime);
    return m_settled;
}

void target_pool::unlist(const target_id &id)
{
    m_targets.erase(id);
    m_residencyChanges.erase(id);
    const auto key = m_keys.find(target_key(id));
    if (key != m_keys.end() && key->second == id) {
        m_keys.erase(key);
    }
}

void target_pool::addResidencyChange(instant now, const residency_change &residencyChange)
{
    const auto found = m_targets.find(residencyChange.target);
    if (found == m_targets.end()) {
        return;
    }
    if (residencyChange.model.empty()) {
        if (residencyChange.present) {
            noteAlive(now, residencyChange.target);
        } else {
            markUnreachable(now, residencyChange.target, false);
        }
        return;
    }
    std::vector<unexpired_change> &kept = m_residencyChanges[residencyChange.target];
    std::erase_if(kept, [&residencyChange](const unexpired_change &one) {
        return one.residencyChange.model == residencyChange.model && one.residencyChange.adapter == residencyChange.adapter;
    });
    kept.push_back({residencyChange, now + residencyChangeOverrideTime});
    setHeld(found->second, residencyChange);
}

void target_pool::noteAbsent(instant now, const target_id &id, const model_id &model, const adapter_id &adapter)
{
    addResidencyChange(now, {id, model, adapter, false});
}

void target_pool::setPeerInFlight(instant now, const vm_id &vm, const in_flight_counts &counts)
{
    m_peers.set(now, vm, counts);
}

void target_pool::updatePeerInFlight(instant now, const vm_id &vm, const in_flight_counts &changed)
{
    m_peers.change(now, vm, changed);
}

void target_pool::removePeerInFlight(const vm_id &vm)
{
    m_peers.forget(vm);
}

bool target_pool::displace(instant now, const target_id &id)
{
    const auto found = m_targets.find(id);
    if (found == m_targets.end()) {
        return false;
    }
    const bool newlyDisplaced = !found->second.displaced;
    found->second.displaced = true;
    found->second.displacedUntil = now + displacementTime;
    return newlyDisplaced;
}

bool target_pool::noteUnreachable(instant now, const target_id &id)
{
    return markUnreachable(now, id, true);
}

void target_pool::noteNoAnswer(instant now, const target_id &id, milliseconds length)
{
    avoid(now, id, length);
    const auto found = m_targets.find(id);
    if (found != m_targets.end()) {
        found->second.outOfReachUntil = now + length;
    }
}

void target_pool::noteConnected(const target_id &id)
{
    const auto found = m_targets.find(id);
    if (found != m_targets.end()) {
        found->second.outOfReachUntil = instant{};
    }
}

bool target_pool::noteAlive(instant now, const target_id &id)
{
    const auto found = m_targets.find(id);
    if (found == m_targets.end() || !found->second.unreachable) {
        return false;
    }
    found->second.saidAliveUntil = now + aliveWordTime;
    found->second.unreachable = found->second.refusedHere;
    return true;
}

bool target_pool::isHeardDespiteWord(instant now, const target_id &id) const
{
    const pool_target *target = find(id);
    return target && target->unreachable && !target->refusedHere && now - target->unreachableSince >= bytesInFlightTime;
}

bool target_pool::setBrittle(instant now, const target_id &id, bool isBrittle)
{
    const pool_target *target = find(id);
    if (!target) {
        return false;
    }
    const bool wasBrittle = this->isBrittle(now, target->listed.service);
    if (isBrittle) {
        m_brittleUntil[target->listed.service] = now + brittleWordTime;
    } else {
        m_brittleUntil.erase(target->listed.service);
    }
    return this->isBrittle(now, target->listed.service) != wasBrittle;
}

void target_pool::setBrittleElsewhere(const std::vector<service_id> &services)
{
    m_brittleElsewhere = {services.begin(), services.end()};
}

std::vector<service_id> target_pool::brittleServices(instant now) const
{
    std::vector<service_id> services;
    for (const auto &[service, until] : m_brittleUntil) {
        if (now < until) {
            services.push_back(service);
        }
    }
    return services;
}

void target_pool::noteTurnedAway(instant now, const target_id &id)
{
    const auto found = m_targets.find(id);
    if (found == m_targets.end() || !isBrittle(now, found->second.listed.service)) {
        return;
    }
    pool_target &target = found->second;
    // The request that was turned away still counts, and has no slot.
    const std::uint32_t used = std::max(target.inFlight(), 1U) - 1;
    target.withheld += slotsOf(target) - std::min(slotsOf(target), used);
    target.withheldUntil = now + withheldTime;
    m_changedFlights.insert(id);
}

bool target_pool::markUnreachable(instant now, const target_id &id, bool isRefusedHere)
{
    const auto found = m_targets.find(id);
    if (found == m_targets.end()) {
        return false;
    }
    pool_target &target = found->second;
    target.refusedHere = (target.unreachable && target.refusedHere) || isRefusedHere;
    if (target.unreachable) {
        return false;
    }
    target.unreachable = true;
    target.unreachableSince = now;
    target.unreachableUntil = now + initialUnreachableTime * (1 << std::min(target.consecutiveRefusals, maxBackoffDoublings));
    target.consecutiveRefusals += 1;
    return true;
}

void target_pool::expirePeers(instant now)
{
    for (auto &[id, target] : m_targets) {
        target.displaced = target.displaced && now < target.displacedUntil;
        target.unreachable = target.unreachable && now < target.unreachableUntil;
        if (target.withheld > 0 && now >= target.withheldUntil) {
            target.withheld -= 1;
            target.withheldUntil = now + withheldStep;
            m_changedFlights.insert(id);
        }
    }
    m_peers.removeStale(now - peerSilence);
}

void target_pool::noteRun(const service_id &service, milliseconds length)
{
    const auto [found, isNew] = m_runs.try_emplace(service, length);
    if (!isNew) {
        found->second += (microseconds(length) - found->second) / newestRunDivisor;
    }
}

void target_pool::begin(const target_id &id, std::uint32_t promptTokens)
{
    const auto found = m_targets.find(id);
    if (found != m_targets.end()) {
        pool_target &target = found->second;
        target.own += {1, promptTokens};
        if (target.freed > 0) {
            target.freed -= 1;
        } else {
            target.sentInTurn += 1;
        }
        m_changedFlights.insert(id);
    }
}

void target_pool::read(const target_id &id, std::uint32_t promptTokens)
{
    const auto found = m_targets.find(id);
    if (found != m_targets.end()) {
        target_in_flight &own = found->second.own;
        own.unreadTokens -= std::min(own.unreadTokens, promptTokens);
        m_changedFlights.insert(id);
    }
}

void target_pool::end(const target_id &id, std::uint32_t unreadTokens)
{
    const auto found = m_targets.find(id);
    if (found != m_targets.end() && found->second.own.requests > 0) {
        found->second.own.requests -= 1;
        found->second.freed += 1;
        read(id, unreadTokens);
    }
}

static void recordOutcome(instant now, pool_target &target, double newest)
{
    target.failureShare = target.failureShareNow(now) * (1 - newestAttemptWeight) + newest * newestAttemptWeight;
    target.failureShareAt = now;
}

void target_pool::succeeded(instant now, const target_id &id)
{
    const auto found = m_targets.find(id);
    if (found != m_targets.end()) {
        found->second.consecutiveRefusals = 0;
        recordOutcome(now, found->second, 0);
        found->second.avoidUntil = instant{};
    }
}

void target_pool::failed(instant now, const target_id &id)
{
    const auto found = m_targets.find(id);
    if (found != m_targets.end()) {
        recordOutcome(now, found->second, 1);
    }
}

void target_pool::avoid(instant now, const target_id &id, milliseconds length)
{
    const auto found = m_targets.find(id);
    if (found != m_targets.end()) {
        found->second.avoidUntil = std::max(found->second.avoidUntil, now + length);
    }
}

void target_pool::noteSilent(instant now, const target_id &id, instant since)
{
    const auto found = m_targets.find(id);
    if (found != m_targets.end() && found->second.heardAt <= since) {
        found->second.silentUntil = now + silenceAvoidance;
    }
}

bool target_pool::noteHeard(instant now, const target_id &id)
{
    const auto found = m_targets.find(id);
    if (found == m_targets.end()) {
        return false;
    }
    found->second.heardAt = now;
    return std::exchange(found->second.silentUntil, instant{}) > now;
}

/// What others are told of: the attempts of this VM, and the slots that it withholds.
static target_in_flight toldFlights(const pool_target &target)
{
    return {target.own.requests + target.withheld, target.own.unreadTokens};
}

in_flight_counts target_pool::ownInFlight() const
{
    in_flight_counts counts;
    for (const auto &[id, target] : m_targets) {
        const target_in_flight told = toldFlights(target);
        if (told.requests > 0) {
            counts[id] = told;
        }
    }
    return counts;
}

in_flight_counts target_pool::takeChangedFlights()
{
    in_flight_counts counts;
    for (const target_id &id : m_changedFlights) {
        const auto found = m_targets.find(id);
        if (found == m_targets.end()) {
            counts[id] = target_in_flight();
            continue;
        }
        found->second.freed = 0;
        counts[id] = toldFlights(found->second);
    }
    m_changedFlights.clear();
    return counts;
}

const pool_target *target_pool::find(const target_id &id) const
{
    const auto found = m_targets.find(id);
    return found == m_targets.end() ? nullptr : &found->second;
}

} // namespace fuchsialoom
