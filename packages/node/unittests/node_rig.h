/// \file
/// The services of a node with the embedded log, and a target whose answers a test writes, all on
/// loopback in one process.
#pragma once

#include "fuchsialoom/node/admin_service.h"
#include "fuchsialoom/node/caller_service.h"
#include "fuchsialoom/node/cancel_service.h"
#include "fuchsialoom/node/leader_service.h"
#include "fuchsialoom/node/node_clock.h"
#include "fuchsialoom/wire/http_server.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <sstream>
#include <string>
#include <thread>

namespace fuchsialoom::testing_rig
{

/// Reached only where something hangs.
inline constexpr seconds hangTimeout{60};

inline std::string tokenEvent(const std::string &stream, std::uint64_t attempt, std::uint64_t offset, const std::string &text)
{
    return "data: {\"stream\":\"" + stream + "\",\"attempt\":" + std::to_string(attempt) + ",\"offset\":" + std::to_string(offset)
        + ",\"text\":\"" + text + "\"}\n\n";
}

inline std::string finishEvent(const std::string &stream, std::uint64_t attempt, std::uint64_t offset)
{
    return "data: {\"stream\":\"" + stream + "\",\"attempt\":" + std::to_string(attempt) + ",\"offset\":" + std::to_string(offset)
        + ",\"finish\":\"stop\"}\n\n";
}

/// One connection that follows a stream.
struct followed_stream
{
    std::string id;
    std::string request; ///< the caller's id, with which the stream's begins
    std::uint64_t attempt = 0; ///< that started the stream
    std::uint64_t from = 0;
    int connection = 0; ///< of this stream, from 1
    std::function<bool(const std::string &)> write;
};

/// An engine and plain service. `onFollow` writes the streams; it may wait with waitFor().
class fake_engine
{
public:
    std::function<void(const followed_stream &)> onFollow = [](const followed_stream &stream) {
        if (stream.from == 0) {
            stream.write(tokenEvent(stream.id, stream.attempt, 0, "a"));
        }
        if (stream.from <= 1) {
            stream.write(tokenEvent(stream.id, stream.attempt, 1, "b"));
        }
        stream.write(finishEvent(stream.id, stream.attempt, 2));
    };

    fake_engine()
    {
        listenAlone(m_server);
        m_server.new_task_queue = [] {
            return new httplib::ThreadPool(threads);
        };
        m_server.Post(R"(/streams/(.+))", [this](const httplib::Request &from, httplib::Response &to) {
            const std::string id = from.matches[1].str();
            const std::lock_guard lock(m_mutex);
            to.status = m_attempts.contains(id) ? ok : created;
            m_attempts.emplace(id, std::stoull(from.get_header_value("X-Attempt")));
            m_lastStart = from.body;
            ++m_ran;
        });
        m_server.Get(R"(/streams/(.+))", [this](const httplib::Request &from, httplib::Response &to) {
            follow(from, to);
        });
        m_server.Delete(R"(/streams/(.+))", [this](const httplib::Request &from, httplib::Response &) {
            note("cancelled " + requestOf(from.matches[1].str()));
        });
        m_server.Post(R"(/call/(.+))", [this](const httplib::Request &from, httplib::Response &to) {
            const std::lock_guard lock(m_mutex);
            ++m_ran;
            to.set_content(from.body, "text/plain");
        });
        m_port = bindServer(m_server, "127.0.0.1", 0).value_or(0);
        m_thread = serveBound(m_server);
    }

    ~fake_engine()
    {
        note("stopping");
        m_server.stop();
        m_thread.join();
    }

    endpoint address() const
    {
        return endpoint{"127.0.0.1", m_port};
    }

    /// Requests that reached the target.
    int ran() const
    {
        const std::lock_guard lock(m_mutex);
        return m_ran;
    }

    /// The body of the latest POST of a stream.
    std::string lastStart() const
    {
        const std::lock_guard lock(m_mutex);
        return m_lastStart;
    }

    /// Marks that \p what happened.
    void note(const std::string &what)
    {
        {
            const std::lock_guard lock(m_mutex);
            m_notes.insert(what);
        }
        m_noted.notify_all();
    }

    /// Waits until note(\p what), or until the engine stops. \return false on a hang.
    bool waitFor(const std::string &what)
    {
        std::unique_lock lock(m_mutex);
        return m_noted.wait_for(lock, hangTimeout, [&] {
            return m_notes.contains(what) || m_notes.contains("stopping");
        });
    }

    bool noted(const std::string &what) const
    {
        const std::lock_guard lock(m_mutex);
        return m_notes.contains(what);
    }

private:
    static std::string requestOf(const std::string &stream)
    {
        return stream.substr(0, stream.rfind('.'));
    }

    static constexpr int ok = 200;
    static constexpr int created = 201;
    static constexpr std::size_t threads = 32;

    void follow(const httplib::Request &from, httplib::Response &to)
    {
        followed_stream stream;
        stream.id = from.matches[1].str();
        stream.request = requestOf(stream.id);
        stream.from = std::stoull(from.get_param_value("from"));
        {
            const std::lock_guard lock(m_mutex);
            stream.attempt = m_attempts[stream.id];
            stream.connection = ++m_connections[stream.id];
        }
        to.set_chunked_content_provider("text/event-stream", [this, stream](std::size_t, httplib::DataSink &sink) mutable {
            stream.write = [&](const std::string &data) {
                return sink.write(data.data(), data.size());
            };
            onFollow(stream);
            sink.done();
            return true;
        });
    }

    httplib::Server m_server;
    std::uint16_t m_port = 0;
    mutable std::mutex m_mutex;
    std::condition_variable m_noted;
    std::set<std::string> m_notes; ///< guarded by m_mutex
    std::map<std::string, std::uint64_t> m_attempts; ///< guarded by m_mutex; the attempt that started a stream
    std::map<std::string, int> m_connections; ///< guarded by m_mutex
    int m_ran = 0; ///< guarded by m_mutex
    std::string m_lastStart; ///< guarded by m_mutex
    std::jthread m_thread;
};

/// Brand `b` with model service `s`, its model `m`, and plain service `p`; one engine, one plain target.
class node_rig
{
public:
    explicit node_rig(process_options given = {})
        : options(std::move(given))
    {
        options.vm = vm_id("vm");
        options.domain = domain_id("d");
        options.listen = endpoint{"127.0.0.1", 0};
        options.admin = endpoint{"127.0.0.1", 0};
        options.streams = options.streams == 0 ? defaultStreams : options.streams;
        options.refusalReserve = defaultReserve;
        decisions.handlers().cancelAttempt = [this](const cancel_attempt &action) {
            cancels.cancel(action);
        };
    }

    ~node_rig()
    {
        services.stopAll();
    }

    /// Starts everything, with \p edits in force beside the defaults.
    void start(std::vector<setting_edit> edits = {})
    {
        startService(settings);
        startService(decisions);
        startService(cancels);
        edits.push_back(editOf("brand/b/service/s/model/m", setting_key::InService, "true"));
        edits.push_back(editOf("brand/b/service/p", setting_key::ServiceKind, "plain"));
        settings_change change;
        change.operatorName = "tester";
        change.edits = std::move(edits);
        settings.submit(std::move(change), std::chrono::steady_clock::now() + hangTimeout);
        listTargets();
        decisions.targetsListed();
        admin.emplace(options, events, settings, decisions, metrics, leader);
        startService(*admin);
        callers.emplace(options, settings, session_services{decisions, events, metrics}, window);
        startService(*callers);
    }

    static setting_edit editOf(const char *path, setting_key key, const char *value)
    {
        setting_edit edit;
        edit.path = setting_path::parse(path);
        edit.key = key;
        edit.value = value;
        return edit;
    }

    httplib::Client client() const
    {
        httplib::Client made("127.0.0.1", callers->port());
        made.set_read_timeout(hangTimeout);
        return made;
    }

    httplib::Client adminClient() const
    {
        httplib::Client made("127.0.0.1", admin->port());
        made.set_read_timeout(hangTimeout);
        return made;
    }

    /// Makes \p listed a target that has the model.
    void listEngine(const char *id, const fake_engine &listed)
    {
        listed_target target;
        target.domain = domain_id("d");
        target.address = listed.address();
        target.id = target_id(id);
        decisions.post(target_listed{target});
        load_report report;
        report.target = target.id;
        report.incarnation = incarnation_number(1);
        report.takenAt = monotonicNow();
        report.capacity = 64;
        report.models = {resident_model{model_id("m"), version_id("1"), 0}};
        decisions.post(load_reported{report});
    }

    static httplib::Headers headers(const std::string &id)
    {
        return {{"X-Brand", "b"}, {"X-Service", "s"}, {"X-Request-Id", id}};
    }

    httplib::Result ask(const std::string &id, bool stream = false, const httplib::Headers &more = {}) const
    {
        const std::string body = stream ? R"({"model":"m","stream":true})" : R"({"model":"m"})";
        httplib::Headers all = headers(id);
        all.insert(more.begin(), more.end());
        return client().Post("/v1/completions", all, body, "application/json");
    }

    /// The text that a streaming caller got; nothing unless the answer said that it was whole.
    static std::optional<std::string> streamedText(const std::string &events)
    {
        if (!events.ends_with("data: [DONE]\n\n")) {
            return std::nullopt;
        }
        std::string text;
        std::istringstream lines(events);
        for (std::string line; std::getline(lines, line);) {
            if (line.starts_with("data: {")) {
                text += nlohmann::json::parse(line.substr(6)).at("choices").at(0).at("text").get<std::string>();
            }
        }
        return text;
    }

    fake_engine engine;
    process_options options;
    metrics_registry metrics;
    event_service events{vm_id("vm"), 1000};
    log_service log{vm_id("vm"), incarnation_number(1), std::nullopt, events};
    settings_service settings{log, events};
    decision_service decisions{domain_id("d"), events};
    cancel_service cancels{metrics};
    leader_service leader{options, incarnation_number(1), log, settings, events}; ///< not started: it leads nothing
    dedup_window window; ///< set before start()
    std::optional<admin_service> admin;
    std::optional<caller_service> callers;

private:
    static constexpr std::size_t defaultStreams = 8;
    static constexpr std::size_t defaultReserve = 4;

    /// Stops the services of the rig in reverse, also where a test ends early.
    class started_services
    {
    public:
        void add(service &one)
        {
            m_started.push_back(&one);
        }
        void stopAll()
        {
            while (!m_started.empty()) {
                m_started.back()->stop();
                m_started.pop_back();
            }
        }

    private:
        std::vector<service *> m_started;
    };

    void startService(service &one)
    {
        one.start();
        services.add(one);
    }

    void listTargets()
    {
        listEngine("e", engine);
        listed_target target;
        target.domain = domain_id("d");
        target.address = engine.address();
        target.id = target_id("q");
        target.kind = target_kind::Plain;
        target.services = {service_id("p")};
        decisions.post(target_listed{target});
    }

    started_services services;
};

} // namespace fuchsialoom::testing_rig
