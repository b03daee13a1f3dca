/// \file
/// A residency reconciler and fake engines that lose answers, execute orders late and send outdated reports, on virtual time.
#pragma once

#include "fuchsialoom/gateway/residency_reconciler.h"

#include <deque>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <unistd.h>

namespace fuchsialoom
{

inline constexpr instant reconcilerStart = instant(std::chrono::seconds(1000));
inline const service_id reconcilerService("models");
inline constexpr milliseconds handoverTime{3000};

/// A fake engine that checks its memory and adapter slots itself, and counts the accepted orders that exceed them.
struct fake_engine
{
    double megabytes = 220;
    std::uint32_t adapterSlots = 3;
    std::uint64_t orderCount = 0;
    std::map<model_id, std::set<adapter_id>> held;
    std::set<std::pair<model_id, adapter_id>> draining; ///< adapters whose unload waits for running requests
    std::set<std::pair<model_id, adapter_id>> inUse; ///< adapters that requests use
    std::optional<residency_order> inProgress;
    instant doneAt{};
    int overloads = 0;
    std::deque<std::pair<instant, engine_report>> reportHistory; ///< source of delayed reports

    double usedMegabytes(const std::map<model_id, double> &sizes, double adapterSize) const
    {
        double sum = 0;
        for (const auto &[model, adapters] : held) {
            sum += sizes.at(model) + adapterSize * static_cast<double>(adapters.size());
        }
        return sum;
    }
    std::size_t adapters() const
    {
        std::size_t count = draining.size();
        for (const auto &[model, ofModel] : held) {
            count += ofModel.size();
        }
        return count;
    }
};

/// A reconciler and fake engines, with simulated time that advances in steps of 10 ms.
class reconciler_fixture
{
public:
    static constexpr double modelSize = 70;
    static constexpr double adapterSize = 1;

    reconciler_fixture(unsigned seed, int engines, double lost, double late)
        : m_random(seed)
        , m_lossProbability(lost)
        , m_delayProbability(late)
        , m_log(STDERR_FILENO, "test")
        , m_pool(domain_id("d"))
        , m_reconciler({}, handoverTime, m_log)
    {
        engine_traits traits;
        traits.slots = 8;
        traits.megabytes = 220;
        traits.adapterSlots = 3;
        traits.loadsPerSecond = 10;
        for (int model = 0; model < 6; ++model) {
            served_model made;
            made.model = modelAt(model);
            made.megabytes = modelSize;
            made.loadSeconds = 0.5;
            made.adapters = 8;
            made.adapterMegabytes = adapterSize;
            traits.models.push_back(made);
            m_sizes[made.model] = modelSize;
        }
        m_reconciler.setTraits(reconcilerService, traits);
        for (int engine = 0; engine < engines; ++engine) {
            m_engines[target_id("e" + std::to_string(engine))];
        }
    }

    static model_id modelAt(int index)
    {
        return model_id("m" + std::to_string(index));
    }

    fake_engine &engine(int index)
    {
        return m_engines.at(target_id("e" + std::to_string(index)));
    }
    residency_reconciler &reconciler()
    {
        return m_reconciler;
    }
    instant now() const
    {
        return m_now;
    }
    void setUnloadTime(milliseconds time)
    {
        m_unloadTime = time;
    }
    /// Number of announcements that a model is unloaded, since the start.
    int unloadAnnouncements() const
    {
        return m_unloadAnnouncements;
    }
    int overloads() const
    {
        int count = 0;
        for (const auto &[id, one] : m_engines) {
            count += one.overloads;
        }
        return count;
    }
    int copiesOf(const model_id &model) const
    {
        int count = 0;
        for (const auto &[id, one] : m_engines) {
            count += one.held.contains(model) ? 1 : 0;
        }
        return count;
    }

    void run(
        milliseconds length,
        const std::function<void()> &each = [] {})
    {
        const instant end = m_now + length;
        while (m_now < end) {
            m_now += milliseconds(10);
            runDueEvents();
            for (auto &[id, one] : m_engines) {
                completeWork(one);
                one.reportHistory.emplace_back(m_now, reportOf(one));
                while (one.reportHistory.size() > 21) {
                    one.reportHistory.pop_front();
                }
            }
            listEngines();
            each();
            step();
        }
    }

    /// Restarts an engine's process: it comes back empty under another id.
    void restart(int index, const std::string &newId)
    {
        const target_id old("e" + std::to_string(index));
        m_engines.erase(old);
        m_pool.unlist(old);
        m_engines[target_id(newId)];
    }

    residency_plan planOf(const std::map<int, std::vector<int>> &models)
    {
        residency_plan plan;
        for (const auto &[engine, wanted] : models) {
            const target_id id("e" + std::to_string(engine));
            wanted_target target{id, {}, {}};
            for (const int model : wanted) {
                target.models.push_back({modelAt(model), version_id("newest"), 70});
                if (!m_engines.at(id).held.contains(modelAt(model))) {
                    plan.wanted.loads.push_back({id, modelAt(model), version_id("newest"), {}, 70, move_cause::Demand});
                }
            }
            plan.wanted.targets.push_back(std::move(target));
        }
        return plan;
    }

private:
    bool withProbability(double share)
    {
        return std::uniform_real_distribution<double>(0, 1)(m_random) < share;
    }

    void schedule(milliseconds wait, std::function<void()> event)
    {
        m_due.emplace(m_now + wait, std::move(event));
    }

    void runDueEvents()
    {
        while (!m_due.empty() && m_due.begin()->first <= m_now) {
            const auto event = std::move(m_due.begin()->second);
            m_due.erase(m_due.begin());
            event();
        }
    }

    static engine_report reportOf(const fake_engine &one)
    {
        engine_report report;
        report.orderCount = one.orderCount;
        report.busy = one.inProgress.has_value();
        for (const auto &[model, adapters] : one.held) {
            if (!one.inProgress || one.inProgress->model != model || !one.inProgress->load) {
                report.models.push_back({model, adapters});
            }
        }
        return report;
    }

    void completeWork(fake_engine &one)
    {
        if (one.inProgress && m_now >= one.doneAt) {
            if (!one.inProgress->load) {
                one.held.erase(one.inProgress->model);
            }
            one.inProgress.reset();
        }
    }

    order_result accept(fake_engine &one, const residency_order &order)
    {
        if (order.expected != one.orderCount || (one.inProgress && order.adapter.empty())) {
            return order_result::Conflict;
        }
        return order.adapter.empty() ? acceptModelOrder(one, order) : acceptAdapterOrder(one, order);
    }

    order_result acceptModelOrder(fake_engine &one, const residency_order &order)
    {
        if (one.held.contains(order.model) == order.load) {
            return order_result::AlreadyApplied;
        }
        one.orderCount += 1;
        if (order.load) {
            one.overloads += one.usedMegabytes(m_sizes, adapterSize) + modelSize > one.megabytes ? 1 : 0;
            one.held[order.model];
        }
        one.inProgress = order;
        one.doneAt = m_now + (order.load ? milliseconds(500) : m_unloadTime);
        return order_result::Accepted;
    }

    order_result acceptAdapterOrder(fake_engine &one, const residency_order &order)
    {
        const auto held = one.held.find(order.model);
        if (held == one.held.end()) {
            return order_result::Refused;
        }
        const std::pair<model_id, adapter_id> key(order.model, order.adapter);
        if (held->second.contains(order.adapter) == order.load) {
            return order_result::AlreadyApplied;
        }
        one.orderCount += 1;
        if (order.load) {
            one.overloads += one.adapters() + 1 > one.adapterSlots ? 1 : 0;
            held->second.insert(order.adapter);
            return order_result::Accepted;
        }
        held->second.erase(order.adapter);
        if (!one.inUse.contains(key)) {
            return order_result::AlreadyApplied;
        }
        one.draining.insert(key);
        fake_engine *engine = &one;
        schedule(milliseconds(2500), [engine, key] {
            engine->draining.erase(key);
        });
        return order_result::Accepted;
    }

    void listEngines()
    {
        for (const auto &[id, one] : m_engines) {
            if (m_pool.find(id) == nullptr) {
                target_listing listed;
                listed.id = id;
                listed.service = reconcilerService;
                listed.slots = 8;
                listed.isEngine = true;
                m_pool.list(m_now, listed);
            }
        }
    }

    void step()
    {
        const residency_actions actions = m_reconciler.step(m_now, m_pool);
        for (const target_id &target : actions.reports) {
            schedule(milliseconds(10), [this, target] {
                const auto found = m_engines.find(target);
                if (found == m_engines.end()) {
                    m_reconciler.onReportFailed(m_now, target);
                } else {
                    m_reconciler.onReport(m_now, target, found->second.reportHistory.front().second);
                }
            });
        }
        for (const residency_change &residencyChange : actions.residencyChanges) {
            m_unloadAnnouncements += residencyChange.adapter.empty() && !residencyChange.present ? 1 : 0;
        }
        for (const residency_order &order : actions.orders) {
            send(order);
        }
    }

    void send(const residency_order &order)
    {
        const bool lost = withProbability(m_lossProbability);
        const bool late = withProbability(m_delayProbability);
        const milliseconds wait(late ? 2000 + static_cast<int>(m_random() % 10000) : 10);
        schedule(wait, [this, order, lost, late] {
            const auto found = m_engines.find(order.target);
            const order_result result = found == m_engines.end() ? order_result::Refused : accept(found->second, order);
            if (!lost && !late) {
                m_reconciler.onOrdered(m_now, order, result);
            }
        });
        if (lost || late) {
            schedule(milliseconds(700), [this, order] {
                m_reconciler.onOrdered(m_now, order, order_result::Unknown);
            });
        }
    }

    std::mt19937 m_random;
    double m_lossProbability;
    double m_delayProbability;
    decision_log m_log; ///< never flushed
    instant m_now = reconcilerStart;
    target_pool m_pool;
    residency_reconciler m_reconciler;
    std::map<target_id, fake_engine> m_engines;
    std::map<model_id, double> m_sizes;
    milliseconds m_unloadTime{1000};
    int m_unloadAnnouncements = 0;
    std::multimap<instant, std::function<void()>> m_due;
};

} // namespace fuchsialoom
