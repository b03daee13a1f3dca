/// \file
/// What the holder of the duty orders: adapters that requests wait for, and the models that a plan wants
/// elsewhere. One order at a time for each engine, each under the condition of the engine's order count,
/// so that an order carried out late can only land in the state that it was made for. Sans-I/O.
///
/// Why memory is never overcommitted: an order is made only from a report of the engine, and only if what
/// the engine held then, with everything accepted since, leaves room for it. The engine carries it out
/// only while its order count is the one of that state. An order without an answer is sent again
/// unchanged until the count shows that one of the two was taken.
#pragma once

#include "fuchsialoom/core/wanted_placement.h"
#include "fuchsialoom/fleet/messages.h"
#include "fuchsialoom/gateway/decision_log.h"
#include "fuchsialoom/gateway/target_pool.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace fuchsialoom
{

/// An engine's own word of what it holds; as of some hundred milliseconds before it was asked.
struct engine_report
{
    std::uint64_t orderCount = 0; ///< orders that it has accepted since its start
    bool busy = false; ///< a model is being loaded or unloaded
    std::vector<held_model> models;
    std::vector<std::pair<model_id, adapter_id>> pending; ///< adapters on their way to the engine
    std::set<model_id> cachedModels; ///< models whose weights are in its memory or on its disk
    std::set<model_id> memoryCachedModels; ///< of these, those in its memory
};

struct residency_order
{
    target_id target;
    endpoint address;
    bool load = true; ///< else unload
    model_id model;
    adapter_id adapter; ///< empty: the model itself
    std::uint64_t expected = 0; ///< order count under which alone it is carried out

    friend bool operator==(const residency_order &, const residency_order &) = default;
};

enum class order_result {
    Accepted,
    AlreadyApplied, ///< it holds without an order
    Conflict, ///< another order is under way, or the order count differs
    Refused, ///< another process has the address, or the order makes no sense there
    Unknown, ///< no answer: it may be carried out, or may be yet
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

/// What is to be sent now.
struct residency_actions
{
    std::vector<residency_order> orders;
    std::vector<target_id> reports; ///< engines to be asked for theirs
    std::vector<residency_change> news; ///< for all VMs
};

/// What a service's engines are to hold.
struct residency_plan
{
    wanted_placement wanted;
    std::set<model_id> evictable; ///< models whose last copy may make way for now
    std::set<model_id> busy; ///< models whose adapters are worth fetching ahead
};

/// What the weight store allows.
struct store_load_limits
{
    milliseconds window{5000};
    double rateFactor = 1.0; ///< of the store's rate
};

class residency_reconciler
{
public:
    residency_reconciler(store_load_limits limits, decision_log &log);

    /// This VM took the duty over from another: what was known of engines counts no more, and adapters that
    /// the other unloaded may still run, which no report tells.
    void reset(instant now);

    void setTraits(const service_id &service, const engine_traits &traits);

    /// Requests wait for an adapter.
    void want(instant now, const adapter_request &want);
    /// Requests named an adapter, so that it isn't the next to make way.
    void recordAdapterUse(instant now, const model_id &model, const adapter_id &adapter, std::uint32_t running = 0);

    void setPlan(const service_id &service, residency_plan plan);

    void onReport(instant now, const target_id &target, const engine_report &report);
    void onReportFailed(instant now, const target_id &target);
    void onOrdered(instant now, const residency_order &order, order_result result);

    /// What to do now; \p pool tells which engines there are.
    residency_actions step(instant now, const target_pool &pool);

    /// When the latest order was handed out.
    std::optional<instant> lastOrder() const
    {
        return m_lastOrder;
    }
    std::uint64_t orders() const
    {
        return m_orders;
    }

    /// What an engine holds by what this VM knows: its report, and what it ordered since.
    const std::vector<held_model> *heldBy(const target_id &target) const;
    bool hasReport(const target_id &target) const;

    /// Models that are being loaded at an engine, or have been there for less time than that took.
    std::set<model_id> recentlyLoadedAt(instant now, const target_id &target) const;

    /// The model whose unload is under way or about to be.
    std::optional<model_id> unloadingFrom(const target_id &target) const;

    /// The engine's latest report, with what was ordered since; null before the first.
    const engine_report *reportOf(const target_id &target) const;

private:
    using adapter_key = std::pair<model_id, adapter_id>;

    struct adapter_use
    {
        instant requestedAt{}; ///< a request named it then
        instant runningAt{}; ///< some request with it was told to run then
    };

    struct engine
    {
        service_id service;
        bool known = false; ///< a report was taken since the duty began or since doubt arose
        bool reportRequested = false; ///< a report is under way
        engine_report report; ///< the latest, with what was accepted since
        /// Adapters whose unload waits for their runs, and when it was accepted: they take a place until
        /// they are gone for certain.
        std::map<adapter_key, instant> drainingAdapters;
        std::optional<residency_order> unanswered; ///< handed out, without an answer yet
        std::optional<instant> resendDue; ///< its answer was lost: it is handed out again then
        instant unansweredSince{}; ///< when `sent` was handed out first
        bool unansweredUsesStore = false; ///< `sent` loads weights from the store
        std::optional<residency_order> inProgress; ///< accepted, its effect not yet reported
        instant inProgressSince{};
        instant nextReportAt{}; ///< the next report isn't asked for before
        instant lastAnnouncedAt{}; ///< when it was last told that the model being unloaded is gone
        std::map<model_id, instant> recentlyLoadedUntil; ///< models loaded of late, each for as long as its load took
        std::optional<residency_order> pendingUnload; ///< an unload that waits for the news to spread
        instant unloadAt{};
    };

    struct scheduled_news
    {
        instant at{};
        residency_change news;
    };

    void trackListedEngines(const target_pool &pool);
    void issueOrder(instant now, engine &at, residency_order order, residency_actions &actions);
    void serveAdapterWants(instant now, const target_pool &pool, residency_actions &actions);
    bool serveAdapterWant(instant now, const target_pool &pool, const adapter_request &want, residency_actions &actions);
    void prefetchAdapters(instant now, const target_pool &pool, residency_actions &actions);
    std::optional<adapter_key> leastReplicatedAdapter(const engine &at,
                                             const engine_traits &traits,
                                             const std::set<model_id> &busy,
                                             const std::map<adapter_key, std::size_t> &copies) const;
    void startPlannedLoads(instant now, const target_pool &pool, residency_actions &actions);
    bool startLoad(instant now, const target_pool &pool, const wanted_load &load, residency_actions &actions);
    bool startUnloadForRoom(instant now, const target_pool &pool, engine &at, const target_id &id, residency_actions &actions);
    bool isPlanned(const model_id &model, const engine &at, const target_id &id) const;
    bool mayUnload(const model_id &model, const service_id &service, const target_id &from, const target_pool &pool) const;
    void startPendingUnloads(instant now, const target_pool &pool, residency_actions &actions);
    void requestReports(instant now, residency_actions &actions);
    void reannounceUnloads(instant now, residency_actions &actions);
    void applyOrder(engine &at, const residency_order &order);
    void completeOrder(instant now, const target_id &id, engine &at);
    bool mayStartLoad(instant now, const engine_traits &traits, double loadSeconds);
    double usedMegabytes(const engine &at, const engine_traits &traits) const;
    std::size_t adapterCount(const engine &at) const;
    std::size_t confirmedCopies(const model_id &model, const target_id &except, const target_pool &pool) const;
    /// The adapter that can make way at once: the one asked for least lately, of those that nothing uses.
    std::optional<adapter_key> leastRecentlyUsed(instant now, const engine &at) const;

    store_load_limits m_limits;
    decision_log &m_log;
    std::map<service_id, engine_traits> m_traits;
    std::map<target_id, engine> m_engines;
    std::map<adapter_request, instant> m_adapterWants; ///< and until when each holds
    std::map<adapter_key, adapter_use> m_adapterUses;
    std::map<service_id, residency_plan> m_plans;
    std::deque<instant> m_loadStarts; ///< of loads that may come from the weight store, oldest first
    instant m_storeLoadsFrom{}; ///< no load from the weight store is ordered before
    std::vector<scheduled_news> m_scheduledNews;
    instant m_adapterMovesFrom{}; ///< no adapter is moved before
    instant m_nextPrefetchAt{}; ///< no adapter is fetched ahead before
    std::optional<instant> m_lastOrder;
    std::uint64_t m_orders = 0;
};

} // namespace fuchsialoom
