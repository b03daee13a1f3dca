/// \file
/// The HTTP server for operators.
#include "fuchsialoom/node/admin_service.h"

#include "fuchsialoom/wire/http_server.h"
#include "http_answers.h"
#include "settings_routes.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <thread>
#include <utility>

namespace fuchsialoom
{

using json = nlohmann::json;

class admin_service::server
{
public:
    server(const process_options &options,
           event_service &events,
           settings_service &settings,
           decision_service &decisions,
           metrics_registry &metrics,
           const leader_service &leader);

    void setViews(admin_views views)
    {
        m_views = std::move(views);
    }
    void listen();
    void stop();

    std::uint16_t port() const
    {
        return m_port;
    }

private:
    void routeHealth();
    void showReadiness(httplib::Response &to);
    void showMetrics(httplib::Response &to);
    void status(httplib::Response &to);
    void showEvents(const httplib::Request &from, httplib::Response &to);
    void showUnknownClaims(const httplib::Request &from, httplib::Response &to);

    const process_options &m_options;
    event_service &m_events;
    settings_service &m_settings;
    decision_service &m_decisions;
    metrics_registry &m_metrics;
    const leader_service &m_leader;
    admin_views m_views; ///< fixed once it listens
    httplib::Server m_http;
    std::uint16_t m_port = 0; ///< set by listen()
    std::jthread m_thread;
};

static void answerJson(httplib::Response &to, const json &body)
{
    to.set_content(body.dump(-1, ' ', false, json::error_handler_t::replace), "application/json");
}

admin_service::server::server(const process_options &options,
                              event_service &events,
                              settings_service &settings,
                              decision_service &decisions,
                              metrics_registry &metrics,
                              const leader_service &leader)
    : m_options(options)
    , m_events(events)
    , m_settings(settings)
    , m_decisions(decisions)
    , m_metrics(metrics)
    , m_leader(leader)
{
    listenAlone(m_http);
    routeHealth();
    m_http.Get("/status", [this](const httplib::Request &, httplib::Response &to) {
        status(to);
    });
    routeSettings(m_http, m_settings);
    m_http.Get("/events", [this](const httplib::Request &from, httplib::Response &to) {
        showEvents(from, to);
    });
    m_http.Get("/claims/unknown", [this](const httplib::Request &from, httplib::Response &to) {
        showUnknownClaims(from, to);
    });
}

void admin_service::server::routeHealth()
{
    m_http.Get("/healthz", [](const httplib::Request &, httplib::Response &to) {
        to.set_content("ok\n", "text/plain");
    });
    m_http.Get("/readyz", [this](const httplib::Request &, httplib::Response &to) {
        showReadiness(to);
    });
    m_http.Get("/metrics", [this](const httplib::Request &, httplib::Response &to) {
        showMetrics(to);
    });
}

void admin_service::server::showReadiness(httplib::Response &to)
{
    static constexpr int serviceUnavailable = 503;
    if (m_decisions.draining()) {
        to.status = serviceUnavailable;
        to.set_content("draining\n", "text/plain");
    } else if (!m_settings.readOnce()) {
        to.status = serviceUnavailable;
        to.set_content("settings not read yet\n", "text/plain");
    } else if (!m_decisions.knowsTargets()) {
        to.status = serviceUnavailable;
        to.set_content("targets not listed yet\n", "text/plain");
    } else {
        to.set_content("ok\n", "text/plain");
    }
}

void admin_service::server::showMetrics(httplib::Response &to)
{
    const open_counts counts = m_decisions.counts();
    m_metrics.set(metric::QueuedRequests, static_cast<std::int64_t>(counts.queued));
    m_metrics.set(metric::RequestsInFlight, static_cast<std::int64_t>(counts.running));
    to.set_content(m_metrics.prometheusText(), "text/plain; version=0.0.4");
}

void admin_service::server::listen()
{
    const std::optional<std::uint16_t> port = bindServer(m_http, m_options.admin.host, m_options.admin.port);
    if (!port) {
        throw error(error_kind::InvalidOption, "--admin '" + toText(m_options.admin) + "' can't be bound");
    }
    m_port = *port;
    m_thread = serveBound(m_http);
}

void admin_service::server::stop()
{
    m_http.stop();
    m_thread.join();
}

static json leaderStatus(const leader_status &status)
{
    json targets = json::array();
    for (const target_status &target : status.targets) {
        targets.push_back(json{{"target", target.target.text()},
                               {"capacity_bytes", target.capacityBytes},
                               {"resident_bytes", target.residentBytes},
                               {"outstanding_bytes", target.openBytes},
                               {"outstanding_orders", target.openOrders},
                               {"fenced_with", target.fencedWith.value()},
                               {"reachable", target.reachable}});
    }
    return json{{"vm", status.term ? status.term->holder.text() : ""},
                {"fence", status.term ? status.term->claim.value() : 0},
                {"released", status.term && status.term->released},
                {"leading", status.leading},
                {"frozen", status.frozen},
                {"log_applied", status.applied.value()},
                {"targets", targets}};
}

void admin_service::server::status(httplib::Response &to)
{
    const auto shown = [](const std::function<std::string()> &view) {
        return view ? json::parse(view()) : json::array();
    };
    answerJson(to,
               json{{"vm", m_options.vm.text()},
                    {"domain", m_options.domain.text()},
                    {"peers", shown(m_views.peers)},
                    {"targets", shown(m_views.targets)},
                    {"settings_applied", m_settings.tree()->applied().value()},
                    {"settings", settingsStatus(m_settings)},
                    {"open_requests", m_decisions.openRequests()},
                    {"leader", leaderStatus(m_leader.status())}});
}

static json toJson(const timeline_event &event)
{
    json values = json::object();
    for (const event_value &value : event.values) {
        values[std::string(nameOf(value.field))] = value.text;
    }
    return json{{"wall_micros", event.stamp.wallMicros},
                {"counter", event.stamp.counter},
                {"vm", event.vm.text()},
                {"event", nameOf(event.kind)},
                {"subject", event.subject},
                {"values", values}};
}

void admin_service::server::showEvents(const httplib::Request &from, httplib::Response &to)
{
    const std::string subject = from.get_param_value("subject");
    const std::string since = from.get_param_value("since");
    hlc_stamp after;
    std::from_chars(since.data(), since.data() + since.size(), after.wallMicros);
    const bool ofAll = from.get_param_value("all") == "1" && m_views.fleetEvents;
    json events = json::array();
    for (const timeline_event &event : ofAll ? m_views.fleetEvents(after, subject) : m_events.since(after, subject)) {
        events.push_back(toJson(event));
    }
    answerJson(to, json{{"events", events}});
}

void admin_service::server::showUnknownClaims(const httplib::Request &from, httplib::Response &to)
{
    static constexpr std::size_t usualMost = 100;
    static constexpr std::size_t largestMost = 1000;
    const std::string text = from.get_param_value("most");
    std::size_t most = usualMost;
    const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), most);
    if (!text.empty() && (code != std::errc() || end != text.data() + text.size() || most < 1 || most > largestMost)) {
        answerFailure(to,
                      failure{error_kind::MalformedRequest,
                              "most '" + text + "' is not a number from 1 to " + std::to_string(largestMost),
                              outcome::NotRun,
                              std::nullopt},
                      request_id());
        return;
    }
    try {
        const std::string none = R"({"claims":[],"total":0})";
        to.set_content(m_views.unknownClaims ? m_views.unknownClaims(from.get_param_value("scope"), most) : none, "application/json");
    } catch (const error &problem) {
        answerFailure(to, problem.info(), request_id());
    }
}

admin_service::admin_service(const process_options &options,
                             event_service &events,
                             settings_service &settings,
                             decision_service &decisions,
                             metrics_registry &metrics,
                             const leader_service &leader)
    : m_server(std::make_unique<server>(options, events, settings, decisions, metrics, leader))
{
}

admin_service::~admin_service() = default;

void admin_service::setViews(admin_views views)
{
    m_server->setViews(std::move(views));
}

void admin_service::start()
{
    m_server->listen();
}

void admin_service::stop()
{
    m_server->stop();
}

std::uint16_t admin_service::port() const
{
    return m_server->port();
}

} // namespace fuchsialoom
