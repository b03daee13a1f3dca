/// \file
/// Copies of models by highest averages.
#include "fuchsialoom/gateway/replica_plan.h"

#include <algorithm>
#include <optional>

namespace fuchsialoom
{

/// Streams that a model's only copy is worth, beside its own: a quiet model is asked for once or twice a second,
/// and while it has no place its requests wait for a load.
static constexpr double onlyCopyValue = 6.0;
/// And for each second that it takes to have it back, from where its weights would lie then. Small enough that a very
/// busy model gets its copies before quiet ones that a lost engine held are loaded again.
static constexpr double onlyCopyPerSecond = 4.0;
/// Streams that a further copy has to take over. A load is priced like the requests of one stream over a
/// few seconds.
static constexpr double minGain = 2.0;
/// A copy that is taken from another model has to gain so many times what the other loses, or the two would
/// take it from each other in turns as demand moves by a request or two.
static constexpr double minExchangeRatio = 1.3;
/// A copy that has served for less time than its load took counts so many times: its load would have been for nothing,
/// and the next one's would be as soon as demand moves on.
static constexpr double recentLoadFactor = 3.0;
/// Streams that a resident only copy counts more than one to be loaded, for each second of a load.
static constexpr double residentBonus = 0.6;
/// What a place costs for each stream that its engine has already: engines share their slots.
static constexpr double engineLoadWeight = 0.3;
/// A copy counts for what is left of so many seconds once it serves. Demand moves on within some 10 s, but a busy
/// model needs copies for longer than one move lasts.
static constexpr double horizonSeconds = 20.0;
/// Of a load from the store, what one of weights at hand takes where that isn't told.
static constexpr double cachedLoadShare = 1.0 / 3;
/// An unload that makes room waits for its runs.
static constexpr double unloadSeconds = 1.5;

namespace
{

class replica_planner
{
public:
    replica_planner(std::vector<replica_engine> engines, std::vector<replica_model> models)
        : m_engines(std::move(engines))
        , m_models(std::move(models))
        , m_copies(m_models.size(), 0)
        , m_gainedCopy(m_models.size(), false)
        , m_lostCopy(m_models.size(), false)
    {
        std::ranges::sort(m_engines, {}, &replica_engine::target);
        std::ranges::sort(m_models, {}, &replica_model::model);
        initEngineStates();
    }

    replica_plan run()
    {
        std::set<std::size_t> unplaceable; // no engine takes a copy of these in exchange for anything
        const std::size_t maxSteps = m_engines.size() * m_models.size();
        for (std::size_t step = 0; step < maxSteps; ++step) {
            const std::optional<std::size_t> model = highestGainModel(unplaceable);
            if (!model) {
                break;
            }
            if (!placeCopy(*model)) {
                unplaceable.insert(*model);
            }
        }
        return result();
    }

private:
    using model_index = std::size_t;

    /// Lists of models are sorted and short: an engine holds a few of hundreds.
    struct engine_state
    {
        std::vector<model_index> held;
        std::vector<model_index> recentlyLoaded;
        std::vector<model_index> cachedModels;
        std::vector<model_index> memoryCachedModels;
        double freeMegabytes = 0;

        bool holds(model_index model) const
        {
            return std::ranges::binary_search(held, model);
        }
        void add(model_index model)
        {
            held.insert(std::ranges::lower_bound(held, model), model);
        }
        void drop(model_index model)
        {
            held.erase(std::ranges::lower_bound(held, model));
        }
    };

    struct placement_candidate
    {
        std::size_t engine = 0;
        std::optional<std::size_t> victim; ///< nothing: there is room
        double loss = 0; ///< streams that the victim's model loses
        double servingShare = 0; ///< share of the horizon in which the copy serves
        double score = 0; ///< the least is taken
    };

    /// Those of \p names that are planned for; both are sorted alike.
    std::vector<model_index> indicesOf(const std::set<model_id> &names) const
    {
        std::vector<model_index> indices;
        for (const model_id &name : names) {
            const auto found = std::ranges::lower_bound(m_models, name, {}, &replica_model::model);
            if (found != m_models.end() && found->model == name) {
                indices.push_back(static_cast<model_index>(found - m_models.begin()));
            }
        }
        return indices;
    }

    void initEngineStates()
    {
        for (const replica_engine &engine : m_engines) {
            engine_state state{
                indicesOf(engine.held), indicesOf(engine.recentlyLoaded), indicesOf(engine.cachedModels), indicesOf(engine.memoryCachedModels), engine.megabytes};
            for (const model_index model : state.held) {
                state.freeMegabytes -= m_models[model].megabytes;
                m_copies[model] += 1;
            }
            m_states.push_back(std::move(state));
        }
    }

    static double cachedLoadSeconds(double reportedSeconds, const replica_model &model)
    {
        return reportedSeconds > 0 ? reportedSeconds : cachedLoadShare * model.loadSeconds;
    }

    double secondsToLoad(std::size_t engine, std::size_t model) const
    {
        const engine_state &at = m_states[engine];
        const replica_model &one = m_models[model];
        if (std::ranges::binary_search(at.memoryCachedModels, model)) {
            return cachedLoadSeconds(one.memorySeconds, one);
        }
        return std::ranges::binary_search(at.cachedModels, model) ? cachedLoadSeconds(one.diskSeconds, one) : one.loadSeconds;
    }

    /// What a model's only copy is worth beside its streams. An engine that drops it keeps the weights in its memory
    /// for a while, so it is back as soon as they take from there.
    static double onlyCopyValueOf(const replica_model &model)
    {
        const double reload = model.memorySeconds > 0 ? model.memorySeconds : model.loadSeconds;
        return onlyCopyValue + onlyCopyPerSecond * reload;
    }

    /// Streams that the next copy of \p model would take.
    double gainOf(std::size_t model) const
    {
        const replica_model &one = m_models[model];
        if (m_copies[model] == 0) {
            return onlyCopyValueOf(one) + one.streams + one.waitingStreams;
        }
        return one.streams / (m_copies[model] + 1);
    }

    /// Streams that \p model would lose with one of its copies.
    double lossOf(std::size_t model) const
    {
        const replica_model &one = m_models[model];
        if (m_copies[model] == 1) {
            return onlyCopyValueOf(one) + one.streams + residentBonus * one.loadSeconds;
        }
        return std::max(one.streams, one.recentPeakStreams) / m_copies[model];
    }

    std::optional<std::size_t> highestGainModel(const std::set<std::size_t> &unplaceable) const
    {
        std::optional<std::size_t> best;
        for (std::size_t model = 0; model < m_models.size(); ++model) {
            if (m_lostCopy[model]) {
                continue;
            }
            const bool worthIt = m_copies[model] == 0 || gainOf(model) >= minGain;
            if (worthIt && !unplaceable.contains(model) && (!best || gainOf(model) > gainOf(*best))) {
                best = model;
            }
        }
        return best;
    }

    double assignedStreams(const engine_state &state) const
    {
        double streams = 0;
        for (const model_index model : state.held) {
            streams += m_models[model].streams / m_copies[model];
        }
        return streams;
    }

    /// What is lost with the copy at one engine: with a fresh one, the load that it took besides.
    double lossAt(const engine_state &state, model_index model) const
    {
        return lossOf(model) * (std::ranges::binary_search(state.recentlyLoaded, model) ? recentLoadFactor : 1.0);
    }

    /// The cheapest way to put \p model at an engine.
    std::optional<placement_candidate> candidateAt(std::size_t engine, std::size_t model) const
    {
        const engine_state &state = m_states[engine];
        if (state.holds(model)) {
            return std::nullopt;
        }
        placement_candidate candidate;
        candidate.engine = engine;
        double load = assignedStreams(state);
        if (state.freeMegabytes < m_models[model].megabytes) {
            for (const model_index other : state.held) {
                const bool fits = state.freeMegabytes + m_models[other].megabytes >= m_models[model].megabytes;
                if (!m_gainedCopy[other] && fits && (!candidate.victim || lossAt(state, other) < candidate.loss)) {
                    candidate.victim = other;
                    candidate.loss = lossAt(state, other);
                }
            }
            if (!candidate.victim) {
                return std::nullopt;
            }
            load -= m_models[*candidate.victim].streams / m_copies[*candidate.victim];
        }
        const double delaySeconds = secondsToLoad(engine, model) + (candidate.victim ? unloadSeconds : 0);
        candidate.servingShare = std::max(0.0, 1 - delaySeconds / horizonSeconds);
        candidate.score = candidate.loss + engineLoadWeight * load + gainOf(model) * (1 - candidate.servingShare);
        return candidate;
    }

    bool placeCopy(std::size_t model)
    {
        const double gain = gainOf(model);
        std::optional<placement_candidate> best;
        for (std::size_t engine = 0; engine < m_engines.size(); ++engine) {
            const std::optional<placement_candidate> candidate = candidateAt(engine, model);
            if (!candidate || (candidate->victim && gain * candidate->servingShare < minExchangeRatio * candidate->loss && !outweighsVictim(model, *candidate->victim))) {
                continue;
            }
            if (!best || candidate->score < best->score) {
                best = candidate;
            }
        }
        if (!best) {
            return false;
        }
        if (best->victim && m_copies[*best->victim] == 1 && relocateOnlyCopy(*best->victim)) {
            return false;
        }
        engine_state &state = m_states[best->engine];
        if (best->victim) {
            state.drop(*best->victim);
            state.freeMegabytes += m_models[*best->victim].megabytes;
            m_copies[*best->victim] -= 1;
            m_lostCopy[*best->victim] = true;
        }
        addCopy(best->engine, model);
        return true;
    }

    void addCopy(std::size_t engine, std::size_t model)
    {
        m_states[engine].add(model);
        m_states[engine].freeMegabytes -= m_models[model].megabytes;
        m_gainedCopy[model] = true;
        m_copies[model] += 1;
        m_loads.push_back({m_engines[engine].target, m_models[model].model});
    }

    /// No only copy goes while there is room for it elsewhere: it is loaded there first, and a later plan takes
    /// the place that it leaves. \return whether there is room.
    bool relocateOnlyCopy(std::size_t model)
    {
        for (std::size_t engine = 0; engine < m_engines.size(); ++engine) {
            if (!m_states[engine].holds(model) && m_states[engine].freeMegabytes >= m_models[model].megabytes) {
                addCopy(engine, model);
                return true;
            }
        }
        return false;
    }

    /// Between two models with one place, the one whose turn it is has more streams; no ratio is asked.
    bool outweighsVictim(std::size_t model, std::size_t victim) const
    {
        return m_copies[model] == 0 && gainOf(model) > lossOf(victim);
    }

    replica_plan result()
    {
        replica_plan plan;
        for (std::size_t engine = 0; engine < m_engines.size(); ++engine) {
            std::set<model_id> &placement = plan.placement[m_engines[engine].target];
            for (const model_index model : m_states[engine].held) {
                placement.insert(m_models[model].model);
            }
        }
        for (std::size_t model = 0; model < m_models.size(); ++model) {
            if (m_copies[model] == 0) {
                plan.evictable.insert(m_models[model].model);
            }
        }
        plan.loads = std::move(m_loads);
        return plan;
    }

    std::vector<replica_engine> m_engines; ///< sorted
    std::vector<replica_model> m_models; ///< sorted; indices are everybody's
    std::vector<double> m_copies; ///< wanted so far, by model
    /// By model: it gets a copy by this plan, or gives one away, but never both. Else a copy that is there would
    /// go for one that is still to be loaded.
    std::vector<bool> m_gainedCopy;
    std::vector<bool> m_lostCopy;
    std::vector<engine_state> m_states; ///< by engine
    std::vector<replica_load> m_loads;
};

} // namespace

replica_plan planReplicas(std::vector<replica_engine> engines, std::vector<replica_model> models)
{
    return replica_planner(std::move(engines), std::move(models)).run();
}

} // namespace fuchsialoom
