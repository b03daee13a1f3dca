/// \file
/// One of two targets falls silent in its answers and goes on, as callers see it: the other can't take over, does, or is silent
/// as well.
#include "silence_scene.h"

namespace fuchsialoom
{

namespace
{

enum class other_target {
    NoRoom,
    Refusing,
    Gone,
    Breaking,
    Silent,
};

class platform_silence_beside_useless_target : public platform_silence, public testing::WithParamInterface<other_target>
{
protected:
    /// Adds "e2" and "p2".
    void addOthers(int slots)
    {
        target_options second = engine("e2");
        second.slots = slots;
        m_world.addTarget(second);
        second = plain("p2");
        second.slots = slots;
        m_world.addTarget(second);
    }

    /// "e2" and "p2" have one place each, which is taken, before the first targets come.
    std::vector<std::future<timed_answer>> startWithoutRoom()
    {
        m_world.configure(configurationOf(1));
        addOthers(1);
        m_vm = m_world.startVm();
        EXPECT_TRUE(m_world.waitReady(m_vm));
        EXPECT_TRUE(isListed("e2") && isListed("p2"));
        std::vector<silent_request> fillers;
        for (const route_kind &route : {routeKinds[1], routeKinds[3]}) {
            fillers.push_back({route, "filler-" + route.name, {.place = silence_place::BeforeHead, .length = milliseconds(5000)}});
        }
        planSilences("e2", fillers);
        planSilences("p2", fillers);
        std::vector<std::future<timed_answer>> answers = askAll(fillers);
        EXPECT_TRUE(waitFor([&] {
            return !runsAt("e2", fillers[0].id).empty() && !runsAt("p2", fillers[1].id).empty();
        }));
        m_world.addTarget(engine("e1"));
        m_world.addTarget(plain("p1"));
        EXPECT_TRUE(isListed("e1") && isListed("p1"));
        return answers;
    }

    void addUseless(other_target how, const std::vector<silent_request> &requests)
    {
        addOthers(20);
        m_world.call([&] {
            for (const char *id : {"e2", "p2"}) {
                fake_target &target = m_world.target(id);
                if (how == other_target::Refusing) {
                    target.setFault(target_fault::Refuse);
                } else if (how == other_target::Breaking) {
                    target.setFault(target_fault::LoseAnswer);
                } else if (how == other_target::Gone) {
                    target.crash();
                }
            }
        });
        if (how == other_target::Silent) {
            planSilences("e2", requests);
            planSilences("p2", requests);
        }
    }
};

} // namespace

TEST_P(platform_silence_beside_useless_target, cutsNoAnswer)
{
    const bool isFull = GetParam() == other_target::NoRoom;
    const std::vector<silent_request> requests = silentRequests(shortSilence);
    std::vector<std::future<timed_answer>> fillers;
    if (isFull) {
        fillers = startWithoutRoom();
    } else {
        start();
    }
    planSilences("e1", requests);
    planSilences("p1", requests);
    std::vector<std::future<timed_answer>> answers = askAll(requests);
    ASSERT_TRUE(waitForRuns(requests));
    if (!isFull) {
        addUseless(GetParam(), requests);
    }
    for (std::size_t index = 0; index < requests.size(); ++index) {
        const silent_request &request = requests[index];
        SCOPED_TRACE(request.id);
        expectWhole(request.route, answers[index].get().answer, {firstOf(request.route), secondOf(request.route)});
        EXPECT_EQ(runsAt(firstOf(request.route), request.id).size(), 1U);
        EXPECT_LE(runsAt(secondOf(request.route), request.id).size(), request.route.isRepeatable ? 1U : 0U);
    }
    for (std::future<timed_answer> &filler : fillers) {
        EXPECT_EQ(filler.get().answer.status, 200);
    }
}

INSTANTIATE_TEST_SUITE_P(
    silence,
    platform_silence_beside_useless_target,
    testing::Values(other_target::NoRoom, other_target::Refusing, other_target::Gone, other_target::Breaking, other_target::Silent),
    [](const testing::TestParamInfo<other_target> &info) -> std::string {
        switch (info.param) {
        case other_target::NoRoom:
            return "withoutRoom";
        case other_target::Refusing:
            return "thatRefuses";
        case other_target::Gone:
            return "thatIsGone";
        case other_target::Breaking:
            return "thatBreaksOff";
        case other_target::Silent:
            return "thatIsSilentToo";
        }
        return "";
    });

namespace
{

class platform_silence_beside_good_target : public platform_silence
{
protected:
    /// Sends \p requests to the first targets, which fall silent, and adds good ones.
    void play(const std::vector<silent_request> &requests)
    {
        start();
        planSilences("e1", requests);
        planSilences("p1", requests);
        std::vector<std::future<timed_answer>> answers = askAll(requests);
        ASSERT_TRUE(waitForRuns(requests));
        m_world.addTarget(engine("e2"));
        m_world.addTarget(plain("p2"));
        for (std::future<timed_answer> &answer : answers) {
            m_answers.push_back(answer.get());
        }
    }

    std::vector<timed_answer> m_answers;
};

} // namespace

TEST_F(platform_silence_beside_good_target, delaysNoAnswerByMoreThanTheTakeover)
{
    static constexpr milliseconds run = events * eventPause;
    std::vector<silent_request> requests = repeatableRequests(longSilence);
    std::vector<silent_request> forGood = requests;
    for (silent_request &request : forGood) {
        request.id += "-forGood";
        request.planned.isForGood = true;
        requests.push_back(request);
    }
    play(requests);
    for (std::size_t index = 0; index < requests.size(); ++index) {
        const silent_request &request = requests[index];
        SCOPED_TRACE(request.id);
        expectWhole(request.route, m_answers.at(index).answer, {secondOf(request.route)});
        EXPECT_LE(m_answers.at(index).endedAt - m_answers.at(index).sentAt, takeoverTime + run + takeoverSlack);
        EXPECT_EQ(runsAt(firstOf(request.route), request.id).size(), 1U);
        EXPECT_EQ(runsAt(secondOf(request.route), request.id).size(), 1U);
    }
    expectNothingQuarantined();
}

TEST_F(platform_silence_beside_good_target, isNotClosedBeforeTheSuccessorDelivers)
{
    const std::vector<silent_request> requests = repeatableRequests(longSilence);
    play(requests);
    for (const silent_request &request : requests) {
        SCOPED_TRACE(request.id);
        ASSERT_TRUE(waitFor([&] {
            return runsAt(firstOf(request.route), request.id).at(0).abandonedAt.has_value();
        }));
        const target_run silent = runsAt(firstOf(request.route), request.id).at(0);
        const std::vector<target_run> successors = runsAt(secondOf(request.route), request.id);
        ASSERT_EQ(successors.size(), 1U);
        ASSERT_TRUE(successors[0].firstByteAt && successors[0].endedAt);
        EXPECT_TRUE(silent.isAbandonedInSilence());
        EXPECT_GE(*silent.abandonedAt, *successors[0].firstByteAt) << "closed while nobody else had delivered";
        EXPECT_LE(*silent.abandonedAt, *successors[0].endedAt + takeoverSlack) << "still at work after the answer";
    }
}

TEST_F(platform_silence_beside_good_target, reachesNoMoreTargetsThanTheRouteAllows)
{
    const std::vector<silent_request> requests = repeatableRequests(longSilence);
    start();
    for (const char *id : {"e1", "p1"}) {
        planSilences(id, requests);
    }
    std::vector<std::future<timed_answer>> answers = askAll(requests);
    ASSERT_TRUE(waitForRuns(requests));
    m_world.addTarget(engine("e2"));
    m_world.addTarget(plain("p2"));
    for (const char *id : {"e2", "p2"}) {
        planSilences(id, requests);
    }
    // The third targets come after the second ones were tried.
    std::this_thread::sleep_for(takeoverTime + takeoverSlack);
    m_world.addTarget(engine("e3"));
    m_world.addTarget(plain("p3"));
    for (std::size_t index = 0; index < requests.size(); ++index) {
        const silent_request &request = requests[index];
        SCOPED_TRACE(request.id);
        expectWhole(request.route, answers[index].get().answer, {firstOf(request.route), secondOf(request.route)});
        EXPECT_TRUE(runsAt(request.route.isStream ? "e3" : "p3", request.id).empty());
    }
}

/// The silent run goes on at about the time at which another target takes the request.
TEST_F(platform_silence_beside_good_target, thatEndsAtTheTakeoverMixesNoRuns)
{
    std::vector<silent_request> requests;
    for (int number = 0; number < 8; ++number) {
        const milliseconds length = takeoverTime - milliseconds(80) + number * milliseconds(25);
        for (const silent_request &request : repeatableRequests(length)) {
            requests.push_back({request.route, request.id + std::to_string(number), request.planned});
        }
    }
    m_slots = static_cast<int>(requests.size());
    play(requests);
    for (std::size_t index = 0; index < requests.size(); ++index) {
        const silent_request &request = requests[index];
        SCOPED_TRACE(request.id);
        expectWhole(request.route, m_answers.at(index).answer, {firstOf(request.route), secondOf(request.route)});
        EXPECT_EQ(runsAt(firstOf(request.route), request.id).size(), 1U);
        EXPECT_LE(runsAt(secondOf(request.route), request.id).size(), 1U);
    }
}

TEST_F(platform_silence_beside_good_target, takesNoPlaceForGood)
{
    static constexpr int slots = 7;
    m_slots = slots;
    const std::vector<silent_request> requests = repeatableRequests(longSilence);
    play(requests);
    std::vector<std::string> ids;
    std::vector<std::future<timed_answer>> answers;
    for (int number = 0; number < 2 * slots; ++number) {
        ids.push_back("later" + std::to_string(number));
        answers.push_back(ask(routeKinds[0], ids.back()));
    }
    for (std::size_t index = 0; index < answers.size(); ++index) {
        SCOPED_TRACE(ids[index]);
        const timed_answer result = answers[index].get();
        expectWhole(routeKinds[0], result.answer, {});
        // As many as the targets have places, so none waits for the end of another.
        EXPECT_LE(result.endedAt - result.sentAt, events * eventPause + takeoverSlack) << timesOf(ids[index], result.sentAt);
    }
    for (const char *id : {"e1", "e2", "p1", "p2"}) {
        EXPECT_LE(mostRunsAtOnce(id), slots) << id;
    }
}

/// More requests than the retry budget allows to take over at once.
TEST_F(platform_silence_beside_good_target, beyondTheRetryBudgetCutsNoAnswer)
{
    static constexpr std::size_t count = 120;
    static constexpr std::size_t mostRetries = count / 5 + 50;
    std::vector<silent_request> requests;
    for (std::size_t number = 0; number < count; ++number) {
        requests.push_back({routeKinds[2], "get" + std::to_string(number), {.length = shortSilence}});
    }
    m_slots = count;
    play(requests);
    std::size_t retries = 0;
    for (std::size_t index = 0; index < requests.size(); ++index) {
        SCOPED_TRACE(requests[index].id);
        expectWhole(requests[index].route, m_answers.at(index).answer, {"p1", "p2"});
        EXPECT_EQ(runsAt("p1", requests[index].id).size(), 1U);
        retries += runsAt("p2", requests[index].id).size();
    }
    EXPECT_LE(retries, mostRetries);
}

namespace
{

class platform_silence_of_two_targets : public platform_silence
{
protected:
    /// Sends \p requests and waits until both targets run them, silently.
    void play(const std::vector<silent_request> &requests, int deadlineMs = 8000)
    {
        start();
        for (const char *id : {"e1", "p1"}) {
            planSilences(id, requests);
        }
        m_answers = askAll(requests, deadlineMs);
        ASSERT_TRUE(waitForRuns(requests));
        for (const target_options &options : {engine("e2"), plain("p2")}) {
            m_world.addTarget(options);
            planSilences(options.id, requests);
        }
        ASSERT_TRUE(waitFor([&] {
            return std::ranges::all_of(requests, [&](const silent_request &request) {
                return !runsAt(secondOf(request.route), request.id).empty();
            });
        }));
    }

    void expectAllClosed(const std::vector<silent_request> &requests, steady_clock::time_point by)
    {
        for (const silent_request &request : requests) {
            SCOPED_TRACE(request.id);
            for (const std::string &target : {firstOf(request.route), secondOf(request.route)}) {
                for (const target_run &run : runsAt(target, request.id)) {
                    EXPECT_TRUE(run.abandonedAt) << "still at work at " << target;
                    EXPECT_LE(run.abandonedAt.value_or(by), by) << target;
                }
            }
        }
    }

    static constexpr milliseconds closeTime{500};
    std::vector<std::future<timed_answer>> m_answers;
};

} // namespace

TEST_F(platform_silence_of_two_targets, keepsNoRunOfACallerWhoLeft)
{
    const std::vector<silent_request> requests = repeatableRequests(longSilence);
    start();
    for (const char *id : {"e1", "p1"}) {
        planSilences(id, requests);
    }
    std::vector<asio::ip::tcp::socket> sockets;
    sockets.reserve(requests.size());
    for (const silent_request &request : requests) {
        sockets.push_back(m_world.send(m_vm, requestFor(request.route, request.id)));
    }
    ASSERT_TRUE(waitForRuns(requests));
    for (const target_options &options : {engine("e2"), plain("p2")}) {
        m_world.addTarget(options);
        planSilences(options.id, requests);
    }
    std::this_thread::sleep_for(takeoverTime + takeoverSlack);
    sockets.clear();
    const steady_clock::time_point leftAt = steady_clock::now();
    std::this_thread::sleep_for(closeTime);
    expectAllClosed(requests, leftAt + closeTime);
}

TEST_F(platform_silence_of_two_targets, forGoodEndsAtTheDeadline)
{
    static constexpr milliseconds deadline{3000};
    std::vector<silent_request> requests = repeatableRequests(longSilence);
    for (silent_request &request : requests) {
        request.planned.isForGood = true;
    }
    play(requests, static_cast<int>(deadline.count()));
    steady_clock::time_point last;
    for (std::future<timed_answer> &answer : m_answers) {
        const timed_answer result = answer.get();
        EXPECT_GE(result.endedAt - result.sentAt, deadline - milliseconds(100));
        EXPECT_LE(result.endedAt - result.sentAt, deadline + milliseconds(500));
        EXPECT_NE(result.answer.status, 503);
        last = std::max(last, result.endedAt);
    }
    std::this_thread::sleep_until(last + closeTime);
    expectAllClosed(requests, last + closeTime);
    expectNothingQuarantined();
}

TEST_F(platform_silence_of_two_targets, outlastsTheEndOfEitherConnection)
{
    const std::vector<silent_request> requests = repeatableRequests(longSilence);
    play(requests);
    m_world.call([&] {
        m_world.target("e1").crash();
        m_world.target("p2").crash();
    });
    for (std::size_t index = 0; index < requests.size(); ++index) {
        const silent_request &request = requests[index];
        SCOPED_TRACE(request.id);
        expectWhole(request.route, m_answers[index].get().answer, {firstOf(request.route), secondOf(request.route)});
    }
}

/// The second target has read nothing when the first run may be given up, and refuses later.
TEST_F(platform_silence_of_two_targets, beforeALateRefusalCutsNoAnswer)
{
    const std::vector<silent_request> requests = repeatableRequests(longSilence);
    start();
    for (const char *id : {"e1", "p1"}) {
        planSilences(id, requests);
    }
    m_answers = askAll(requests);
    ASSERT_TRUE(waitForRuns(requests));
    for (const target_options &options : {engine("e2"), plain("p2")}) {
        m_world.addTarget(options);
        m_world.call([&] {
            m_world.target(options.id).setFault(target_fault::Refuse);
            m_world.target(options.id).fallSilent(2 * takeoverTime);
        });
    }
    for (std::size_t index = 0; index < requests.size(); ++index) {
        const silent_request &request = requests[index];
        SCOPED_TRACE(request.id);
        expectWhole(request.route, m_answers[index].get().answer, {firstOf(request.route)});
        EXPECT_TRUE(runsAt(secondOf(request.route), request.id).empty());
    }
}

TEST_F(platform_silence_of_two_targets, besideStopSignalCutsNoAnswer)
{
    const std::vector<silent_request> requests = repeatableRequests(shortSilence);
    play(requests);
    m_world.vm(m_vm).send(SIGTERM);
    for (std::size_t index = 0; index < requests.size(); ++index) {
        const silent_request &request = requests[index];
        SCOPED_TRACE(request.id);
        expectWhole(request.route, m_answers[index].get().answer, {firstOf(request.route), secondOf(request.route)});
    }
    EXPECT_EQ(m_world.vm(m_vm).waitForExit(), 0);
}

/// The request is repeated by its callers until it has been at every target.

} // namespace fuchsialoom
