/// \file
/// Orders to engines that lose answers, carry orders out late, restart, and report what was a while ago.
#include "fuchsialoom/gateway/residency_keeper.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <functional>
#include <random>

#include <unistd.h>

namespace fuchsialoom
{

namespace
{

constexpr instant start = instant(std::chrono::seconds(1000));
const service_id service("models");

/// An engine with its own rules of memory. It counts every order that it could not have held.
struct fake_engine
{
    double megabytes = 220;
    std::uint32_t adapterSlots = 3;
    std::uint64_t orderCount = 0;
    std::map<model_id, std::set<adapter_id>> held;
    std::set<std::pair<model_id, adapter_id>> draining; ///< unloads that wait for runs
    std::set<std::pair<model_id, adapter_id>> inUse; ///< adapters that requests use
    std::optional<residency_order> working;
    instant doneAt{};
    int overloads = 0;
    std::deque<std::pair<instant, engine_report>> past; ///< for reports that lag

    double used(const std::map<model_id, double> &sizes, double adapterSize) const
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

/// A keeper before some engines, moved on in steps of 10 ms.
class keeper_world
{
public:
    static constexpr double modelSize = 70;
    static constexpr double adapterSize = 1;

    keeper_world(unsigned seed, int engines, double lost, double late)
        : m_random(seed)
        , m_lost(lost)
        , m_late(late)
        , m_log(STDERR_FILENO, "test")
        , m_pool(domain_id("d"))
        , m_keeper({seconds(5), 1.0}, m_log)
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
        m_keeper.setTraits(service, traits);
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
    residency_keeper &keeper()
    {
        return m_keeper;
    }
    instant now() const
    {
        return m_now;
    }
    void setUnloadTime(milliseconds time)
    {
        m_unloadTime = time;
    }
    /// News that a model is gone, since the start.
    int toldGone() const
    {
        return m_toldGone;
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
            deliver();
            for (auto &[id, one] : m_engines) {
                work(one);
                one.past.emplace_back(m_now, reportOf(one));
                while (one.past.size() > 21) {
                    one.past.pop_front();
                }
            }
            listEngines();
            each();
            step();
        }
    }

    /// The engine's process ends and starts anew, empty, under another id.
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
    bool chance(double share)
    {
        return std::uniform_real_distribution<double>(0, 1)(m_random) < share;
    }

    void later(milliseconds wait, std::function<void()> what)
    {
        m_due.emplace(m_now + wait, std::move(what));
    }

    void deliver()
    {
        while (!m_due.empty() && m_due.begin()->first <= m_now) {
            const auto what = std::move(m_due.begin()->second);
            m_due.erase(m_due.begin());
            what();
        }
    }

    static engine_report reportOf(const fake_engine &one)
    {
        engine_report report;
        report.orderCount = one.orderCount;
        report.busy = one.working.has_value();
        for (const auto &[model, adapters] : one.held) {
            if (!one.working || one.working->model != model || !one.working->load) {
                report.models.push_back({model, adapters});
            }
        }
        return report;
    }

    void work(fake_engine &one)
    {
        if (one.working && m_now >= one.doneAt) {
            if (!one.working->load) {
                one.held.erase(one.working->model);
            }
            one.working.reset();
        }
    }

    order_result take(fake_engine &one, const residency_order &order)
    {
        if (order.expected != one.orderCount || (one.working && order.adapter.empty())) {
            return order_result::Conflict;
        }
        return order.adapter.empty() ? takeModel(one, order) : takeAdapter(one, order);
    }

    order_result takeModel(fake_engine &one, const residency_order &order)
    {
        if (one.held.contains(order.model) == order.load) {
            return order_result::AlreadySo;
        }
        one.orderCount += 1;
        if (order.load) {
            one.overloads += one.used(m_sizes, adapterSize) + modelSize > one.megabytes ? 1 : 0;
            one.held[order.model];
        }
        one.working = order;
        one.doneAt = m_now + (order.load ? milliseconds(500) : m_unloadTime);
        return order_result::Accepted;
    }

    order_result takeAdapter(fake_engine &one, const residency_order &order)
    {
        const auto held = one.held.find(order.model);
        if (held == one.held.end()) {
            return order_result::Refused;
        }
        const std::pair<model_id, adapter_id> key(order.model, order.adapter);
        if (held->second.contains(order.adapter) == order.load) {
            return order_result::AlreadySo;
        }
        one.orderCount += 1;
        if (order.load) {
            one.overloads += one.adapters() + 1 > one.adapterSlots ? 1 : 0;
            held->second.insert(order.adapter);
            return order_result::Accepted;
        }
        held->second.erase(order.adapter);
        if (!one.inUse.contains(key)) {
            return order_result::AlreadySo;
        }
        one.draining.insert(key);
        fake_engine *engine = &one;
        later(milliseconds(2500), [engine, key] {
            engine->draining.erase(key);
        });
        return order_result::Accepted;
    }

    void listEngines()
    {
        for (const auto &[id, one] : m_engines) {
            if (m_pool.find(id) == nullptr) {
                listed_upstream listed;
                listed.id = id;
                listed.service = service;
                listed.slots = 8;
                listed.isEngine = true;
                m_pool.list(m_now, listed);
            }
        }
    }

    void step()
    {
        const residency_steps steps = m_keeper.step(m_now, m_pool);
        for (const target_id &target : steps.reports) {
            later(milliseconds(10), [this, target] {
                const auto found = m_engines.find(target);
                if (found == m_engines.end()) {
                    m_keeper.onReportFailed(m_now, target);
                } else {
                    m_keeper.onReport(m_now, target, found->second.past.front().second);
                }
            });
        }
        for (const residency_change &news : steps.news) {
            m_toldGone += news.adapter.empty() && !news.present ? 1 : 0;
        }
        for (const residency_order &order : steps.orders) {
            send(order);
        }
    }

    void send(const residency_order &order)
    {
        const bool lost = chance(m_lost);
        const bool late = chance(m_late);
        const milliseconds wait(late ? 2000 + static_cast<int>(m_random() % 10000) : 10);
        later(wait, [this, order, lost, late] {
            const auto found = m_engines.find(order.target);
            const order_result result = found == m_engines.end() ? order_result::Refused : take(found->second, order);
            if (!lost && !late) {
                m_keeper.onOrdered(m_now, order, result);
            }
        });
        if (lost || late) {
            later(milliseconds(700), [this, order] {
                m_keeper.onOrdered(m_now, order, order_result::Unknown);
            });
        }
    }

    std::mt19937 m_random;
    double m_lost;
    double m_late;
    decision_log m_log; ///< never flushed: its lines are of no interest here
    instant m_now = start;
    target_pool m_pool;
    residency_keeper m_keeper;
    std::map<target_id, fake_engine> m_engines;
    std::map<model_id, double> m_sizes;
    milliseconds m_unloadTime{1000};
    int m_toldGone = 0;
    std::multimap<instant, std::function<void()>> m_due;
};

adapter_request wantOf(int model, int adapter)
{
    return {service, keeper_world::modelAt(model), adapter_id("a" + std::to_string(adapter))};
}

} // namespace

TEST(residency_keeper, loadsAWantedAdapterWithinTensOfMilliseconds)
{
    keeper_world world(1, 2, 0, 0);
    world.engine(1).held[keeper_world::modelAt(0)];
    world.run(milliseconds(300));
    world.keeper().want(world.now(), wantOf(0, 1));
    world.run(milliseconds(50));
    EXPECT_TRUE(world.engine(1).held.at(keeper_world::modelAt(0)).contains(adapter_id("a1")));
}

/// An engine answers the unload of an adapter that requests use before it is gone, and it takes up its
/// place until then.
TEST(residency_keeper, anAdapterThatDepartsKeepsItsPlace)
{
    keeper_world world(2, 1, 0, 0);
    const model_id model = keeper_world::modelAt(0);
    fake_engine &engine = world.engine(0);
    engine.held[model] = {adapter_id("a1"), adapter_id("a2"), adapter_id("a3")};
    engine.inUse = {{model, adapter_id("a1")}, {model, adapter_id("a2")}, {model, adapter_id("a3")}};
    for (int adapter = 4; adapter < 8; ++adapter) {
        world.run(milliseconds(700), [&world, adapter] {
            world.keeper().want(world.now(), wantOf(0, adapter));
        });
    }
    EXPECT_EQ(world.overloads(), 0);
}

TEST(residency_keeper, aCopyMovesOnlyWhereAnotherStays)
{
    keeper_world world(3, 2, 0, 0);
    world.engine(0).held = {{keeper_world::modelAt(0), {}}, {keeper_world::modelAt(1), {}}, {keeper_world::modelAt(2), {}}};
    world.engine(1).held = {{keeper_world::modelAt(2), {}}};
    world.run(milliseconds(300));
    world.keeper().setPlan(service, world.planOf({{0, {3}}, {1, {2}}}));
    world.run(seconds(10));
    // m0 and m1 are nowhere else; m2 made way.
    EXPECT_TRUE(world.engine(0).held.contains(keeper_world::modelAt(0)));
    EXPECT_TRUE(world.engine(0).held.contains(keeper_world::modelAt(1)));
    EXPECT_TRUE(world.engine(0).held.contains(keeper_world::modelAt(3)));
    EXPECT_EQ(world.copiesOf(keeper_world::modelAt(2)), 1);
    EXPECT_EQ(world.overloads(), 0);
}

/// A plan that wants a model again before its unload is sent keeps it.
TEST(residency_keeper, anUnloadThatALaterPlanDoesNotWantIsNotSent)
{
    keeper_world world(7, 2, 0, 0);
    for (int model = 0; model < 3; ++model) {
        world.engine(0).held[keeper_world::modelAt(model)];
        world.engine(1).held[keeper_world::modelAt(model)];
    }
    world.run(milliseconds(300));
    world.keeper().setPlan(service, world.planOf({{0, {1, 2, 3}}, {1, {0, 1, 2}}}));
    world.run(milliseconds(50));
    world.keeper().setPlan(service, world.planOf({{0, {0, 1, 2}}, {1, {0, 1, 2}}}));
    world.run(seconds(3));
    EXPECT_TRUE(world.engine(0).held.contains(keeper_world::modelAt(0)));
    EXPECT_FALSE(world.engine(0).held.contains(keeper_world::modelAt(3)));
}

/// What was loaded counts as fresh for as long as its load took.
TEST(residency_keeper, aLoadedModelIsFreshForAWhile)
{
    keeper_world world(8, 1, 0, 0);
    world.engine(0).held[keeper_world::modelAt(0)];
    world.run(milliseconds(300));
    world.keeper().setPlan(service, world.planOf({{0, {0, 3}}}));
    world.run(milliseconds(300));
    const target_id engine("e0");
    EXPECT_EQ(world.keeper().freshAt(world.now(), engine), std::set<model_id>{keeper_world::modelAt(3)}) << "on its way";
    world.run(milliseconds(700));
    EXPECT_TRUE(world.engine(0).held.contains(keeper_world::modelAt(3)));
    EXPECT_EQ(world.keeper().freshAt(world.now(), engine), std::set<model_id>{keeper_world::modelAt(3)});
    world.run(seconds(3));
    EXPECT_TRUE(world.keeper().freshAt(world.now(), engine).empty());
}

/// An unload waits for runs that last 4 s and more; requests sent there meanwhile are refused.
TEST(residency_keeper, aLongUnloadIsToldAgain)
{
    keeper_world world(6, 2, 0, 0);
    for (int model = 0; model < 3; ++model) {
        world.engine(0).held[keeper_world::modelAt(model)];
        world.engine(1).held[keeper_world::modelAt(model)];
    }
    world.setUnloadTime(milliseconds(5000));
    world.run(milliseconds(300));
    world.keeper().setPlan(service, world.planOf({{0, {1, 2, 3}}, {1, {0, 1, 2}}}));
    world.run(seconds(5));
    EXPECT_GE(world.toldGone(), 4);
}

TEST(residency_keeper, aLastCopyGoesOnlyWhereThePlanLetsIt)
{
    keeper_world world(5, 1, 0, 0);
    world.engine(0).held = {{keeper_world::modelAt(0), {}}, {keeper_world::modelAt(1), {}}, {keeper_world::modelAt(2), {}}};
    world.run(milliseconds(300));
    residency_plan plan = world.planOf({{0, {1, 2, 3}}});
    world.keeper().setPlan(service, plan);
    world.run(seconds(4));
    EXPECT_TRUE(world.engine(0).held.contains(keeper_world::modelAt(0)));
    plan.yielding = {keeper_world::modelAt(0)};
    world.keeper().setPlan(service, plan);
    world.run(seconds(4));
    EXPECT_FALSE(world.engine(0).held.contains(keeper_world::modelAt(0)));
    EXPECT_TRUE(world.engine(0).held.contains(keeper_world::modelAt(3)));
}

TEST(residency_keeper, keepsTheStoresRate)
{
    keeper_world world(4, 12, 0, 0);
    world.run(milliseconds(300));
    std::map<int, std::vector<int>> wanted;
    for (int engine = 0; engine < 12; ++engine) {
        wanted[engine] = {0, 1, 2};
    }
    world.keeper().setPlan(service, world.planOf(wanted));
    world.run(seconds(1));
    // Ten a second of half a second each are five at once.
    EXPECT_LE(world.keeper().orders(), 15U);
    EXPECT_GE(world.keeper().orders(), 5U);
}

/// A holder that used up the store's rate, and its successor a turn later, began 11 loads in 5 s where 10 are allowed.
TEST(residency_keeper, aSuccessorLeavesTheStoreItsWindow)
{
    keeper_world world(4, 12, 0, 0);
    world.run(milliseconds(300));
    world.keeper().reset(world.now());
    std::map<int, std::vector<int>> wanted;
    for (int engine = 0; engine < 12; ++engine) {
        wanted[engine] = {0, 1, 2};
    }
    world.keeper().setPlan(service, world.planOf(wanted));
    world.run(milliseconds(1900));
    EXPECT_EQ(world.keeper().orders(), 0U);
    world.run(milliseconds(400));
    EXPECT_GE(world.keeper().orders(), 5U);
}

/// Loads without an answer may begin seconds later, in another window than the one in which they were ordered.
TEST(residency_keeper, unansweredLoadsCountUntilTheyAreResolved)
{
    decision_log log{STDERR_FILENO, "test"};
    target_pool pool{domain_id("d")};
    residency_keeper keeper({seconds(5), 1.0}, log);
    engine_traits traits;
    traits.megabytes = 220;
    traits.loadsPerSecond = 1;
    traits.models.push_back({model_id("m0"), 70, 9, 0, 0, 0, 0});
    keeper.setTraits(service, traits);
    instant now(seconds(1000));
    residency_plan plan;
    for (int engine = 0; engine < 12; ++engine) {
        const target_id id("e" + std::to_string(10 + engine));
        pool.list(now, {id, service, {"10.0.0.1", 80}, domain_id("d"), 8, false, true, {}});
        plan.wanted.targets.push_back({id, {{model_id("m0"), version_id("newest"), 70}}, {}});
        plan.wanted.loads.push_back({id, model_id("m0"), version_id("newest"), {}, 70, move_cause::Demand});
    }
    keeper.step(now, pool);
    for (const auto &[id, target] : pool.targets()) {
        keeper.onReport(now, id, {});
    }
    keeper.setPlan(service, plan);
    const auto lose = [&] {
        std::size_t orders = 0;
        for (const residency_order &order : keeper.step(now, pool).orders) {
            keeper.onOrdered(now, order, order_result::Unknown);
            orders += 1;
        }
        return orders;
    };
    EXPECT_EQ(lose(), 5U) << "the store's rate over its window";
    for (int step = 0; step < 60; ++step) {
        now += milliseconds(200);
        EXPECT_LE(lose(), 5U) << "the same ones again";
    }
    EXPECT_EQ(keeper.orders(), 5U);
}

/// Two minutes' worth of changing plans and wants before four engines.
/// \return what went wrong, or nothing.
/// \p busy: models whose adapters are fetched ahead.
static std::string troubleOf(double lost, double late, unsigned seed, const std::set<model_id> &busy = {})
{
    keeper_world world(seed, 4, lost, late);
    for (int model = 0; model < 6; ++model) {
        world.engine(model % 4).held[keeper_world::modelAt(model)];
    }
    std::mt19937 random(seed);
    for (int round = 0; round < 12; ++round) {
        std::map<int, std::vector<int>> wanted;
        for (int engine = 0; engine < 4; ++engine) {
            const int first = static_cast<int>(random() % 6);
            wanted[engine] = {first, (first + 1) % 6, (first + 2) % 6};
        }
        residency_plan plan = world.planOf(wanted);
        plan.busy = busy;
        world.keeper().setPlan(service, plan);
        world.run(seconds(2), [&world, &random] {
            if (random() % 5 == 0) {
                world.keeper().want(world.now(), wantOf(static_cast<int>(random() % 6), 1 + static_cast<int>(random() % 8)));
            }
        });
        for (int model = 0; model < 6; ++model) {
            if (world.copiesOf(keeper_world::modelAt(model)) == 0) {
                return "no copy of a model is left";
            }
        }
    }
    return world.overloads() == 0 ? "" : "an engine was ordered more than it holds";
}

/// Whatever is lost or late, no engine is ordered more than it can hold, and no model's last copy goes.
RC_GTEST_PROP(residency_keeper, neverOvercommits, ())
{
    const double lost = *rc::gen::element(0.0, 0.3);
    const double late = *rc::gen::element(0.0, 0.35);
    RC_ASSERT(troubleOf(lost, late, *rc::gen::arbitrary<unsigned>()) == "");
}

RC_GTEST_PROP(residency_keeper, neverOvercommitsWhereAdaptersAreFetchedAhead, ())
{
    const double lost = *rc::gen::element(0.0, 0.3);
    const double late = *rc::gen::element(0.0, 0.35);
    const std::set<model_id> busy{keeper_world::modelAt(0), keeper_world::modelAt(3), keeper_world::modelAt(4)};
    RC_ASSERT(troubleOf(lost, late, *rc::gen::arbitrary<unsigned>(), busy) == "");
}

/// Three engines of three places hold the first six of eight adapters of the busy model, two each, and keep a place
/// for what a request may name; none of the other model's.
TEST(residency_keeper, adaptersOfABusyModelAreThereBeforeTheyAreAskedFor)
{
    keeper_world world(7, 3, 0, 0);
    for (int engine = 0; engine < 3; ++engine) {
        world.engine(engine).held = {{keeper_world::modelAt(0), {}}, {keeper_world::modelAt(1), {}}};
    }
    world.run(milliseconds(300));
    residency_plan plan = world.planOf({{0, {0, 1}}, {1, {0, 1}}, {2, {0, 1}}});
    plan.busy = {keeper_world::modelAt(0)};
    world.keeper().setPlan(service, plan);
    world.run(seconds(2));
    std::set<adapter_id> there;
    for (int engine = 0; engine < 3; ++engine) {
        const std::set<adapter_id> &held = world.engine(engine).held.at(keeper_world::modelAt(0));
        EXPECT_EQ(held.size(), 2U);
        there.insert(held.begin(), held.end());
        EXPECT_TRUE(world.engine(engine).held.at(keeper_world::modelAt(1)).empty());
    }
    EXPECT_EQ(there.size(), 6U);
    EXPECT_EQ(world.overloads(), 0);
}

/// A model that is being unloaded takes its adapters' places until it is gone.
TEST(residency_keeper, seedOfAdaptersBesideAnUnload)
{
    EXPECT_EQ(troubleOf(0, 0.35, 0), "");
}

/// A report from before a conflict showed a copy that an order without an answer had unloaded.
TEST(residency_keeper, seedOfAReportOlderThanItsConflict)
{
    EXPECT_EQ(troubleOf(0.3, 0, 14894084), "");
}

} // namespace fuchsialoom
