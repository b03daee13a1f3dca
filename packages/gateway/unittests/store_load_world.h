/// \file
/// VMs that take turns at ordering loads, engines that count what they fetch from the weight store, and the log of the lease, on
/// virtual time. Demand moves on, so that there is always more to load than the store allows.
#pragma once

#include "fuchsialoom/gateway/residency_controller.h"

#include <asio.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace fuchsialoom
{

struct store_load_options
{
    std::uint64_t seed = 1;
    std::size_t vms = 3;
    std::size_t engines = 112;
    std::size_t models = 40;
    double loadsPerSecond = 16;
    double loadSeconds = 4;
    milliseconds demandInterval{6000}; ///< after which demand moves to other models
};

/// One VM and its controller.
struct store_load_vm;

/// An engine, as it is itself.
struct store_load_engine
{
    std::uint64_t orderCount = 0;
    std::vector<model_id> held;
    std::vector<model_id> cached; ///< most recently used first
    std::optional<residency_order> inProgress;
    instant doneAt{};
    bool isListed = true;
    std::deque<std::pair<instant, engine_report>> reports; ///< of the latest 200 ms
};

class store_load_world
{
public:
    explicit store_load_world(store_load_options options);
    ~store_load_world();

    void run(milliseconds length);
    /// Runs until the holder's first loads from the store have begun, 10 s at most.
    void runUntilLoadsBegin();

    /// \name Faults.
    /// @{
    /// Orders take \p time to their engines from now on, and each by itself up to \p jitter longer. Answers are fast.
    void setOrderTime(milliseconds time, milliseconds jitter = milliseconds(0))
    {
        m_orderTime = time;
        m_orderJitter = jitter;
    }
    /// Share of the orders whose answers are lost, and of those that get none and are carried out seconds later.
    void setOrderFaults(double lost, double late)
    {
        m_lostShare = lost;
        m_lateShare = late;
    }
    void setLateTime(milliseconds least, milliseconds most)
    {
        m_leastLateTime = least;
        m_mostLateTime = most;
    }
    /// The log doesn't answer \p vm for \p length.
    void silenceLog(std::size_t vm, milliseconds length);
    /// The VM does nothing for \p length, and then handles what has come meanwhile.
    void freeze(std::size_t vm, milliseconds length);
    void kill(std::size_t vm);
    void restart(std::size_t vm);
    /// Gives up the lease, as a VM that stops does.
    void stop(std::size_t vm);
    /// The engine's entry goes for \p length; the engine lives on.
    void unlist(std::size_t engine, milliseconds length);
    /// The same for all engines that carry out an order late.
    void unlistLateEngines(milliseconds length);
    /// @}

    /// The VM that may order now.
    std::optional<std::size_t> holder() const;
    std::size_t vms() const
    {
        return m_vms.size();
    }

    std::size_t engines() const
    {
        return m_options.engines;
    }

    /// Most loads from the store that began in any \p window.
    std::size_t mostBegunIn(milliseconds window) const;
    std::size_t begun() const
    {
        return m_begun.size();
    }
    /// How many loads from the store may begin in any window of five seconds, by the users' rule.
    std::size_t allowed() const;
    /// Orders that an engine got from two VMs within the time that a handover takes.
    std::size_t sharedTurns() const
    {
        return m_sharedTurns;
    }
    /// Orders that exceeded an engine's memory.
    std::size_t overloads() const
    {
        return m_overloads;
    }
    std::mt19937_64 &random()
    {
        return m_random;
    }

    static constexpr milliseconds window{5000};

private:
    static constexpr std::size_t modelsPerEngine = 6;
    static constexpr std::size_t cachedPerEngine = 6;

    void startVm(std::size_t vm);
    void tickVm(std::size_t vm, std::uint64_t life);
    void readLease(std::size_t vm);
    void appendLease(std::size_t vm, const lease_record &record, std::uint64_t onlyAt);
    void sendOrder(std::size_t vm, const residency_order &order);
    void requestReport(std::size_t vm, const target_id &target);
    void noteTurn(std::size_t vm);
    order_result accept(const residency_order &order);
    void begin(store_load_engine &engine, const residency_order &order);
    void complete(store_load_engine &engine);
    void moveDemand();
    void reportDemand();
    engine_report reportOf(const store_load_engine &engine) const;
    bool withProbability(double share);
    milliseconds timeOfOrder();
    void unlist(const target_id &id, milliseconds length);
    void schedule(milliseconds wait, std::function<void()> event);
    /// Runs \p event at the VM after \p wait, unless that life of it has ended; later if it stands still then.
    void scheduleAt(std::size_t vm, milliseconds wait, std::function<void()> event);

    store_load_options m_options;
    std::mt19937_64 m_random;
    int m_null;
    asio::io_context m_loop;
    instant m_now;
    std::multimap<instant, std::function<void()>> m_due;
    std::vector<std::unique_ptr<store_load_vm>> m_vms;
    std::map<target_id, store_load_engine> m_engines;
    std::vector<lease_record> m_log;
    std::vector<model_id> m_busy; ///< models with demand
    std::vector<instant> m_begun; ///< loads from the store
    milliseconds m_orderTime{3};
    milliseconds m_orderJitter{0};
    milliseconds m_leastLateTime{2000};
    milliseconds m_mostLateTime{12000};
    std::set<target_id> m_lateEngines; ///< that have an order on its way which is late
    double m_lostShare = 0;
    double m_lateShare = 0;
    std::optional<std::pair<std::size_t, instant>> m_lastOrder; ///< VM, and when it arrived
    std::size_t m_sharedTurns = 0;
    std::size_t m_overloads = 0;
};

} // namespace fuchsialoom
