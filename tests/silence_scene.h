/// \file
/// A VM and targets that fall silent in their answers as planned, and go on.
#pragma once

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
#include <utility>
#include <vector>

namespace fuchsialoom
{

using std::chrono::steady_clock;

inline constexpr int events = 4;
inline constexpr milliseconds eventPause{100};
inline constexpr milliseconds shortSilence{1500};
inline constexpr milliseconds longSilence{3000};
/// Another target is tried after about this long without a byte.
inline constexpr milliseconds takeoverTime{1000};
inline constexpr milliseconds takeoverSlack{500};

struct route_kind
{
    std::string name;
    bool isStream = false;
    bool isRepeatable = false;
};

inline const std::vector<route_kind> routeKinds{{"chat", true, true}, {"once", true, false}, {"get", false, true}, {"post", false, false}};

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

inline std::string wholeStream()
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

inline std::vector<silent_request> silentRequests(milliseconds length)
{
    return silentRequests(length, [](const route_kind &) {
        return true;
    });
}

inline std::vector<silent_request> repeatableRequests(milliseconds length)
{
    return silentRequests(length, [](const route_kind &route) {
        return route.isRepeatable;
    });
}

/// Of services "models" and "plain"; "models-b" and "plain-b" are served by other targets and get nothing yet.
inline nlohmann::json configurationOf(int version)
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

inline void moveRoutes(nlohmann::json &configuration)
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

    /// The runs of a stream, in milliseconds from \p begin.
    std::string timesOf(const std::string &id, steady_clock::time_point begin)
    {
        const auto since = [begin](steady_clock::time_point at) {
            return std::to_string(std::chrono::duration_cast<milliseconds>(at - begin).count());
        };
        std::string text;
        for (const char *target : {"e1", "e2"}) {
            for (const target_run &run : runsAt(target, id)) {
                text += std::string(target) + " from " + since(run.startedAt) + " to " + (run.endedAt ? since(*run.endedAt) : "?") + "; ";
            }
        }
        return text;
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

} // namespace fuchsialoom
