/// \file
/// The lease, the periodic planning and the dispatch of orders.
#include "fuchsialoom/gateway/residency_controller.h"

#include <algorithm>

namespace fuchsialoom
{

/// Interval of planning. Demand is smoothed over 0.6 s, and a load takes 0.4 s or more.
static constexpr milliseconds planInterval{400};
/// Streams that a requested model without a copy gains each second, until it outweighs the only copy of some quiet
/// model, which counts 0.6 streams more for each second of its load time (`residentBonus` in replica_plan.cpp): at once
/// where loads take 1.2 s, after a few seconds where they take 5.8 s.
static constexpr double waitingStreamsPerSecond = 0.3;
/// A model with fewer streams counts as not requested.
static constexpr double minDemandStreams = 0.05;

residency_controller::residency_controller(lease_options options,
                                           store_load_limits limits,
                                           milliseconds handoverTime,
                                           gateway &requests,
                                           decision_log &log,
                                           residency_controller_callbacks callbacks)
    : m_gateway(requests)
    , m_log(log)
    , m_callbacks(std::move(callbacks))
    , m_lease(std::move(options), m_callbacks.boottimeClock())
    , m_reconciler(limits, handoverTime, log)
{
}

/// Silence after which the lease holder counts as failed; long enough to tolerate several lost announcements.
static constexpr milliseconds holderTimeout{1000};
/// Additional timeout for each rank, so that a live candidate has claimed the lease and announced it before the next one
/// times out.
static constexpr milliseconds timeoutPerRank{150};
static constexpr std::size_t maxRank = 10;
static constexpr milliseconds never = std::chrono::hours(24 * 365);

void residency_controller::setSuccessionRank(std::optional<std::size_t> rank)
{
    m_lease.setHolderSilence(rank ? holderTimeout + timeoutPerRank * static_cast<int>(std::min(*rank, maxRank)) : never);
}

std::optional<std::uint64_t> residency_controller::fence() const
{
    return m_lease.isHolder(clock()) ? std::optional(m_lease.fence()) : std::nullopt;
}

void residency_controller::yield()
{
    m_lease.yield(clock());
}

void residency_controller::advanceLease()
{
    switch (m_lease.tick(clock())) {
    case lease_action::None:
        break;
    case lease_action::Read:
        m_callbacks.readLease();
        break;
    case lease_action::Append:
        m_callbacks.appendLease(m_lease.nextRecord(), m_lease.end());
        break;
    }
}

void residency_controller::updateLeaseState()
{
    const instant now = clock();
    const bool holder = m_lease.isHolder(now);
    const bool mayOrder = m_lease.mayOrder(now);
    if (holder == m_wasHolder && mayOrder == m_mayOrder) {
        return;
    }
    const auto wait = std::chrono::duration_cast<milliseconds>(m_lease.orderFrom() - now);
    m_log.write(loopTime(),
                log_line("duty")
                    .with("holder", holder ? "yes" : "no")
                    .with("orders", mayOrder ? "yes" : "no")
                    .with("fence", m_lease.fence())
                    .with("orders-in-ms", mayOrder ? milliseconds(0) : wait));
    if (mayOrder && !m_mayOrder && m_lease.tookOver()) {
        // Another VM may have issued orders since this VM's last state of the engines.
        m_reconciler.reset(loopTime());
        m_lease.acknowledgeTakeover();
    }
    m_wasHolder = holder;
    m_mayOrder = mayOrder;
}

void residency_controller::tick()
{
    advanceLease();
    updateLeaseState();
    if (!m_mayOrder || !m_gateway.isConfigured()) {
        return;
    }
    const instant now = loopTime();
    double loadSeconds = 0;
    for (const auto &[service, traits] : m_gateway.configuration().services) {
        if (traits.engine) {
            m_reconciler.setTraits(service, *traits.engine);
            for (const served_model &model : traits.engine->models) {
                loadSeconds = std::max(loadSeconds, model.loadSeconds);
            }
        }
    }
    m_demand.setMemory(loadSeconds);
    m_demand.advance(now);
    if (now >= m_nextPlanAt && m_gateway.pool().isSettled(now)) {
        m_nextPlanAt = now + planInterval;
        plan(now);
    }
    step();
}

/// Formats the models with the highest demand as name:streams/copies for the log.
static std::string describeDemand(const demand_view &demand, const target_pool &pool)
{
    static constexpr std::size_t maxListed = 6;
    std::vector<std::pair<double, model_id>> models;
    for (const auto &[model, streams] : demand.models()) {
        models.emplace_back(-streams.now, model);
    }
    std::sort(models.begin(), models.end());
    models.resize(std::min(models.size(), maxListed));
    std::string text;
    for (const auto &[streams, model] : models) {
        const auto copies = std::count_if(pool.targets().begin(), pool.targets().end(), [&model = model](const auto &target) {
            return target.second.holds(model, {});
        });
        text.append(text.empty() ? "" : ",").append(model.text()).append(":");
        text.append(std::to_string(static_cast<int>(-streams))).append("/").append(std::to_string(copies));
    }
    return text;
}

static std::string describeLoads(const wanted_placement &plan)
{
    std::string text;
    for (const wanted_load &load : plan.loads) {
        text.append(text.empty() ? "" : ",").append(load.model.text()).append("@").append(load.target.text());
    }
    return text;
}

/// Increases the weight of requested models that no engine holds over time, so that none of them starves.
void residency_controller::updateUnserved(instant now)
{
    const double passed = m_unservedAt == instant{} ? 0 : std::chrono::duration<double>(now - m_unservedAt).count();
    m_unservedAt = now;
    std::set<model_id> held;
    for (const auto &[id, target] : m_gateway.pool().targets()) {
        for (const held_model &one : target.listed.models) {
            held.insert(one.model);
        }
    }
    for (const auto &[model, streams] : m_demand.models()) {
        if (held.contains(model)) {
            m_unserved.erase(model);
        } else if (streams.now > minDemandStreams) {
            m_unserved[model] += passed * waitingStreamsPerSecond;
        }
    }
}

void residency_controller::plan(instant now)
{
    updateUnserved(now);
    for (const auto &[service, traits] : m_gateway.configuration().services) {
        if (!traits.engine) {
            continue;
        }
        residency_plan plan = planServiceResidency(now, service, *traits.engine, m_gateway.pool(), m_reconciler, m_demand, m_unserved);
        if (!plan.wanted.loads.empty()) {
            m_log.write(now,
                        log_line("plan")
                            .with("service", service)
                            .with("demand", describeDemand(m_demand, m_gateway.pool()))
                            .with("yielding", plan.evictable.size())
                            .with("loads", describeLoads(plan.wanted)));
        }
        m_reconciler.setPlan(service, std::move(plan));
    }
}

void residency_controller::step()
{
    updateLeaseState();
    if (!m_mayOrder) {
        return;
    }
    const residency_actions actions = m_reconciler.step(loopTime(), m_gateway.pool());
    if (!actions.residencyChanges.empty()) {
        m_callbacks.broadcastResidencyChanges(actions.residencyChanges);
    }
    for (const target_id &target : actions.reports) {
        m_callbacks.requestReport(target);
    }
    for (const residency_order &order : actions.orders) {
        const instant now = clock();
        if (!m_lease.mayOrder(now)) {
            m_reconciler.onOrdered(loopTime(), order, order_result::Unknown);
            continue;
        }
        m_lease.noteOrder(now);
        m_callbacks.sendOrder(order, m_lease.fence());
    }
}

std::string residency_controller::metrics() const
{
    const store_load_budget &loads = m_reconciler.storeLoads();
    return "# HELP fuchsialoom_store_load_orders_total orders to load a model from the weight store, without repeats\n"
           "# TYPE fuchsialoom_store_load_orders_total counter\n"
           "fuchsialoom_store_load_orders_total "
        + std::to_string(m_reconciler.storeLoadOrders())
        + "\n# HELP fuchsialoom_store_loads_counted loads that count in the store's window, as of the latest order\n"
          "# TYPE fuchsialoom_store_loads_counted gauge\n"
          "fuchsialoom_store_loads_counted "
        + std::to_string(loads.taken())
        + "\n# HELP fuchsialoom_store_loads_unsettled loads whose orders may still be executed\n"
          "# TYPE fuchsialoom_store_loads_unsettled gauge\n"
          "fuchsialoom_store_loads_unsettled "
        + std::to_string(loads.unsettled()) + "\n";
}

bool residency_controller::release()
{
    m_lease.release(clock());
    advanceLease();
    updateLeaseState();
    return !m_lease.isReleased();
}

void residency_controller::onDemandReport(const vm_id &vm, const std::vector<demand_entry> &demand)
{
    const instant now = loopTime();
    m_demand.setDemand(now, vm, demand);
    for (const demand_entry &entry : demand) {
        if (!entry.adapter.empty()) {
            m_reconciler.recordAdapterUse(now, entry.model, entry.adapter, entry.running);
        }
    }
}

void residency_controller::onAdapterRequest(const adapter_request &adapterRequest)
{
    if (m_mayOrder) {
        m_reconciler.requestAdapter(loopTime(), adapterRequest);
        step();
    }
}

void residency_controller::onHolderReport(milliseconds wait)
{
    m_dutyForecast.noteHolder(loopTime(), wait);
    m_lease.onHolderReport(clock());
}

void residency_controller::onRenounced(const renounced_fence &renouncedFence)
{
    m_lease.onRenounced(clock(), renouncedFence);
    advanceLease();
}

milliseconds residency_controller::timeToOrders() const
{
    const instant now = loopTime();
    const auto toOwn = std::chrono::duration_cast<microseconds>(m_lease.orderFrom() - clock());
    return m_dutyForecast.timeToOrders(now, fence() ? std::optional(now + toOwn) : std::nullopt);
}

void residency_controller::onStoreEra(std::uint64_t era)
{
    m_lease.onEra(clock(), era);
    updateLeaseState();
}

void residency_controller::onLeaseRead(std::uint64_t era,
                                       std::uint64_t end,
                                       const std::optional<lease_record> &newest,
                                       std::uint64_t offset)
{
    if (!m_lease.onEra(clock(), era)) {
        m_lease.onReadFailed(clock());
        return;
    }
    m_lease.onRead(clock(), end, newest, offset);
    advanceLease();
}

void residency_controller::onLeaseReadFailed(std::uint64_t era)
{
    m_lease.onEra(clock(), era);
    m_lease.onReadFailed(clock());
}

void residency_controller::onLeaseAppended(std::uint64_t era, std::uint64_t offset)
{
    if (m_lease.onEra(clock(), era)) {
        m_lease.onAppended(clock(), offset);
    } else {
        m_lease.onAppendFailed(clock(), true);
    }
    updateLeaseState();
}

void residency_controller::onLeaseMoved(std::uint64_t era)
{
    m_lease.onEra(clock(), era);
    m_lease.onAppendConflict(clock());
    m_log.write(loopTime(), log_line("duty-log-moved").with("fence", m_lease.fence()).with("era", era));
    advanceLease();
}

void residency_controller::onLeaseAppendFailed(std::uint64_t era, bool unknown)
{
    m_lease.onEra(clock(), era);
    m_lease.onAppendFailed(clock(), unknown);
}

void residency_controller::onOrdered(const residency_order &order, order_result result)
{
    if (result == order_result::Unknown) {
        // The order may have been in transit until now.
        m_lease.noteOrder(clock());
    }
    m_reconciler.onOrdered(loopTime(), order, result);
    step();
}

void residency_controller::onReport(const target_id &target, const engine_report &report)
{
    m_reconciler.onReport(loopTime(), target, report);
    step();
}

void residency_controller::onReportFailed(const target_id &target)
{
    m_reconciler.onReportFailed(loopTime(), target);
}

} // namespace fuchsialoom
