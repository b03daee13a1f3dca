/// \file
/// The users' platform in small.
#include "platform_world.h"

#include "fuchsialoom/http/answer_reader.h"

#include <nlohmann/json.hpp>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <utility>

#include <poll.h>

namespace fuchsialoom
{

static constexpr std::string_view requestBody = "hi";

std::string platform_answer::field(const std::string &name) const
{
    const std::size_t at = head.find("\r\n" + name + ": ");
    if (at == std::string::npos) {
        return "";
    }
    const std::size_t from = at + name.size() + 4;
    return head.substr(from, head.find("\r\n", from) - from);
}

platform_world::platform_world()
    : m_work(asio::make_work_guard(m_loop))
    , m_store(std::make_unique<fake_store>(m_loop))
{
    std::string folder = (std::filesystem::temp_directory_path() / "fuchsialoom-platform-XXXXXX").string();
    m_folder = ::mkdtemp(folder.data());
    m_thread = std::thread([this] {
        m_loop.run();
    });
}

platform_world::~platform_world()
{
    m_vms.clear();
    m_loop.stop();
    m_thread.join();
    std::filesystem::remove_all(m_folder);
}

void platform_world::addTarget(target_options options)
{
    call([&] {
        const std::string id = options.id;
        m_targets[id] = std::make_unique<fake_target>(m_loop, std::move(options));
        m_targets[id]->onCrash([this, id] {
            for (const auto &[key, path] : m_paths) {
                if (key.second == id) {
                    path->endTarget();
                }
            }
        });
        m_store->put("keyed.servers", id, m_targets[id]->entry());
    });
}

void platform_world::listTarget(const std::string &id, const std::string &state)
{
    call([&] {
        m_store->put("keyed.servers", id, state.empty() ? "" : m_targets.at(id)->entry(state));
    });
}

nlohmann::json platform_world::configurationOf(int version, int chatAttempts, bool resumable)
{
    const auto routeOf = [](const std::string &prefix, const std::string &kind, const std::string &service, int attempts) {
        return nlohmann::json{{"name", "r" + prefix},
                              {"host", "h.example"},
                              {"prefix", prefix},
                              {"kind", kind},
                              {"service", service},
                              {"timeout_ms", 8000},
                              {"slo_ms", 400},
                              {"prio", 1},
                              {"attempts", attempts}};
    };
    nlohmann::json chat = routeOf("/chat/", "stream", "models", chatAttempts);
    chat["resumable"] = resumable;
    chat["gap_aim_ms"] = 300;
    nlohmann::json model{{"name", "m1"}, {"mb", 70000}, {"load_s", 0.1}, {"adapters", 4}, {"adapter_mb", 10}};
    nlohmann::json other = model;
    other["name"] = "m2";
    const nlohmann::json engine{
        {"slots", 8}, {"kv_capacity", 10000}, {"mb", 220000}, {"adapter_slots", 4}, {"loads_per_s", 10}, {"models", {model, other}}};
    nlohmann::json open = routeOf("/open/", "idempotent", "plain", 1);
    open["public"] = true;
    return nlohmann::json{
        {"version", version},
        {"routes", {chat, routeOf("/post/", "non_idempotent", "plain", 1), routeOf("/get/", "idempotent", "plain", 2), open}},
        {"services", {{{"name", "models"}, {"engine", engine}}, {{"name", "plain"}}}},
        {"limits", {{"max_header_bytes", 16384}, {"max_body_bytes", 100000}, {"header_timeout_ms", 3000}, {"idle_timeout_ms", 15000}}}};
}

void platform_world::configure(int version, int chatAttempts, bool resumable)
{
    nlohmann::json configuration = configurationOf(version, chatAttempts, resumable);
    if (!m_teams.is_null()) {
        configuration["tenants"] = m_teams;
    }
    if (m_edit) {
        m_edit(configuration);
    }
    configure(configuration);
}

void platform_world::configure(const nlohmann::json &configuration)
{
    call([&] {
        m_store->put("keyed.op", "config", configuration.dump());
    });
}

std::string platform_world::startVm(const std::string &domain, std::uint16_t storePort)
{
    std::string name = "vm-" + std::to_string(m_vms.size() + 1);
    vm_entry &made = m_vms[name];
    made.callers = freeAddress();
    made.ready = freeAddress();
    made.settingsPath = m_folder + "/" + name + ".json";
    const std::string peers = freeAddress();
    made.metrics = freeAddress();
    const auto store = call([this] {
        return m_store->address();
    });
    made.settings = nlohmann::json{{"vm", name},
                                   {"domain", domain},
                                   {"region", "r"},
                                   {"callers", made.callers},
                                   {"ready", made.ready},
                                   // The mark that reserves a port is a datagram socket at 127.0.0.1.
                                   {"address", "127.0.0.2"},
                                   {"firstPort", std::stoi(peers.substr(peers.find(':') + 1))},
                                   {"lastPort", std::stoi(made.metrics.substr(made.metrics.find(':') + 1))},
                                   {"seeds", nlohmann::json::array()},
                                   {"store", "127.0.0.1:" + std::to_string(storePort > 0 ? storePort : store.port())},
                                   {"limits", m_limits},
                                   {"bounds", {{"lease_ms", 500}, {"grace_s", 8}}}};
    std::string text = made.settings.dump();
    if (std::exchange(m_cutsSettings, false)) {
        text.resize(text.size() / 2);
    }
    std::ofstream(made.settingsPath) << text;
    restartVm(name);
    return name;
}

static asio::ip::tcp::endpoint endpointOf(const std::string &address)
{
    const std::size_t colon = address.find(':');
    return {asio::ip::make_address(address.substr(0, colon)), static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))};
}

target_path &platform_world::pathOf(const std::string &vm, const std::string &target)
{
    std::unique_ptr<target_path> &path = m_paths[{vm, target}];
    if (!path) {
        const std::string address = nlohmann::json::parse(m_targets.at(target)->entry())["addr"];
        path = std::make_unique<target_path>(m_loop, endpointOf(address));
        path->set(m_pathStates[vm]);
        if (m_targets.at(target)->hasCrashed()) {
            path->endTarget();
        }
    }
    return *path;
}

std::string platform_world::startVmOnPaths(const std::string &domain)
{
    const std::string name = "vm-" + std::to_string(m_vms.size() + 1);
    const std::uint16_t port = call([this, name] {
        const auto view = m_store->addView([this, name](const std::string &topic, const std::string &key, const std::string &value) {
            if (topic != "keyed.servers" || value.empty()) {
                return value;
            }
            nlohmann::json entry = nlohmann::json::parse(value);
            entry["addr"] = "127.0.0.1:" + std::to_string(pathOf(name, key).address().port());
            return entry.dump();
        });
        return view.port();
    });
    return startVm(domain, port);
}

void platform_world::setPaths(const std::string &vm, path_state state)
{
    call([&] {
        m_pathStates[vm] = state;
        for (const auto &[key, path] : m_paths) {
            if (key.first == vm) {
                path->set(state);
            }
        }
    });
}

void platform_world::restartVm(const std::string &name)
{
    vm_entry &entry = m_vms.at(name);
    entry.process = std::make_unique<child_process>(name, "tools/fuchsialoomd", std::vector<std::string>{"--config=" + entry.settingsPath});
}

bool platform_world::isReady(const std::string &name)
{
    try {
        asio::ip::tcp::socket socket(m_callers);
        socket.connect(endpointOf(m_vms.at(name).ready));
        asio::write(socket, asio::buffer(std::string("GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n")));
        return receive(socket).status == 200;
    } catch (const std::system_error &) {
        return false; // it doesn't listen yet
    }
}

asio::ip::tcp::endpoint platform_world::callersOf(const std::string &name) const
{
    return endpointOf(m_vms.at(name).callers);
}

asio::ip::tcp::endpoint platform_world::peersOf(const std::string &name) const
{
    const nlohmann::json &settings = m_vms.at(name).settings;
    return {asio::ip::make_address(settings["address"].get<std::string>()), settings["firstPort"].get<std::uint16_t>()};
}

asio::ip::tcp::endpoint platform_world::readinessOf(const std::string &name) const
{
    return endpointOf(m_vms.at(name).ready);
}

asio::ip::tcp::endpoint platform_world::metricsEndpointOf(const std::string &name) const
{
    return endpointOf(metricsAddressOf(name));
}

std::string platform_world::metricsAddressOf(const std::string &name) const
{
    const std::string &reserved = m_vms.at(name).metrics;
    return "127.0.0.2" + reserved.substr(reserved.find(':'));
}

std::string platform_world::metricsOf(const std::string &name)
{
    asio::ip::tcp::socket socket(m_callers);
    socket.connect(metricsEndpointOf(name));
    asio::write(socket, asio::buffer(std::string("GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n")));
    return receive(socket).body;
}

bool platform_world::waitReady(const std::string &name)
{
    return waitFor([&] {
        return isReady(name);
    });
}

asio::ip::tcp::socket platform_world::connect(const std::string &vm)
{
    asio::ip::tcp::socket socket(m_callers);
    socket.connect(endpointOf(m_vms.at(vm).callers));
    return socket;
}

static std::string headOf(const platform_request &request)
{
    std::string head = request.method + " " + request.path + ' ' + request.version + "\r\nHost: " + request.host
        + "\r\nX-Request-Id: " + request.id + "\r\nX-Deadline-Ms: " + std::to_string(request.deadlineMs) + "\r\n" + request.more;
    if (!request.model.empty()) {
        head += "X-Model: " + request.model + "\r\n";
    }
    return head + "Content-Length: " + std::to_string(requestBody.size()) + "\r\n\r\n";
}

std::string platform_world::textOf(const platform_request &request)
{
    return headOf(request).append(requestBody);
}

void platform_world::sendHead(asio::ip::tcp::socket &socket, const platform_request &request)
{
    asio::write(socket, asio::buffer(headOf(request)));
}

asio::ip::tcp::socket platform_world::sendHead(const std::string &vm, const platform_request &request)
{
    asio::ip::tcp::socket socket = connect(vm);
    sendHead(socket, request);
    return socket;
}

void platform_world::sendOn(asio::ip::tcp::socket &socket, const platform_request &request)
{
    sendHead(socket, request);
    sendBody(socket);
}

void platform_world::sendBody(asio::ip::tcp::socket &socket)
{
    asio::write(socket, asio::buffer(requestBody));
}

asio::ip::tcp::socket platform_world::send(const std::string &vm, const platform_request &request)
{
    asio::ip::tcp::socket socket = sendHead(vm, request);
    sendBody(socket);
    return socket;
}

platform_answer platform_world::receive(asio::ip::tcp::socket &socket)
{
    static constexpr int longestMs = 20000;
    answer_reader reader;
    platform_answer answer;
    std::array<char, 4096> bytes{};
    while (!answer.complete) {
        pollfd readable{socket.native_handle(), POLLIN, 0};
        if (::poll(&readable, 1, longestMs) <= 0) {
            break;
        }
        asio::error_code problem;
        const std::size_t size = socket.read_some(asio::buffer(bytes), problem);
        if (problem && problem != asio::error::eof) {
            break; // a reset completes nothing
        }
        const answer_progress progress = problem ? reader.finish() : reader.consume(std::string_view(bytes.data(), size));
        answer.body += progress.body;
        answer.complete = progress.complete;
        if (problem || progress.broken) {
            break;
        }
    }
    answer.status = reader.head().status;
    for (const header_field &field : reader.head().headers.fields()) {
        answer.head += "\r\n" + field.name + ": " + field.value;
    }
    answer.head += "\r\n";
    return answer;
}

platform_answer platform_world::ask(const std::string &vm, const platform_request &request)
{
    asio::ip::tcp::socket socket = send(vm, request);
    return receive(socket);
}

} // namespace fuchsialoom
