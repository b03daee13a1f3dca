/// \file
/// First fit by duties: what a domain owes, what it keeps for others, and what may go.
#include "fuchsialoom/core/planner.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>

using namespace fuchsialoom;

static constexpr std::uint64_t modelBytes = 10;

static settings_tree treeWith(const std::vector<std::string> &models)
{
    settings_change change{record_id("r"), "operator", {}};
    for (const std::string &model : models) {
        const setting_path path = setting_path::parse("brand/b/service/s/model/" + model);
        change.edits.push_back(setting_edit{path, setting_key::ModelBytes, std::to_string(modelBytes), {}});
    }
    settings_tree tree;
    tree.apply(log_offset(1), change);
    return tree;
}

static planner_target targetWith(const std::string &id, std::uint64_t capacity, const std::vector<std::string> &models)
{
    planner_target target;
    target.memory.id = target_id(id);
    target.memory.capacityBytes = capacity;
    for (const std::string &model : models) {
        target.resident.models.push_back(resident_model{model_id(model), version_id("1"), modelBytes});
    }
    return target;
}

static planner_target withOpenLoad(planner_target target, const std::string &model)
{
    target.openLoads.models.push_back(resident_model{model_id(model), version_id("1"), modelBytes});
    return target;
}

static std::vector<std::string> modelsOn(const residency_goal &goal, const std::string &target)
{
    std::vector<std::string> models;
    for (const resident_model &model : goal.targets.at(target_id(target)).models) {
        models.push_back(model.model.text());
    }
    std::ranges::sort(models);
    return models;
}

TEST(first_fit_planner, keepsEveryModelWhereNoDutiesAreKnown)
{
    const planner_input input{{targetWith("t", 20, {})}, {}, {}, {}};
    const residency_goal goal = first_fit_planner().plan(treeWith({"a", "b"}), input);
    EXPECT_EQ(modelsOn(goal, "t"), (std::vector<std::string>{"a", "b"}));
}

TEST(first_fit_planner, loadsWhatIsHomedHereAndKeepsOthersWhereThereIsRoom)
{
    planner_input input{{targetWith("t", 20, {"b"})}, {}, {}, {}};
    input.duties = {{model_id("a"), {true, 1, false}}, {model_id("b"), {false, 0, true}}, {model_id("c"), {false, 0, true}}};
    const residency_goal goal = first_fit_planner().plan(treeWith({"a", "b", "c"}), input);
    EXPECT_EQ(modelsOn(goal, "t"), (std::vector<std::string>{"a", "b"})) << "no copy moves without need, and none is loaded";
}

TEST(first_fit_planner, takesTheRoomOfACopyThatMayGo)
{
    planner_input input{{targetWith("t", 10, {"b"})}, {}, {}, {}};
    input.duties = {{model_id("a"), {true, 1, false}}, {model_id("b"), {false, 0, true}}};
    const residency_goal goal = first_fit_planner().plan(treeWith({"a", "b"}), input);
    EXPECT_EQ(modelsOn(goal, "t"), std::vector<std::string>{"a"});
    EXPECT_FALSE(goal.inService.contains(model_id("b"))) << "its last copy here may be unloaded";
    EXPECT_TRUE(goal.inService.contains(model_id("a")));
}

TEST(first_fit_planner, neverTakesTheRoomOfALastCopyThatIsReliedOn)
{
    planner_input input{{targetWith("t", 10, {"b"})}, {}, {}, {}};
    input.duties = {{model_id("a"), {true, 1, false}}, {model_id("b"), {false, 0, false}}};
    const residency_goal goal = first_fit_planner().plan(treeWith({"a", "b"}), input);
    EXPECT_EQ(modelsOn(goal, "t"), std::vector<std::string>{"b"});
    EXPECT_TRUE(goal.inService.contains(model_id("b")));
}

TEST(first_fit_planner, placesAModelWhereOpenLoadsLeaveRoom)
{
    const planner_input input{{withOpenLoad(targetWith("t", 20, {"a"}), "gone"), targetWith("u", 20, {})}, {}, {}, {}};
    const residency_goal goal = first_fit_planner().plan(treeWith({"a", "b"}), input);
    EXPECT_EQ(modelsOn(goal, "t"), std::vector<std::string>{"a"});
    EXPECT_EQ(modelsOn(goal, "u"), std::vector<std::string>{"b"});
}

TEST(first_fit_planner, keepsAModelWhereItsOwnLoadIsOpen)
{
    const planner_input input{{withOpenLoad(targetWith("t", 20, {"a"}), "b"), targetWith("u", 20, {})}, {}, {}, {}};
    const residency_goal goal = first_fit_planner().plan(treeWith({"a", "b"}), input);
    EXPECT_EQ(modelsOn(goal, "t"), (std::vector<std::string>{"a", "b"}));
    EXPECT_EQ(modelsOn(goal, "u"), std::vector<std::string>{});
}

TEST(first_fit_planner, keepsResidentModelsDespiteAnOpenLoad)
{
    const planner_input input{{withOpenLoad(targetWith("t", 20, {"a", "b"}), "gone"), targetWith("u", 20, {})}, {}, {}, {}};
    const residency_goal goal = first_fit_planner().plan(treeWith({"a", "b"}), input);
    EXPECT_EQ(modelsOn(goal, "t"), (std::vector<std::string>{"a", "b"}));
}

TEST(first_fit_planner, reservesRoomForAnOpenLoadOfAnotherVersion)
{
    planner_target target = targetWith("t", 20, {"a"});
    target.openLoads.models.push_back(resident_model{model_id("b"), version_id("old"), modelBytes});
    const planner_input input{{target, targetWith("u", 20, {})}, {}, {}, {}};
    const residency_goal goal = first_fit_planner().plan(treeWith({"a", "b"}), input);
    EXPECT_EQ(modelsOn(goal, "u"), std::vector<std::string>{"b"});
}

TEST(first_fit_planner, reservesRoomForAnOpenLoadOfAnAdapter)
{
    planner_target target = targetWith("t", 20, {"a"});
    target.openLoads.adapters.push_back(resident_adapter{model_id("a"), adapter_id("x"), version_id("1"), 1});
    const planner_input input{{target, targetWith("u", 20, {})}, {}, {}, {}};
    const residency_goal goal = first_fit_planner().plan(treeWith({"a", "b"}), input);
    EXPECT_EQ(modelsOn(goal, "u"), std::vector<std::string>{"b"});
}
