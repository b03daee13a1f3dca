/// \file
/// Decides which models and adapters the engines hold. Every VM runs a controller; only the one that holds
/// the lease tracks demand, plans the placement and issues orders. All I/O goes through callbacks of the host.
#pragma once

#include "fuchsialoom/gateway/demand_view.h"
#include "fuchsialoom/gateway/duty_forecast.h"
#include "fuchsialoom/gateway/duty_lease.h"
#include "fuchsialoom/gateway/gateway.h"
#include "fuchsialoom/gateway/residency_reconciler.h"

#include <functional>
#include <map>
#include <optional>

namespace fuchsialoom
{

/// I/O that the host performs. The result of each call arrives later through one of the on...() functions of
/// residency_controller.
struct residency_controller_callbacks
{
    std::function<void()> readLease;
    std::function<void(const lease_record &record, std::uint64_t onlyAt)> appendLease;
    std::function<void(const residency_order &order, std::uint64_t fence)> sendOrder;
    std::function<void(const target_id &target)> requestReport;
    std::function<void(const std::vector<residency_change> &residencyChanges)>
        broadcastResidencyChanges; ///< broadcasts to all VMs, including this one
    /// The event loop's clock, which stops while the VM is suspended.
    std::function<instant()> loopClock;
    /// A clock that includes time in which the VM was suspended.
    std::function<instant()> boottimeClock;
};

class residency_controller
{
public:
    /// \p handoverTime: least time between the executions of orders of two VMs.
    residency_controller(lease_options options,
                         store_load_limits limits,
                         milliseconds handoverTime,
                         gateway &requests,
                         decision_log &log,
                         residency_controller_callbacks callbacks);

    /// Must be called about every 100 ms.
    void tick();

    /// Sets this VM's position in the order in which VMs claim the lease; the lowest claims it first. A VM without
    /// a rank never claims it.
    void setSuccessionRank(std::optional<std::size_t> rank);

    /// Ends a term that this VM can't use, so that another VM takes the duty over.
    void yield();

    /// Gives up the lease permanently. \return whether the release record is still being written.
    bool release();
    bool isReleased() const
    {
        return m_lease.isReleased();
    }

    /// \name Messages from the VMs, including this one.
    /// @{
    void onDemandReport(const vm_id &vm, const std::vector<demand_entry> &demand);
    void onAdapterRequest(const adapter_request &adapterRequest);
    /// A VM announced that it holds the lease. \p wait: time until it may issue orders.
    void onHolderReport(milliseconds wait);
    void onRenounced(const renounced_fence &renouncedFence);
    /// @}

    /// \name Results of the host's calls. Instants are on the clock that includes suspension.
    /// \p era: of the answer, 0 if it names none.
    /// @{
    void onLeaseRead(std::uint64_t era, std::uint64_t end, const std::optional<lease_record> &newest, std::uint64_t offset);
    void onLeaseReadFailed(std::uint64_t era);
    void onLeaseAppended(std::uint64_t era, std::uint64_t offset);
    void onLeaseMoved(std::uint64_t era);
    void onLeaseAppendFailed(std::uint64_t era, bool unknown);
    /// Any other answer of the store that keeps the lease's log.
    void onStoreEra(std::uint64_t era);
    void onOrdered(const residency_order &order, order_result result);
    void onReport(const target_id &target, const engine_report &report);
    void onReportFailed(const target_id &target);
    /// @}

    /// The fencing token of this VM's lease, while it holds one.
    std::optional<std::uint64_t> fence() const;

    /// Whether this VM still holds the lease with the fencing token \p fence and may send orders, on the clock that
    /// includes suspension.
    bool mayOrder(std::uint64_t fence) const
    {
        return m_lease.mayOrder(clock()) && m_lease.fence() == fence;
    }

    /// What this VM has to announce about a lease term of its own that ended.
    std::optional<renounced_fence> renounced() const
    {
        return m_lease.renounced(clock());
    }

    /// Estimated time until some VM may issue orders; 0 if one does now.
    milliseconds timeToOrders() const;

    const residency_reconciler &reconciler() const
    {
        return m_reconciler;
    }

    /// Prometheus text of the loads from the weight store that this VM ordered.
    std::string metrics() const;

private:
    instant clock() const
    {
        return m_callbacks.boottimeClock();
    }
    instant loopTime() const
    {
        return m_callbacks.loopClock();
    }
    void advanceLease();
    void updateLeaseState();
    void step();
    void plan(instant now);
    void updateUnserved(instant now);

    gateway &m_gateway;
    decision_log &m_log;
    residency_controller_callbacks m_callbacks;
    duty_lease m_lease;
    residency_reconciler m_reconciler;
    demand_view m_demand;
    bool m_wasHolder = false;
    bool m_mayOrder = false; ///< as of the last check, to detect changes
    instant m_nextPlanAt{};
    std::map<model_id, double> m_unserved; ///< requested models that no engine holds, with the streams that their waiting counts as
    instant m_unservedAt{};
    duty_forecast m_dutyForecast; ///< when other lease holders were heard; on the event loop's clock
};

/// Computes the placement of models on \p service's engines from the demand for each model. \p unserved: models that
/// are requested but held by no engine, with the number of streams that their waiting counts as.
residency_plan planServiceResidency(instant now,
                                    const service_id &service,
                                    const engine_traits &traits,
                                    const target_pool &pool,
                                    const residency_reconciler &reconciler,
                                    const demand_view &demand,
                                    const std::map<model_id, double> &unserved);

} // namespace fuchsialoom
