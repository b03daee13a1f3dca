/// \file
/// Simulates a fleet of fleet_nodes on virtual time, with lost, delayed and reordered datagrams, VMs that freeze or end, and
/// network partitions of failure domains.
#pragma once

#include "fuchsialoom/fleet/fleet_node.h"

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace fuchsialoom
{

struct simulated_fleet_options
{
    std::size_t vms = 9;
    std::size_t domains = 4;
    std::uint64_t seed = 1;
    double loss = 0; ///< fraction of datagrams lost
    milliseconds longestDelay{3};
    std::map<team_id, quota_limits> quotas{};
    /// Adds to the callbacks of a VM that starts; optional.
    std::function<void(std::size_t vm, fleet_events &events)> extendEvents{};
    /// Called at each step, after its datagrams and timers; optional.
    std::function<void(instant now)> onStep{};
};

class simulated_fleet
{
public:
    struct vm_state
    {
        vm_record record;
        std::unique_ptr<team_quotas> quotas; ///< outlives `node`
        std::unique_ptr<fleet_node> node;
        std::uint64_t incarnation = 0;
        bool frozen = false;
        bool reachesTargets = true;
        bool hearsBrittle = false; ///< targets of the service "s" tell this VM that they are brittle
        bool knowsBrittle = false; ///< others have told it
        in_flight_counts own; ///< actual in-flight counts of this VM
        std::set<target_key> changed;
        in_flight_tracker seen; ///< in-flight counts of other VMs, as reported to this one
        std::size_t live = 1; ///< reported number of live VMs
        std::size_t lowestLive = 0; ///< lowest reported number since the last resetCounters()
        std::optional<std::uint64_t> fence; ///< set while this VM holds the duty
        instant holderHeardAt{};
        std::set<residency_change> residencyChanges;
        std::map<residency_change, bool> latestResidency; ///< latest reported presence; the key's own `present` is always true
        std::set<adapter_request> adapterRequests;
        crash_news crashes; ///< that this VM has heard of or found; lost when it ends
        std::map<vm_id, std::vector<demand_entry>> demand;
        std::vector<demand_entry> ownDemand;
        std::size_t suspectedRelays = 0;
        std::uint64_t sent = 0;
        std::uint64_t received = 0;
    };

    explicit simulated_fleet(simulated_fleet_options options);

    /// All VMs start within 0.3 s and know each other's records 0.1 s after the last one's start.
    void startAll();
    void run(milliseconds length);

    void setInFlight(std::size_t vm, target_key target, std::uint32_t requests);
    /// Applies a new configuration of quotas at all running VMs; VMs that start later get it too.
    void setQuotas(const std::map<team_id, quota_limits> &quotas);
    /// VM \p vm finds that \p fingerprint is to be refused.
    void quarantineAt(std::size_t vm, content_hash fingerprint);
    /// Every relay of \p domain reads in the store that \p fingerprint is to be refused.
    void readQuarantineInStore(const domain_id &domain, content_hash fingerprint);
    /// VM \p vm loses its path to the targets, or has it again.
    void setReachesTargets(std::size_t vm, bool reaches);
    /// Targets of the service "s" tell VM \p vm that they are brittle, or no more.
    void setHearsBrittle(std::size_t vm, bool hears);
    void kill(std::size_t vm);
    void restart(std::size_t vm);
    void freeze(std::size_t vm, bool frozen);
    /// Drops all datagrams between \p domain and the other domains.
    void partition(const domain_id &domain, bool isPartitioned);

    vm_state &at(std::size_t vm)
    {
        return m_vms.at(vm);
    }
    std::size_t size() const
    {
        return m_vms.size();
    }
    instant now() const
    {
        return m_now;
    }
    bool isUp(std::size_t vm) const
    {
        return m_vms.at(vm).node != nullptr;
    }
    /// Actual number of requests in flight at \p target from all other running VMs.
    std::uint32_t inFlightOfOthers(std::size_t vm, target_key target) const;
    std::vector<std::size_t> relays() const;
    void resetCounters();

private:
    struct in_transit
    {
        std::shared_ptr<const peer_datagram> datagram;
        std::size_t from;
        endpoint to;
    };

    fleet_events eventsOf(std::size_t vm);
    void start(std::size_t vm);
    void step();
    void send(std::size_t from, const fleet_outbox &out);
    void transmit(std::size_t from, const endpoint &to, const std::shared_ptr<const peer_datagram> &datagram);
    void deliver(const in_transit &one);

    simulated_fleet_options m_options;
    std::mt19937_64 m_random;
    instant m_now{seconds(100)};
    std::vector<vm_state> m_vms;
    std::map<endpoint, std::size_t> m_byAddress;
    std::multimap<instant, in_transit> m_inTransit;
    std::set<domain_id> m_partitioned;
};

} // namespace fuchsialoom
