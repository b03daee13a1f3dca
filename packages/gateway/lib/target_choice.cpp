/// \file
/// The choice of a request's target among those in the view.
#include "fuchsialoom/gateway/target_pool.h"

#include <algorithm>

namespace fuchsialoom
{

/// A peer's count for a plain target is valid for this many mean runs plus peerCountSlack, the time that its next message
/// may take. Peers report each send at once, but an end only with their next send: with 60 VMs, a call of 15 ms stayed in
/// the counts for 0.15 s, and two calls in ten waited 87 ms or more for idle targets.
static constexpr int peerCountMeanRuns = 2;
static constexpr milliseconds peerCountSlack{20};
/// Score penalty of a target in another failure domain, as a share of its slots: traffic between domains is charged for
/// and takes half a millisecond each way.
static constexpr double foreignDomainCost = 0.04;
/// Score penalty of a target that fails every attempt: as if it were filled twice.
static constexpr double failureCost = 2.0;
/// Prompt tokens that an engine can read, while it generates, in the longest pause that users allow in a stream, 300 ms:
/// the users' engines read 38 tokens per ms. An engine reads prompts one after another between the generated tokens of
/// all other requests, so any more prompt tokens delay an event of every stream there.
static constexpr std::uint32_t maxUnreadTokens = 9000;
/// Weight in the score of an engine's unread prompt tokens, as a share of `maxUnreadTokens`, relative to its used slots.
static constexpr double unreadCost = 1.0;
/// Random spread of scores, so that VMs with the same view don't all choose the same target.
static constexpr double jitter = 0.08;

/// A brittle target with this share of its slots free, and so many, can be sent requests that have just arrived: few of them are on the
/// way at once.
static constexpr std::uint32_t spareRoomDivisor = 4;
static constexpr std::uint32_t minSpareRoom = 2;
/// A brittle target that nobody looked at for longer may have been full meanwhile.
static constexpr std::uint64_t maxTurnsUnseen = 2;

/// Concurrent requests that a target is sent. An engine would queue more, but in order of arrival; the queue here serves
/// the most urgent request first.
std::uint32_t target_pool::slotsOf(const pool_target &target)
{
    return target.listed.slots;
}

std::uint32_t target_pool::inFlightAt(instant now, const pool_target &target) const
{
    const auto run = m_runs.find(target.listed.service);
    if (target.listed.isEngine || run == m_runs.end()) {
        return target.inFlight();
    }
    const instant oldest = now - peerCountMeanRuns * run->second - peerCountSlack;
    return target.own.requests + target.withheld + m_peers.requestsReportedSince(target.key, oldest);
}

bool target_pool::isBrittle(instant now, const service_id &service) const
{
    const auto found = m_brittleUntil.find(service);
    return (found != m_brittleUntil.end() && now < found->second) || m_brittleElsewhere.contains(service);
}

bool target_pool::mayFill(instant now, pool_target &target, std::uint32_t room, bool isFresh)
{
    const bool isSpare = room > std::max(minSpareRoom, slotsOf(target) / spareRoomDivisor);
    if (target.freed > 0 || (isFresh && isSpare)) {
        return true;
    }
    const std::uint64_t turn = m_turns.turnAt(now);
    // The time of day may have been set back.
    if (!isSpare || turn > target.turn + maxTurnsUnseen || turn < target.crowdedIn) {
        target.crowdedIn = turn;
    }
    if (target.turn != turn) {
        target.turn = turn;
        target.sentInTurn = 0;
    }
    const std::uint32_t share = m_turns.shareOf(turn, target.key, room + target.sentInTurn, turn - target.crowdedIn);
    return m_turns.isOpenAt(now) && target.sentInTurn < share;
}

/// Whether \p target can read a prompt of \p tokens soon enough and without delaying its streams.
static bool canRead(const pool_target &target, std::uint32_t tokens)
{
    const std::uint32_t unread = target.unreadTokens();
    return unread == 0 || unread + tokens <= maxUnreadTokens;
}

double target_pool::scoreOf(instant now, const pool_target &target, std::uint64_t draw) const
{
    const double load = static_cast<double>(inFlightAt(now, target)) / std::max(1U, target.listed.slots);
    const double unread = static_cast<double>(target.unreadTokens()) / maxUnreadTokens;
    const double foreign = target.listed.domain == m_ownDomain ? 0 : foreignDomainCost;
    const double spread = jitter * static_cast<double>(draw % 1024) / 1024;
    return load + unreadCost * unread + foreign + failureCost * target.failureShareNow(now) + spread;
}

target_choice target_pool::choose(instant now, const target_query &query, std::uint64_t draw)
{
    target_choice choice;
    double bestScore = 0;
    bool bestAvoided = false;
    bool listed = false;
    const bool brittle = isBrittle(now, query.service);
    std::uint64_t state = draw;
    for (auto &[id, target] : m_targets) {
        if (target.listed.service != query.service || (query.tried && query.tried->contains(id)) || (query.only && *query.only != id)) {
            continue;
        }
        if (!target.takesNew()) {
            const bool holds = query.model.empty() || !target.listed.isEngine || target.holds(query.model, query.adapter);
            choice.outOfReach += holds && !target.listed.leaving && !target.displaced && target.isOutOfReach(now) ? 1 : 0;
            continue;
        }
        listed = true;
        if (!query.model.empty() && target.listed.isEngine && !target.holds(query.model, query.adapter)) {
            continue;
        }
        choice.candidates += 1;
        const std::uint32_t inFlight = inFlightAt(now, target);
        if (inFlight >= slotsOf(target) || !canRead(target, query.promptTokens)
            || (brittle && !mayFill(now, target, slotsOf(target) - inFlight, query.isFresh))) {
            continue;
        }
        state = state * 6364136223846793005ULL + 1442695040888963407ULL;
        const bool avoided = target.isAvoided(now);
        const double score = scoreOf(now, target, state >> 33);
        const bool better = !choice.target || (bestAvoided && !avoided) || (bestAvoided == avoided && score < bestScore);
        if (better) {
            choice.target = &target;
            bestScore = score;
            bestAvoided = avoided;
        }
    }
    if (choice.target) {
        choice.verdict = pool_verdict::Chosen;
    } else if (choice.candidates > 0) {
        choice.verdict = pool_verdict::NoRoom;
    } else {
        choice.verdict = listed ? pool_verdict::NotResident : pool_verdict::NoTarget;
    }
    return choice;
}

bool target_pool::hasRoom(const service_id &service, const model_id &model) const
{
    return std::any_of(m_targets.begin(), m_targets.end(), [&](const auto &entry) {
        const pool_target &target = entry.second;
        return target.listed.service == service && target.takesNew() && target.inFlight() < slotsOf(target)
            && (model.empty() || !target.listed.isEngine || target.holds(model, {}));
    });
}

} // namespace fuchsialoom
