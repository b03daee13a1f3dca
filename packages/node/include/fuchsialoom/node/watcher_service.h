/// \file
/// Watches what the system serves on: the listed targets' load and caches, and what the peers' digests say
/// of them. The decisions are watch_plan's and, for a VM that starts, readiness_gate's; this carries them
/// out.
#pragma once

#include "fuchsialoom/core/cache_follower.h"
#include "fuchsialoom/core/readiness_gate.h"
#include "fuchsialoom/core/watch_plan.h"
#include "fuchsialoom/node/decision_service.h"
#include "fuchsialoom/node/peer_service.h"
#include "fuchsialoom/node/settings_service.h"
#include "fuchsialoom/support/bounded_ring.h"
#include "fuchsialoom/wire/load_exchange.h"

#include <map>
#include <mutex>
#include <set>
#include <thread>
#include <vector>

namespace fuchsialoom
{

/// Thread-safe.
class watcher_service : public service
{
public:
    watcher_service(const settings_service &settings, event_service &events, decision_service &decisions, peer_service &peers);

    void start() override;
    void stop() override;

    /// Takes in the targets of all domains. One caller at a time.
    void takeListing(const vm_listing &listing);

    /// Every target of the own domain as known here.
    std::vector<watched_target> targets() const;

private:
    struct probe_job
    {
        listed_target target;
        bool load = false; ///< else the cache alone
        bool cache = false;
        bool wasSilent = false; ///< counts in m_silentAsked while under way
    };

    void watch(const std::stop_token &stop);
    void probe();
    void startRound(std::uint64_t round);
    void postProbes(const std::vector<listed_target> &probes, bool load, bool cache);
    bool takeSlot(const probe_job &job);
    void giveSlotBack(const probe_job &job);
    void askLoad(const probe_job &job);
    void askCache(const probe_job &job);
    void takeForeign(const vm_listing &listing);
    void step(const watch_event &event);
    void stepGate(const gate_event &event);
    bool isOwn(const listed_target &target) const;
    void takeAnswer(load_report report, bool own);
    void fillDigest(const vm_id &receiver, bool sameDomain, proto::peer_digest &digest);
    void readDigest(const vm_contact &sender, bool sameDomain, const proto::peer_digest &digest);
    void learnForeign(const load_report &report);

    const settings_service &m_settings;
    event_service &m_events;
    decision_service &m_decisions;
    peer_service &m_peers;

    std::mutex m_stepMutex; ///< keeps what the plan decides in order; taken before m_mutex
    mutable std::mutex m_mutex;
    watch_plan m_plan; ///< guarded by m_mutex
    readiness_gate m_gate; ///< guarded by m_mutex
    load_exchange m_exchange; ///< guarded by m_mutex
    std::map<target_id, listed_target> m_foreign; ///< guarded by m_mutex; targets of other domains
    std::map<target_id, load_report> m_foreignLoads; ///< guarded by m_mutex; of targets in m_foreign
    std::map<target_id, cache_follower> m_caches; ///< guarded by m_mutex; each used by one probe at a time
    std::set<target_id> m_asked; ///< guarded by m_mutex; targets with a probe under way
    std::set<target_id> m_silent; ///< guarded by m_mutex; targets that did not answer their last probe
    std::size_t m_silentAsked = 0; ///< guarded by m_mutex; probes under way of targets that were silent when asked

    bounded_ring<probe_job> m_jobs;
    std::vector<std::jthread> m_probers;
    std::jthread m_watchThread;
};

} // namespace fuchsialoom
