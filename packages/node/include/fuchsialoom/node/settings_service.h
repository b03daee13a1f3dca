/// \file
/// Follows the settings stream and hands every reader the same immutable tree. Two VMs of a domain read the
/// log and the others get the records from them, see core/tail_plan.h; all ask peers while the log is out.
#pragma once

#include "fuchsialoom/core/settings_replica.h"
#include "fuchsialoom/core/settings_submission.h"
#include "fuchsialoom/core/tail_cache.h"
#include "fuchsialoom/core/tail_plan.h"
#include "fuchsialoom/node/log_service.h"
#include "fuchsialoom/node/tail_source.h"
#include "fuchsialoom/settings/tree.h"
#include "fuchsialoom/support/bounded_ring.h"

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

namespace fuchsialoom
{

/// How far this VM is in the stream, by the log's own answer.
struct tail_position
{
    log_offset applied;
    instant provenAt; ///< when the log last showed nothing beyond `applied`
    log_offset first; ///< the lowest offset that the log then kept
};

/// Thread-safe.
class settings_service : public service
{
public:
    settings_service(log_service &log, event_service &events, replica_rules rules = {});

    /// Peers to ask while the log is out. Before start(); \p tails must outlive this.
    void setTails(tail_source &tails)
    {
        m_tails = &tails;
    }

    void start() override;
    void stop() override;

    /// The tree in force here. Never nothing.
    std::shared_ptr<const settings_tree> tree() const;

    /// The tree to serve callers with. \throws error(SettingsUnavailable) while this VM hasn't caught up once.
    std::shared_ptr<const settings_tree> servedTree() const;

    /// Whether this VM caught up with the stream at least once, so that the tree is no fresh start's.
    bool readOnce() const;

    replica_status status() const;
    /// The latest changes, oldest first.
    std::vector<change_seen> history() const;

    /// The records kept here from \p from on, for peers; `next` follows the last one applied.
    read_result tail(log_offset from, std::size_t most) const;

    /// What the peers of the domain are told; nothing where this VM doesn't read the log for them.
    std::optional<tail_position> positionToTell() const;
    void positionTold(const tail_position_told &position);

    /// Submits a change and waits until it is folded here, at most until \p deadline.
    /// \return the version; \throws error(InvalidSetting, SettingConflict, LogUnavailable, AppendUncertain).
    log_offset submit(settings_change change, real_deadline deadline);

private:
    void follow(const std::stop_token &stop);
    tail_actions nextReads();
    void followLog(const std::stop_token &stop);
    void followPeers(const std::stop_token &stop, const tail_actions &due);
    void takeProof(const tail_proof &proof);
    bool readLog();
    void readPeers(bool logReached);
    read_result readPeer(const vm_id &peer);
    void take(tail_id source, const read_result &raw);
    void writeSnapshotIfDue();
    void writeSnapshots();
    submission_answer drive(const settings_change &change, real_deadline deadline);
    tail_id tailOf(const vm_id &peer);

    log_service &m_log;
    event_service &m_events;
    tail_source *m_tails = nullptr; ///< fixed once started
    mutable std::mutex m_mutex;
    std::condition_variable m_folded;
    settings_replica m_replica; ///< guarded by m_mutex; changed by the following thread alone
    tail_plan m_plan; ///< guarded by m_mutex
    std::optional<tail_position> m_position; ///< guarded by m_mutex
    std::size_t m_awaiting = 0; ///< guarded by m_mutex; submissions that wait for their record
    bool m_wasTold = false; ///< guarded by m_mutex; a peer has more than was applied here
    tail_cache<raw_log_entry> m_kept; ///< guarded by m_mutex
    std::shared_ptr<const settings_tree> m_tree; ///< guarded by m_mutex; replaced, never changed
    std::map<vm_id, tail_id> m_tailIds; ///< used by the following thread alone
    std::size_t m_peerTurn = 0; ///< used by the following thread alone
    instant m_nextPeers; ///< used by the following thread alone
    bounded_ring<settings_snapshot> m_snapshots;
    std::condition_variable_any m_wake;
    std::jthread m_writer;
    std::jthread m_thread;
};

} // namespace fuchsialoom
