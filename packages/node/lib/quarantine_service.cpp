/// \file
/// Spreads accusations and quarantines.
#include "fuchsialoom/node/quarantine_service.h"

#include "fuchsialoom/core/streams.h"
#include "fuchsialoom/node/node_clock.h"
#include "fuchsialoom/wire/peer_codec.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace fuchsialoom
{

static constexpr std::size_t ringCapacity = 4096;
/// A caller waits for this, so a peer that doesn't answer is passed over soon.
static constexpr milliseconds accuseTimeout{200};
static constexpr seconds recordTimeout{5};
/// Of the quarantines known, so many go with one digest; the next one goes on after them.
static constexpr std::size_t mostPerDigest = 64;
static constexpr std::size_t mostKept = 10000;
/// A remaining time shrinks a little on its way, so less than this is no news.
static constexpr seconds sameEnd{2};

quarantine_service::quarantine_service(log_service &log, decision_service &decisions, peer_service &peers)
    : m_log(log)
    , m_decisions(decisions)
    , m_peers(peers)
    , m_accusations(ringCapacity)
    , m_records(ringCapacity)
{
    decisions.handlers().spreadAccusation = [this](const spread_accusation &action) {
        if (!m_accusations.tryPush(action)) {
            // The request must not wait for ever; its peers learn of the quarantine with the digests.
            m_decisions.post(accusation_spread{action.request});
        }
    };
    decisions.handlers().publishQuarantine = [this](const publish_quarantine &action) {
        keep(quarantine_learned{action.fingerprint, action.until});
        m_records.tryPush(action);
    };
    peers.handlers().accuse = [this](const proto::accusation_notice &notice) {
        if (std::optional<accusation> what = decodeAccusation(notice)) {
            m_decisions.post(std::move(*what));
        }
    };
    peers.addPart(digest_part{[this](const vm_id &, bool, proto::peer_digest &digest) {
                                  fillDigest(digest);
                              },
                              [this](const vm_contact &, bool, const proto::peer_digest &digest) {
                                  readDigest(digest);
                              },
                              {}});
}

void quarantine_service::start()
{
    m_spreadThread = std::jthread([this] {
        spread();
    });
    m_recordThread = std::jthread([this] {
        record();
    });
}

void quarantine_service::stop()
{
    m_accusations.close();
    m_records.close();
    m_spreadThread.join();
    m_recordThread.join();
}

/// One target's death accuses many requests at once: what waits goes out together.
void quarantine_service::spread()
{
    while (std::optional<spread_accusation> first = m_accusations.pop()) {
        std::vector<spread_accusation> batch{std::move(*first)};
        while (std::optional<spread_accusation> next = m_accusations.popUntil(std::chrono::steady_clock::now())) {
            batch.push_back(std::move(*next));
        }
        spreadTogether(batch);
    }
}

void quarantine_service::spreadTogether(const std::vector<spread_accusation> &batch)
{
    std::map<std::tuple<target_id, incarnation_number, bool>, std::vector<content_hash>> byProcess;
    const auto collect = [&byProcess](const accusation &what) {
        std::vector<content_hash> &fingerprints = byProcess[{what.target, what.incarnation, what.leaving}];
        fingerprints.insert(fingerprints.end(), what.fingerprints.begin(), what.fingerprints.end());
    };
    for (const spread_accusation &action : batch) {
        collect(action.what);
        std::for_each(action.earlier.begin(), action.earlier.end(), collect);
    }
    const real_deadline deadline = std::chrono::steady_clock::now() + accuseTimeout;
    for (auto &[process, fingerprints] : byProcess) {
        std::sort(fingerprints.begin(), fingerprints.end());
        fingerprints.erase(std::unique(fingerprints.begin(), fingerprints.end()), fingerprints.end());
        const auto &[target, incarnation, leaving] = process;
        const accusation what{target, incarnation, fingerprints, leaving};
        m_peers.accuseAll(encodeAccusation(what, m_peers.self().vm), deadline);
    }
    for (const spread_accusation &action : batch) {
        m_decisions.post(accusation_spread{action.request});
    }
}

/// Records what was published here in the fleet's stream, for VMs that start later. A log that is out
/// loses the record; the digests still carry it.
void quarantine_service::record()
{
    while (const std::optional<publish_quarantine> action = m_records.pop()) {
        if (m_records.closed()) {
            return;
        }
        const wall_instant until = wallNow() + (action->until - monotonicNow());
        m_log.append(fleetStream(),
                     m_log.nextRecordId(),
                     quarantine_notice{action->fingerprint, until},
                     std::chrono::steady_clock::now() + recordTimeout);
    }
}

/// \return whether \p entry was news.
bool quarantine_service::keep(const quarantine_learned &entry)
{
    const instant now = monotonicNow();
    const std::lock_guard lock(m_mutex);
    std::erase_if(m_until, [now](const auto &known) {
        return known.second <= now;
    });
    if (m_until.size() >= mostKept && !m_until.contains(entry.fingerprint)) {
        return false;
    }
    instant &until = m_until[entry.fingerprint];
    const bool isNews = until + sameEnd < entry.until;
    if (isNews) {
        until = entry.until;
    }
    return isNews;
}

void quarantine_service::fillDigest(proto::peer_digest &digest)
{
    const instant now = monotonicNow();
    const std::lock_guard lock(m_mutex);
    auto place = m_until.upper_bound(m_cursor);
    for (std::size_t sent = 0; sent < std::min(mostPerDigest, m_until.size()); ++sent) {
        if (place == m_until.end()) {
            place = m_until.begin();
        }
        if (now < place->second) {
            encodeQuarantine(quarantine_learned{place->first, place->second}, now, digest);
        }
        m_cursor = place->first;
        ++place;
    }
}

void quarantine_service::readDigest(const proto::peer_digest &digest)
{
    for (const quarantine_learned &entry : decodeQuarantine(digest, monotonicNow())) {
        if (keep(entry)) {
            m_decisions.post(entry);
        }
    }
}

std::vector<quarantine_learned> quarantine_service::entries() const
{
    const instant now = monotonicNow();
    std::vector<quarantine_learned> found;
    const std::lock_guard lock(m_mutex);
    for (const auto &[fingerprint, until] : m_until) {
        if (now < until) {
            found.push_back(quarantine_learned{fingerprint, until});
        }
    }
    return found;
}

} // namespace fuchsialoom
