/// \file
/// Decisions of the request path under virtual time.
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

static incoming_request requestOf(const char *id)
{
    incoming_request request;
    request.id = request_id(id);
    request.model = model_id("m");
    request.deadline = start + seconds(10);
    return request;
}

TEST(request_machine, refusesAtOnceWithATimeToComeBackWhenNoTargetServes)
{
    request_machine machine{domain_id("d")};
    const auto refusals = only<answer_failure>(machine.step(start, request_arrived{requestOf("r")}));
    ASSERT_EQ(refusals.size(), 1U);
    EXPECT_EQ(refusals.front().what.kind, error_kind::NoTarget);
    EXPECT_EQ(refusals.front().what.known, outcome::NotRun);
    EXPECT_TRUE(refusals.front().what.retryAfter.has_value());
}

TEST(request_machine, refusesNewRequestsWhileDraining)
{
    request_machine machine{domain_id("d")};
    machine.step(start, drain_started{});
    const auto refusals = only<answer_failure>(machine.step(start, request_arrived{requestOf("r")}));
    ASSERT_EQ(refusals.size(), 1U);
    EXPECT_EQ(refusals.front().what.kind, error_kind::Draining);
}

struct machine_case : testing::Test
{
    request_machine machine{domain_id("d")};
    instant now = start;

    void list(const char *id, target_kind kind = target_kind::Engine, listed_state state = listed_state::Live)
    {
        listed_target target;
        target.id = target_id(id);
        target.kind = kind;
        target.domain = domain_id("d");
        target.state = state;
        post(target_listed{target});
    }

    void report(const char *id, std::uint64_t incarnation = 1, std::uint32_t capacity = 4)
    {
        load_report load;
        load.target = target_id(id);
        load.incarnation = incarnation_number(incarnation);
        load.takenAt = now;
        load.capacity = capacity;
        load.models = {{model_id("m"), version_id(), 0}};
        post(load_reported{load});
    }

    /// Every lease that is asked for is granted at once.
    std::vector<request_action> post(const request_event &event)
    {
        std::vector<request_action> actions = machine.step(now, event);
        for (const ask_lease &asked : only<ask_lease>(actions)) {
            const auto next = post(lease_answered{asked.request, asked.target, true});
            actions.insert(actions.end(), next.begin(), next.end());
        }
        return actions;
    }

    std::vector<request_action> after(milliseconds time)
    {
        now += time;
        return post(time_passed{});
    }

    std::vector<request_action> end(const char *id, std::uint64_t attempt, attempt_end how, std::uint64_t tokens = 0)
    {
        return post(attempt_ended{request_id(id), attempt_number(attempt), how, tokens, 200, "text", "answer"});
    }

    std::vector<request_action> arrive(const incoming_request &request)
    {
        return post(request_arrived{request});
    }
};

static incoming_request repeatableOf(const char *id, std::uint64_t fingerprint = 0)
{
    incoming_request request = requestOf(id);
    request.repeatable = true;
    request.retryBudgetPercent = 100;
    request.fingerprint = content_hash(fingerprint);
    return request;
}

static incoming_request keyedOf(const char *id)
{
    incoming_request request = requestOf(id);
    request.key = idempotency_key("k");
    return request;
}

static failure onlyFailure(const std::vector<request_action> &actions)
{
    const auto failures = only<answer_failure>(actions);
    EXPECT_EQ(failures.size(), 1U);
    return failures.empty() ? failure{} : failures.front().what;
}

TEST_F(machine_case, queuesBeyondCapacityAndRefusesBeyondTheLimit)
{
    list("e1");
    report("e1", 1, 1);
    incoming_request request = requestOf("a");
    request.queueLimit = 1;
    EXPECT_EQ(only<start_attempt>(arrive(request)).size(), 1U);
    request.id = request_id("b");
    EXPECT_TRUE(only<answer_failure>(arrive(request)).empty());
    request.id = request_id("c");
    const failure refusal = onlyFailure(arrive(request));
    EXPECT_EQ(refusal.kind, error_kind::Overloaded);
    EXPECT_EQ(refusal.known, outcome::NotRun);
    EXPECT_TRUE(refusal.retryAfter);
    const auto started = only<start_attempt>(end("a", 1, attempt_end::Completed));
    ASSERT_EQ(started.size(), 1U);
    EXPECT_EQ(started.front().request, request_id("b"));
}

TEST_F(machine_case, anUrgentRequestTakesThePlaceOfTheLastInTheQueue)
{
    list("e1");
    report("e1", 1, 1);
    incoming_request request = requestOf("a");
    request.queueLimit = 1;
    request.priority = 9;
    arrive(request);
    request.id = request_id("patient");
    arrive(request);
    request.id = request_id("urgent");
    request.priority = 0;
    const auto refused = only<answer_failure>(arrive(request));
    ASSERT_EQ(refused.size(), 1U);
    EXPECT_EQ(refused.front().request, request_id("patient"));
}

TEST_F(machine_case, refusesAtOnceWhatTheMeasuredDrainCannotReach)
{
    list("e1");
    report("e1", 1, 1);
    for (int number = 0; number < 12; ++number) {
        arrive(requestOf(("r" + std::to_string(number)).c_str()));
    }
    std::string running = "r0";
    for (int number = 0; number < 4; ++number) {
        now += milliseconds(500);
        running = only<start_attempt>(end(running.c_str(), 1, attempt_end::Completed)).front().request.text();
    }
    incoming_request hurried = requestOf("hurried");
    hurried.deadline = now + seconds(1);
    hurried.priority = 9;
    const failure refusal = onlyFailure(arrive(hurried));
    EXPECT_EQ(refusal.kind, error_kind::DeadlineUnreachable);
    EXPECT_EQ(refusal.known, outcome::NotRun);
    EXPECT_NEAR(static_cast<double>(refusal.retryAfter->count()), 4500, 1500);
}

TEST_F(machine_case, resumesASilentStreamOnceWithoutProgressThenMovesOn)
{
    list("e1");
    list("e2");
    report("e1");
    report("e2");
    const auto first = only<start_attempt>(arrive(repeatableOf("r"))).front();
    const auto resumed = only<start_attempt>(end("r", 1, attempt_end::Silent, 5)).front();
    EXPECT_TRUE(resumed.resume);
    EXPECT_EQ(resumed.attempt, first.attempt);
    EXPECT_EQ(resumed.target, first.target);
    EXPECT_TRUE(only<start_attempt>(end("r", 1, attempt_end::Silent, 6)).front().resume) << "it made progress";
    const auto actions = end("r", 1, attempt_end::Silent, 6);
    EXPECT_EQ(only<cancel_attempt>(actions).size(), 1U);
    const auto moved = only<start_attempt>(actions).front();
    EXPECT_FALSE(moved.resume);
    EXPECT_NE(moved.target, first.target);
    EXPECT_EQ(moved.attempt, attempt_number(2));
}

TEST_F(machine_case, aSilentStreamIsNotGivenUpBeforeAnotherTargetCanTakeIt)
{
    list("e1");
    report("e1");
    const auto first = only<start_attempt>(arrive(repeatableOf("r"))).front();
    const auto expectFollowed = [&] {
        const auto actions = end("r", 1, attempt_end::Silent);
        EXPECT_TRUE(only<cancel_attempt>(actions).empty());
        ASSERT_EQ(only<start_attempt>(actions).size(), 1U);
        EXPECT_TRUE(only<start_attempt>(actions).front().resume);
        EXPECT_EQ(only<start_attempt>(actions).front().target, first.target);
    };
    expectFollowed();
    expectFollowed();
    list("e2");
    report("e2", 1, 0);
    expectFollowed();
    now += milliseconds(1);
    report("e2");
    const auto actions = end("r", 1, attempt_end::Silent);
    EXPECT_EQ(only<cancel_attempt>(actions).size(), 1U);
    ASSERT_EQ(only<start_attempt>(actions).size(), 1U);
    EXPECT_EQ(only<start_attempt>(actions).front().target, target_id("e2"));
}

TEST_F(machine_case, aSilentStreamThatMayNotStartElsewhereIsFollowedToItsDeadline)
{
    list("e1");
    list("e2");
    report("e1");
    report("e2");
    incoming_request unsafe = requestOf("unsafe");
    incoming_request unpaid = repeatableOf("unpaid");
    unpaid.retryBudgetPercent = 0;
    for (incoming_request &request : {std::ref(unsafe), std::ref(unpaid)}) {
        request.deadline = now + seconds(60);
        arrive(request);
        for (int times = 0; times < 3; ++times) {
            const auto actions = end(request.id.text().c_str(), 1, attempt_end::Silent);
            EXPECT_TRUE(only<cancel_attempt>(actions).empty());
            ASSERT_EQ(only<start_attempt>(actions).size(), 1U);
            EXPECT_TRUE(only<start_attempt>(actions).front().resume);
        }
        const failure late = onlyFailure(end(request.id.text().c_str(), 1, attempt_end::DeadlinePassed));
        EXPECT_EQ(late.kind, error_kind::DeadlineExpired);
    }
}

TEST_F(machine_case, endsASilentNonRepeatableRequestAsUnknown)
{
    list("p", target_kind::Plain);
    incoming_request request = requestOf("r");
    request.kind = target_kind::Plain;
    arrive(request);
    const failure end1 = onlyFailure(end("r", 1, attempt_end::Silent));
    EXPECT_EQ(end1.kind, error_kind::TargetSilent);
    EXPECT_EQ(end1.known, outcome::Unknown);
    EXPECT_FALSE(end1.retryAfter);
}

TEST_F(machine_case, retriesANonRepeatableRequestOnlyWhenProvedNotRun)
{
    for (const char *id : {"e1", "e2", "e3"}) {
        list(id);
        report(id);
    }
    incoming_request request = requestOf("r");
    request.retryBudgetPercent = 100;
    arrive(request);
    EXPECT_EQ(only<start_attempt>(end("r", 1, attempt_end::Refused)).size(), 1U);
    EXPECT_EQ(only<start_attempt>(end("r", 2, attempt_end::NotSent)).size(), 1U);
    EXPECT_TRUE(only<answer_failure>(end("r", 3, attempt_end::Lost)).empty()) << "waits for news of the target";
    const failure lost = onlyFailure(after(milliseconds(500)));
    EXPECT_EQ(lost.kind, error_kind::TargetLost);
    EXPECT_EQ(lost.known, outcome::Unknown);
}

TEST_F(machine_case, aBrokenConnectionToALivingTargetAccusesNobody)
{
    list("e1");
    list("e2");
    report("e1");
    report("e2");
    const auto first = only<start_attempt>(arrive(repeatableOf("r", 7))).front();
    end("r", 1, attempt_end::Lost);
    now += milliseconds(10);
    load_report alive;
    alive.target = first.target;
    alive.incarnation = incarnation_number(1);
    alive.takenAt = now;
    const auto actions = post(load_reported{alive});
    EXPECT_TRUE(only<spread_accusation>(actions).empty());
    EXPECT_TRUE(only<cancel_attempt>(actions).empty()) << "the stream runs there";
    ASSERT_EQ(only<start_attempt>(actions).size(), 1U);
    EXPECT_TRUE(only<start_attempt>(actions).front().resume);
    EXPECT_EQ(only<start_attempt>(actions).front().target, first.target);
    end("r", 1, attempt_end::Lost);
    now += milliseconds(10);
    alive.takenAt = now;
    const auto again = post(load_reported{alive});
    EXPECT_TRUE(only<spread_accusation>(again).empty());
    ASSERT_EQ(only<cancel_attempt>(again).size(), 1U) << "the stream may still run there";
    EXPECT_EQ(only<cancel_attempt>(again).front().target, first.target);
    ASSERT_EQ(only<start_attempt>(again).size(), 1U);
    EXPECT_FALSE(only<start_attempt>(again).front().resume);
    EXPECT_NE(only<start_attempt>(again).front().target, first.target);
}

/// Each worker whose connection broke reports the same dead process; with N requests there that must not
/// become N times N accusations.
TEST_F(machine_case, aDeadProcessAccusesEachRequestOnceHoweverManyReportIt)
{
    list("e1");
    report("e1");
    for (const char *id : {"a", "b", "c"}) {
        ASSERT_EQ(only<start_attempt>(arrive(repeatableOf(id, 7))).size(), 1U);
    }
    const target_found_dead dead{target_id("e1"), incarnation_number(1)};
    EXPECT_EQ(only<spread_accusation>(post(dead)).size(), 3U);
    EXPECT_TRUE(only<spread_accusation>(post(dead)).empty());
    EXPECT_TRUE(only<spread_accusation>(post(target_lost{dead.target})).empty());
}

TEST_F(machine_case, quarantinesARequestThatKilledTwoTargets)
{
    for (const char *id : {"e1", "e2", "e3"}) {
        list(id);
        report(id);
    }
    const auto first = only<start_attempt>(arrive(repeatableOf("r", 7))).front();
    end("r", 1, attempt_end::Lost);
    EXPECT_EQ(only<spread_accusation>(post(target_lost{first.target})).size(), 1U);
    const auto second = only<start_attempt>(post(accusation_spread{request_id("r")})).front();
    end("r", 2, attempt_end::Lost);
    EXPECT_EQ(only<publish_quarantine>(post(target_lost{second.target})).size(), 1U);
    const failure ended = onlyFailure(post(accusation_spread{request_id("r")}));
    EXPECT_EQ(ended.kind, error_kind::Quarantined);
    EXPECT_EQ(ended.known, outcome::Unknown);
    const failure again = onlyFailure(arrive(repeatableOf("again", 7)));
    EXPECT_EQ(again.kind, error_kind::Quarantined);
    EXPECT_EQ(again.known, outcome::NotRun);
    EXPECT_TRUE(again.retryAfter);
    now += *again.retryAfter;
    incoming_request later = repeatableOf("later", 7);
    later.deadline = now + seconds(10);
    EXPECT_EQ(only<start_attempt>(arrive(later)).size(), 1U);
}

TEST_F(machine_case, aRequestWhoseVerdictsAreLateIsNotSentToAThirdTarget)
{
    for (const char *id : {"e1", "e2", "e3"}) {
        list(id);
        report(id);
    }
    arrive(repeatableOf("r", 7));
    end("r", 1, attempt_end::Lost);
    ASSERT_EQ(only<start_attempt>(after(request_policy().verdictWait)).size(), 1U);
    end("r", 2, attempt_end::Lost);
    const auto actions = after(request_policy().verdictWait);
    EXPECT_TRUE(only<start_attempt>(actions).empty());
    const failure ended = onlyFailure(actions);
    EXPECT_EQ(ended.kind, error_kind::TargetLost);
    EXPECT_EQ(ended.known, outcome::Unknown);
    EXPECT_TRUE(ended.retryAfter);
}

TEST_F(machine_case, aLateVerdictOfTheFirstTargetIsNotTakenForThatOfTheSecond)
{
    for (const char *id : {"e1", "e2", "e3"}) {
        list(id);
        report(id);
    }
    const auto first = only<start_attempt>(arrive(repeatableOf("r", 7))).front();
    end("r", 1, attempt_end::Lost);
    const auto second = only<start_attempt>(after(request_policy().verdictWait)).front();
    end("r", 2, attempt_end::Lost);
    post(target_lost{first.target});
    EXPECT_TRUE(only<start_attempt>(post(accusation_spread{request_id("r")})).empty());
    post(target_lost{second.target});
    EXPECT_EQ(onlyFailure(post(accusation_spread{request_id("r")})).kind, error_kind::Quarantined);
}

TEST_F(machine_case, theDeathOfATargetThatWasProvedAliveSettlesNoBreakElsewhere)
{
    for (const char *id : {"e1", "e2", "e3", "e4"}) {
        list(id);
        report(id);
    }
    const auto first = only<start_attempt>(arrive(repeatableOf("r", 7))).front();
    const attempt_ended foundAlive{request_id("r"), attempt_number(1), attempt_end::Lost, 0, 0, {}, std::nullopt, incarnation_number(1)};
    ASSERT_TRUE(only<start_attempt>(post(foundAlive)).front().resume);
    ASSERT_FALSE(only<start_attempt>(post(foundAlive)).front().resume) << "no progress";
    end("r", 2, attempt_end::Lost);
    ASSERT_EQ(only<start_attempt>(after(request_policy().verdictWait)).size(), 1U);
    post(target_lost{first.target});
    post(accusation_spread{request_id("r")});
    const auto actions = end("r", 3, attempt_end::NotSent);
    EXPECT_TRUE(only<start_attempt>(actions).empty()) << "one death and one break without a verdict";
    EXPECT_EQ(onlyFailure(actions).kind, error_kind::TargetLost);
}

TEST_F(machine_case, theSilenceOfATargetAccusesNothingThatRunsThere)
{
    list("e1");
    list("e2");
    report("e1");
    report("e2");
    const auto first = only<start_attempt>(arrive(repeatableOf("r", 7))).front();
    EXPECT_TRUE(only<spread_accusation>(post(target_silent{first.target})).empty());
    const auto other = only<start_attempt>(arrive(repeatableOf("other", 8))).front();
    EXPECT_NE(other.target, first.target);
    EXPECT_EQ(only<request_done>(end("r", 1, attempt_end::Completed)).size(), 1U);
    list(first.target.text().c_str());
    post(target_silent{other.target});
    EXPECT_EQ(only<start_attempt>(arrive(repeatableOf("next", 9))).front().target, first.target) << "it answers again";
}

TEST_F(machine_case, aSilentTargetWhoseConnectionBreaksCountsAsDead)
{
    for (const char *id : {"e1", "e2", "e3"}) {
        list(id);
        report(id);
    }
    const auto before = only<start_attempt>(arrive(repeatableOf("before", 7))).front();
    end("before", 1, attempt_end::Lost);
    EXPECT_EQ(only<spread_accusation>(post(target_silent{before.target})).size(), 1U);
    const auto after = only<start_attempt>(arrive(repeatableOf("after", 8))).front();
    EXPECT_TRUE(only<spread_accusation>(post(target_silent{after.target})).empty());
    EXPECT_EQ(only<spread_accusation>(end("after", 1, attempt_end::Lost)).size(), 1U);
}

TEST_F(machine_case, aTargetThatReturnsFromItsSilenceAnewAccusesWhatRanThere)
{
    list("e1");
    report("e1");
    arrive(repeatableOf("r", 7));
    post(target_silent{target_id("e1")});
    now += milliseconds(1);
    list("e1");
    load_report anew;
    anew.target = target_id("e1");
    anew.incarnation = incarnation_number(2);
    anew.takenAt = now;
    EXPECT_EQ(only<spread_accusation>(post(load_reported{anew})).size(), 1U);
}

TEST_F(machine_case, aStreamLeavesASilentTargetAtOnceWhereAnotherHasRoom)
{
    list("e1");
    list("e2");
    report("e1");
    report("e2");
    const auto first = only<start_attempt>(arrive(repeatableOf("r"))).front();
    post(target_silent{first.target});
    const auto moved = only<start_attempt>(end("r", 1, attempt_end::Silent, 5));
    ASSERT_EQ(moved.size(), 1U);
    EXPECT_NE(moved.front().target, first.target);
    post(target_silent{moved.front().target});
    EXPECT_TRUE(only<start_attempt>(end("r", 2, attempt_end::Silent, 6)).front().resume);
}

TEST_F(machine_case, anOrderlyLeaveAccusesNobodyAndCutsNothingOff)
{
    list("e1");
    report("e1");
    arrive(repeatableOf("r"));
    list("e1", target_kind::Engine, listed_state::Leaving);
    EXPECT_EQ(onlyFailure(arrive(repeatableOf("late"))).kind, error_kind::NoTarget);
    EXPECT_TRUE(only<spread_accusation>(post(target_lost{target_id("e1")})).empty());
    EXPECT_EQ(only<request_done>(end("r", 1, attempt_end::Completed)).size(), 1U);
}

TEST_F(machine_case, runsWhatWaitsWhileDraining)
{
    list("e1");
    report("e1", 1, 1);
    arrive(requestOf("a"));
    arrive(requestOf("b"));
    post(drain_started{});
    const failure refusal = onlyFailure(arrive(requestOf("c")));
    EXPECT_EQ(refusal.kind, error_kind::Draining);
    EXPECT_EQ(refusal.retryAfter, milliseconds(0));
    EXPECT_EQ(only<start_attempt>(end("a", 1, attempt_end::Completed)).size(), 1U);
}

TEST_F(machine_case, startsNothingAtItsDeadlineWhenATargetBecomesFreeBetweenTwoSweeps)
{
    list("e1");
    report("e1", 1, 1);
    arrive(requestOf("a"));
    incoming_request late = requestOf("late");
    late.deadline = now + milliseconds(10);
    arrive(late);
    arrive(requestOf("b"));
    now = late.deadline;
    const auto actions = end("a", 1, attempt_end::Completed);
    const failure refusal = onlyFailure(actions);
    EXPECT_EQ(refusal.kind, error_kind::DeadlineExpired);
    EXPECT_EQ(refusal.known, outcome::NotRun);
    const auto started = only<start_attempt>(actions);
    ASSERT_EQ(started.size(), 1U);
    EXPECT_EQ(started.front().request, request_id("b"));
}

TEST_F(machine_case, aKeyWhoseRequestWaitedToItsDeadlineIsFreeAgain)
{
    list("e1");
    report("e1", 1, 1);
    arrive(requestOf("a"));
    incoming_request late = keyedOf("late");
    late.deadline = now + milliseconds(10);
    arrive(late);
    EXPECT_TRUE(only<start_attempt>(post(claim_decided{late.id, claim_verdict::Won, {}, {}})).empty());
    now = late.deadline;
    const auto actions = end("a", 1, attempt_end::Completed);
    EXPECT_TRUE(only<start_attempt>(actions).empty());
    EXPECT_EQ(only<void_claim>(actions).size(), 1U);
    EXPECT_TRUE(only<settle_claim>(actions).empty());
}

TEST_F(machine_case, settlesAWonClaimInTheStepOfItsAnswer)
{
    list("e1");
    report("e1");
    EXPECT_EQ(only<place_claim>(arrive(keyedOf("r"))).size(), 1U);
    EXPECT_EQ(only<start_attempt>(post(claim_decided{request_id("r"), claim_verdict::Won, {}, {}})).size(), 1U);
    EXPECT_TRUE(post(claim_decided{request_id("r"), claim_verdict::Won, {}, {}}).empty()) << "a repeat";
    const auto actions = end("r", 1, attempt_end::Completed);
    ASSERT_EQ(only<settle_claim>(actions).size(), 1U);
    EXPECT_EQ(only<settle_claim>(actions).front().result.answer, "answer");
    EXPECT_EQ(only<request_done>(actions).size(), 1U);
}

TEST_F(machine_case, keepsTheOutcomeOfAClaimedRunWhoseCallerWent)
{
    list("e1");
    report("e1");
    arrive(keyedOf("r"));
    post(claim_decided{request_id("r"), claim_verdict::Won, {}, {}});
    const auto gone = post(caller_gone{request_id("r")});
    EXPECT_TRUE(only<cancel_attempt>(gone).empty());
    EXPECT_TRUE(only<void_claim>(gone).empty());
    const auto actions = end("r", 1, attempt_end::Completed);
    EXPECT_EQ(only<settle_claim>(actions).front().result.known, outcome::Ran);
    EXPECT_TRUE(only<request_done>(actions).empty());
}

TEST_F(machine_case, doesNotRecordALargeAnswer)
{
    list("e1");
    report("e1");
    arrive(keyedOf("r"));
    post(claim_decided{request_id("r"), claim_verdict::Won, {}, {}});
    const std::string large(16385, 'x');
    const auto actions = post(attempt_ended{request_id("r"), attempt_number(1), attempt_end::Completed, 0, 200, "text", large});
    EXPECT_FALSE(only<settle_claim>(actions).front().result.answer);
}

TEST_F(machine_case, answersEveryVerdictOfAClaimThatWasNotWon)
{
    list("e1");
    report("e1");
    const auto verdict = [&](claim_verdict decided, std::optional<milliseconds> retryAfter = {}) {
        const std::string id = "r" + std::to_string(static_cast<int>(decided));
        arrive(keyedOf(id.c_str()));
        return onlyFailure(post(claim_decided{request_id(id), decided, {}, retryAfter}));
    };
    EXPECT_EQ(verdict(claim_verdict::InProgress, seconds(2)).retryAfter, seconds(2));
    EXPECT_EQ(verdict(claim_verdict::Unknown).known, outcome::Unknown);
    EXPECT_EQ(verdict(claim_verdict::KeyReused).kind, error_kind::KeyReused);
    EXPECT_EQ(verdict(claim_verdict::LogUnavailable).known, outcome::NotRun);
    arrive(keyedOf("recorded"));
    const auto replay = post(claim_decided{request_id("recorded"), claim_verdict::Recorded, key_outcome{}, {}});
    EXPECT_EQ(only<answer_recorded>(replay).size(), 1U);
    EXPECT_EQ(machine.openRequests(), 0U);
}

TEST_F(machine_case, aClaimGivenUpUndecidedKeepsItsRequestIdClosed)
{
    list("e1");
    report("e1");
    arrive(keyedOf("r"));
    EXPECT_EQ(only<void_claim>(post(caller_gone{request_id("r")})).size(), 1U);
    EXPECT_EQ(onlyFailure(arrive(keyedOf("r"))).kind, error_kind::InProgress);
    const auto late = post(claim_decided{request_id("r"), claim_verdict::Won, {}, {}});
    EXPECT_EQ(only<void_claim>(late).size(), 1U);
    EXPECT_TRUE(only<start_attempt>(late).empty());
    EXPECT_EQ(only<place_claim>(arrive(keyedOf("r"))).size(), 1U);
}

TEST_F(machine_case, aTargetThatRefusesConnectionsAccusesAtOnceAndIsAvoidedNotForgotten)
{
    for (const char *id : {"e1", "e2"}) {
        list(id);
        report(id);
    }
    const auto first = only<start_attempt>(arrive(repeatableOf("r", 7))).front();
    EXPECT_EQ(only<spread_accusation>(post(target_found_dead{first.target, incarnation_number(99)})).size(), 0U);
    EXPECT_EQ(only<spread_accusation>(post(target_found_dead{first.target, first.incarnation})).size(), 1U);
    end("r", 1, attempt_end::Lost);
    EXPECT_TRUE(only<start_attempt>(post(accusation_spread{request_id("r")})).empty());
    const auto second = only<start_attempt>(after(request_policy().verdictWait)).front();
    EXPECT_NE(second.target, first.target);
    const auto other = only<start_attempt>(arrive(repeatableOf("other", 8))).front();
    EXPECT_EQ(other.target, second.target);
}

/// Requests that draw a refusing target at an equal score paid a retry each: the fourth found the budget spent.
TEST_F(machine_case, aTargetThatRefusedIsDrawnOnceWhileAnotherIsThere)
{
    list("p1", target_kind::Plain);
    list("p2", target_kind::Plain);
    int refused = 0;
    for (int number = 0; number < 24; ++number) {
        const std::string id = "r" + std::to_string(number);
        incoming_request request = requestOf(id.c_str());
        request.kind = target_kind::Plain;
        request.retryBudgetPercent = 10;
        const auto first = only<start_attempt>(arrive(request));
        ASSERT_EQ(first.size(), 1U) << id;
        std::uint64_t attempt = 1;
        if (first.front().target == target_id("p1")) {
            refused += 1;
            const auto second = only<start_attempt>(end(id.c_str(), attempt, attempt_end::Refused));
            ASSERT_EQ(second.size(), 1U) << id;
            EXPECT_EQ(second.front().target, target_id("p2"));
            attempt = 2;
        }
        end(id.c_str(), attempt, attempt_end::Completed);
        after(milliseconds(20));
    }
    EXPECT_EQ(refused, 1);
}
