/// \file
/// The watch plan of one VM: who is asked, whose report counts, and when a target is lost.
#include "fuchsialoom/core/watch_plan.h"

#include <gtest/gtest.h>

namespace fuchsialoom
{

static constexpr milliseconds suspectAfter{2000};
static constexpr milliseconds heartbeat{500};

static listed_target targetNamed(const std::string &name)
{
    listed_target target;
    target.id = target_id(name);
    return target;
}

class watch_plan_of_one : public testing::Test
{
protected:
    watch_plan_of_one()
    {
        plan.step(now, targets_listed{{targetNamed("t")}});
    }

    load_report report(std::uint64_t incarnation, milliseconds age) const
    {
        load_report made;
        made.target = target_id("t");
        made.incarnation = incarnation_number(incarnation);
        made.takenAt = now - age;
        return made;
    }

    watch_actions due()
    {
        now += heartbeat;
        return plan.step(now, watch_due{});
    }

    watch_actions fail()
    {
        return plan.step(now, probe_failed{target_id("t")});
    }

    instant now{seconds(100)};
    watch_plan plan{vm_id("self"), suspectAfter};
};

TEST_F(watch_plan_of_one, takesTheNewerReport)
{
    EXPECT_EQ(plan.step(now, probe_answered{report(1, milliseconds(10))}).reports.size(), 1U);
    EXPECT_TRUE(plan.step(now, report_learned{report(1, milliseconds(20)), now}).reports.empty());
    EXPECT_EQ(plan.step(now, report_learned{report(1, milliseconds(5)), now}).reports.size(), 1U);
}

TEST_F(watch_plan_of_one, takesAnOlderReportOfALaterIncarnationAndNeverTheOtherWayRound)
{
    plan.step(now, probe_answered{report(1, milliseconds(0))});
    const watch_actions restarted = plan.step(now, report_learned{report(2, milliseconds(20)), now});
    EXPECT_EQ(restarted.reports.size(), 1U);
    ASSERT_EQ(restarted.events.size(), 1U);
    EXPECT_EQ(restarted.events.front().kind, event_kind::TargetRestarted);
    EXPECT_TRUE(plan.step(now, probe_answered{report(1, milliseconds(0))}).reports.empty());
}

TEST_F(watch_plan_of_one, leavesTheTellingToTheFirstWatcherWhileThatTells)
{
    const std::vector<vm_id> both{vm_id("other"), vm_id("self")};
    plan.step(now, watchers_known{both, false});
    plan.step(now, probe_answered{report(1, milliseconds(0))});
    EXPECT_EQ(plan.foundHere(now).size(), 1U) << "nobody else has told anything";
    plan.step(now, report_learned{report(1, milliseconds(0)), now});
    const bool isFirst = plan.targets().front().watchers.front() == vm_id("self");
    EXPECT_EQ(plan.foundHere(now).size(), isFirst ? 1U : 0U);
    now += heartbeat;
    plan.step(now, probe_answered{report(1, milliseconds(0))});
    EXPECT_EQ(plan.foundHere(now).size(), isFirst ? 1U : 0U);
    now += heartbeat;
    EXPECT_EQ(plan.foundHere(now).size(), 1U) << "the other has fallen silent";
}

TEST_F(watch_plan_of_one, losesATargetOnlyAfterTryingItInVain)
{
    plan.step(now, probe_answered{report(1, milliseconds(0))});
    for (int round = 0; round < 6; ++round) {
        EXPECT_TRUE(due().silent.empty());
    }
    EXPECT_EQ(fail().silent.size(), 1U);
    EXPECT_EQ(plan.step(now, probe_answered{report(1, milliseconds(0))}).listed.size(), 1U);
}

TEST_F(watch_plan_of_one, keepsATargetThatAnswersAnotherVm)
{
    plan.step(now, probe_answered{report(1, milliseconds(0))});
    for (int round = 0; round < 12; ++round) {
        due();
        EXPECT_TRUE(fail().silent.empty());
        plan.step(now, report_learned{report(1, milliseconds(0)), now});
    }
}

TEST_F(watch_plan_of_one, losesNothingByItsOwnPause)
{
    plan.step(now, probe_answered{report(1, milliseconds(0))});
    due();
    now += seconds(60);
    EXPECT_TRUE(due().silent.empty());
    EXPECT_TRUE(fail().silent.empty());
}

TEST_F(watch_plan_of_one, losesATargetThatLeftTheListAtOnce)
{
    EXPECT_EQ(plan.step(now, targets_listed{{}}).lost.size(), 1U);
    EXPECT_TRUE(plan.targets().empty());
}

TEST_F(watch_plan_of_one, goesOnTryingALostTargetThatOthersWatch)
{
    plan.step(now, watchers_known{{vm_id("x"), vm_id("y")}, false});
    for (int round = 0; round < 5; ++round) {
        due();
    }
    ASSERT_EQ(fail().silent.size(), 1U);
    std::size_t probes = 0;
    for (int round = 0; round < 8; ++round) {
        probes += due().probes.size();
    }
    EXPECT_EQ(probes, 1U);
}

TEST_F(watch_plan_of_one, asksASilentTargetAfterThoseThatAnswer)
{
    plan.step(now, targets_listed{{targetNamed("a"), targetNamed("b")}});
    plan.step(now, probe_failed{target_id("a")});
    const watch_actions actions = due();
    ASSERT_EQ(actions.probes.size(), 2U);
    EXPECT_EQ(actions.probes.back().id, target_id("a"));
}

} // namespace fuchsialoom
