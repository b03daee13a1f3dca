/// \file
/// An engine whose adapters are loaded and unloaded by orders.
#pragma once

#include "scene.h"

#include <algorithm>

namespace fuchsialoom::review
{

inline constexpr std::size_t adapterSlots = 8;
inline constexpr int adapters = 12;
inline constexpr std::chrono::milliseconds longRun{11500}; ///< of requests whose id begins with "long"
inline constexpr std::chrono::milliseconds eventPause{200};

/// An engine with adapters. While an unload waits for runs, its report doesn't name the adapter, whose place is still taken.
class adapter_engine
{
public:
    adapter_engine(asio::io_context &loop, event_record &record)
        : m_loop(loop)
        , m_record(record)
        , m_listener(loop, {asio::ip::address_v4::loopback(), 0}, events())
    {
        m_limits.idleTimeout = milliseconds(60000);
        m_listener.start(1000);
    }

    std::string entry() const
    {
        nlohmann::json json = state();
        json["service"] = "models";
        json["addr"] = "127.0.0.1:" + std::to_string(m_listener.address().port());
        json["zone"] = "a";
        json["version"] = 1;
        json["slots"] = 32;
        json["state"] = "ready";
        json["cold_left_ms"] = 0;
        return json.dump();
    }
    /// When the unload of an adapter began to wait for a run, if one did.
    std::optional<clock::time_point> waitsSince() const
    {
        return m_waitsSince;
    }
    const std::vector<received_order> &orders() const
    {
        return m_orders;
    }
    const std::string &holder() const
    {
        return m_holder;
    }
    bool isOverfull() const
    {
        return m_isOverfull;
    }

private:
    struct adapter_state
    {
        int runs = 0;
        bool isLeaving = false;
    };

    caller_events events()
    {
        caller_events callbacks;
        callbacks.onRequest = [this](const std::shared_ptr<caller_link> &caller, const received_request &request) {
            onRequest(caller, request);
        };
        callbacks.limits = [this]() -> const caller_limits & {
            return m_limits;
        };
        return callbacks;
    }

    nlohmann::json state() const
    {
        nlohmann::json models = nlohmann::json::array();
        for (const std::string &model : m_models) {
            nlohmann::json listed = nlohmann::json::array();
            for (const auto &[name, adapter] : m_adapters) {
                if (model == "m1" && !adapter.isLeaving) {
                    listed.push_back(name);
                }
            }
            models.push_back({{"name", model}, {"version", 1}, {"adapters", listed}});
        }
        return {{"models", models}, {"seq", m_orderCount}, {"born", 1}};
    }

    int loadAdapter(const std::string &name)
    {
        if (m_adapters.contains(name)) {
            return 200;
        }
        m_orderCount += 1;
        m_adapters[name] = {};
        if (m_adapters.size() > adapterSlots) {
            m_isOverfull = true;
            m_record.write("engine holds " + std::to_string(m_adapters.size()) + " adapters in " + std::to_string(adapterSlots)
                           + " places");
        }
        return 202;
    }

    int unloadAdapter(const std::string &name)
    {
        const auto found = m_adapters.find(name);
        if (found == m_adapters.end()) {
            return 200;
        }
        m_orderCount += 1;
        if (found->second.runs == 0) {
            m_adapters.erase(found);
            return 200;
        }
        found->second.isLeaving = true;
        m_waitsSince = clock::now();
        m_record.write("engine waits for a run with " + name);
        return 202;
    }

    int execute(const nlohmann::json &order)
    {
        if (order.value("expected", m_orderCount) != m_orderCount) {
            return 409;
        }
        const bool load = order.value("op", "") == "load";
        if (order.contains("adapter")) {
            return load ? loadAdapter(order["adapter"]) : unloadAdapter(order["adapter"]);
        }
        const std::string model = order.value("model", "");
        if (load == m_models.contains(model)) {
            return 200;
        }
        m_orderCount += 1;
        if (load) {
            m_models.insert(model);
        } else {
            m_models.erase(model);
        }
        return 202;
    }

    void onRequest(const std::shared_ptr<caller_link> &caller, const received_request &request)
    {
        const auto fieldOf = [&request](const std::string &name) {
            const std::string *value = request.headers.find(name);
            return value != nullptr ? *value : std::string();
        };
        if (request.target == "/-/order") {
            const nlohmann::json order = nlohmann::json::parse(request.body);
            m_holder = order.value("holder", "");
            const int status = execute(order);
            m_orders.push_back({clock::now(), "e1", m_holder, order.value("fence", std::uint64_t{0}), request.body, status});
            m_record.write("engine receives order " + request.body + ", answers " + std::to_string(status));
            caller->respond(status, {}, {});
            return;
        }
        if (request.target == "/-/report") {
            nlohmann::json json = state();
            json["busy"] = false;
            json["pending"] = nlohmann::json::array();
            json["at_hand"] = {{"resident", nlohmann::json::array()}, {"on_disk", {"m1", "m2", "m3", "m4"}}};
            caller->respond(200, {}, json.dump());
            return;
        }
        const std::string named = fieldOf("X-Model");
        const std::size_t slash = named.find('/');
        const std::string adapter = slash == std::string::npos ? std::string() : named.substr(slash + 1);
        const auto held = m_adapters.find(adapter);
        header_list headers;
        headers.add("X-Request-Id", fieldOf("X-Request-Id"));
        if (!m_models.contains(named.substr(0, slash)) || (!adapter.empty() && (held == m_adapters.end() || held->second.isLeaving))) {
            headers.add("X-Not-Run", "1");
            caller->respond(421, headers, {});
            return;
        }
        if (!adapter.empty()) {
            held->second.runs += 1;
        }
        headers.add("X-Answer-Stamp", "e1.stamp");
        headers.add("Content-Type", "text/event-stream");
        caller->startStream(200, headers);
        const auto length = fieldOf("X-Request-Id").starts_with("long") ? longRun : eventPause / 2;
        m_record.write("engine runs " + fieldOf("X-Request-Id") + " with " + named);
        sendEvents(caller, adapter, 1, clock::now() + length);
    }

    void sendEvents(const std::shared_ptr<caller_link> &caller, const std::string &adapter, int event, clock::time_point until)
    {
        if (!caller->isOpen() || clock::now() >= until) {
            if (caller->isOpen()) {
                caller->endStream();
            }
            endRun(adapter);
            return;
        }
        caller->sendPart("id: " + std::to_string(event) + "\ndata: token\n\n");
        const auto timer = std::make_shared<asio::steady_timer>(m_loop, std::min<clock::duration>(eventPause, until - clock::now()));
        timer->async_wait([this, caller, adapter, event, until, timer](const asio::error_code &) {
            sendEvents(caller, adapter, event + 1, until);
        });
    }

    void endRun(const std::string &adapter)
    {
        const auto held = m_adapters.find(adapter);
        if (held == m_adapters.end()) {
            return;
        }
        held->second.runs -= 1;
        if (held->second.runs == 0 && held->second.isLeaving) {
            m_record.write("engine drops " + adapter);
            m_adapters.erase(held);
        }
    }

    asio::io_context &m_loop;
    event_record &m_record;
    caller_limits m_limits;
    caller_listener m_listener;
    std::set<std::string> m_models{"m1", "m2", "m3"};
    std::map<std::string, adapter_state> m_adapters;
    std::uint64_t m_orderCount = 0;
    std::string m_holder; ///< of the latest order
    std::vector<received_order> m_orders;
    std::optional<clock::time_point> m_waitsSince;
    bool m_isOverfull = false;
};

/// A service of engines with four models, of which `m1` has adapters, and its route.
inline nlohmann::json adapterConfiguration()
{
    nlohmann::json models = nlohmann::json::array();
    for (const std::string name : {"m1", "m2", "m3", "m4"}) {
        models.push_back({{"name", name},
                          {"mb", 70000},
                          {"load_s", 1.2},
                          {"warm_s", 0.4},
                          {"disk_s", 0.5},
                          {"adapters", name == "m1" ? adapters : 0},
                          {"adapter_mb", 66}});
    }
    const nlohmann::json route{{"name", "chat"},
                               {"host", "h.example"},
                               {"prefix", "/chat/"},
                               {"kind", "stream"},
                               {"service", "models"},
                               {"timeout_ms", 15000},
                               {"slo_ms", 1200},
                               {"gap_aim_ms", 300},
                               {"prio", 1},
                               {"attempts", 1},
                               {"resumable", false},
                               {"sticky", true}};
    const nlohmann::json engine{
        {"slots", 32}, {"kv_capacity", 130000}, {"mb", 220000}, {"adapter_slots", adapterSlots}, {"loads_per_s", 2.8}, {"models", models}};
    return {
        {"version", 3},
        {"routes", {route}},
        {"services", {{{"name", "models"}, {"health_path", "/healthz"}, {"max_conns", 250}, {"engine", engine}}}},
        {"limits", {{"max_header_bytes", 16384}, {"max_body_bytes", 4194304}, {"header_timeout_ms", 3000}, {"idle_timeout_ms", 15000}}}};
}

} // namespace fuchsialoom::review
