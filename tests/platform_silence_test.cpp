/// \file
/// The only target falls silent in its answers and goes on, as callers see it, alone and beside planned work.
#include "silence_scene.h"

namespace fuchsialoom
{

namespace
{

enum class disturbance {
    None,
    Hangup,
    StopBefore,
    StopDuring,
    MovedRoute,
    DroppedRoute,
    RemovedService,
    ShorterTimeout,
    SmallerLimits,
    LeavingTarget,
    RemovedTarget,
};

const std::vector<std::pair<disturbance, std::string>> disturbances{
    {disturbance::None, "Alone"},
    {disturbance::Hangup, "BesideHangup"},
    {disturbance::StopBefore, "AfterStopSignal"},
    {disturbance::StopDuring, "BeforeStopSignal"},
    {disturbance::MovedRoute, "BesideMovedRoute"},
    {disturbance::DroppedRoute, "BesideDroppedRoute"},
    {disturbance::RemovedService, "BesideRemovedService"},
    {disturbance::ShorterTimeout, "BesideShorterTimeout"},
    {disturbance::SmallerLimits, "BesideSmallerLimits"},
    {disturbance::LeavingTarget, "BesideLeavingTarget"},
    {disturbance::RemovedTarget, "BesideRemovedTarget"},
};

class platform_silence_of_only_target : public platform_silence, public testing::WithParamInterface<std::tuple<int, bool>>
{
protected:
    void disturb(disturbance what)
    {
        nlohmann::json configuration = configurationOf(2);
        switch (what) {
        case disturbance::None:
            return;
        case disturbance::Hangup:
            m_world.vm(m_vm).send(SIGHUP);
            return;
        case disturbance::StopBefore:
        case disturbance::StopDuring:
            m_world.vm(m_vm).send(SIGTERM);
            return;
        case disturbance::MovedRoute:
            moveRoutes(configuration);
            break;
        case disturbance::DroppedRoute:
            configuration["routes"].clear();
            break;
        case disturbance::RemovedService:
            moveRoutes(configuration);
            std::erase_if(configuration["services"].get_ref<nlohmann::json::array_t &>(), [](const nlohmann::json &service) {
                return !service["name"].get<std::string>().ends_with("-b");
            });
            break;
        case disturbance::ShorterTimeout:
            for (nlohmann::json &route : configuration["routes"]) {
                route["timeout_ms"] = 4000;
            }
            break;
        case disturbance::SmallerLimits:
            configuration["limits"] = {
                {"max_header_bytes", 64}, {"max_body_bytes", 1}, {"header_timeout_ms", 300}, {"idle_timeout_ms", 300}};
            break;
        case disturbance::LeavingTarget:
            m_world.listTarget("e1", "draining");
            m_world.listTarget("p1", "draining");
            std::this_thread::sleep_for(std::chrono::milliseconds(300));
            [[fallthrough]];
        case disturbance::RemovedTarget:
            m_world.listTarget("e1", "");
            m_world.listTarget("p1", "");
            return;
        }
        m_world.configure(configuration);
    }
};

} // namespace

TEST_P(platform_silence_of_only_target, cutsNoAnswerAndStartsNoSecondRun)
{
    const disturbance what = disturbances.at(static_cast<std::size_t>(std::get<0>(GetParam()))).first;
    const bool areRepeatable = std::get<1>(GetParam());
    start();
    m_world.addTarget(engine("e9", "models-b"));
    m_world.addTarget(plain("p9", "plain-b"));
    const std::vector<silent_request> requests = silentRequests(shortSilence, [&](const route_kind &route) {
        return route.isRepeatable == areRepeatable;
    });
    planSilences("e1", requests);
    planSilences("p1", requests);
    std::vector<std::future<timed_answer>> answers = askAll(requests);
    ASSERT_TRUE(waitForRuns(requests));
    if (what != disturbance::StopBefore) {
        std::this_thread::sleep_for(std::chrono::milliseconds(500));
    }
    disturb(what);
    for (std::size_t index = 0; index < requests.size(); ++index) {
        expectWholeInOneRun(requests[index], answers[index].get().answer);
    }
    expectNothingQuarantined();
    if (what == disturbance::StopBefore || what == disturbance::StopDuring) {
        EXPECT_EQ(m_world.vm(m_vm).waitForExit(), 0);
    }
}

INSTANTIATE_TEST_SUITE_P(silence,
                         platform_silence_of_only_target,
                         testing::Combine(testing::Range(0, static_cast<int>(disturbances.size())), testing::Bool()),
                         [](const testing::TestParamInfo<std::tuple<int, bool>> &info) {
                             return (std::get<1>(info.param) ? "repeatable" : "once")
                                 + disturbances.at(static_cast<std::size_t>(std::get<0>(info.param))).second;
                         });

/// Each request that reaches a stopping VM is answered whole or refused without a run.
TEST_F(platform_silence, cutsNoRequestThatComesAfterTheStopSignal)
{
    start();
    const std::vector<silent_request> requests = silentRequests(shortSilence);
    planSilences("e1", requests);
    planSilences("p1", requests);
    std::vector<asio::ip::tcp::socket> sockets;
    for (std::size_t index = 0; index < requests.size(); ++index) {
        sockets.push_back(m_world.connect(m_vm));
        const platform_request first = requestFor(requests[index].route, "first-" + std::to_string(index));
        platform_world::sendOn(sockets.back(), first);
        ASSERT_TRUE(platform_world::receive(sockets.back()).complete);
    }
    m_world.vm(m_vm).send(SIGTERM);
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    std::vector<std::future<timed_answer>> answers;
    for (std::size_t index = 0; index < requests.size(); ++index) {
        const steady_clock::time_point sentAt = steady_clock::now();
        platform_world::sendOn(sockets[index], requestFor(requests[index].route, requests[index].id));
        answers.push_back(receiveOn(std::move(sockets[index]), sentAt));
    }
    for (std::size_t index = 0; index < requests.size(); ++index) {
        const silent_request &request = requests[index];
        const platform_answer answer = answers[index].get().answer;
        if (answer.status == 503) {
            SCOPED_TRACE(request.id);
            EXPECT_TRUE(answer.complete);
            EXPECT_TRUE(runsAt(firstOf(request.route), request.id).empty());
        } else {
            expectWholeInOneRun(request, answer);
        }
    }
    EXPECT_EQ(m_world.vm(m_vm).waitForExit(), 0);
}

/// The whole target is silent, on all connections, before it has read some of the requests.
TEST_F(platform_silence, ofAWholeOnlyTargetCutsNoAnswer)
{
    start();
    const std::vector<silent_request> requests = silentRequests(shortSilence);
    std::vector<std::future<timed_answer>> answers;
    std::vector<std::string> ids;
    const auto askEach = [&](const std::string &prefix) {
        for (const route_kind &route : routeKinds) {
            ids.push_back(prefix + route.name);
            answers.push_back(ask(route, ids.back()));
        }
    };
    askEach("running-");
    std::this_thread::sleep_for(eventPause * 3 / 2);
    m_world.call([&] {
        m_world.target("e1").fallSilent(longSilence);
        m_world.target("p1").fallSilent(longSilence);
    });
    askEach("new-");
    for (std::size_t index = 0; index < answers.size(); ++index) {
        SCOPED_TRACE(ids[index]);
        const route_kind &route = routeKinds[index % routeKinds.size()];
        expectWhole(route, answers[index].get().answer, {firstOf(route)});
        EXPECT_EQ(runsAt(firstOf(route), ids[index]).size(), 1U);
    }
    expectNothingQuarantined();
}

/// A target that says nothing more is given up at the deadline, and not before.
TEST_F(platform_silence, forGoodEndsAtTheDeadline)
{
    static constexpr milliseconds deadline{2500};
    start();
    std::vector<silent_request> requests = silentRequests(shortSilence);
    for (silent_request &request : requests) {
        request.planned.isForGood = true;
    }
    planSilences("e1", requests);
    planSilences("p1", requests);
    std::vector<std::future<timed_answer>> answers = askAll(requests, static_cast<int>(deadline.count()));
    for (std::size_t index = 0; index < requests.size(); ++index) {
        SCOPED_TRACE(requests[index].id);
        const timed_answer result = answers[index].get();
        const bool isStarted = requests[index].route.isStream && requests[index].planned.event == 3
            && requests[index].planned.place != silence_place::BeforeHead;
        EXPECT_TRUE(isStarted ? result.answer.status == 200 : result.answer.status == 502 || result.answer.status == 504)
            << result.answer.status;
        EXPECT_EQ(result.answer.complete, !isStarted);
        EXPECT_GE(result.endedAt - result.sentAt, deadline - milliseconds(100));
        EXPECT_LE(result.endedAt - result.sentAt, deadline + milliseconds(500));
        EXPECT_EQ(runsAt(firstOf(requests[index].route), requests[index].id).size(), 1U);
    }
}

TEST_F(platform_silence, makesNoRequestSuspect)
{
    static constexpr int repeats = 6;
    start();
    for (const char *id : {"e2", "e3"}) {
        m_world.addTarget(engine(id));
    }
    for (const char *id : {"p2", "p3"}) {
        m_world.addTarget(plain(id));
    }
    ASSERT_TRUE(isListed("e3") && isListed("p3"));
    for (const char *id : {"e1", "e2", "e3", "p1", "p2", "p3"}) {
        m_world.call([&] {
            m_world.target(id).setSilences([](const std::string &, bool) {
                return silence{.place = silence_place::BeforeHead, .length = shortSilence};
            });
        });
    }
    for (int round = 0; round < 2; ++round) {
        std::vector<std::future<timed_answer>> answers;
        for (int repeat = 0; repeat < repeats; ++repeat) {
            for (const route_kind &route : routeKinds) {
                platform_request request = requestFor(route, route.name + std::to_string(round) + "-" + std::to_string(repeat));
                request.path = "/" + route.name + "/same";
                answers.push_back(receiveOn(m_world.send(m_vm, request), steady_clock::now()));
            }
        }
        for (std::size_t index = 0; index < answers.size(); ++index) {
            const route_kind &route = routeKinds[index % routeKinds.size()];
            SCOPED_TRACE(route.name);
            expectWhole(route, answers[index].get().answer, {"p1", "p2", "p3"});
        }
    }
    expectNothingQuarantined();
}

TEST_F(platform_silence, isForgottenWhenTheTargetSpeaksAgain)
{
    static constexpr int later = 20;
    start();
    const std::vector<silent_request> requests = silentRequests(shortSilence, [](const route_kind &route) {
        return !route.isRepeatable;
    });
    planSilences("e1", requests);
    planSilences("p1", requests);
    std::vector<std::future<timed_answer>> answers = askAll(requests);
    ASSERT_TRUE(waitForRuns(requests));
    m_world.addTarget(engine("e2"));
    m_world.addTarget(plain("p2"));
    for (std::size_t index = 0; index < requests.size(); ++index) {
        expectWholeInOneRun(requests[index], answers[index].get().answer);
    }
    for (const route_kind &route : routeKinds) {
        SCOPED_TRACE(route.name);
        std::vector<std::future<timed_answer>> laterAnswers;
        laterAnswers.reserve(later);
        for (int request = 0; request < later; ++request) {
            laterAnswers.push_back(ask(route, "later-" + route.name + std::to_string(request)));
        }
        std::size_t atFirst = 0;
        for (int request = 0; request < later; ++request) {
            EXPECT_EQ(laterAnswers[static_cast<std::size_t>(request)].get().answer.status, 200);
            atFirst += runsAt(firstOf(route), "later-" + route.name + std::to_string(request)).size();
        }
        EXPECT_GT(atFirst, 0U) << "the target is still avoided";
    }
}

} // namespace fuchsialoom
