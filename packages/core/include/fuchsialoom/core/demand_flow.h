/// \file
/// How much of the models' demand the targets can serve at once: a maximum flow from models to the
/// targets that hold them. Amounts are whole thousandths of a stream, so that every VM computes the
/// same numbers.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace fuchsialoom
{

/// Thousandths of a stream.
using milli_streams = std::int64_t;

class demand_flow
{
public:
    demand_flow(std::vector<milli_streams> demands, std::vector<milli_streams> capacities);

    /// \p model can be served by \p target. Does nothing where that is known already.
    void connect(std::size_t model, std::size_t target);

    /// \p model can't be served by \p target any more; what it served there is unmet again.
    void disconnect(std::size_t model, std::size_t target);

    /// Serves as much as the connections allow.
    void maximise();

    milli_streams served() const
    {
        return m_served;
    }

    milli_streams unmet(std::size_t model) const
    {
        return m_unmet[model];
    }

    milli_streams spare(std::size_t target) const
    {
        return m_spare[target];
    }

    milli_streams flowOn(std::size_t model, std::size_t target) const;

    /// Models of which a further copy could let more be served; valid after maximise().
    std::vector<bool> strainedModels() const;

    /// Targets on which a further copy of a strained model could be of use; valid after maximise().
    std::vector<bool> openTargets() const;

private:
    struct edge
    {
        std::size_t target;
        milli_streams flow;
    };

    struct reached
    {
        std::vector<bool> models;
        std::vector<std::optional<std::size_t>> viaTarget; ///< by model; nothing for a start
        std::vector<std::optional<std::size_t>> viaModel; ///< by target
        std::optional<std::size_t> spareTarget;
    };

    /// Walks from the models with unmet demand until a target with spare capacity is met.
    reached search() const;
    void augment(const reached &found);
    milli_streams bottleneck(const reached &found, std::size_t last) const;
    void push(const reached &found, std::size_t last, milli_streams amount);
    edge *findEdge(std::size_t model, std::size_t target);
    const edge *findEdge(std::size_t model, std::size_t target) const;

    std::vector<std::vector<edge>> m_edges; ///< by model, sorted by target
    std::vector<std::vector<std::size_t>> m_holders; ///< by target, sorted models
    std::vector<milli_streams> m_unmet; ///< by model: demand less its flow, never below 0
    std::vector<milli_streams> m_spare; ///< by target: capacity less its flow, never below 0
    milli_streams m_served = 0; ///< the sum of all flows
};

} // namespace fuchsialoom
