/// \file
/// Spreads what the decisions find out about requests that kill targets: accusations to the domain's
/// peers before anyone is answered, quarantines with the digests and in the fleet's stream.
#pragma once

#include "fuchsialoom/node/decision_service.h"
#include "fuchsialoom/node/log_service.h"
#include "fuchsialoom/node/peer_service.h"
#include "fuchsialoom/support/bounded_ring.h"

#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

namespace fuchsialoom
{

/// Thread-safe.
class quarantine_service : public service
{
public:
    /// Registers itself with \p decisions and \p peers.
    quarantine_service(log_service &log, decision_service &decisions, peer_service &peers);

    void start() override;
    void stop() override;

    /// The quarantines known here that still hold.
    std::vector<quarantine_learned> entries() const;

private:
    void spread();
    void spreadTogether(const std::vector<spread_accusation> &batch);
    void record();
    bool keep(const quarantine_learned &entry);
    void fillDigest(proto::peer_digest &digest);
    void readDigest(const proto::peer_digest &digest);

    log_service &m_log;
    decision_service &m_decisions;
    peer_service &m_peers;
    bounded_ring<spread_accusation> m_accusations;
    bounded_ring<publish_quarantine> m_records;
    mutable std::mutex m_mutex;
    std::map<content_hash, instant> m_until; ///< guarded by m_mutex; an end only moves later
    content_hash m_cursor; ///< guarded by m_mutex; digests go on after this one
    std::jthread m_spreadThread;
    std::jthread m_recordThread;
};

} // namespace fuchsialoom
