/// \file
/// Leases that keep accused requests of several VMs apart, and targets that die while they leave.
#include "fuchsialoom/core/request_machine.h"

#include <gtest/gtest.h>

using namespace fuchsialoom;

static const instant start{seconds(1)};

template<typename Action>
static std::vector<Action> only(const std::vector<request_action> &actions)
{
    std::vector<Action> found;
    for (const request_action &action : actions) {
        if (const Action *one = std::get_if<Action>(&action)) {
            found.push_back(*one);
        }
    }
    return found;
}

/// Two engines, and a peer's word that fingerprint 7 was on a third when it died.
struct lease_case : testing::Test
{
    request_machine machine{domain_id("d")};
    instant now = start;

    lease_case()
    {
        for (const char *id : {"e1", "e2"}) {
            list(id, listed_state::Live);
            load_report load;
            load.target = target_id(id);
            load.incarnation = incarnation_number(1);
            load.takenAt = now;
            load.capacity = 4;
            load.models = {{model_id("m"), version_id(), 0}};
            post(load_reported{load});
        }
        post(accusation{target_id("e3"), incarnation_number(1), {content_hash(7)}});
    }

    std::vector<request_action> post(const request_event &event)
    {
        return machine.step(now, event);
    }

    std::vector<request_action> after(milliseconds time)
    {
        now += time;
        return post(time_passed{});
    }

    std::vector<request_action> list(const char *id, listed_state state)
    {
        listed_target target;
        target.id = target_id(id);
        target.domain = domain_id("d");
        target.state = state;
        return post(target_listed{target});
    }

    std::vector<request_action> arrive(const char *id, std::uint64_t fingerprint = 7)
    {
        incoming_request request;
        request.id = request_id(id);
        request.model = model_id("m");
        request.deadline = now + seconds(10);
        request.repeatable = true;
        request.fingerprint = content_hash(fingerprint);
        return post(request_arrived{request});
    }

    std::vector<request_action> answer(const ask_lease &asked, bool granted)
    {
        return post(lease_answered{asked.request, asked.target, granted});
    }

    std::vector<request_action> end(const char *id, attempt_end how)
    {
        return post(attempt_ended{request_id(id), attempt_number(1), how, 0, 200, "text", "answer"});
    }
};

TEST_F(lease_case, anAccusedRequestRunsOnlyUnderALeaseThatEndsWithIt)
{
    const auto arrival = arrive("r");
    EXPECT_TRUE(only<start_attempt>(arrival).empty());
    const auto asked = only<ask_lease>(arrival);
    ASSERT_EQ(asked.size(), 1U);
    EXPECT_GE(asked.front().until, now + seconds(10)) << "the attempt may last to its deadline";
    const auto started = only<start_attempt>(answer(asked.front(), true));
    ASSERT_EQ(started.size(), 1U);
    EXPECT_EQ(started.front().target, asked.front().target);
    const auto ended = only<end_lease>(end("r", attempt_end::Completed));
    ASSERT_EQ(ended.size(), 1U);
    EXPECT_EQ(ended.front(), (end_lease{request_id("r"), asked.front().target, now}));
}

TEST_F(lease_case, asksElsewhereWhereAnotherVmHoldsTheLease)
{
    const auto first = only<ask_lease>(arrive("r")).front();
    const auto second = only<ask_lease>(answer(first, false));
    ASSERT_EQ(second.size(), 1U);
    EXPECT_NE(second.front().target, first.target);
    EXPECT_TRUE(only<ask_lease>(answer(second.front(), false)).empty());
    EXPECT_EQ(only<ask_lease>(after(milliseconds(200))).size(), 1U);
}

TEST_F(lease_case, requestsOfOneVmAskForDifferentTargets)
{
    const auto first = only<ask_lease>(arrive("a")).front();
    const auto second = only<ask_lease>(arrive("b")).front();
    EXPECT_NE(first.target, second.target);
    EXPECT_TRUE(only<ask_lease>(arrive("c")).empty());
}

TEST_F(lease_case, aKeeperThatDoesNotAnswerIsNotWaitedForAndItsLateGrantGivenBack)
{
    const auto first = only<ask_lease>(arrive("r")).front();
    const auto second = only<ask_lease>(after(seconds(1)));
    ASSERT_EQ(second.size(), 1U);
    ASSERT_EQ(only<start_attempt>(answer(second.front(), true)).size(), 1U);
    ask_lease late = first;
    late.target = target_id(second.front().target == target_id("e1") ? "e2" : "e1");
    EXPECT_EQ(only<end_lease>(answer(late, true)), (std::vector<end_lease>{{late.request, late.target, now}}));
    EXPECT_TRUE(only<end_lease>(answer(second.front(), true)).empty()) << "a repeated grant is in use";
}

TEST_F(lease_case, aTargetThatLeavesMeanwhileGetsNoAccusedRequest)
{
    const auto first = only<ask_lease>(arrive("r")).front();
    EXPECT_TRUE(only<ask_lease>(list(first.target.text().c_str(), listed_state::Leaving)).empty());
    const auto actions = answer(first, true);
    EXPECT_TRUE(only<start_attempt>(actions).empty());
    EXPECT_EQ(only<end_lease>(actions).size(), 1U);
    const auto second = only<ask_lease>(actions);
    ASSERT_EQ(second.size(), 1U);
    EXPECT_NE(second.front().target, first.target);
}

TEST_F(lease_case, theLeaseOfATargetThatMayBeDeadOutlastsTheAttempt)
{
    const auto asked = only<ask_lease>(arrive("r")).front();
    answer(asked, true);
    EXPECT_TRUE(only<end_lease>(end("r", attempt_end::Lost)).empty()) << "it may still be taken up there";
    const auto ended = only<end_lease>(after(seconds(5)));
    ASSERT_EQ(ended.size(), 1U) << "nothing was heard of the target";
    EXPECT_GT(ended.front().until, now);
}

TEST_F(lease_case, whatGetsNoLeaseIsAnsweredAtItsDeadline)
{
    std::vector<request_action> actions = arrive("r");
    std::vector<answer_failure> failures;
    while (failures.empty() && now < start + seconds(11)) {
        for (const ask_lease &asked : only<ask_lease>(actions)) {
            answer(asked, false);
        }
        actions = after(milliseconds(20));
        failures = only<answer_failure>(actions);
    }
    ASSERT_EQ(failures.size(), 1U);
    EXPECT_LE(now, start + seconds(10) + milliseconds(20));
    EXPECT_EQ(failures.front().what.known, outcome::NotRun);
    EXPECT_TRUE(failures.front().what.retryAfter);
}

TEST_F(lease_case, aLeaseGrantedAtTheDeadlineIsGivenBack)
{
    const instant deadline = start + seconds(10);
    const auto asked = only<ask_lease>(arrive("r")).front();
    now = deadline - milliseconds(10);
    const auto again = only<ask_lease>(post(time_passed{}));
    ASSERT_EQ(again.size(), 1U) << "the first wish had no answer";
    now = deadline;
    const auto actions = answer(again.front(), true);
    EXPECT_TRUE(only<start_attempt>(actions).empty());
    EXPECT_EQ(only<end_lease>(actions), (std::vector<end_lease>{{asked.request, again.front().target, now}}));
    const auto failures = only<answer_failure>(actions);
    ASSERT_EQ(failures.size(), 1U);
    EXPECT_EQ(failures.front().what.kind, error_kind::DeadlineExpired);
    EXPECT_EQ(failures.front().what.known, outcome::NotRun);
}

TEST_F(lease_case, anAccusationIsToldWithTheEarlierOnesOfItsFingerprint)
{
    const auto asked = only<ask_lease>(arrive("r")).front();
    const auto running = only<start_attempt>(answer(asked, true)).front();
    const auto told = only<spread_accusation>(post(target_found_dead{running.target, running.incarnation}));
    ASSERT_EQ(told.size(), 1U);
    const accusation first{target_id("e3"), incarnation_number(1), {content_hash(7)}};
    EXPECT_EQ(told.front().earlier, std::vector<accusation>{first}) << "a peer that missed it would let a third target die";
}

TEST_F(lease_case, theDeathOfALeavingTargetIsToldAsSuch)
{
    const auto running = only<start_attempt>(arrive("r", 8)).front();
    list(running.target.text().c_str(), listed_state::Leaving);
    const auto told = only<spread_accusation>(post(target_found_dead{running.target, running.incarnation}));
    ASSERT_EQ(told.size(), 1U);
    EXPECT_TRUE(told.front().what.leaving);
}

TEST_F(lease_case, leavingTargetsAloneQuarantineNothingAndCountOnceBesideLiveOnes)
{
    const auto accuse = [&](const char *id, bool leaving) {
        return only<publish_quarantine>(post(accusation{target_id(id), incarnation_number(1), {content_hash(9)}, leaving})).size();
    };
    EXPECT_EQ(accuse("e1", true), 0U);
    EXPECT_EQ(accuse("e2", true), 0U);
    EXPECT_EQ(accuse("e4", false), 1U);
}
