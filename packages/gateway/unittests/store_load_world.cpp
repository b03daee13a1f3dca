/// \file
/// Implements the world in which loads are counted where they begin.
#include "store_load_world.h"

#include <algorithm>
#include <cmath>

#include <fcntl.h>
#include <unistd.h>

namespace fuchsialoom
{

static const service_id service("models");
static constexpr double modelMegabytes = 70;
static constexpr milliseconds stepTime{5};
static constexpr milliseconds tickInterval{100};
static constexpr milliseconds orderTimeout{700};
static constexpr milliseconds logTimeout{700};
static constexpr milliseconds logTime{4};
/// One way between two processes, unless an order is slow.
static constexpr milliseconds pathTime{3};
static constexpr milliseconds reportAge{200};
static constexpr milliseconds demandReportInterval{400};
/// The least time between the orders of two VMs, where they arrive.
static constexpr milliseconds turnTime{3000};

struct store_load_vm
{
    metrics_registry metrics;
    std::unique_ptr<decision_log> log;
    std::unique_ptr<gateway> requests;
    std::unique_ptr<residency_controller> controller;
    std::uint64_t life = 0; ///< starts so far; events of earlier lives are dropped
    bool isAlive = false;
    instant frozenUntil{};
    instant logSilentUntil{};
};

static model_id modelAt(std::size_t index)
{
    return model_id("m" + std::to_string(100 + index));
}

static target_id engineAt(std::size_t index)
{
    return target_id("e" + std::to_string(100 + index));
}

store_load_world::store_load_world(store_load_options options)
    : m_options(options)
    , m_random(options.seed)
    , m_null(::open("/dev/null", O_WRONLY | O_CLOEXEC))
    , m_now(seconds(1000))
{
    for (std::size_t engine = 0; engine < options.engines; ++engine) {
        store_load_engine &made = m_engines[engineAt(engine)];
        made.held.push_back(modelAt(engine % options.models));
        made.cached = made.held;
    }
    for (std::size_t vm = 0; vm < options.vms; ++vm) {
        m_vms.push_back(std::make_unique<store_load_vm>());
        startVm(vm);
    }
    moveDemand();
    reportDemand();
}

store_load_world::~store_load_world()
{
    m_vms.clear();
    ::close(m_null);
}

bool store_load_world::withProbability(double share)
{
    return std::uniform_real_distribution<double>(0, 1)(m_random) < share;
}

milliseconds store_load_world::timeOfOrder()
{
    return m_orderTime + milliseconds(std::uniform_int_distribution<std::int64_t>(0, m_orderJitter.count())(m_random));
}

void store_load_world::schedule(milliseconds wait, std::function<void()> event)
{
    m_due.emplace(m_now + wait, std::move(event));
}

void store_load_world::scheduleAt(std::size_t vm, milliseconds wait, std::function<void()> event)
{
    const std::uint64_t life = m_vms[vm]->life;
    schedule(wait, [this, vm, life, event = std::move(event)]() mutable {
        const store_load_vm &at = *m_vms[vm];
        if (!at.isAlive || at.life != life) {
            return;
        }
        if (m_now < at.frozenUntil) {
            scheduleAt(vm, std::chrono::duration_cast<milliseconds>(at.frozenUntil - m_now), std::move(event));
            return;
        }
        event();
    });
}

void store_load_world::startVm(std::size_t vm)
{
    store_load_vm &made = *m_vms[vm];
    made.life += 1;
    made.isAlive = true;
    made.frozenUntil = instant{};
    const vm_id name("vm" + std::to_string(vm));
    made.log = std::make_unique<decision_log>(m_null, name.text());
    gateway_options options;
    options.vm = name;
    options.domain = domain_id("d");
    options.retries = {1.0, milliseconds(10000), 100.0};
    made.controller.reset();
    made.requests = std::make_unique<gateway>(m_loop, options, dialect_calls{}, *made.log, made.metrics);
    gateway_configuration configuration;
    configuration.version = 1;
    engine_traits traits;
    traits.slots = 8;
    traits.megabytes = modelMegabytes * modelsPerEngine + 1;
    traits.loadsPerSecond = m_options.loadsPerSecond;
    for (std::size_t model = 0; model < m_options.models; ++model) {
        traits.models.push_back({modelAt(model), modelMegabytes, m_options.loadSeconds, 0.1, 0.4, 0, 0});
    }
    configuration.services[service].engine = traits;
    made.requests->configure(configuration);

    residency_controller_callbacks callbacks;
    callbacks.readLease = [this, vm] {
        readLease(vm);
    };
    callbacks.appendLease = [this, vm](const lease_record &record, std::uint64_t onlyAt) {
        appendLease(vm, record, onlyAt);
    };
    callbacks.sendOrder = [this, vm](const residency_order &order, std::uint64_t) {
        sendOrder(vm, order);
    };
    callbacks.requestReport = [this, vm](const target_id &target) {
        requestReport(vm, target);
    };
    callbacks.broadcastResidencyChanges = [](const std::vector<residency_change> &) {};
    callbacks.loopClock = [this] {
        return m_now;
    };
    callbacks.boottimeClock = callbacks.loopClock;
    lease_options lease;
    lease.vm = name;
    lease.incarnation = made.life;
    lease.minHandoverTime = turnTime + milliseconds(500);
    made.controller = std::make_unique<residency_controller>(lease, store_load_limits{}, turnTime, *made.requests, *made.log, callbacks);
    made.controller->setSuccessionRank(vm);
    const std::uint64_t life = made.life;
    scheduleAt(vm, milliseconds(0), [this, vm, life] {
        tickVm(vm, life);
    });
}

void store_load_world::tickVm(std::size_t vm, std::uint64_t life)
{
    store_load_vm &at = *m_vms[vm];
    for (const auto &[id, engine] : m_engines) {
        const bool isKnown = at.requests->pool().find(id) != nullptr;
        if (engine.isListed && !isKnown) {
            target_listing listed;
            listed.id = id;
            listed.service = service;
            listed.slots = 8;
            listed.isEngine = true;
            for (const model_id &model : engine.held) {
                listed.models.push_back({model, {}});
            }
            at.requests->pool().list(m_now, listed);
        } else if (!engine.isListed && isKnown) {
            at.requests->pool().unlist(id);
        }
    }
    at.controller->tick();
    scheduleAt(vm, tickInterval, [this, vm, life] {
        tickVm(vm, life);
    });
}

void store_load_world::readLease(std::size_t vm)
{
    if (m_now < m_vms[vm]->logSilentUntil) {
        scheduleAt(vm, logTimeout, [this, vm] {
            m_vms[vm]->controller->onLeaseReadFailed(0);
        });
        return;
    }
    schedule(logTime / 2, [this, vm] {
        const std::uint64_t end = m_log.size();
        const std::optional<lease_record> newest = m_log.empty() ? std::nullopt : std::optional(m_log.back());
        scheduleAt(vm, logTime / 2, [this, vm, end, newest] {
            m_vms[vm]->controller->onLeaseRead(0, end, newest, end == 0 ? 0 : end - 1);
        });
    });
}

void store_load_world::appendLease(std::size_t vm, const lease_record &record, std::uint64_t onlyAt)
{
    if (m_now < m_vms[vm]->logSilentUntil) {
        scheduleAt(vm, logTimeout, [this, vm] {
            m_vms[vm]->controller->onLeaseAppendFailed(0, true);
        });
        return;
    }
    const std::uint64_t life = m_vms[vm]->life;
    schedule(logTime / 2, [this, vm, life, record, onlyAt] {
        const bool isDone = m_log.size() == onlyAt;
        if (isDone) {
            m_log.push_back(record);
        }
        if (m_vms[vm]->life != life) {
            return;
        }
        scheduleAt(vm, logTime / 2, [this, vm, isDone, onlyAt] {
            if (isDone) {
                m_vms[vm]->controller->onLeaseAppended(0, onlyAt);
            } else {
                m_vms[vm]->controller->onLeaseMoved(0);
            }
        });
    });
}

engine_report store_load_world::reportOf(const store_load_engine &engine) const
{
    engine_report report;
    report.orderCount = engine.orderCount;
    report.busy = engine.inProgress.has_value();
    for (const model_id &model : engine.held) {
        report.models.push_back({model, {}});
    }
    report.cachedModels = {engine.cached.begin(), engine.cached.end()};
    return report;
}

void store_load_world::begin(store_load_engine &engine, const residency_order &order)
{
    engine.orderCount += 1;
    engine.inProgress = order;
    if (!order.load) {
        engine.doneAt = m_now + milliseconds(200);
        return;
    }
    m_overloads += engine.held.size() >= modelsPerEngine ? 1 : 0;
    const bool isCached = std::ranges::find(engine.cached, order.model) != engine.cached.end();
    if (!isCached) {
        m_begun.push_back(m_now);
    }
    engine.doneAt = m_now + milliseconds(static_cast<int>(1000 * (isCached ? 0.4 : m_options.loadSeconds)));
}

void store_load_world::complete(store_load_engine &engine)
{
    if (!engine.inProgress || m_now < engine.doneAt) {
        return;
    }
    const residency_order order = *engine.inProgress;
    engine.inProgress.reset();
    std::erase(engine.held, order.model);
    if (order.load) {
        engine.held.push_back(order.model);
        std::erase(engine.cached, order.model);
        engine.cached.insert(engine.cached.begin(), order.model);
        engine.cached.resize(std::min(engine.cached.size(), cachedPerEngine));
    }
}

void store_load_world::noteTurn(std::size_t vm)
{
    if (m_lastOrder && m_lastOrder->first != vm && m_now - m_lastOrder->second < turnTime) {
        m_sharedTurns += 1;
    }
    m_lastOrder = {vm, m_now};
}

order_result store_load_world::accept(const residency_order &order)
{
    store_load_engine &engine = m_engines.at(order.target);
    if (order.expected != engine.orderCount || engine.inProgress) {
        return order_result::Conflict;
    }
    const bool isHeld = std::ranges::find(engine.held, order.model) != engine.held.end();
    if (isHeld == order.load) {
        return order_result::AlreadyApplied;
    }
    begin(engine, order);
    return order_result::Accepted;
}

void store_load_world::sendOrder(std::size_t vm, const residency_order &order)
{
    const bool isLate = withProbability(m_lateShare);
    const bool isLost = isLate || withProbability(m_lostShare);
    milliseconds there = timeOfOrder();
    if (isLate) {
        there = milliseconds(std::uniform_int_distribution<std::int64_t>(m_leastLateTime.count(), m_mostLateTime.count())(m_random));
        m_lateEngines.insert(order.target);
    }
    const auto isAnswered = std::make_shared<bool>(false);
    // A late order arrives as others do; the engine carries it out later.
    schedule(timeOfOrder(), [this, vm] {
        noteTurn(vm);
    });
    const std::uint64_t life = m_vms[vm]->life;
    const auto answer = [this, vm, order, isAnswered](order_result result) {
        if (!*isAnswered) {
            *isAnswered = true;
            m_vms[vm]->controller->onOrdered(order, result);
        }
    };
    schedule(there, [this, vm, life, order, isLost, isLate, answer] {
        const order_result result = accept(order);
        if (isLate) {
            m_lateEngines.erase(order.target);
        }
        if (!isLost && m_vms[vm]->life == life) {
            scheduleAt(vm, pathTime, [answer, result] {
                answer(result);
            });
        }
    });
    scheduleAt(vm, orderTimeout, [answer] {
        answer(order_result::Unknown);
    });
}

void store_load_world::requestReport(std::size_t vm, const target_id &target)
{
    const std::uint64_t life = m_vms[vm]->life;
    schedule(pathTime, [this, vm, life, target] {
        if (m_vms[vm]->life != life) {
            return;
        }
        const engine_report report = m_engines.at(target).reports.front().second;
        scheduleAt(vm, pathTime, [this, vm, target, report] {
            m_vms[vm]->controller->onReport(target, report);
        });
    });
}

/// Most streams go to a few models; which ones is drawn.
void store_load_world::moveDemand()
{
    std::vector<model_id> all;
    for (std::size_t model = 0; model < m_options.models; ++model) {
        all.push_back(modelAt(model));
    }
    std::ranges::shuffle(all, m_random);
    static constexpr std::size_t busyModels = 4;
    m_busy.assign(all.begin(), all.begin() + busyModels);
    schedule(m_options.demandInterval, [this] {
        moveDemand();
    });
}

void store_load_world::reportDemand()
{
    std::vector<demand_entry> demand;
    for (const model_id &model : m_busy) {
        demand_entry entry;
        entry.model = model;
        entry.running = static_cast<std::uint32_t>(2 * m_options.engines);
        demand.push_back(entry);
    }
    for (std::size_t vm = 0; vm < m_vms.size(); ++vm) {
        scheduleAt(vm, milliseconds(1), [this, vm, demand] {
            m_vms[vm]->controller->onDemandReport(vm_id("caller"), demand);
        });
    }
    for (std::size_t from = 0; from < m_vms.size(); ++from) {
        const store_load_vm &at = *m_vms[from];
        if (!at.isAlive || m_now < at.frozenUntil) {
            continue;
        }
        const bool holds = at.controller->fence().has_value();
        const std::optional<renounced_fence> renounced = at.controller->renounced();
        for (std::size_t to = 0; to < m_vms.size(); ++to) {
            scheduleAt(to, pathTime, [this, from, to, holds, renounced] {
                if (holds) {
                    m_vms[to]->controller->onHolderReport(milliseconds(0));
                }
                if (renounced && from != to) {
                    m_vms[to]->controller->onRenounced(*renounced);
                }
            });
        }
    }
    schedule(demandReportInterval, [this] {
        reportDemand();
    });
}

std::optional<std::size_t> store_load_world::holder() const
{
    for (std::size_t vm = 0; vm < m_vms.size(); ++vm) {
        const store_load_vm &at = *m_vms[vm];
        if (at.isAlive && at.controller->fence() && at.controller->mayOrder(*at.controller->fence())) {
            return vm;
        }
    }
    return std::nullopt;
}

void store_load_world::silenceLog(std::size_t vm, milliseconds length)
{
    m_vms[vm]->logSilentUntil = m_now + length;
}

void store_load_world::freeze(std::size_t vm, milliseconds length)
{
    m_vms[vm]->frozenUntil = m_now + length;
}

void store_load_world::kill(std::size_t vm)
{
    m_vms[vm]->isAlive = false;
}

void store_load_world::restart(std::size_t vm)
{
    startVm(vm);
}

void store_load_world::stop(std::size_t vm)
{
    m_vms[vm]->controller->release();
}

void store_load_world::unlist(std::size_t engine, milliseconds length)
{
    unlist(engineAt(engine), length);
}

void store_load_world::unlistLateEngines(milliseconds length)
{
    for (const target_id &id : m_lateEngines) {
        unlist(id, length);
    }
}

void store_load_world::unlist(const target_id &id, milliseconds length)
{
    m_engines.at(id).isListed = false;
    schedule(length, [this, id] {
        m_engines.at(id).isListed = true;
    });
}

void store_load_world::run(milliseconds length)
{
    const instant end = m_now + length;
    while (m_now < end) {
        m_now += stepTime;
        while (!m_due.empty() && m_due.begin()->first <= m_now) {
            const auto event = std::move(m_due.begin()->second);
            m_due.erase(m_due.begin());
            event();
        }
        for (auto &[id, engine] : m_engines) {
            complete(engine);
            if (engine.reports.empty() || m_now - engine.reports.back().first >= reportAge / 4) {
                engine.reports.emplace_back(m_now, reportOf(engine));
            }
            while (engine.reports.size() > 1 && m_now - engine.reports[1].first >= reportAge) {
                engine.reports.pop_front();
            }
        }
    }
}

void store_load_world::runUntilLoadsBegin()
{
    const instant end = m_now + seconds(10);
    while (m_begun.empty() && m_now < end) {
        run(stepTime);
    }
}

std::size_t store_load_world::mostBegunIn(milliseconds length) const
{
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < m_begun.size(); ++last) {
        while (m_begun[last] - m_begun[first] > length) {
            first += 1;
        }
        most = std::max(most, last - first + 1);
    }
    return most;
}

std::size_t store_load_world::allowed() const
{
    static constexpr double excess = 1.1;
    static constexpr double slack = 3;
    const double windowSeconds = std::chrono::duration<double>(window).count();
    return static_cast<std::size_t>(std::floor(m_options.loadsPerSecond * windowSeconds * excess + slack));
}

} // namespace fuchsialoom
