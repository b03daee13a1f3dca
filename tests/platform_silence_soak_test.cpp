/// \file
/// Callers on kept connections, targets with silences drawn from a seed, and a drawn series of overlapping disturbances.
/// SILENCE_SOAK_SEED and SILENCE_SOAK_SEEDS choose the first seed and the number of seeds, SILENCE_SOAK_SECONDS
/// the length of each, SILENCE_SOAK_PERCENT the share of runs with a silence (0: none at all), and SILENCE_SOAK_LOGS a folder
/// for the VMs' logs of seeds that fail.
#include "platform_world.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <mutex>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace fuchsialoom
{

namespace
{

using std::chrono::steady_clock;

constexpr std::size_t vmCount = 3;
constexpr std::size_t callersPerVm = 6;
constexpr int events = 16;
constexpr int attempts = 2;
constexpr milliseconds eventPause{60};
/// Of the platform: a stopping VM is killed after this long, and excused for what its targets finish in the last sixth
/// of it, for requests that were sent so soon after the signal.
constexpr milliseconds grace{8000};
constexpr milliseconds excusedFrom = grace * 5 / 6;
constexpr milliseconds excusedRequests{3000};
/// Of the platform: a configuration is in force everywhere after this long.
constexpr milliseconds applyTime{2000};
/// Of the platform: a request that a VM hasn't passed on may end with its connection so soon after its last byte.
constexpr milliseconds lossSlack{200};
/// An answer that the deadline explains comes no sooner than this before it: VMs and targets subtract the way.
constexpr milliseconds deadlineSlack{100};
constexpr milliseconds fullTimeout{8000};
constexpr milliseconds shorterTimeout{5000};
constexpr std::uint64_t silentPercent = 25;
constexpr double forGoodShare = 0.05;

std::uint64_t numberFrom(const char *variable, std::uint64_t otherwise)
{
    const char *text = std::getenv(variable);
    return text ? std::strtoull(text, nullptr, 10) : otherwise;
}

struct soak_route
{
    std::string name;
    bool isStream = false;
    bool isRepeatable = false;
};

const std::array<soak_route, 4> soakRoutes{{{"chat", true, true}, {"once", true, false}, {"get", false, true}, {"post", false, false}}};

struct soak_result
{
    std::string id;
    std::string vm;
    const soak_route *route = nullptr;
    milliseconds deadline{0};
    platform_answer answer;
    steady_clock::time_point sentAt;
    steady_clock::time_point endedAt;
};

struct time_span
{
    steady_clock::time_point from;
    steady_clock::time_point until;
};

class silence_soak
{
public:
    explicit silence_soak(std::uint64_t seed)
        : m_seed(seed)
        , m_random(seed)
    {
    }

    void play(std::chrono::seconds length)
    {
        m_begunAt = steady_clock::now();
        m_world.configure(configuration());
        for (const char *service : {"models", "models", "models-b"}) {
            addTarget(service, true);
        }
        for (const char *service : {"plain", "plain", "plain-b"}) {
            addTarget(service, false);
        }
        for (std::size_t vm = 0; vm < vmCount; ++vm) {
            m_vms.push_back(m_world.startVm());
        }
        for (const std::string &vm : m_vms) {
            ASSERT_TRUE(m_world.waitReady(vm)) << m_world.vm(vm).wholeOutput();
        }
        std::this_thread::sleep_for(std::chrono::seconds(1)); // the VMs find each other
        m_end = steady_clock::now() + length;
        std::vector<std::thread> callers;
        for (std::size_t caller = 0; caller < vmCount * callersPerVm; ++caller) {
            callers.emplace_back([this, caller] {
                call(caller);
            });
        }
        operate();
        for (std::thread &caller : callers) {
            caller.join();
        }
        judge();
        if (testing::Test::HasFailure()) {
            writeLogs();
        }
    }

private:
    struct stopping_vm
    {
        std::string vm;
        steady_clock::time_point at;
    };

    struct leaving_target
    {
        std::string id;
        std::string service;
        bool isEngine = false;
        steady_clock::time_point removedAt;
    };

    nlohmann::json configuration()
    {
        nlohmann::json made = platform_world::configurationOf(++m_version, attempts, true);
        nlohmann::json &routes = made["routes"];
        nlohmann::json once = routes[0];
        once["name"] = "r/once/";
        once["prefix"] = "/once/";
        once["resumable"] = false;
        routes.push_back(once);
        for (nlohmann::json &route : routes) {
            route["attempts"] = attempts;
            route["timeout_ms"] = (m_isShorter ? shorterTimeout : fullTimeout).count();
            if (m_moved.contains(route["prefix"].get<std::string>())) {
                route["service"] = route["service"].get<std::string>() + "-b";
            }
        }
        std::erase_if(routes.get_ref<nlohmann::json::array_t &>(), [&](const nlohmann::json &route) {
            return m_dropped.contains(route["prefix"].get<std::string>());
        });
        const nlohmann::json::array_t services = made["services"];
        for (nlohmann::json service : services) {
            service["name"] = service["name"].get<std::string>() + "-b";
            made["services"].push_back(service);
        }
        std::erase_if(made["services"].get_ref<nlohmann::json::array_t &>(), [&](const nlohmann::json &service) {
            return m_removed.contains(service["name"].get<std::string>());
        });
        if (m_isSmaller) {
            made["limits"] = {{"max_header_bytes", 1000}, {"max_body_bytes", 10}, {"header_timeout_ms", 800}, {"idle_timeout_ms", 500}};
        }
        return made;
    }

    void addTarget(const std::string &service, bool isEngine)
    {
        const std::string id = (isEngine ? "e" : "p") + std::to_string(++m_targetCount);
        target_options options{.id = id, .service = service, .isEngine = isEngine, .events = events, .eventPause = eventPause};
        if (isEngine) {
            options.models = {"m1", "m2"};
        }
        options.isUnframed = m_random() % 4 == 0;
        options.slots = 12;
        m_world.addTarget(options);
        m_world.call([&] {
            m_world.target(id).setSilences(drawnSilences({m_seed, m_silentShare, forGoodShare, events}, id));
        });
        m_targets.push_back({id, service, isEngine, {}});
        m_allTargets.push_back(id);
    }

    std::size_t draw(std::size_t below)
    {
        return m_random() % below;
    }

    void note(const std::string &what)
    {
        const auto at = std::chrono::duration_cast<milliseconds>(steady_clock::now() - m_begunAt).count();
        m_story << at << " ms  " << what << '\n';
    }

    void write(const std::string &what)
    {
        note("configuration " + std::to_string(m_version + 1) + ": " + what);
        m_world.configure(configuration());
    }

    void operate()
    {
        while (steady_clock::now() < m_end) {
            disturb();
            const auto until = steady_clock::now() + milliseconds(200 + draw(900));
            while (steady_clock::now() < until) {
                std::this_thread::sleep_for(milliseconds(20));
                continueStops();
                continueLeaving();
            }
        }
        while (!m_stopping.empty()) {
            std::this_thread::sleep_for(milliseconds(20));
            continueStops();
        }
    }

    void disturb()
    {
        if (!m_dropped.empty()) {
            for (const std::string &prefix : m_dropped) {
                m_drops[prefix].back().until = steady_clock::now() + applyTime;
            }
            m_dropped.clear();
            write("adds the dropped route");
            return;
        }
        switch (draw(9)) {
        case 0:
        case 1:
            if (m_stopping.size() + 1 < vmCount) {
                stopOne();
            }
            return;
        case 2: {
            const std::string &vm = m_vms[draw(vmCount)];
            note("SIGHUP " + vm);
            if (!m_world.vm(vm).ended()) {
                m_world.vm(vm).send(SIGHUP);
            }
            return;
        }
        case 3: {
            const std::string prefix = prefixOf(soakRoutes[draw(soakRoutes.size())]);
            if (!m_moved.erase(prefix)) {
                m_moved.insert(prefix);
            }
            m_removed.clear();
            write("moves " + prefix);
            return;
        }
        case 4: {
            const std::string prefix = prefixOf(soakRoutes[draw(soakRoutes.size())]);
            m_dropped.insert(prefix);
            m_drops[prefix].push_back({steady_clock::now(), steady_clock::time_point::max()});
            write("drops " + prefix);
            return;
        }
        case 5:
            m_isShorter = !m_isShorter;
            if (m_isShorter) {
                m_shorterSpans.push_back({steady_clock::now(), steady_clock::time_point::max()});
            } else {
                m_shorterSpans.back().until = steady_clock::now() + applyTime;
            }
            write("time-outs");
            return;
        case 6:
            m_isSmaller = !m_isSmaller;
            write("limits");
            return;
        case 7:
            removeOrAddService();
            return;
        default:
            break;
        }
        disturbTarget();
    }

    static std::string prefixOf(const soak_route &route)
    {
        return "/" + route.name + "/";
    }

    void removeOrAddService()
    {
        if (!m_removed.empty()) {
            m_removed.clear();
            write("adds the services");
            return;
        }
        m_removed = {"models", "plain"};
        for (const soak_route &route : soakRoutes) {
            m_moved.insert(prefixOf(route));
        }
        m_moved.insert("/open/");
        write("removes services");
    }

    void stopOne()
    {
        const std::string &vm = m_vms[draw(vmCount)];
        const bool isStopping = std::ranges::any_of(m_stopping, [&](const stopping_vm &one) {
            return one.vm == vm;
        });
        if (isStopping) {
            return;
        }
        note("SIGTERM " + vm);
        m_stopping.push_back({vm, steady_clock::now()});
        m_stops.push_back(m_stopping.back());
        m_world.vm(vm).send(SIGTERM);
    }

    /// Restarts the VMs that have ended; kills those that have used up their time.
    void continueStops()
    {
        std::erase_if(m_stopping, [&](const stopping_vm &one) {
            if (!m_world.vm(one.vm).ended()) {
                if (steady_clock::now() < one.at + grace) {
                    return false;
                }
                ADD_FAILURE() << one.vm << " hasn't ended in its grace";
                m_world.vm(one.vm).kill();
            }
            keepLog(one.vm);
            m_world.restartVm(one.vm);
            note("restarts " + one.vm);
            return true;
        });
    }

    void disturbTarget()
    {
        if (!m_targets.empty() && draw(4) == 0) {
            const std::string id = m_targets[draw(m_targets.size())].id;
            note(id + " breaks off");
            m_world.call([&] {
                m_world.target(id).breakRuns();
            });
            return;
        }
        if (!m_targets.empty() && m_silentShare > 0 && draw(2) == 0) {
            const std::string id = m_targets[draw(m_targets.size())].id;
            const milliseconds length(1000 + draw(2000));
            note(id + " is silent for " + std::to_string(length.count()) + " ms");
            m_world.call([&] {
                m_world.target(id).fallSilent(length);
            });
            return;
        }
        if (m_targets.empty()) {
            return;
        }
        const std::size_t chosen = draw(m_targets.size());
        leaving_target one = m_targets[chosen];
        note(one.id + " leaves");
        m_targets.erase(m_targets.begin() + static_cast<std::ptrdiff_t>(chosen));
        one.removedAt = steady_clock::now() + milliseconds(draw(2000));
        m_world.listTarget(one.id, "draining");
        m_leaving.push_back(one);
    }

    void continueLeaving()
    {
        std::erase_if(m_leaving, [&](const leaving_target &one) {
            if (steady_clock::now() < one.removedAt) {
                return false;
            }
            note(one.id + " is removed");
            m_world.listTarget(one.id, "");
            addTarget(one.service, one.isEngine);
            return true;
        });
    }

    void call(std::size_t caller)
    {
        std::mt19937_64 random(m_seed * 1000 + caller);
        std::string vm;
        std::optional<asio::ip::tcp::socket> socket;
        for (int number = 0; steady_clock::now() < m_end; ++number) {
            soak_result result;
            result.route = &soakRoutes[random() % soakRoutes.size()];
            result.id = "c" + std::to_string(caller) + "-" + std::to_string(number);
            result.deadline = milliseconds(4500 + random() % 3500);
            const milliseconds pause(random() % 150);
            try {
                if (!socket) {
                    vm = m_vms[random() % vmCount];
                    socket = m_world.connect(vm);
                }
                platform_world::sendOn(*socket, requestFor(result));
            } catch (const std::system_error &) {
                socket.reset(); // not read by anyone
                std::this_thread::sleep_for(pause);
                continue;
            }
            result.vm = vm;
            result.sentAt = steady_clock::now();
            result.answer = platform_world::receive(*socket);
            result.endedAt = steady_clock::now();
            const bool isKept = result.answer.complete && result.answer.field("Connection").empty()
                && !(result.answer.field("Content-Length").empty() && result.answer.field("Transfer-Encoding").empty());
            if (!isKept || random() % 20 == 0) {
                socket.reset();
            }
            const std::scoped_lock lock(m_mutex);
            m_results.push_back(std::move(result));
            if (random() % 3 == 0) {
                std::this_thread::sleep_for(pause);
            }
        }
    }

    static platform_request requestFor(const soak_result &result)
    {
        return {.path = prefixOf(*result.route) + result.id,
                .id = result.id,
                .model = result.route->isStream ? "m1" : "",
                .deadlineMs = static_cast<int>(result.deadline.count())};
    }

    void judge()
    {
        for (const std::string &id : m_allTargets) {
            const std::vector<target_run> runs = m_world.call([&] {
                return m_world.target(id).runRecords();
            });
            for (const target_run &run : runs) {
                m_runs[run.requestId].push_back({id, run});
            }
            const std::map<std::string, int> arrivals = m_world.call([&] {
                return m_world.target(id).arrivals();
            });
            for (const auto &[request, count] : arrivals) {
                m_arrivals[request] += count;
            }
        }
        std::map<int, int> statuses;
        for (const soak_result &result : m_results) {
            SCOPED_TRACE(textOf(result));
            statuses[result.answer.complete ? result.answer.status : -result.answer.status] += 1;
            judgeAnswer(result);
            judgeRuns(result);
        }
        for (const std::string &vm : m_vms) {
            keepLog(vm);
        }
        for (const std::string event : {"event=request-accused", "event=trial-claimed", "reason=quarantined", "reason=suspected"}) {
            EXPECT_EQ(m_logs.find(event), std::string::npos) << event;
        }
        std::ostringstream summary;
        for (const auto &[status, count] : statuses) {
            summary << ' ' << status << ": " << count;
        }
        std::cout << "seed " << m_seed << ", " << m_results.size() << " requests; cut ones have a negative status:" << summary.str()
                  << '\n';
        EXPECT_GT(statuses[200], 0);
    }

    /// Whether the deadline, or the time-out of a configuration that may have been in force, had come.
    bool isOverdue(const soak_result &result) const
    {
        const bool mayBeShorter = std::ranges::any_of(m_shorterSpans, [&](const time_span &span) {
            return span.from <= result.endedAt && result.sentAt <= span.until;
        });
        const milliseconds limit = std::min(result.deadline, mayBeShorter ? shorterTimeout : fullTimeout);
        return result.endedAt - result.sentAt >= limit - deadlineSlack;
    }

    /// Whether the VM ended while a target was still at work on a request that came early in its stop.
    bool isEndOfStop(const soak_result &result) const
    {
        return std::ranges::any_of(m_stops, [&](const stopping_vm &stop) {
            return stop.vm == result.vm && result.sentAt <= stop.at + excusedRequests && result.endedAt >= stop.at + excusedFrom
                && result.endedAt <= stop.at + grace + std::chrono::seconds(1);
        });
    }

    /// Whether none of its runs could answer: each broke off, or was closed after one that broke off had begun to answer.
    bool isBroken(const soak_result &result) const
    {
        const auto found = m_runs.find(result.id);
        if (found == m_runs.end()) {
            return false;
        }
        steady_clock::time_point answeredAt = steady_clock::time_point::max();
        for (const auto &[target, run] : found->second) {
            if (run.brokenAt && run.firstByteAt) {
                answeredAt = std::min(answeredAt, *run.firstByteAt);
            }
        }
        return std::ranges::all_of(found->second, [&](const auto &one) {
            return one.second.brokenAt || (one.second.abandonedAt && *one.second.abandonedAt >= answeredAt);
        });
    }

    bool isFailureExplained(const soak_result &result) const
    {
        return isOverdue(result) || isEndOfStop(result) || isBroken(result);
    }

    bool wasDropped(const soak_result &result) const
    {
        const auto found = m_drops.find(prefixOf(*result.route));
        return found != m_drops.end() && std::ranges::any_of(found->second, [&](const time_span &span) {
                   return span.from <= result.endedAt && result.sentAt <= span.until;
               });
    }

    bool hasArrived(const soak_result &result) const
    {
        return m_arrivals.contains(result.id);
    }

    bool hasRun(const soak_result &result) const
    {
        return m_runs.contains(result.id);
    }

    void judgeAnswer(const soak_result &result) const
    {
        const platform_answer &answer = result.answer;
        switch (answer.status) {
        case 0:
            EXPECT_TRUE(!hasArrived(result)) << "taken and closed without an answer";
            EXPECT_LE(result.endedAt - result.sentAt, lossSlack) << "closed without an answer";
            return;
        case 200:
            EXPECT_EQ(answer.field("X-Request-Id"), result.id);
            EXPECT_FALSE(answer.field("X-Answer-Stamp").empty());
            if (!answer.complete) {
                EXPECT_TRUE(isFailureExplained(result)) << "cut";
                EXPECT_TRUE(!result.route->isStream || wholeBody(result).starts_with(answer.body)) << answer.body;
            } else {
                EXPECT_EQ(answer.body, wholeBody(result));
            }
            return;
        case 404:
            EXPECT_TRUE(answer.complete);
            EXPECT_TRUE(wasDropped(result)) << "denied";
            EXPECT_FALSE(hasRun(result));
            return;
        case 408:
        case 421:
        case 429:
        case 503:
            EXPECT_TRUE(answer.complete);
            EXPECT_FALSE(hasRun(result)) << "refused though it ran";
            return;
        case 502:
        case 504:
            EXPECT_TRUE(answer.complete);
            EXPECT_TRUE(isFailureExplained(result)) << "failed with neither a break nor a deadline";
            return;
        default:
            ADD_FAILURE() << "unexpected status";
        }
    }

    void judgeRuns(const soak_result &result) const
    {
        const auto found = m_runs.find(result.id);
        if (found == m_runs.end()) {
            return;
        }
        std::set<std::string> targets;
        for (const auto &[target, run] : found->second) {
            targets.insert(target);
        }
        if (result.route->isRepeatable) {
            EXPECT_LE(targets.size(), static_cast<std::size_t>(attempts));
        } else {
            EXPECT_EQ(found->second.size(), 1U) << "ran more than once";
        }
    }

    std::string wholeBody(const soak_result &result) const
    {
        if (!result.route->isStream) {
            const std::string stamp = result.answer.field("X-Answer-Stamp");
            return "answer of " + stamp.substr(0, stamp.find('.'));
        }
        std::string text;
        for (int event = 1; event <= events; ++event) {
            text += "id: " + std::to_string(event) + "\ndata: token-" + std::to_string(event) + "\n\n";
        }
        return text;
    }

    long long sinceBegin(steady_clock::time_point at) const
    {
        return std::chrono::duration_cast<milliseconds>(at - m_begunAt).count();
    }

    std::string textOf(const soak_result &result) const
    {
        std::ostringstream text;
        text << prefixOf(*result.route) << result.id << " at " << result.vm << ", sent " << sinceBegin(result.sentAt) << " ms, ended "
             << sinceBegin(result.endedAt) << " ms, deadline " << result.deadline.count() << " ms, status " << result.answer.status
             << (result.answer.complete ? ", complete" : ", not complete") << ", arrivals "
             << (hasArrived(result) ? m_arrivals.at(result.id) : 0);
        const auto runs = m_runs.find(result.id);
        if (runs != m_runs.end()) {
            for (const auto &[target, run] : runs->second) {
                text << "; run at " << target << " from " << sinceBegin(run.startedAt);
                text << (run.silentFrom ? ", silent from " + std::to_string(sinceBegin(*run.silentFrom)) : "");
                text << (run.silentUntil ? " until " + std::to_string(sinceBegin(*run.silentUntil)) : "");
                text << (run.endedAt ? ", ended " + std::to_string(sinceBegin(*run.endedAt)) : "");
                text << (run.brokenAt ? ", broken " + std::to_string(sinceBegin(*run.brokenAt)) : "");
                text << (run.abandonedAt ? ", abandoned " + std::to_string(sinceBegin(*run.abandonedAt)) : "");
            }
        }
        return text.str();
    }

    void keepLog(const std::string &vm)
    {
        m_logs += "== " + vm + "\n" + m_world.vm(vm).wholeOutput();
    }

    void writeLogs() const
    {
        std::cout << m_story.str();
        const char *folder = std::getenv("SILENCE_SOAK_LOGS");
        if (folder) {
            std::ofstream(std::string(folder) + "/soak-" + std::to_string(m_seed) + ".log") << m_story.str() << m_logs;
        }
    }

    std::uint64_t m_seed;
    const double m_silentShare = static_cast<double>(numberFrom("SILENCE_SOAK_PERCENT", silentPercent)) / 100;
    std::mt19937_64 m_random; ///< of the operator
    platform_world m_world;
    std::vector<std::string> m_vms;
    std::vector<leaving_target> m_targets; ///< that stay
    std::vector<leaving_target> m_leaving;
    std::vector<std::string> m_allTargets;
    std::vector<stopping_vm> m_stopping;
    std::vector<stopping_vm> m_stops; ///< all of the play
    std::map<std::string, std::vector<time_span>> m_drops; ///< by prefix; while a VM may answer 404
    std::vector<time_span> m_shorterSpans; ///< while a VM may apply the shorter time-outs
    std::set<std::string> m_moved; ///< prefixes
    std::set<std::string> m_dropped; ///< prefixes
    std::set<std::string> m_removed; ///< services
    bool m_isShorter = false;
    bool m_isSmaller = false;
    int m_version = 0;
    int m_targetCount = 0;
    steady_clock::time_point m_begunAt;
    steady_clock::time_point m_end;
    std::ostringstream m_story;
    std::string m_logs;
    std::mutex m_mutex;
    std::vector<soak_result> m_results;
    std::map<std::string, std::vector<std::pair<std::string, target_run>>> m_runs; ///< by request
    std::map<std::string, int> m_arrivals; ///< by request
};

} // namespace

TEST(platform_silence_soak, losesNothingBesideOverlappingDisturbances)
{
    const std::uint64_t first = numberFrom("SILENCE_SOAK_SEED", 1);
    const std::uint64_t count = numberFrom("SILENCE_SOAK_SEEDS", 1);
    const std::chrono::seconds length(numberFrom("SILENCE_SOAK_SECONDS", 20));
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        silence_soak(seed).play(length);
    }
}

} // namespace fuchsialoom
