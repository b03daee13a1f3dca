/// \file
/// The steps of one plan: constraints, adapters, demand, and the result as a wanted placement.
#include "fuchsialoom/core/placement.h"

#include "placement_adapters.h"
#include "placement_layout.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

namespace fuchsialoom
{

namespace
{

/// A later step can make room for what an earlier one had to leave out, so all are taken in turns until
/// nothing changes; this many turns at most.
constexpr int mostTurns = 6;

class planner
{
public:
    explicit planner(placement_input input)
        : m_input(sorted(std::move(input)))
        , m_serving(servingOf(m_input))
        , m_layout(m_serving, m_input.models)
        , m_adapters(m_layout, m_serving, m_input.models, m_input.adapters, m_input.options.moveCost)
    {
    }

    placement_plan run()
    {
        m_layout.relieveOvercommit();
        restoreReachability();
        dropSpareStale();
        makeRoomForVersions();
        restoreCopies();
        serveDemand();
        for (int turn = 1; turn < mostTurns && m_changed; ++turn) {
            m_changed = false;
            m_adapters.release();
            restoreReachability();
            restoreCopies();
            serveDemand();
        }
        finish();
        writeTargets();
        writeLoads();
        writeEvents();
        return std::move(m_plan);
    }

private:
    static placement_input sorted(placement_input input)
    {
        std::ranges::sort(input.targets, {}, &placement_target::target);
        std::ranges::sort(input.models, {}, &placement_model::model);
        std::ranges::sort(input.adapters, {}, [](const placement_adapter &one) {
            return std::pair(one.model, one.adapter);
        });
        return input;
    }

    static std::vector<placement_target> servingOf(const placement_input &input)
    {
        std::vector<placement_target> serving;
        for (const placement_target &target : input.targets) {
            if (target.use == target_use::Serving) {
                serving.push_back(target);
            }
        }
        return serving;
    }

    /// Homed models by decreasing size, which packs best.
    std::vector<std::size_t> homedBySize() const
    {
        std::vector<std::size_t> homed;
        for (std::size_t model = 0; model < m_input.models.size(); ++model) {
            if (m_input.models[model].homed) {
                homed.push_back(model);
            }
        }
        std::ranges::stable_sort(homed, std::ranges::greater(), [this](std::size_t model) {
            return m_input.models[model].bytes;
        });
        return homed;
    }

    bool isDraining(std::size_t model) const
    {
        return std::ranges::any_of(m_input.targets, [&](const placement_target &target) {
            return target.use == target_use::Draining && residentOn(target, model) != nullptr;
        });
    }

    const resident_model *residentOn(const placement_target &target, std::size_t model) const
    {
        const placement_model &wanted = m_input.models[model];
        const resident_model *found = nullptr;
        for (const resident_model &resident : target.models) {
            if (resident.model == wanted.model && (found == nullptr || resident.version == wanted.version)) {
                found = &resident;
            }
        }
        return found;
    }

    bool isStale(std::size_t target, std::size_t model) const
    {
        const resident_model *resident = residentOn(m_serving[target], model);
        return resident != nullptr && resident->version != m_input.models[model].version;
    }

    bool placeAs(std::size_t model, eviction_floor floor, move_cause cause)
    {
        if (!m_layout.place(model, floor)) {
            return false;
        }
        m_changed = true;
        m_modelCauses.emplace(model, cause);
        return true;
    }

    void restoreReachability()
    {
        const std::vector<std::size_t> homed = homedBySize();
        std::vector<std::size_t> left;
        for (const std::size_t model : homed) {
            if (m_layout.copies(model) > 0) {
                continue;
            }
            const move_cause cause = isDraining(model) ? move_cause::Drain : move_cause::Unreachable;
            if (!placeAs(model, eviction_floor::LastCopy, cause)) {
                m_modelCauses.emplace(model, cause);
                left.push_back(model);
            }
        }
        if (left.empty()) {
            return;
        }
        if (m_layout.repack()) {
            m_changed = true;
            return;
        }
        // The smallest first, which keeps the most models reachable.
        for (auto model = left.rbegin(); model != left.rend(); ++model) {
            m_changed = m_layout.place(*model, eviction_floor::LastCopy) || m_changed;
        }
    }

    void restoreCopies()
    {
        for (const std::size_t model : homedBySize()) {
            const move_cause cause = isDraining(model) ? move_cause::Drain : move_cause::Replicas;
            bool placed = m_layout.copies(model) > 0;
            while (placed && m_layout.copies(model) < m_input.models[model].copiesMin) {
                placed = placeAs(model, eviction_floor::CopiesMin, cause);
            }
        }
    }

    /// Loading the new version where an old one is costs a move like any other, so only the copies that
    /// constraints ask for are renewed in any case; the rest come back where demand is worth it.
    void dropSpareStale()
    {
        for (std::size_t model = 0; model < m_input.models.size(); ++model) {
            const placement_model &info = m_input.models[model];
            std::vector<std::size_t> stale;
            for (std::size_t target = 0; target < m_serving.size(); ++target) {
                if (m_layout.holds(target, model) && isStale(target, model)) {
                    stale.push_back(target);
                }
            }
            // Those with room for both versions are renewed first.
            std::ranges::stable_sort(stale, {}, [this](std::size_t target) {
                return m_layout.freeBytes(target);
            });
            const std::size_t needed = info.homed ? std::max(1U, info.copiesMin) : 0;
            for (const std::size_t target : stale) {
                if (m_layout.copies(model) > needed) {
                    m_layout.remove(target, model);
                    m_changed = true;
                }
            }
        }
    }

    /// The only copy of a model must not go before its new version has come. Where its target has no
    /// room for both, the new version goes to another target.
    void makeRoomForVersions()
    {
        for (std::size_t target = 0; target < m_serving.size(); ++target) {
            for (std::size_t model = 0; model < m_input.models.size(); ++model) {
                const bool onlyCopy = m_layout.holds(target, model) && m_layout.copies(model) == 1;
                if (!onlyCopy || !isStale(target, model) || m_layout.freeBytes(target) >= m_layout.bytesOf(model)) {
                    continue;
                }
                m_layout.maximise();
                if (m_layout.place(model, eviction_floor::CopiesMin)) {
                    m_layout.remove(target, model);
                    m_modelCauses.emplace(model, move_cause::Version);
                    m_changed = true;
                }
            }
        }
    }

    void serveDemand()
    {
        m_changed = m_adapters.settle() || m_changed;
        placement_options options = m_input.options;
        options.mostMoves -= std::min(options.mostMoves, m_plan.moves.size());
        const std::vector<placement_move> moves = improve(m_layout, m_serving, m_input.models, options);
        m_plan.moves.insert(m_plan.moves.end(), moves.begin(), moves.end());
        m_changed = m_changed || !moves.empty();
    }

    void finish()
    {
        m_adapters.settle();
        m_adapters.keepIdle();
        m_plan.missingAdapters = m_adapters.missing();
        m_layout.recomputeFlows();
        constexpr double milliPerStream = 1000;
        milli_streams unmet = 0;
        for (std::size_t model = 0; model < m_input.models.size(); ++model) {
            const placement_model &info = m_input.models[model];
            unmet += m_layout.flow().unmet(model);
            if (info.homed && m_layout.copies(model) == 0) {
                m_plan.unreachable.push_back(info.model);
            } else if (info.homed && m_layout.copies(model) < info.copiesMin) {
                m_plan.shortOfCopies.push_back(info.model);
            }
        }
        m_plan.servedStreams = static_cast<double>(m_layout.flow().served()) / milliPerStream;
        m_plan.demandStreams = m_plan.servedStreams + static_cast<double>(unmet) / milliPerStream;
    }

    void writeTargets()
    {
        std::size_t serving = 0;
        for (const placement_target &target : m_input.targets) {
            if (target.use == target_use::Draining) {
                m_plan.wanted.targets.push_back(wanted_target{target.target, {}, {}});
            } else if (target.use == target_use::Serving) {
                m_plan.wanted.targets.push_back(wantedOf(serving++));
            }
        }
    }

    wanted_target wantedOf(std::size_t target) const
    {
        wanted_target wanted{m_serving[target].target, {}, {}};
        for (std::size_t model = 0; model < m_input.models.size(); ++model) {
            if (m_layout.holds(target, model)) {
                const placement_model &info = m_input.models[model];
                wanted.models.push_back(resident_model{info.model, info.version, info.bytes});
            }
        }
        for (std::size_t adapter = 0; adapter < m_input.adapters.size(); ++adapter) {
            if (m_adapters.holds(target, adapter)) {
                const placement_adapter &info = m_input.adapters[adapter];
                wanted.adapters.push_back(resident_adapter{info.model, info.adapter, info.version, info.bytes});
            }
        }
        return wanted;
    }

    void writeLoads()
    {
        for (std::size_t target = 0; target < m_serving.size(); ++target) {
            writeModelLoads(target);
            writeAdapterLoads(target);
        }
        const auto urgency = [this](const wanted_load &load) {
            return std::tuple(load.cause, !load.adapter.empty(), -demandOf(load.model), load.model, load.adapter, load.target);
        };
        std::ranges::sort(m_plan.wanted.loads, {}, urgency);
    }

    double demandOf(const model_id &model) const
    {
        return std::ranges::lower_bound(m_input.models, model, {}, &placement_model::model)->requestsPerMinute;
    }

    void writeModelLoads(std::size_t target)
    {
        for (std::size_t model = 0; model < m_input.models.size(); ++model) {
            const placement_model &info = m_input.models[model];
            const resident_model *resident = residentOn(m_serving[target], model);
            const bool isThere = resident != nullptr && resident->version == info.version;
            if (!m_layout.holds(target, model) || isThere) {
                continue;
            }
            wanted_load load{m_serving[target].target, info.model, info.version, {}, info.bytes, causeOf(target, model)};
            m_plan.wanted.loads.push_back(std::move(load));
        }
    }

    move_cause causeOf(std::size_t target, std::size_t model) const
    {
        if (isStale(target, model)) {
            return move_cause::Version;
        }
        const bool forDemand = std::ranges::any_of(m_plan.moves, [&](const placement_move &move) {
            return move.target == m_serving[target].target && move.model == m_input.models[model].model;
        });
        if (forDemand) {
            return move_cause::Demand;
        }
        const auto known = m_modelCauses.find(model);
        return known != m_modelCauses.end() ? known->second : move_cause::Unreachable;
    }

    void writeAdapterLoads(std::size_t target)
    {
        for (const resident_adapter &adapter : m_plan.wanted.find(m_serving[target].target)->adapters) {
            const std::vector<resident_adapter> &there = m_serving[target].adapters;
            const bool isThere = std::ranges::any_of(there, [&adapter](const resident_adapter &one) {
                return one.model == adapter.model && one.adapter == adapter.adapter && one.version == adapter.version;
            });
            if (!isThere) {
                wanted_load load{
                    m_serving[target].target, adapter.model, adapter.version, adapter.adapter, adapter.bytes, move_cause::Adapter};
                m_plan.wanted.loads.push_back(std::move(load));
            }
        }
    }

    void writeEvents()
    {
        m_plan.events.push_back(timeline_event(event_kind::PlacementPlanned, m_input.domain.text())
                                    .with(event_field::Count, m_plan.wanted.loads.size())
                                    .with(event_field::Score, std::to_string(m_plan.servedStreams)));
        for (const model_id &model : m_plan.unreachable) {
            m_plan.events.push_back(timeline_event(event_kind::ModelUnreachable, model.text())
                                        .with(event_field::Domain, m_input.domain)
                                        .with(event_field::Cause, "no target has memory for it"));
        }
    }

    placement_input m_input; ///< every list sorted
    std::vector<placement_target> m_serving; ///< the serving targets, sorted; indices are the layout's
    placement_layout m_layout;
    adapter_layout m_adapters;
    std::map<std::size_t, move_cause> m_modelCauses; ///< first cause for which a model was placed
    bool m_changed = false; ///< whether the present turn changed who holds what
    placement_plan m_plan;
};

} // namespace

placement_plan planPlacement(const placement_input &input)
{
    return planner(input).run();
}

} // namespace fuchsialoom
