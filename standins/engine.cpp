/// \file
/// The stand-in of a model engine or plain service: the HTTP face of its streams, memory and cache.
#include "engine_cache.h"
#include "engine_faults.h"
#include "engine_memory.h"
#include "engine_oracle.h"
#include "engine_streams.h"
#include "roles.h"
#include "standin_server.h"

#include "fuchsialoom/support/errors.h"

#include <atomic>
#include <chrono>
#include <map>
#include <mutex>
#include <thread>

#include <unistd.h>

namespace fuchsialoom
{

using json = nlohmann::json;
using std::chrono::milliseconds;
using clock_type = std::chrono::steady_clock;

namespace
{

constexpr int httpOk = 200;
constexpr int httpCreated = 201;
constexpr int httpBadRequest = 400;
constexpr int httpNotFound = 404;
constexpr int httpConflict = 409;
constexpr int httpGone = 410;
constexpr int httpUnavailable = 503;
constexpr int exitCrashed = 70;

class engine
{
public:
    explicit engine(const standin_options &options)
        : m_memory(options)
        , m_streams(options, m_faults, m_oracle)
        , m_cache(options, m_faults)
        , m_crashOn(options.text("crash_on", ""))
        , m_crashAfter(options.number("crash_after_ms", 0))
        , m_callTime(options.number("call_ms", 0))
    {
        m_faults.lagMs = options.number("lag_ms", 0);
    }

    void route(httplib::Server &server);

private:
    void routeStreams(httplib::Server &server);
    void routeControl(httplib::Server &server);
    void routeCache(httplib::Server &server);
    void startStream(const httplib::Request &from, httplib::Response &to);
    void followStream(const httplib::Request &from, httplib::Response &to);
    void call(const httplib::Request &from, httplib::Response &to);
    void takeOrder(const httplib::Request &from, httplib::Response &to);
    void reportLoad(httplib::Response &to);
    json measureLoad() const;
    void crashIfMarked(const std::string &body) const;
    bool takeDrop();
    json withIncarnation(json members) const;

    const std::int64_t m_incarnation =
        std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    engine_faults m_faults;
    engine_oracle m_oracle;
    std::atomic<std::uint64_t> m_ordersReceived{0}; ///< well-formed orders, including those that a fault delays or drops
    engine_memory m_memory;
    engine_streams m_streams;
    engine_cache m_cache;
    const std::string m_crashOn;
    const milliseconds m_crashAfter;
    const milliseconds m_callTime;
    std::mutex m_mutex;
    json m_load; ///< guarded by m_mutex; the report as last measured
    clock_type::time_point m_loadTakenAt; ///< guarded by m_mutex
    std::map<std::string, std::string> m_imported; ///< guarded by m_mutex; KV caches that were put here
};

void engine::route(httplib::Server &server)
{
    routeStreams(server);
    routeControl(server);
    routeCache(server);
}

void engine::routeStreams(httplib::Server &server)
{
    server.Post(R"(/streams/(.+))", [this](const httplib::Request &from, httplib::Response &to) {
        startStream(from, to);
    });
    server.Get(R"(/streams/(.+))", [this](const httplib::Request &from, httplib::Response &to) {
        followStream(from, to);
    });
    server.Delete(R"(/streams/(.+))", [this](const httplib::Request &from, httplib::Response &) {
        m_streams.cancel(from.matches[1].str());
    });
    server.Post(R"(/call/(.+))", [this](const httplib::Request &from, httplib::Response &to) {
        call(from, to);
    });
}

void engine::routeControl(httplib::Server &server)
{
    server.Get("/load", [this](const httplib::Request &, httplib::Response &to) {
        reportLoad(to);
    });
    server.Get("/state", [this](const httplib::Request &, httplib::Response &to) {
        answerJson(to, httpOk, withIncarnation(m_memory.state()));
    });
    server.Post("/orders", [this](const httplib::Request &from, httplib::Response &to) {
        takeOrder(from, to);
    });
    server.Get("/oracle", [this](const httplib::Request &, httplib::Response &to) {
        json oracle = m_memory.oracle();
        oracle["orders_received"] = m_ordersReceived.load();
        oracle["ran"] = m_oracle.runs();
        oracle["wrong_continuations"] = m_oracle.wrongContinuations();
        answerJson(to, httpOk, oracle);
    });
    server.Post("/faults", [this](const httplib::Request &from, httplib::Response &) {
        m_faults.set(json::parse(from.body));
    });
}

void engine::routeCache(httplib::Server &server)
{
    server.Get("/cache-events", [this](const httplib::Request &from, httplib::Response &to) {
        answerJson(to, httpOk, withIncarnation(m_cache.eventsAfter(numberParam(from, "after", 0))));
    });
    server.Get("/cache", [this](const httplib::Request &, httplib::Response &to) {
        answerJson(to, httpOk, withIncarnation(m_cache.content()));
    });
    server.Get(R"(/kv/(.+))", [this](const httplib::Request &from, httplib::Response &to) {
        const std::string id = from.matches[1].str();
        const std::lock_guard lock(m_mutex);
        const auto imported = m_imported.find(id);
        if (imported == m_imported.end() && !m_streams.knows(id)) {
            to.status = httpNotFound;
            return;
        }
        to.set_content(imported == m_imported.end() ? m_streams.exported(id) : imported->second, "application/octet-stream");
    });
    server.Put(R"(/kv/(.+))", [this](const httplib::Request &from, httplib::Response &) {
        const std::lock_guard lock(m_mutex);
        m_imported[from.matches[1].str()] = from.body;
    });
}

json engine::withIncarnation(json members) const
{
    members["incarnation"] = m_incarnation;
    return members;
}

/// The process ends as a crashing engine does: at once, without answers.
void engine::crashIfMarked(const std::string &body) const
{
    if (m_crashOn.empty() || body.find(m_crashOn) == std::string::npos) {
        return;
    }
    if (m_crashAfter == milliseconds(0)) {
        _exit(exitCrashed);
    }
    std::thread([delay = m_crashAfter] {
        std::this_thread::sleep_for(delay);
        _exit(exitCrashed);
    }).detach();
}

static void refuseNotRun(httplib::Response &to, const char *cause)
{
    answerJson(to, httpUnavailable, json{{"outcome", "not-run"}, {"error", cause}});
}

void engine::startStream(const httplib::Request &from, httplib::Response &to)
{
    const json body = json::parse(from.body, nullptr, false);
    if (!body.is_object()) {
        to.status = httpBadRequest;
        return;
    }
    stream_request request;
    request.id = from.matches[1].str();
    request.attempt = numberHeader(from, "X-Attempt");
    request.body = body.value("body", "");
    request.delivered = body.value("delivered", "");
    request.deliveredTokens = body.value("delivered_tokens", std::uint64_t{0});
    if (m_faults.refuse) {
        refuseNotRun(to, "refusing");
        return;
    }
    if (!m_memory.holds(body.value("model", ""), body.value("version", ""))) {
        refuseNotRun(to, "model-not-resident");
        return;
    }
    crashIfMarked(request.body);
    const bool created = m_streams.start(request);
    m_cache.store(request.body);
    to.status = created ? httpCreated : httpOk;
}

void engine::followStream(const httplib::Request &from, httplib::Response &to)
{
    const std::string id = from.matches[1].str();
    if (!m_streams.knows(id)) {
        to.status = httpNotFound;
        return;
    }
    const std::uint64_t first = numberParam(from, "from", 0);
    const std::uint64_t silences = m_faults.silences;
    to.set_chunked_content_provider("text/event-stream", [this, id, first, silences](std::size_t, httplib::DataSink &sink) {
        if (!m_streams.write(sink, id, first, silences)) {
            return false;
        }
        sink.done();
        return true;
    });
}

void engine::call(const httplib::Request &from, httplib::Response &to)
{
    if (m_faults.refuse) {
        refuseNotRun(to, "refusing");
        return;
    }
    const std::uint64_t silences = m_faults.silences;
    m_oracle.ran(from.get_header_value("X-Request-Id"), from.body);
    crashIfMarked(from.body);
    const clock_type::time_point answerAt = clock_type::now() + m_callTime;
    std::this_thread::sleep_until(answerAt);
    if (m_faults.silences != silences) {
        static constexpr std::chrono::seconds longestHold{60};
        std::this_thread::sleep_until(answerAt + longestHold);
        breakConnection(from);
        return;
    }
    answerJson(to, httpOk, json{{"service", from.matches[1].str()}, {"echo", from.body}});
}

/// \return whether this order gets lost.
bool engine::takeDrop()
{
    std::uint64_t left = m_faults.dropOrders;
    while (left > 0 && !m_faults.dropOrders.compare_exchange_weak(left, left - 1)) {}
    return left > 0;
}

void engine::takeOrder(const httplib::Request &from, httplib::Response &to)
{
    const json body = json::parse(from.body, nullptr, false);
    if (!body.is_object() || !body.contains("operation")) {
        to.status = httpBadRequest;
        return;
    }
    ++m_ordersReceived;
    if (takeDrop()) {
        breakConnection(from);
        return;
    }
    std::this_thread::sleep_for(milliseconds(m_faults.delayOrdersMs));
    switch (m_memory.take(engine_order::fromJson(body))) {
    case order_verdict::Accepted:
        answerJson(to, httpOk, json{{"accepted", true}});
        return;
    case order_verdict::StaleFence:
        answerJson(to, httpConflict, json{{"error", "stale-fence"}, {"fence", m_memory.fence()}});
        return;
    case order_verdict::Expired:
        answerJson(to, httpGone, json{{"error", "expired"}});
        return;
    }
}

json engine::measureLoad() const
{
    const std::vector<std::string> running = m_streams.running();
    const std::size_t atOnce = std::min<std::size_t>(running.size(), m_streams.capacity());
    const double perStream = 1000.0 / static_cast<double>(std::max<milliseconds::rep>(1, m_streams.interval().count()));
    const json memory = m_memory.state();
    return json{{"incarnation", m_incarnation},
                {"running", atOnce},
                {"queued", running.size() - atOnce},
                {"capacity", m_streams.capacity()},
                {"tokens_per_second", static_cast<double>(atOnce) * perStream},
                {"streams", running},
                {"models", memory["models"]},
                {"adapters", memory["adapters"]}};
}

void engine::reportLoad(httplib::Response &to)
{
    const std::lock_guard lock(m_mutex);
    const clock_type::time_point now = clock_type::now();
    if (m_load.is_null() || now - m_loadTakenAt >= milliseconds(m_faults.lagMs)) {
        m_load = measureLoad();
        m_loadTakenAt = now;
    }
    json report = m_load;
    report["age_ms"] = std::chrono::duration_cast<milliseconds>(now - m_loadTakenAt).count();
    answerJson(to, httpOk, report);
}

} // namespace

void runEngine(const endpoint &address, const standin_options &options)
{
    engine target(options);
    httplib::Server server;
    prepareServer(server);
    target.route(server);
    serve(server, address);
}

} // namespace fuchsialoom
