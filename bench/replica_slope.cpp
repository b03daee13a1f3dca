/// \file
/// The cost of planning copies against the size of the fleet: one plan under steady demand, one right after demand has
/// moved to other models. Prints one line of processor time for each size and the fits; the largest is the design size
/// (1,400 engines, 1,700 models).
#include "fit.h"

#include "fuchsialoom/gateway/replica_plan.h"

#include <cstdio>
#include <random>

using namespace fuchsialoom;

namespace
{

constexpr double engineMegabytes = 215000;
constexpr double modelMegabytes = 70000;
constexpr std::size_t modelsOfAnEngine = 3;
constexpr double streamsOfAnEngine = 8;
constexpr std::size_t busyShare = 4; ///< one model in so many is asked for often

struct fleet
{
    std::vector<replica_engine> engines;
    std::vector<replica_model> models;
};

model_id modelAt(std::size_t index)
{
    return model_id("model-" + std::to_string(10000 + index));
}

void askFor(fleet &made, std::size_t from)
{
    const std::size_t busy = made.models.size() / busyShare;
    double weights = 0;
    for (std::size_t rank = 0; rank < busy; ++rank) {
        weights += 1 / static_cast<double>(rank + 1);
    }
    const double streams = streamsOfAnEngine * static_cast<double>(made.engines.size());
    for (replica_model &model : made.models) {
        model.streams = 0;
    }
    for (std::size_t rank = 0; rank < busy; ++rank) {
        replica_model &model = made.models[(from + rank) % made.models.size()];
        model.streams = streams / weights / static_cast<double>(rank + 1);
        model.recentPeakStreams = model.streams;
    }
}

fleet fleetOf(std::size_t engines, std::size_t models)
{
    fleet made;
    for (std::size_t model = 0; model < models; ++model) {
        made.models.push_back({modelAt(model), modelMegabytes, 4.0, 0, 0, 0, 0.8, 0.4});
    }
    for (std::size_t engine = 0; engine < engines; ++engine) {
        replica_engine one;
        one.target = target_id("engine-" + std::to_string(10000 + engine));
        one.megabytes = engineMegabytes;
        for (std::size_t place = 0; place < modelsOfAnEngine; ++place) {
            one.held.insert(modelAt((engine * modelsOfAnEngine + place) % models));
        }
        one.cachedModels = one.held;
        made.engines.push_back(std::move(one));
    }
    askFor(made, 0);
    return made;
}

double timedPlan(fleet &made, bool carryOut)
{
    const double before = threadSeconds();
    const replica_plan plan = planReplicas(made.engines, made.models);
    const double seconds = threadSeconds() - before;
    if (carryOut) {
        for (replica_engine &engine : made.engines) {
            engine.held = plan.placement.at(engine.target);
        }
    }
    return seconds;
}

} // namespace

int main()
{
    printMachineLoad();
    std::vector<fit_point> steady;
    std::vector<fit_point> moved;
    for (const auto &[engines, models] : {std::pair<std::size_t, std::size_t>{18, 34}, {64, 120}, {240, 444}, {700, 850}, {1400, 1700}}) {
        fleet made = fleetOf(engines, models);
        timedPlan(made, true);
        const double steadySeconds = timedPlan(made, false);
        askFor(made, models / 2);
        const double movedSeconds = timedPlan(made, false);
        std::printf("%zu engines, %zu models: steady %.2f ms, moved %.2f ms\n", engines, models, 1000 * steadySeconds, 1000 * movedSeconds);
        steady.push_back({static_cast<double>(engines), steadySeconds});
        moved.push_back({static_cast<double>(engines), movedSeconds});
    }
    printFit("steady, seconds", "engines", steady);
    printFit("moved, seconds", "engines", moved);
    return 0;
}
