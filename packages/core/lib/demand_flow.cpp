/// \file
/// Maximum flow by shortest augmenting paths; small changes cost a few walks over the connections.
#include "fuchsialoom/core/demand_flow.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace fuchsialoom
{

demand_flow::demand_flow(std::vector<milli_streams> demands, std::vector<milli_streams> capacities)
    : m_edges(demands.size())
    , m_holders(capacities.size())
    , m_unmet(std::move(demands))
    , m_spare(std::move(capacities))
{
}

demand_flow::edge *demand_flow::findEdge(std::size_t model, std::size_t target)
{
    return const_cast<edge *>(std::as_const(*this).findEdge(model, target));
}

const demand_flow::edge *demand_flow::findEdge(std::size_t model, std::size_t target) const
{
    const auto found = std::ranges::lower_bound(m_edges[model], target, {}, &edge::target);
    return found != m_edges[model].end() && found->target == target ? &*found : nullptr;
}

milli_streams demand_flow::flowOn(std::size_t model, std::size_t target) const
{
    const edge *found = findEdge(model, target);
    return found != nullptr ? found->flow : 0;
}

void demand_flow::connect(std::size_t model, std::size_t target)
{
    if (findEdge(model, target) != nullptr) {
        return;
    }
    std::vector<edge> &edges = m_edges[model];
    edges.insert(std::ranges::lower_bound(edges, target, {}, &edge::target), edge{target, 0});
    std::vector<std::size_t> &holders = m_holders[target];
    holders.insert(std::ranges::lower_bound(holders, model), model);
}

void demand_flow::disconnect(std::size_t model, std::size_t target)
{
    const edge *found = findEdge(model, target);
    if (found == nullptr) {
        return;
    }
    m_served -= found->flow;
    m_unmet[model] += found->flow;
    m_spare[target] += found->flow;
    std::erase_if(m_edges[model], [target](const edge &one) {
        return one.target == target;
    });
    std::erase(m_holders[target], model);
}

void demand_flow::maximise()
{
    for (reached found = search(); found.spareTarget; found = search()) {
        augment(found);
    }
}

demand_flow::reached demand_flow::search() const
{
    reached found;
    found.models.resize(m_unmet.size());
    found.viaTarget.resize(m_unmet.size());
    found.viaModel.resize(m_spare.size());
    std::vector<std::size_t> queue;
    for (std::size_t model = 0; model < m_unmet.size(); ++model) {
        if (m_unmet[model] > 0) {
            found.models[model] = true;
            queue.push_back(model);
        }
    }
    for (std::size_t next = 0; next < queue.size(); ++next) {
        const std::size_t model = queue[next];
        for (const edge &out : m_edges[model]) {
            if (found.viaModel[out.target]) {
                continue;
            }
            found.viaModel[out.target] = model;
            if (m_spare[out.target] > 0) {
                found.spareTarget = out.target;
                return found;
            }
            for (const std::size_t holder : m_holders[out.target]) {
                if (!found.models[holder] && flowOn(holder, out.target) > 0) {
                    found.models[holder] = true;
                    found.viaTarget[holder] = out.target;
                    queue.push_back(holder);
                }
            }
        }
    }
    return found;
}

void demand_flow::augment(const reached &found)
{
    const std::size_t last = *found.spareTarget;
    push(found, last, bottleneck(found, last));
}

milli_streams demand_flow::bottleneck(const reached &found, std::size_t last) const
{
    milli_streams amount = m_spare[last];
    std::size_t model = *found.viaModel[last];
    while (found.viaTarget[model]) {
        const std::size_t target = *found.viaTarget[model];
        amount = std::min(amount, flowOn(model, target));
        model = *found.viaModel[target];
    }
    return std::min(amount, m_unmet[model]);
}

void demand_flow::push(const reached &found, std::size_t last, milli_streams amount)
{
    assert(amount > 0 && "an augmenting path carries something");
    m_spare[last] -= amount;
    m_served += amount;
    std::size_t model = *found.viaModel[last];
    findEdge(model, last)->flow += amount;
    while (found.viaTarget[model]) {
        const std::size_t target = *found.viaTarget[model];
        findEdge(model, target)->flow -= amount;
        model = *found.viaModel[target];
        findEdge(model, target)->flow += amount;
    }
    m_unmet[model] -= amount;
}

std::vector<bool> demand_flow::strainedModels() const
{
    return search().models;
}

std::vector<bool> demand_flow::openTargets() const
{
    std::vector<bool> open(m_spare.size());
    std::vector<std::size_t> queue;
    for (std::size_t target = 0; target < m_spare.size(); ++target) {
        if (m_spare[target] > 0) {
            open[target] = true;
            queue.push_back(target);
        }
    }
    for (std::size_t next = 0; next < queue.size(); ++next) {
        // A holder that is served elsewhere too could be shifted here, which frees room there.
        for (const std::size_t holder : m_holders[queue[next]]) {
            for (const edge &out : m_edges[holder]) {
                if (!open[out.target] && out.flow > 0) {
                    open[out.target] = true;
                    queue.push_back(out.target);
                }
            }
        }
    }
    return open;
}

} // namespace fuchsialoom
