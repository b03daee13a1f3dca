/// \file
/// Targets that fall silent in their answers and go on, as callers see it.
#include "platform_world.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <future>
#include <optional>
#include <string>
#include <thread>
#include <tuple>
#include <vector>

namespace fuchsialoom
{

namespace
{

using std::chrono::steady_clock;

constexpr int events = 4;
constexpr milliseconds eventPause{100};
constexpr milliseconds shortSilence{1500};
constexpr milliseconds longSilence{3000};
/// Another target is tried after about this long without a byte.
constexpr milliseconds takeoverTime{1000};
constexpr milliseconds takeoverSlack{500};

struct route_kind
{
    std::string name;
    bool isStream = false;
    bool isRepeatable = false;
};

const std::vector<route_kind> routeKinds{{"chat", true, true}, {"once", true, false}, {"get", false, true}, {"post", false, false}};

struct silent_request
{
    route_kind route;
    std::string id;
    silence planned;
};

struct timed_answer
{
    platform_answer answer;
    steady_clock::time_point sentAt;
    steady_clock::time_point endedAt;
};

std::string wholeStream()
{
    std::string text;
    for (int event = 1; event <= events; ++event) {
        text += "id: " + std::to_string(event) + "\ndata: token-" + std::to_string(event) + "\n\n";
    }
    return text;
}

/// One request for each place of a silence on each route that \p wanted selects.
template<typename Wanted>
std::vector<silent_request> silentRequests(milliseconds length, Wanted wanted)
{
    const std::vector<std::pair<std::string, silence>> streamPlaces{
        {"beforeHead", {.place = silence_place::BeforeHead, .length = length}},
        {"beforeFirstEvent", {.place = silence_place::BetweenEvents, .length = length, .event = 1}},
        {"inFirstEvent", {.place = silence_place::InEvent, .length = length, .event = 1}},
        {"betweenEvents", {.place = silence_place::BetweenEvents, .length = length, .event = 3}},
        {"inEvent", {.place = silence_place::InEvent, .length = length, .event = 3}},
    };
    const std::vector<std::pair<std::string, silence>> wholePlaces{
        {"beforeHead", {.place = silence_place::BeforeHead, .length = length}},
        {"inBody", {.place = silence_place::InBody, .length = length}},
    };
    std::vector<silent_request> requests;
    for (const route_kind &route : routeKinds) {
        if (wanted(route)) {
            for (const auto &[place, planned] : route.isStream ? streamPlaces : wholePlaces) {
                requests.push_back({route, route.name + "-" + place, planned});
            }
        }
    }
    return requests;
}

std::vector<silent_request> silentRequests(milliseconds length)
{
    return silentRequests(length, [](const route_kind &) {
        return true;
    });
}

std::vector<silent_request> repeatableRequests(milliseconds length)
{
    return silentRequests(length, [](const route_kind &route) {
        return route.isRepeatable;
    });
}

/// Of services "models" and "plain"; "models-b" and "plain-b" are served by other targets and get nothing yet.
nlohmann::json configurationOf(int version)
{
    nlohmann::json configuration = platform_world::configurationOf(version, 2, true);
    nlohmann::json &routes = configuration["routes"];
    nlohmann::json once = routes[0];
    once["name"] = "r/once/";
    once["prefix"] = "/once/";
    once["resumable"] = false;
    routes.push_back(once);
    for (nlohmann::json &route : routes) {
        route["attempts"] = 2;
        route["slo_ms"] = 300;
        if (route["kind"] == "stream") {
            route["gap_aim_ms"] = 250;
        }
    }
    for (nlohmann::json service : std::vector<nlohmann::json>(configuration["services"].begin(), configuration["services"].end())) {
        service["name"] = service["name"].get<std::string>() + "-b";
        configuration["services"].push_back(service);
    }
    return configuration;
}

void moveRoutes(nlohmann::json &configuration)
{
    for (nlohmann::json &route : configuration["routes"]) {
        route["service"] = route["service"].get<std::string>() + "-b";
    }
}

class platform_silence : public testing::Test
{
protected:
    target_options engine(const std::string &id, const std::string &service = "models") const
    {
        return {.id = id, .service = service, .models = {"m1", "m2"}, .events = events, .eventPause = eventPause, .slots = m_slots};
    }

    target_options plain(const std::string &id, const std::string &service = "plain") const
    {
        return {.id = id, .service = service, .isEngine = false, .slots = m_slots};
    }

    /// A VM and the targets "e1" and "p1".
    void start()
    {
        m_world.configure(configurationOf(1));
        m_world.addTarget(engine("e1"));
        m_world.addTarget(plain("p1"));
        m_vm = m_world.startVm();
        ASSERT_TRUE(m_world.waitReady(m_vm));
        ASSERT_TRUE(isListed("e1") && isListed("p1"));
    }

    bool isListed(const std::string &id, const std::string &state = "")
    {
        return waitFor([&] {
            const std::string output = m_world.vm(m_vm).wholeOutput();
            const std::size_t at = output.find("event=target-listed target=" + id + " ");
            return at != std::string::npos && output.find("state=" + state, at) != std::string::npos;
        });
    }

    void planSilences(const std::string &target, const std::vector<silent_request> &requests)
    {
        m_world.call([&] {
            m_world.target(target).setSilences([requests](const std::string &id, bool) -> std::optional<silence> {
                for (const silent_request &request : requests) {
                    if (request.id == id) {
                        return request.planned;
                    }
                }
                return std::nullopt;
            });
        });
    }

    static platform_request requestFor(const route_kind &route, const std::string &id, int deadlineMs = 8000)
    {
        return {.path = "/" + route.name + "/" + id, .id = id, .model = route.isStream ? "m1" : "", .deadlineMs = deadlineMs};
    }

    std::future<timed_answer> ask(const route_kind &route, const std::string &id, int deadlineMs = 8000)
    {
        const steady_clock::time_point sentAt = steady_clock::now();
        asio::ip::tcp::socket socket = m_world.send(m_vm, requestFor(route, id, deadlineMs));
        return receiveOn(std::move(socket), sentAt);
    }

    static std::future<timed_answer> receiveOn(asio::ip::tcp::socket socket, steady_clock::time_point sentAt)
    {
        return std::async(std::launch::async, [socket = std::move(socket), sentAt]() mutable {
            timed_answer result{platform_world::receive(socket), sentAt, {}};
            result.endedAt = steady_clock::now();
            return result;
        });
    }

    std::vector<std::future<timed_answer>> askAll(const std::vector<silent_request> &requests, int deadlineMs = 8000)
    {
        std::vector<std::future<timed_answer>> answers;
        answers.reserve(requests.size());
        for (const silent_request &request : requests) {
            answers.push_back(ask(request.route, request.id, deadlineMs));
        }
        return answers;
    }

    std::vector<target_run> runsAt(const std::string &target, const std::string &id)
    {
        std::vector<target_run> runs = m_world.call([&] {
            return m_world.target(target).runRecords();
        });
        std::erase_if(runs, [&](const target_run &run) {
            return run.requestId != id;
        });
        return runs;
    }

    static std::string firstOf(const route_kind &route)
    {
        return route.isStream ? "e1" : "p1";
    }
    static std::string secondOf(const route_kind &route)
    {
        return route.isStream ? "e2" : "p2";
    }

    bool waitForRuns(const std::vector<silent_request> &requests)
    {
        return waitFor([&] {
            return std::ranges::all_of(requests, [&](const silent_request &request) {
                return !runsAt(firstOf(request.route), request.id).empty();
            });
        });
    }

    void expectWhole(const route_kind &route, const platform_answer &answer, const std::vector<std::string> &targets)
    {
        EXPECT_EQ(answer.status, 200);
        EXPECT_TRUE(answer.complete);
        if (route.isStream) {
            EXPECT_EQ(answer.body, wholeStream());
        } else {
            EXPECT_TRUE(std::ranges::any_of(targets, [&](const std::string &target) {
                return answer.body == "answer of " + target;
            })) << answer.body;
        }
    }

    /// Of the first target, in one run.
    void expectWholeInOneRun(const silent_request &request, const platform_answer &answer)
    {
        SCOPED_TRACE(request.id);
        const std::string target = firstOf(request.route);
        expectWhole(request.route, answer, {target});
        const std::vector<target_run> runs = runsAt(target, request.id);
        EXPECT_EQ(runs.size(), 1U);
        for (const target_run &run : runs) {
            EXPECT_TRUE(run.silentUntil) << "closed in its silence";
        }
    }

    int mostRunsAtOnce(const std::string &target)
    {
        std::vector<std::pair<steady_clock::time_point, int>> changes;
        const std::vector<target_run> runs = m_world.call([&] {
            return m_world.target(target).runRecords();
        });
        for (const target_run &run : runs) {
            changes.emplace_back(run.startedAt, 1);
            if (run.endedAt || run.abandonedAt) {
                changes.emplace_back(std::min(run.endedAt.value_or(steady_clock::time_point::max()),
                                              run.abandonedAt.value_or(steady_clock::time_point::max())),
                                     -1);
            }
        }
        std::ranges::sort(changes);
        int open = 0;
        int most = 0;
        for (const auto &[at, change] : changes) {
            open += change;
            most = std::max(most, open);
        }
        return most;
    }

    void expectNothingQuarantined()
    {
        const std::string output = m_world.vm(m_vm).wholeOutput();
        for (const std::string event :
             {"event=request-accused", "event=trial-claimed", "event=target-died", "reason=quarantined", "reason=suspected"}) {
            EXPECT_EQ(output.find(event), std::string::npos) << event;
        }
    }

    platform_world m_world;
    std::string m_vm;
    int m_slots = 20; ///< of each target
};

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
        EXPECT_LE(result.endedAt - result.sentAt, events * eventPause + takeoverSlack);
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
