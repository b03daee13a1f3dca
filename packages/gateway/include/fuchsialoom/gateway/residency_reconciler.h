/// \file
/// Issues the load and unload orders of the lease holder: adapters that requests wait for, and the models that a
/// plan places. Each engine has at most one order outstanding, conditional on the engine's order count, so
/// that a delayed order can only take effect in the state that it was made for. Performs no I/O.
///
/// Memory is never overcommitted: an order is derived from a report of the engine, and only if the models
/// in that report plus everything accepted since leave room for it. The engine executes it only while its order
/// count still matches that state. An unanswered order is resent unchanged until the count shows that one of the
/// sends was accepted.
#pragma once

#include "fuchsialoom/core/wanted_placement.h"
#include "fuchsialoom/fleet/messages.h"
#include "fuchsialoom/gateway/decision_log.h"
#include "fuchsialoom/gateway/store_load_budget.h"
#include "fuchsialoom/gateway/target_pool.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace fuchsialoom
{

/// What an engine reports that it holds; the state is a few hundred milliseconds older than the request for it.
struct engine_report
{
    std::uint64_t orderCount = 0; ///< orders accepted since the engine started
    bool busy = false; ///< a model is being loaded or unloaded
    std::vector<held_model> models;
    std::vector<std::pair<model_id, adapter_id>> pending; ///< adapters being loaded
    std::set<model_id> cachedModels; ///< models whose weights are cached in its memory or on its disk
    std::set<model_id> memoryCachedModels; ///< the subset of `cachedModels` in its memory
};

struct residency_order
{
    target_id target;
    endpoint address;
    bool load = true; ///< false: unload
    model_id model;
    adapter_id adapter; ///< empty: the order concerns the model itself
    std::uint64_t expected = 0; ///< the engine executes the order only at this order count

    friend bool operator==(const residency_order &, const residency_order &) = default;
};

enum class order_result {
    Accepted,
    AlreadyApplied, ///< the engine is already in the ordered state
    Conflict, ///< another order is in progress, or the order count differs
    Refused, ///< another process has the address, or the order is invalid for the engine
    Unknown, ///< no answer: it may have been executed, or may still be
};

template<>
struct name_table<order_result>
{
    static constexpr auto entries = std::to_array<enum_name<order_result>>({
        {order_result::Accepted, "accepted"},
        {order_result::AlreadyApplied, "already-so"},
        {order_result::Conflict, "conflict"},
        {order_result::Refused, "refused"},
        {order_result::Unknown, "unknown"},
    });
};

/// What the caller has to send now.
struct residency_actions
{
    std::vector<residency_order> orders;
    std::vector<target_id> reports; ///< engines to request a report from
    std::vector<residency_change> residencyChanges; ///< to broadcast to all VMs
};

/// The target state of a service's engines.
struct residency_plan
{
    wanted_placement wanted;
    std::set<model_id> evictable; ///< models whose last copy may be unloaded
    std::set<model_id> busyModels; ///< models whose adapters are prefetched
};

class residency_reconciler
{
public:
    /// \p handoverTime: least time from the execution of one lease holder's last order to the first order of the next holder.
    residency_reconciler(store_load_limits limits, milliseconds handoverTime, decision_log &log);

    /// Discards what it knows of the engines, after this VM took the lease over from another. Adapters that the previous holder
    /// unloaded may still be in use, which reports don't show. Loads issued here still count for the store's rate.
    void reset(instant now);

    void setTraits(const service_id &service, const engine_traits &traits);

    /// Records that requests wait for an adapter.
    void requestAdapter(instant now, const adapter_request &adapterRequest);
    /// Records that requests named an adapter, which delays its eviction.
    void recordAdapterUse(instant now, const model_id &model, const adapter_id &adapter, std::uint32_t running = 0);

    void setPlan(const service_id &service, residency_plan plan);

    void onReport(instant now, const target_id &target, const engine_report &report);
    void onReportFailed(instant now, const target_id &target);
    void onOrdered(instant now, const residency_order &order, order_result result);

    /// Returns what to send now; \p pool lists the engines.
    residency_actions step(instant now, const target_pool &pool);

    /// When the latest order was issued.
    std::optional<instant> lastOrder() const
    {
        return m_lastOrder;
    }
    std::uint64_t orders() const
    {
        return m_orders;
    }
    const store_load_budget &storeLoads() const
    {
        return m_storeLoads;
    }
    /// Orders to load from the weight store, without those sent again.
    std::uint64_t storeLoadOrders() const
    {
        return m_storeLoadOrders;
    }

    /// The models of an engine by its latest report and the orders accepted since; null before the first report.
    const std::vector<held_model> *heldBy(const target_id &target) const;
    bool hasReport(const target_id &target) const;

    /// Models that are being loaded at an engine, or have been loaded for less time than the load took.
    std::set<model_id> recentlyLoadedAt(instant now, const target_id &target) const;

    /// The model whose unload is in progress or scheduled.
    std::optional<model_id> unloadingFrom(const target_id &target) const;

    /// The engine's latest report, updated with the orders accepted since; null before the first.
    const engine_report *reportOf(const target_id &target) const;

private:
    using adapter_key = std::pair<model_id, adapter_id>;

    struct adapter_use
    {
        instant requestedAt{}; ///< when a request last named it
        instant runningAt{}; ///< when a request that uses it was last reported running
    };

    struct engine_state
    {
        service_id service;
        bool reportValid = false; ///< false until the first report, and again after a conflict or a refusal
        bool reportRequested = false; ///< a report was requested and hasn't arrived
        engine_report report; ///< the latest, updated with the orders accepted since
        /// Adapters whose unload waits for running requests, and when it was accepted. They count against the
        /// adapter slots until they are certainly gone.
        std::map<adapter_key, instant> drainingAdapters;
        std::optional<residency_order> unanswered; ///< the order issued and not yet answered
        std::optional<instant> resendDue; ///< when to resend an order whose answer was lost
        instant unansweredSince{}; ///< when `unanswered` was first issued
        bool unansweredFromStore = false; ///< `unanswered` loads weights from the store
        std::optional<residency_order> inProgress; ///< a model order accepted, whose completion isn't reported yet
        instant inProgressSince{};
        instant nextReportAt{}; ///< earliest time of the next report request
        instant lastAnnouncedAt{}; ///< when the unload in progress was last announced
        std::map<model_id, instant> recentlyLoadedUntil; ///< recently loaded models; each entry lasts as long as its load took
        std::optional<residency_order> pendingUnload; ///< an unload that is announced and not yet issued
        instant unloadAt{};
    };

    struct scheduled_change
    {
        instant at{};
        residency_change residencyChange;
    };

    void trackListedEngines(const target_pool &pool);
    void issueOrder(instant now, engine_state &state, residency_order order, residency_actions &actions);
    void resendUnanswered(instant now, const target_id &id, engine_state &state, residency_actions &actions);
    void serveAdapterRequests(instant now, const target_pool &pool, residency_actions &actions);
    bool serveAdapterRequest(instant now, const target_pool &pool, const adapter_request &adapterRequest, residency_actions &actions);
    void prefetchAdapters(instant now, const target_pool &pool, residency_actions &actions);
    std::optional<adapter_key> leastReplicatedAdapter(const engine_state &state,
                                                      const engine_traits &traits,
                                                      const std::set<model_id> &busy,
                                                      const std::map<adapter_key, std::size_t> &copies) const;
    void startPlannedLoads(instant now, const target_pool &pool, residency_actions &actions);
    bool startLoad(instant now, const target_pool &pool, const wanted_load &load, residency_actions &actions);
    bool startUnloadForRoom(instant now, const target_pool &pool, engine_state &state, const target_id &id, residency_actions &actions);
    bool isPlanned(const model_id &model, const engine_state &state, const target_id &id) const;
    bool mayUnload(const model_id &model, const service_id &service, const target_id &from, const target_pool &pool) const;
    void startPendingUnloads(instant now, const target_pool &pool, residency_actions &actions);
    void requestReports(instant now, residency_actions &actions);
    void reannounceUnloads(instant now, residency_actions &actions);
    void applyOrder(engine_state &state, const residency_order &order);
    void completeOrder(instant now, const target_id &id, engine_state &state);
    bool mayLoadFromStore(instant now, const engine_traits &traits, double loadSeconds);
    double usedMegabytes(const engine_state &state, const engine_traits &traits) const;
    std::size_t adapterCount(const engine_state &state) const;
    std::size_t confirmedCopies(const model_id &model, const target_id &except, const target_pool &pool) const;
    /// The adapter that can be evicted at once: the least recently requested one that isn't in use.
    std::optional<adapter_key> leastRecentlyUsed(instant now, const engine_state &state) const;

    const milliseconds m_handoverTime;
    decision_log &m_log;
    std::map<service_id, engine_traits> m_traits;
    std::map<target_id, engine_state> m_engines;
    std::map<adapter_request, instant> m_adapterRequests; ///< with their expiry times
    std::map<adapter_key, adapter_use> m_adapterUses;
    std::map<service_id, residency_plan> m_plans;
    store_load_budget m_storeLoads;
    std::vector<scheduled_change> m_scheduledChanges;
    instant m_adapterMovesFrom{}; ///< earliest time to load or unload an adapter
    instant m_nextPrefetchAt{}; ///< earliest time of the next prefetch pass
    std::optional<instant> m_lastOrder;
    std::uint64_t m_orders = 0;
    std::uint64_t m_storeLoadOrders = 0;
};

} // namespace fuchsialoom
