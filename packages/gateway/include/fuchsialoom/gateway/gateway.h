/// \file
/// The request path of one VM: admits requests by the configuration in force, queues them, chooses their
/// targets and keeps what its requests share. Each request is an `exchange`. One event loop's thread
/// alone uses it.
#pragma once

#include "fuchsialoom/core/admission_queue.h"
#include "fuchsialoom/fleet/messages.h"
#include "fuchsialoom/gateway/decision_log.h"
#include "fuchsialoom/gateway/drain_rules.h"
#include "fuchsialoom/gateway/connection_pool.h"
#include "fuchsialoom/gateway/request_facts.h"
#include "fuchsialoom/gateway/retry_rules.h"
#include "fuchsialoom/gateway/routes.h"
#include "fuchsialoom/gateway/target_pool.h"
#include "fuchsialoom/http/caller_link.h"
#include "fuchsialoom/support/metrics.h"

#include <asio.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>

namespace fuchsialoom
{

class exchange;

/// Why a request is refused, as not run.
enum class refusal {
    NotConfigured, ///< no configuration is known yet
    NoTarget,
    NotResident,
    UnknownModel, ///< the service has no such model or adapter
    QueueFull, ///< it can't start in time, by the rate at which the queue drains
    TimedOut, ///< its time ran out in the queue
    TargetsRefused,
    Draining,
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
    });
};

struct gateway_options
{
    vm_id vm;
    domain_id domain;
    shared_retry_budget::limits retries;
    std::uint64_t seed = 1; ///< of the choices between equals
};

struct adapter_demand
{
    instant askedAt{}; ///< last
    std::uint32_t running = 0;
};

/// What a VM's requests ask for: arrivals since its start, and what waits and runs now.
struct model_demand
{
    std::uint64_t arrivals = 0;
    std::uint32_t waiting = 0;
    std::uint32_t running = 0;
    std::map<adapter_id, adapter_demand> adapters;
};

struct gateway_counters
{
    std::uint64_t requests = 0;
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    std::uint64_t abandoned = 0;
    std::uint64_t repeats = 0;
};

class gateway
{
public:
    gateway(asio::io_context &loop, gateway_options options, dialect_calls dialect, decision_log &log, metrics_registry &metrics);
    ~gateway();

    /// A whole request came on \p caller.
    void submit(const std::shared_ptr<caller_link> &caller, received_request request);

    /// An older version than the one in force changes nothing. \return whether it is in force now.
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

    /// This VM stops: what isn't sure to be over by the plan's end is refused as not run, so that its caller goes to
    /// another VM at once.
    void setStopPlan(const stop_plan &plan);

    /// Answers what is still open and hasn't begun to be answered; streams under way are broken off.
    void abortOpenRequests();

    /// Something changed that may let queued requests go.
    void dispatchQueued();

    void setLiveVms(std::size_t live);

    /// Called when a request waits for an adapter that no target with room holds.
    void onAdapterMiss(std::function<void(const adapter_request &)> callback)
    {
        m_onAdapterMiss = std::move(callback);
    }

    /// Asked how long it takes until some VM orders what targets hold; 0 unless set.
    void setTimeUntilOrders(std::function<milliseconds()> ask)
    {
        m_timeUntilOrders = std::move(ask);
    }

    /// Called when what this VM has in flight changed, so that peers hear of it before they choose for their next ones.
    void onFlights(std::function<void()> callback)
    {
        m_onInFlightChanged = std::move(callback);
    }

    /// Called with a target whose host refused a connection, when that is news here.
    void onUnreachable(std::function<void(const target_id &)> callback)
    {
        m_onUnreachable = std::move(callback);
    }
    /// The host of \p target refused a connection.
    void noteUnreachable(const target_id &target);

    /// For the digest: models with anything new, and the adapters asked for since \p since.
    std::vector<demand_entry> demandSince(instant since) const;

    const gateway_counters &counters() const
    {
        return m_counters;
    }
    /// Brings the gauges up to date.
    void updateGauges();

    std::size_t openRequests() const
    {
        return m_openCount;
    }

private:
    friend class exchange;

    void enqueue(const std::shared_ptr<exchange> &ex);
    void notifyInFlightChanged();
    void onExchangeDone(exchange &ex);
    pool_verdict tryDispatch(exchange &ex);
    /// What can't meet its objective any more goes behind what can.
    void demoteLate(instant now);
    void refuseUnstartable(instant now);
    /// \p one waits and can't start in time, or its time is over.
    void refuseQueued(instant now, exchange &ex);
    /// What waits and would not be over before this VM ends. What finds a place is compared where it is sent.
    void refuseUnfinishable(instant now);
    /// What \p one would take, by the runs of its route of late; on the long side.
    milliseconds expectedRun(instant now, const exchange &ex) const;
    /// Whether \p one, sent at \p now, is over before this VM ends.
    bool endsBeforeStop(instant now, const exchange &ex) const;
    /// Whether \p one is not to be begun any more, since this VM ends before it could.
    bool isUnfinishable(instant now, const exchange &ex) const;
    /// While this VM stops: what \p one would take, and the time left.
    void addShutdownFields(log_line &line, instant now, const exchange &ex) const;
    /// Requests in \p lanes, whose model or adapter no target holds, when nobody can order it in time.
    void refuseNotResident(instant now, const std::set<lane_key> &lanes);
    void armQueueTimer();
    shared_retry_budget &retryBudgetFor(const service_id &service);

    asio::io_context &m_loop;
    gateway_options m_options;
    dialect_calls m_dialect;
    decision_log &m_log;
    metrics_registry &m_metrics;
    std::optional<gateway_configuration> m_configuration;
    route_table m_routes;
    target_pool m_pool;
    connection_pool m_links;
    admission_queue m_queue;
    std::map<request_id, std::shared_ptr<exchange>> m_queued; ///< by the serial that the queue knows
    std::map<request_id, std::weak_ptr<exchange>> m_openExchanges; ///< by serial; not answered yet
    std::map<std::string, run_meter> m_runMeters; ///< by route
    std::map<model_id, pace_meter> m_paceMeters; ///< of the models that engines serve
    std::map<service_id, shared_retry_budget> m_budgets;
    std::map<model_id, model_demand> m_demand;
    std::function<void(const adapter_request &)> m_onAdapterMiss;
    std::function<void()> m_onInFlightChanged;
    std::function<void(const target_id &)> m_onUnreachable;
    std::function<milliseconds()> m_timeUntilOrders;
    asio::steady_timer m_queueTimer;
    bool m_queueTimerArmed = false;
    stop_plan m_stopPlan; ///< far in the future unless this VM stops
    bool m_dispatching = false;
    bool m_dispatchAgain = false;
    std::size_t m_liveVms = 1;
    std::size_t m_openCount = 0;
    std::uint64_t m_serial = 0;
    std::mt19937_64 m_random;
    gateway_counters m_counters;
};

} // namespace fuchsialoom
