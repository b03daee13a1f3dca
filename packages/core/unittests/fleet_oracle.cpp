/// \file
/// The fake fleet's oracle: every action of the machine is held against what really happened.
#include "fake_fleet.h"

#include <algorithm>

namespace fuchsialoom
{

static constexpr std::uint32_t unknownEngineCapacity = 16;
static constexpr std::uint32_t unknownPlainCapacity = 64;

bool fake_fleet::isAccused(content_hash fingerprint) const
{
    const auto accused = m_accused.find(fingerprint);
    const auto quarantined = m_quarantined.find(fingerprint);
    return (accused != m_accused.end() && accused->second > m_now) || (quarantined != m_quarantined.end() && quarantined->second > m_now);
}

bool fake_fleet::isInFlight(const life &one, const fake_target &target) const
{
    const bool there = one.stage != worker_stage::Idle && one.attempt->target == target.listed.id && one.listing == target.listing;
    return there && one.isWatched();
}

void fake_fleet::checkRoom(const life &one, const fake_target &target) const
{
    const std::uint32_t unknown = target.listed.kind == target_kind::Engine ? unknownEngineCapacity : unknownPlainCapacity;
    const std::uint32_t capacity = target.report ? target.report->capacity : unknown;
    const auto inFlight = std::count_if(m_lives.begin(), m_lives.end(), [&](const auto &other) {
        return isInFlight(other.second, target);
    });
    require(inFlight < capacity, "more in flight than capacity at " + target.listed.id.text() + " with " + one.request.id.text());
}

void fake_fleet::checkApart(const life &one) const
{
    if (!isAccused(one.request.fingerprint)) {
        return;
    }
    const fake_target &target = *std::find_if(m_targets.begin(), m_targets.end(), [&](const fake_target &candidate) {
        return candidate.listed.id == one.attempt->target;
    });
    const auto lease = m_leased.find(target.listed.id);
    require(lease != m_leased.end() && lease->second == one.request.id, "an accused request without the lease: " + one.request.id.text());
    for (const auto &[id, other] : m_lives) {
        const bool pair = &other != &one && isInFlight(other, target) && isAccused(other.request.fingerprint);
        require(!pair, "two accused requests on one target: " + id.text() + " and " + one.request.id.text());
    }
}

void fake_fleet::checkPeersTold(const life &one) const
{
    require(!one.spreadPending || m_now >= *one.spreadPending + spreadWait,
            "retried or refused before the peers were told: " + one.request.id.text());
}

void fake_fleet::check(const start_attempt &action)
{
    life &one = m_lives.at(action.request);
    fake_target &target = *std::find_if(m_targets.begin(), m_targets.end(), [&](const fake_target &candidate) {
        return candidate.listed.id == action.target;
    });
    require(one.isOpen(), "started after its end: " + action.request.text());
    require(one.stage == worker_stage::Idle, "started while its worker is in an attempt: " + action.request.text());
    require(!one.voided && one.claim != claim_stage::Pending, "started without its claim: " + action.request.text());
    require(one.request.repeatable || !one.request.key || one.claim == claim_stage::Won, "started without a won claim");
    if (action.resume) {
        require(one.attempt && one.attempt->attempt == action.attempt, "resumed under another attempt number");
        require(one.request.kind == target_kind::Engine, "a plain call can't be resumed");
        one.stage = worker_stage::Resuming;
        return;
    }
    ++m_starts;
    require(target.known && !target.silent && target.listed.state == listed_state::Live, "new work to a leaving, lost or silent target");
    require(one.request.repeatable || !one.mayHaveRun, "a non-repeatable request that may have run was started again");
    const auto quarantined = m_quarantined.find(one.request.fingerprint);
    require(quarantined == m_quarantined.end() || quarantined->second <= m_now, "a quarantined request was started");
    require(!one.attempt || action.attempt > one.attempt->attempt, "an attempt number was used twice");
    checkPeersTold(one);
    checkRoom(one, target);
    one.attempt = action;
    one.listing = target.listing;
    checkApart(one);
    one.stage = worker_stage::Connecting;
}

void fake_fleet::check(const answer_failure &action)
{
    if (m_duplicate == action.request && action.what.kind == error_kind::InProgress) {
        m_duplicate.reset();
        return;
    }
    life &one = m_lives.at(action.request);
    require(one.isOpen(), "a second final answer: " + action.request.text());
    require(action.what.known != outcome::NotRun || (one.runs == 0 && !one.mayHaveRun),
            "not-run of a request that reached a target: " + action.request.text());
    require(action.what.known != outcome::Ran, "a failure that says ran");
    checkPeersTold(one);
    ++one.finals;
}

void fake_fleet::check(const answer_recorded &action)
{
    life &one = m_lives.at(action.request);
    require(one.isOpen() && one.runs == 0, "a recorded answer after a run of its own: " + action.request.text());
    ++one.finals;
}

void fake_fleet::check(const request_done &action)
{
    life &one = m_lives.at(action.request);
    require(one.isOpen(), "a second final answer: " + action.request.text());
    require(m_completed == action.request, "done without a completed attempt: " + action.request.text());
    ++one.finals;
}

void fake_fleet::check(const cancel_attempt &action)
{
    for (fake_target &target : m_targets) {
        if (target.listed.id == action.target) {
            target.streams.erase(action.request);
        }
    }
}

void fake_fleet::check(const place_claim &action)
{
    life &one = m_lives.at(action.request);
    require(one.claim == claim_stage::None, "a second claim of one request");
    one.claim = claim_stage::Pending;
}

void fake_fleet::check(const settle_claim &action)
{
    life &one = m_lives.at(action.result.request);
    require(one.claim == claim_stage::Won, "settled a claim that isn't held");
    require(action.result.known != outcome::NotRun, "settled what didn't run");
    require(action.result.known == outcome::Ran ? m_completed == action.result.request : one.mayHaveRun || one.stage != worker_stage::Idle,
            "settled with another outcome than known");
    one.claim = claim_stage::Over;
}

void fake_fleet::check(const void_claim &action)
{
    life &one = m_lives.at(action.abandon.request);
    require(one.claim != claim_stage::None, "voided a claim that was not placed");
    require(one.runs == 0, "voided the claim of a request that ran: " + action.abandon.request.text());
    one.voided = true;
    if (one.claim == claim_stage::Won) {
        one.claim = claim_stage::Over;
    }
}

void fake_fleet::check(const spread_accusation &action)
{
    life &one = m_lives.at(action.request);
    one.spreadPending = m_now;
    for (const content_hash fingerprint : action.what.fingerprints) {
        m_accused[fingerprint] = m_now + quarantineLength;
        m_charges[fingerprint].emplace(action.what.target, action.what.incarnation);
    }
}

void fake_fleet::check(const ask_lease &action)
{
    checkPeersTold(m_lives.at(action.request));
    m_asked.push_back(action);
}

void fake_fleet::check(const end_lease &action)
{
    const auto held = m_leased.find(action.target);
    if (held != m_leased.end() && held->second == action.request) {
        m_leased.erase(held);
    }
}

void fake_fleet::check(const publish_quarantine &action)
{
    require(m_charges[action.fingerprint].size() >= 2, "quarantined without two dead targets");
    instant &known = m_quarantined[action.fingerprint];
    known = std::max(known, action.until);
}

} // namespace fuchsialoom
