/// \file
/// The duty of ordering what targets hold, as every VM carries it: the lease, and for its holder the
/// demand, the plan and the orders. Whoever hosts it does the calls that it asks for.
#pragma once

#include "fuchsialoom/gateway/demand_view.h"
#include "fuchsialoom/gateway/duty_lease.h"
#include "fuchsialoom/gateway/duty_forecast.h"
#include "fuchsialoom/gateway/gateway.h"
#include "fuchsialoom/gateway/residency_reconciler.h"

#include <functional>
#include <map>
#include <optional>

namespace fuchsialoom
{

/// Calls of the host. Each answers later, by one of residency_controller's on...() functions.
struct residency_controller_callbacks
{
    std::function<void()> readLease;
    std::function<void(const lease_record &record, std::uint64_t onlyAt)> appendLease;
    std::function<void(const residency_order &order, std::uint64_t fence)> sendOrder;
    std::function<void(const target_id &target)> requestReport;
    std::function<void(const std::vector<residency_change> &news)> tellNews; ///< to all VMs, this one among them
    /// The clock that runs on while the VM is suspended.
    std::function<instant()> boottimeClock;
};

class residency_controller
{
public:
    residency_controller(lease_options options, store_load_limits limits, gateway &requests, decision_log &log, residency_controller_callbacks callbacks);

    /// To be called every tenth of a second or so.
    void tick();

    /// This VM's place among those that may hold the duty: the next one claims it first, and nothing means never.
    void setSuccessionRank(std::optional<std::size_t> rank);

    /// Lets go for good; \return whether a record of it is on its way.
    bool release();
    bool isReleased() const
    {
        return m_lease.isReleased();
    }

    /// \name Word of the VMs, this one among them.
    /// @{
    void onDemand(const vm_id &vm, const std::vector<demand_entry> &demand);
    void onWant(const adapter_request &want);
    /// \p wait: it orders only after this.
    void onHolderHeard(milliseconds wait);
    void onRenounced(const renounced_fence &word);
    /// @}

    /// \name Answers of the host. Instants are of the clock that runs on.
    /// @{
    void onLeaseRead(std::uint64_t end, const std::optional<lease_record> &newest, std::uint64_t offset);
    void onLeaseReadFailed();
    void onLeaseAppended(std::uint64_t offset);
    void onLeaseMoved();
    void onLeaseAppendFailed(bool unknown);
    void onOrdered(const residency_order &order, order_result result);
    void onReport(const target_id &target, const engine_report &report);
    void onReportFailed(const target_id &target);
    /// @}

    /// The fence under which this VM orders, while it holds the lease.
    std::optional<std::uint64_t> fence() const;

    /// Whether this VM still holds the lease with \p fence and may send orders, by the clock that includes suspension.
    bool mayOrder(std::uint64_t fence) const
    {
        return m_lease.mayOrder(clock()) && m_lease.fence() == fence;
    }

    /// What this VM has to tell of a term of its own that ended.
    std::optional<renounced_fence> renounced() const
    {
        return m_lease.renounced(clock());
    }

    /// How long until some VM gives orders, as far as can be told; 0 when one does.
    milliseconds timeToOrders() const;

    const residency_reconciler &reconciler() const
    {
        return m_reconciler;
    }

private:
    instant clock() const
    {
        return m_callbacks.boottimeClock();
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
    bool m_mayOrder = false; ///< as last seen, to tell of changes
    instant m_nextPlanAt{};
    std::map<model_id, double> m_unserved; ///< asked for and held nowhere: streams that its waiting counts as
    instant m_unservedAt{};
    duty_forecast m_sight; ///< of other holders; on the loop's clock
};

/// The placement wanted of \p service's engines by what is asked of their models. \p unserved: models that
/// are asked for and held by no engine, each with what it has come to be worth in streams by waiting.
residency_plan planServiceResidency(instant now,
                             const service_id &service,
                             const engine_traits &traits,
                             const target_pool &pool,
                             const residency_reconciler &reconciler,
                             const demand_view &demand,
                             const std::map<model_id, double> &unserved);

} // namespace fuchsialoom
