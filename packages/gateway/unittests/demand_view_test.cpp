/// \file
/// Demand over all VMs follows what they tell, and forgets who is silent.
#include "fuchsialoom/gateway/demand_view.h"

#include <gtest/gtest.h>

namespace fuchsialoom
{

TEST(demand_view, followsAShiftAndDropsSilentVms)
{
    constexpr instant start = instant(std::chrono::seconds(1000));
    demand_view view;
    view.setMemory(6);
    view.setDemand(start, vm_id("a"), {{model_id("m"), {}, 0, 0, 10}});
    view.setDemand(start, vm_id("b"), {{model_id("m"), {}, 0, 5, 5}});
    view.advance(start);
    for (int step = 1; step <= 15; ++step) {
        view.setDemand(start + milliseconds(100) * step, vm_id("a"), {{model_id("m"), {}, 0, 0, 10}});
        view.setDemand(start + milliseconds(100) * step, vm_id("b"), {{model_id("m"), {}, 0, 5, 5}});
        view.advance(start + milliseconds(100) * step);
    }
    const model_streams busy = view.models().at(model_id("m"));
    EXPECT_GT(busy.now, 17);
    EXPECT_LE(busy.now, 20);
    EXPECT_EQ(busy.waiting, 5U);
    for (int step = 16; step <= 60; ++step) {
        view.advance(start + milliseconds(100) * step);
    }
    const model_streams idle = view.models().at(model_id("m"));
    EXPECT_LT(idle.now, 1);
    EXPECT_GT(idle.remembered, 10);
    EXPECT_EQ(idle.waiting, 0U);
}

} // namespace fuchsialoom
