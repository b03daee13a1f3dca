/// \file
/// What the operators' port says of peers, targets and unknown claims.
#include "fleet_status.h"

#include "fuchsialoom/node/node_clock.h"

namespace fuchsialoom
{

using json = nlohmann::json;

static json ageOf(const std::optional<instant> &when, instant now)
{
    return when ? json(std::chrono::duration_cast<milliseconds>(now - *when).count()) : json();
}

json peersStatus(const peer_service &peers)
{
    const instant now = monotonicNow();
    json all = json::array();
    for (const peer_view &peer : peers.peers()) {
        all.push_back(json{{"vm", peer.vm.text()},
                           {"domain", peer.domain.text()},
                           {"state", nameOf(peer.state)},
                           {"incarnation", peer.incarnation.value()},
                           {"peer", toText(peer.peer)},
                           {"admin", toText(peer.admin)},
                           {"reachable", peer.reachable},
                           {"draining", peer.draining},
                           {"heard_ms_ago", ageOf(peer.heardAt, now)}});
    }
    return all;
}

json targetsStatus(const watcher_service &watcher)
{
    const instant now = monotonicNow();
    json all = json::array();
    for (const watched_target &known : watcher.targets()) {
        json watchers = json::array();
        for (const vm_id &vm : known.watchers) {
            watchers.push_back(vm.text());
        }
        json entry{{"target", known.target.id.text()},
                   {"kind", nameOf(known.target.kind)},
                   {"address", toText(known.target.address)},
                   {"listed", nameOf(known.target.state)},
                   {"lost", known.lost},
                   {"watchers", watchers},
                   {"answered_ms_ago", ageOf(known.answeredAt, now)}};
        if (known.report) {
            entry["incarnation"] = known.report->incarnation.value();
            entry["running"] = known.report->running;
            entry["queued"] = known.report->queued;
            entry["capacity"] = known.report->capacity;
            entry["tokens_per_second"] = known.report->tokensPerSecond;
            entry["load_age_ms"] = ageOf(known.report->takenAt, now);
        }
        all.push_back(std::move(entry));
    }
    return all;
}

/// Keys are BRAND/SERVICE/KEY; the caller's own part may hold further slashes.
static std::size_t endOfScope(const std::string &key)
{
    const std::size_t brand = key.find('/');
    const std::size_t service = brand == std::string::npos ? brand : key.find('/', brand + 1);
    return service == std::string::npos ? 0 : service;
}

static milliseconds::rep unixMs(wall_instant when)
{
    return std::chrono::duration_cast<milliseconds>(when.time_since_epoch()).count();
}

json unknownClaimsStatus(const unknown_claims_listed &listed)
{
    json claims = json::array();
    for (const unknown_claim &claim : listed.claims) {
        const std::string &key = claim.key.text();
        const std::size_t scope = endOfScope(key);
        claims.push_back(json{{"scope", key.substr(0, scope)},
                              {"key", key.substr(scope == 0 ? 0 : scope + 1)},
                              {"request_id", claim.request.text()},
                              {"vm", claim.vm.text()},
                              {"placed_unix_ms", unixMs(claim.placed)},
                              {"deadline_unix_ms", unixMs(claim.deadline)},
                              {"kept_until_unix_ms", unixMs(claim.keptUntil)}});
    }
    return json{{"claims", claims}, {"total", listed.total}};
}

} // namespace fuchsialoom
