/// \file
/// What the leader of the domain is to work towards: reads the list and the settings, follows
/// the fleet's stream, and plans while this VM leads. Hosts core/fleet_homes and the planner; the orders
/// are the leader service's.
#pragma once

#include "fuchsialoom/core/fleet_homes.h"
#include "fuchsialoom/core/leader_messages.h"
#include "fuchsialoom/core/planner.h"
#include "fuchsialoom/node/foreign_load.h"
#include "fuchsialoom/node/leader_status.h"
#include "fuchsialoom/node/listing_service.h"
#include "fuchsialoom/node/log_service.h"
#include "fuchsialoom/node/process_options.h"
#include "fuchsialoom/node/settings_service.h"

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <thread>
#include <utility>
#include <vector>

namespace fuchsialoom
{

struct planning_surroundings
{
    log_service &log;
    settings_service &settings;
    event_service &events;
    std::function<std::vector<foreign_load>()> foreignLoads; ///< may be unset: nothing is known of other domains
    std::function<leader_status()> status;
    std::function<void(leader_event)> post; ///< to the leader's machine
};

/// Thread-safe.
class leader_planning
{
public:
    leader_planning(const process_options &options, planning_surroundings around);

    /// Where the VMs and targets are listed; before start().
    void listFrom(const listing_service &listings)
    {
        m_listings = &listings;
    }

    /// Who of the domain's VMs is alive, asked on the watching thread; before start(). Without it the
    /// platform's list says so, which an outage leaves as it was.
    void setCandidates(std::function<std::vector<vm_id>()> candidates)
    {
        m_candidates = std::move(candidates);
    }

    void start();
    /// Returns at once; the threads end with join().
    void requestStop();
    void join();

    /// Where \p target of this domain is reached, or nothing where the list doesn't name it.
    std::optional<endpoint> addressOf(const target_id &target) const;

    /// Whether this VM can tell which domains are home to a model.
    bool homesKnown() const;

private:
    void watchDomain(const std::stop_token &stop);
    void followFleet(const std::stop_token &stop);
    void readListing();
    std::vector<vm_id> candidates() const;
    void readSettings();
    void readFleet();
    void plan();
    bool settingsAreSteady(const settings_tree &tree);
    std::optional<domain_capacity> capacityOf(const leader_status &now) const;
    copies_seen copiesElsewhere() const;
    void stepFleet(const fleet_event &event);

    const vm_id m_vm;
    const domain_id m_domain;
    planning_surroundings m_around;
    const listing_service *m_listings = nullptr; ///< fixed once started; without it there are no targets
    std::function<std::vector<vm_id>()> m_candidates; ///< fixed once started

    /// \name Used by the watching thread alone.
    /// @{
    vm_listing m_listing;
    log_offset m_lastSeenSettings;
    std::vector<model_need> m_needs; ///< of the settings up to `m_needsAt`
    std::optional<log_offset> m_needsAt;
    first_fit_planner m_planner;
    /// @}

    mutable std::mutex m_mutex;
    std::map<target_id, endpoint> m_addresses; ///< guarded by m_mutex
    fleet_homes m_homes; ///< guarded by m_mutex

    std::jthread m_watchThread;
    std::jthread m_fleetThread;
};

} // namespace fuchsialoom
