/// \file
/// The request path of one VM: admits requests as the current configuration says, queues them, chooses their targets
/// and owns the state that they share. Each request is an `exchange`. Not thread-safe: only the event loop's thread
/// may use it.
#pragma once

#include "fuchsialoom/core/admission_queue.h"
#include "fuchsialoom/fleet/messages.h"
#include "fuchsialoom/fleet/team_quotas.h"
#include "fuchsialoom/gateway/connection_pool.h"
#include "fuchsialoom/gateway/crash_evidence.h"
#include "fuchsialoom/gateway/decision_log.h"
#include "fuchsialoom/gateway/drain_rules.h"
#include "fuchsialoom/gateway/passed_on.h"
#include "fuchsialoom/gateway/path_watch.h"
#include "fuchsialoom/gateway/peer_choice.h"
#include "fuchsialoom/gateway/request_facts.h"
#include "fuchsialoom/gateway/retry_rules.h"
#include "fuchsialoom/gateway/routes.h"
#include "fuchsialoom/gateway/suspect_trials.h"
#include "fuchsialoom/gateway/target_pool.h"
#include "fuchsialoom/http/caller_link.h"
#include "fuchsialoom/support/metrics.h"

#include <asio.hpp>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>

namespace fuchsialoom
{

class exchange;
enum class probe_result;

/// Why a request that hasn't run is refused.
enum class refusal {
    NotConfigured, ///< no configuration was received yet
    NoTarget,
    NotResident,
    UnknownModel, ///< the service has no such model or adapter
    QueueFull, ///< it can't start in time at the rate at which the queue drains
    TimedOut, ///< its deadline passed while it was queued
    TargetsRefused,
    Draining,
    NoPath, ///< this VM reaches no target, and no other VM takes the request
    ConfigurationBehind, ///< the request's key or route isn't known here, and another VM has a newer configuration
    Quarantined, ///< it crashed the targets that ran it
    NoMemory, ///< requests and answers together take too much
    Suspected, ///< it was at several deaths of targets, and may run again, alone, after a while
};

template<>
struct name_table<refusal>
{
    static constexpr auto entries = std::to_array<enum_name<refusal>>({
        {refusal::NotConfigured, "not-configured"},
        {refusal::NoTarget, "no-target"},
        {refusal::NotResident, "not-resident"},
        {refusal::UnknownModel, "unknown-model"},
        {refusal::QueueFull, "queue-full"},
        {refusal::TimedOut, "timed-out"},
        {refusal::TargetsRefused, "targets-refused"},
        {refusal::Draining, "draining"},
        {refusal::NoPath, "no-path"},
        {refusal::ConfigurationBehind, "configuration-behind"},
        {refusal::Quarantined, "quarantined"},
        {refusal::NoMemory, "no-memory"},
        {refusal::Suspected, "suspected"},
    });
};

enum class crash_news_source {
    Peer,
    Store,
};

template<>
struct name_table<crash_news_source>
{
    static constexpr auto entries = std::to_array<enum_name<crash_news_source>>({
        {crash_news_source::Peer, "peer"},
        {crash_news_source::Store, "store"},
    });
};

/// Which VM found that a target's process is gone.
enum class death_source {
    Own,
    Peer,
};

template<>
struct name_table<death_source>
{
    static constexpr auto entries = std::to_array<enum_name<death_source>>({
        {death_source::Own, "own"},
        {death_source::Peer, "peer"},
    });
};

struct gateway_options
{
    vm_id vm;
    domain_id domain;
    shared_retry_budget::limits retries;
    milliseconds quotaWindow{0}; ///< in which a team may use its burst once
    milliseconds quarantineLength{600000}; ///< for which a request that crashed targets is refused
    std::uint64_t seed = 1; ///< of random choices between equally good targets
    std::size_t mostHeldBytes = 33554432; ///< memory of all requests and answers together, bytes
    std::size_t heldBytesShare = 8192; ///< memory that each request and each answer may always take, bytes
};

struct adapter_demand
{
    instant askedAt{}; ///< time of the last request
    std::uint32_t running = 0;
};

/// Demand for one model at this VM: arrivals since its start, and requests queued and running now.
struct model_demand
{
    std::uint64_t arrivals = 0;
    std::uint32_t waiting = 0;
    std::uint32_t running = 0;
    std::map<adapter_id, adapter_demand> adapters;
};

/// What became of a team's requests at this VM since its start.
struct team_usage
{
    std::uint64_t admitted = 0;
    std::uint64_t overQuota = 0;
    std::uint64_t cost = 0; ///< admitted, including what was given back
};

struct gateway_counters
{
    std::uint64_t requests = 0;
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    std::uint64_t abandoned = 0;
    std::uint64_t retries = 0;
    std::uint64_t passedOn = 0; ///< sent to other VMs
    std::uint64_t takenOver = 0; ///< received from other VMs
};

/// A target that couldn't be reached, as long as it isn't known whether the VM's own path is the cause.
struct unconfirmed_failure
{
    bool isRefused = false;
    std::set<crash_subjects> trials; ///< that broke off there
};

class gateway
{
public:
    gateway(asio::io_context &loop, gateway_options options, dialect_calls dialect, decision_log &log, metrics_registry &metrics);
    ~gateway();

    /// Handles a complete request received on \p caller.
    void submit(const std::shared_ptr<caller_link> &caller, received_request request);
    /// The same for a request that another VM passed on, which is passed on no further: if this VM can't send it to a target, the
    /// answer is statusDeclined.
    void submitPassedOn(const std::shared_ptr<caller_link> &peer, received_request request, const passed_on_mark &mark);

    /// Applies \p configuration if its version is newer than the current one. \return whether it was applied.
    bool configure(gateway_configuration configuration);
    bool isConfigured() const
    {
        return m_configuration.has_value();
    }
    const gateway_configuration &configuration() const
    {
        return *m_configuration;
    }
    const caller_limits &limits() const;

    target_pool &pool()
    {
        return m_pool;
    }
    team_quotas &quotas()
    {
        return m_quotas;
    }
    /// Prometheus text of what each team used, and of its credit as this VM believes it.
    std::string teamMetrics() const;

    /// Records that some VM has configuration \p version, so that a key or route that isn't known here may be known there.
    void noteVersionElsewhere(std::uint64_t version)
    {
        m_newestVersion = std::max(m_newestVersion, version);
    }

    /// Starts the shutdown of this VM: requests that aren't expected to finish by the plan's end are refused as not run,
    /// so that their callers can retry at another VM at once.
    void setStopPlan(const stop_plan &plan);

    /// Refuses or fails all open requests; aborts started streams.
    void abortOpenRequests();

    /// Sends queued requests to targets with room; to be called after a change that may have made room.
    void dispatchQueued();

    void setLiveVms(std::size_t live);

    /// Sets the callback for a request whose adapter isn't resident at any target with room.
    void onAdapterMiss(std::function<void(const adapter_request &)> callback)
    {
        m_onAdapterMiss = std::move(callback);
    }

    /// Sets the function that returns the time until some VM can order targets to load models; 0 if none is set.
    void setTimeUntilOrders(std::function<milliseconds()> callback)
    {
        m_timeUntilOrders = std::move(callback);
    }

    /// Sets the callback for changes of this VM's in-flight requests, so that peers learn of them before their next choice.
    void onInFlightCounts(std::function<void()> callback)
    {
        m_onInFlightChanged = std::move(callback);
    }

    /// Sets the callback for a target whose host refused a connection, or that was reached although it had refused another VM, if
    /// that wasn't known here yet.
    void onReachability(std::function<void(const target_id &, bool isAlive)> callback)
    {
        m_onReachability = std::move(callback);
    }

    /// \name The path to the targets: see path_watch.
    /// @{
    /// Looks for signs that the path is lost or back; to be called periodically.
    void watchPath();
    bool isPathLost() const
    {
        return m_paths.isLost();
    }
    /// Sets the callback for a path that is lost or back.
    void onPathChange(std::function<void()> callback)
    {
        m_onPathChange = std::move(callback);
    }
    /// Sets the callback for targets that say for the first time, or no more, that they are brittle.
    void onBrittleChange(std::function<void()> callback)
    {
        m_onBrittleChange = std::move(callback);
    }
    /// Prometheus text of the path and of the requests that were passed on.
    std::string pathMetrics() const;
    /// Whether requests go to other VMs, since this one has no path.
    bool passesOn() const
    {
        return m_paths.isLost() && !m_servingPeers.empty();
    }
    /// Sets the VMs that may serve requests of this one, and that share the room at targets with it.
    void setServingPeers(std::vector<serving_peer> peers);
    /// @}

    /// \name Requests that crash targets.
    /// @{
    /// Records that a peer's connection to \p target was refused; some of the VMs look for themselves.
    void noteUnreachableElsewhere(const target_id &target);
    /// Records that a peer reached \p target after it had refused another VM.
    void noteAliveElsewhere(const target_id &target);
    /// Adds what other VMs or the store know. \return the part of it that wasn't known.
    crash_news learnCrashNews(const crash_news &news, crash_news_source source);
    crash_news knownCrashes() const
    {
        return m_crashes.known(loopNow());
    }
    /// Begins and ends quarantines; to be called periodically.
    void updateQuarantines();
    /// Sets the callback for news that this VM found and others have to hear.
    void onCrashNews(std::function<void(const crash_news &)> callback)
    {
        m_onCrashNews = std::move(callback);
    }
    /// Prometheus text of the quarantines.
    std::string quarantineMetrics() const;
    /// @}

    /// Entries for the gossip digest: models with queued or running requests, and adapters that run or were requested
    /// after \p since.
    std::vector<demand_entry> demandSince(instant since) const;

    const gateway_counters &counters() const
    {
        return m_counters;
    }
    void updateGauges();

    std::size_t openRequests() const
    {
        return m_openCount;
    }
    /// Counts what is held of requests and answers, here and at the links of callers.
    const std::shared_ptr<byte_account> &heldBytes() const
    {
        return m_heldBytes;
    }

private:
    friend class exchange;

    void enqueue(const std::shared_ptr<exchange> &ex);
    void notifyInFlightChanged();
    void configureTeams();
    /// Applies the configuration in force to the queued requests that were sent to no target yet.
    void rerouteQueued();
    void reroute(exchange &ex);
    void onExchangeDone(exchange &ex);
    pool_verdict tryDispatch(exchange &ex);
    /// Moves queued requests that can no longer meet their objective behind those that can.
    void demoteLate(instant now);
    void refuseUnstartable(instant now);
    /// Refuses queued request \p ex, which can't start in time or is past its queue deadline; fails it if it may have run.
    void refuseQueued(instant now, exchange &ex);
    /// Refuses queued requests that can't finish before this VM stops. Requests that get a target are checked on dispatch.
    void refuseUnfinishable(instant now);
    /// Conservative estimate of the duration of \p ex, from recent requests of its route.
    milliseconds expectedRun(instant now, const exchange &ex) const;
    /// Whether \p ex, if sent at \p now, is expected to finish before this VM stops.
    bool endsBeforeStop(instant now, const exchange &ex) const;
    /// Whether \p ex must not be started, since it isn't expected to finish before this VM stops.
    bool isUnfinishable(instant now, const exchange &ex) const;
    /// While this VM stops, adds the estimated duration of \p ex and the time left.
    void addShutdownFields(log_line &line, instant now, const exchange &ex) const;
    /// Refuses requests in \p lanes, whose model or adapter isn't resident at any target, if it can't be ordered in time.
    void refuseNotResident(instant now, const std::set<lane_key> &lanes);
    /// Lets silent streams look for a successor before queued requests take the room.
    void tryTakeovers(instant now);
    void armQueueTimer();
    /// Records the end of a connection attempt at \p target.
    void noteConnect(const target_id &target, connect_result result);
    void applyPathChange(path_change change);
    void onPathLost();
    void probePath();
    /// What failed before is out of reach for its own reasons: tells the others of targets that refused, and counts broken trials.
    void confirmSuspects();
    /// Sends queued request \p ex to another VM, or ends it. \return whether it left the queue.
    bool passOn(exchange &ex);
    std::optional<serving_peer> choosePeer();
    /// Whether this VM takes one more request that another one passes on.
    bool takesPassedOn(const passed_on_mark &mark) const;
    /// Records that the host of \p target refused a connection, and that it wasn't this VM's path.
    void noteUnreachable(const target_id &target);
    /// The connection of an attempt broke before the request was known to run: finds out whether the target died.
    void attemptBroke(const exchange &ex, const target_id &target);
    void onProbed(const target_id &target, probe_result result);
    /// Bytes of an attempt at \p target arrived. After a silence, they show that its process didn't die.
    void noteHeard(const target_id &target);
    /// Tells the others that \p target, which refused a peer, can be reached.
    void contradict(const target_id &target);
    void reportDeath(const target_id &target, death_source source);
    service_facts serviceFactsOf(const target_id &target) const;
    /// The request of \p ex ran to its end, or has run for a while, so it crashes no target.
    void acquit(const exchange &ex);
    /// The same for the parts of its prompt.
    void acquitParts(const exchange &ex);
    void logAcquittals(const exchange &ex, const crash_news &news);
    /// Claims the turn to send the suspected request of \p ex. \return nothing while another request has it.
    std::optional<trial_claim> claimTrial(const exchange &ex);
    /// A trial at \p target ended without an answer, and the target is dead or out of reach.
    void trialBroke(const crash_subjects &subjects, const target_id &target);
    void releaseTrial(const trial_claim &claim);
    /// Answers queued requests that are suspected by now, rather than when it is their turn.
    void endQueuedSuspects();
    void tellCrashNews(const crash_news &news);
    shared_retry_budget &retryBudgetFor(const service_id &service);
    /// Idle connections that this VM keeps to a target of \p service.
    std::size_t idleLimit(const service_id &service) const;

    asio::io_context &m_loop;
    gateway_options m_options;
    dialect_calls m_dialect;
    decision_log &m_log;
    metrics_registry &m_metrics;
    std::optional<gateway_configuration> m_configuration;
    route_table m_routes;
    team_directory m_teams; ///< empty if the configuration has no teams
    team_quotas m_quotas;
    std::map<team_id, team_usage> m_teamUsage; ///< of the teams in the configuration
    std::uint64_t m_newestVersion = 0; ///< of the configurations that VMs are known to have
    target_pool m_pool;
    connection_pool m_links;
    crash_evidence m_crashes;
    std::map<target_id, std::set<crash_subjects>> m_probed; ///< targets with an open probe, and the trials that broke off there
    path_watch m_paths;
    std::map<target_id, unconfirmed_failure> m_unconfirmed; ///< until the path is known to be whole or lost
    asio::steady_timer m_pathTimer;
    instant m_pathTimerAt = farFuture;
    connection_pool m_peerLinks; ///< by the name of the VM
    peer_choice m_peerChoice;
    std::vector<serving_peer> m_servingPeers;
    std::size_t m_passedOnOpen = 0; ///< requests of other VMs in progress
    suspect_trials m_trials;
    std::uint64_t m_quarantineRefusals = 0;
    std::uint64_t m_partRefusals = 0; ///< of these, for a part of the prompt
    std::uint64_t m_suspectRefusals = 0;
    std::uint64_t m_trialCount = 0; ///< sent by this VM
    admission_queue m_queue;
    std::map<request_id, std::shared_ptr<exchange>> m_queued; ///< by serial
    std::map<request_id, std::weak_ptr<exchange>> m_openExchanges; ///< by serial; not completed yet
    std::map<request_id, std::weak_ptr<exchange>> m_silentStreams; ///< by serial; started, and their target is silent
    std::map<std::string, run_meter> m_runMeters; ///< by route
    std::map<model_id, pace_meter> m_paceMeters; ///< by model; engines only
    std::map<service_id, shared_retry_budget> m_budgets;
    std::map<model_id, model_demand> m_demand;
    std::function<void(const adapter_request &)> m_onAdapterMiss;
    std::function<void()> m_onInFlightChanged;
    std::function<void(const target_id &, bool isAlive)> m_onReachability;
    std::function<void()> m_onPathChange;
    std::function<void()> m_onBrittleChange;
    std::function<void(const crash_news &)> m_onCrashNews;
    std::function<milliseconds()> m_timeUntilOrders;
    asio::steady_timer m_queueTimer;
    bool m_queueTimerArmed = false;
    stop_plan m_stopPlan; ///< far in the future unless this VM is stopping
    bool m_dispatching = false;
    bool m_dispatchAgain = false;
    const instant m_startedAt = loopNow();
    std::size_t m_liveVms = 1;
    std::size_t m_openCount = 0;
    std::shared_ptr<byte_account> m_heldBytes;
    std::uint64_t m_serial = 0;
    std::mt19937_64 m_random;
    gateway_counters m_counters;
};

} // namespace fuchsialoom
