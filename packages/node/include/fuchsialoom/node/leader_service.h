/// \file
/// Follows the domain's stream on every VM, and leads the domain where this VM holds the lease: hosts
/// core/domain_leader, and carries out its appends, reads and orders on threads of their own.
#pragma once

#include "fuchsialoom/core/domain_leader.h"
#include "fuchsialoom/core/planner.h"
#include "fuchsialoom/node/listing_service.h"
#include "fuchsialoom/node/log_service.h"
#include "fuchsialoom/node/process_options.h"
#include "fuchsialoom/node/settings_service.h"
#include "fuchsialoom/support/bounded_ring.h"

#include <atomic>
#include <deque>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

namespace fuchsialoom
{

/// One target as the ledger sees it.
struct target_status
{
    target_id target;
    std::uint64_t capacityBytes = 0;
    std::uint64_t residentBytes = 0;
    std::uint64_t openBytes = 0; ///< of loads that may yet land
    std::size_t openOrders = 0;
    fencing_number fencedWith;
    bool reachable = false;
    target_placement resident;
};

struct leader_status
{
    std::optional<leader_term> term;
    bool leading = false; ///< this VM holds the lease
    bool frozen = false;
    log_offset applied;
    std::vector<target_status> targets;
};

/// Thread-safe.
class leader_service : public service
{
public:
    leader_service(const process_options &options,
                   incarnation_number incarnation,
                   log_service &log,
                   settings_service &settings,
                   event_service &events);

    void start() override;
    void stop() override;

    /// Where the domain's VMs and targets are listed; before start().
    void listFrom(const listing_service &listings)
    {
        m_listings = &listings;
    }

    /// Gives the lease up, so that another VM leads while this one ends its requests.
    void drain();

    leader_status status() const;

private:
    using target_call = std::variant<send_order, read_target_state>;

    void runMachine();
    void step(leader_event event);
    void carryOut(leader_action action);
    void publish();
    void followLog(const std::stop_token &stop);
    void makeAppends();
    void makeCalls();
    void callTarget(const send_order &call);
    void callTarget(const read_target_state &call);
    void watchDomain(const std::stop_token &stop);
    void readListing();
    void readSettings();
    void plan();
    std::optional<endpoint> addressOf(const target_id &target) const;

    const vm_id m_vm;
    const domain_id m_domain;
    log_service &m_log;
    settings_service &m_settings;
    event_service &m_events;
    const listing_service *m_listings = nullptr; ///< fixed once started; without it there are no targets
    bounded_ring<leader_event> m_ring;
    bounded_ring<append_record> m_appends;
    bounded_ring<target_call> m_calls;

    domain_leader m_machine; ///< used by the machine's thread alone
    std::deque<leader_event> m_refused; ///< answers to calls that found no room; the machine's thread alone

    vm_listing m_listing; ///< used by the watching thread alone
    log_offset m_lastSeenSettings; ///< used by the watching thread alone
    first_fit_planner m_planner; ///< used by the watching thread alone

    mutable std::mutex m_mutex;
    leader_status m_status; ///< guarded by m_mutex
    std::map<target_id, endpoint> m_addresses; ///< guarded by m_mutex

    std::jthread m_machineThread;
    std::jthread m_followThread;
    std::jthread m_appendThread;
    std::jthread m_watchThread;
    std::vector<std::jthread> m_callThreads;
};

} // namespace fuchsialoom
