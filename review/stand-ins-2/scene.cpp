/// \file
/// A small deployment on loopback addresses.
#include "scene.h"

#include "fuchsialoom/http/answer_reader.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iomanip>
#include <sstream>
#include <stdexcept>
#include <utility>

#include <fcntl.h>
#include <poll.h>
#include <sys/wait.h>
#include <unistd.h>

namespace fuchsialoom::review
{

static constexpr const char *program = "target/tools/fuchsialoomd";
static constexpr std::chrono::milliseconds heartbeatInterval{1200};
static constexpr std::chrono::milliseconds firstRetransmission{200};
static constexpr int events = 4;
static constexpr std::chrono::milliseconds shortPause{20};
static constexpr int portsOfVm = 6;

static clock::time_point startOfProcess()
{
    static const clock::time_point start = clock::now();
    return start;
}

event_record::event_record(const std::string &path)
    : m_file(path, std::ios::app)
{
    startOfProcess();
}

double event_record::secondsAt(clock::time_point when)
{
    return std::chrono::duration<double>(when - startOfProcess()).count();
}

void event_record::write(const std::string &line)
{
    const std::lock_guard guard(m_mutex);
    m_file << std::fixed << std::setprecision(3) << secondsAt(clock::now()) << ' ' << line << std::endl;
}

static std::uint64_t unixMs()
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count());
}

static std::string fieldOf(const received_request &request, const std::string &name)
{
    const std::string *value = request.headers.find(name);
    return value != nullptr ? *value : std::string();
}

static caller_events eventsFor(std::function<void(const std::shared_ptr<caller_link> &, received_request)> onRequest,
                               const caller_limits &limits)
{
    caller_events callbacks;
    callbacks.onRequest = std::move(onRequest);
    callbacks.limits = [&limits]() -> const caller_limits & {
        return limits;
    };
    return callbacks;
}

model_engine::model_engine(asio::io_context &loop, engine_options options, event_record &record)
    : m_loop(loop)
    , m_options(std::move(options))
    , m_record(record)
    , m_listener(loop,
                 {asio::ip::address_v4::loopback(), 0},
                 eventsFor(
                     [this](const std::shared_ptr<caller_link> &caller, const received_request &request) {
                         onRequest(caller, request);
                     },
                     m_limits))
    , m_bornMs(unixMs())
{
    m_limits.idleTimeout = milliseconds(60000);
    m_options.onDisk.insert(m_options.resident.begin(), m_options.resident.end());
    m_listener.start(1000);
}

std::vector<nlohmann::json> model_engine::models() const
{
    std::vector<nlohmann::json> listed;
    for (const std::string &name : m_options.resident) {
        listed.push_back({{"name", name}, {"version", 1}, {"adapters", nlohmann::json::array()}});
    }
    return listed;
}

std::string model_engine::entry() const
{
    const nlohmann::json json{{"service", "models"},
                              {"addr", "127.0.0.1:" + std::to_string(address().port())},
                              {"zone", m_options.zone},
                              {"version", 1},
                              {"slots", 32},
                              {"state", "ready"},
                              {"cold_left_ms", 0},
                              {"seq", m_orderCount},
                              {"born", m_bornMs},
                              {"models", models()}};
    return json.dump();
}

void model_engine::completeOrder()
{
    if (m_loadedAt && clock::now() >= *m_loadedAt) {
        m_options.resident.insert(m_loading);
        m_options.onDisk.insert(m_loading);
        m_loadedAt.reset();
    }
}

void model_engine::report(caller_link &caller)
{
    const nlohmann::json json{{"stage", "mixed"},
                              {"models", models()},
                              {"busy", m_loadedAt.has_value()},
                              {"seq", m_orderCount},
                              {"queued", 0},
                              {"running", 0},
                              {"kv_used", 0},
                              {"kv_total", 130000},
                              {"handles", 0},
                              {"pending", nlohmann::json::array()},
                              {"at_hand", {{"resident", nlohmann::json::array()}, {"on_disk", m_options.onDisk}}},
                              {"born", m_bornMs}};
    caller.respond(200, {}, json.dump());
}

int model_engine::execute(const nlohmann::json &order)
{
    if (order.value("expected", m_orderCount) != m_orderCount || m_loadedAt) {
        return 409;
    }
    const std::string model = order.value("model", "");
    const bool load = order.value("op", "") == "load";
    if (load == m_options.resident.contains(model)) {
        return 200;
    }
    m_orderCount += 1;
    if (!load) {
        m_options.resident.erase(model);
        return 202;
    }
    m_loading = model;
    m_loadedAt = clock::now() + (m_options.onDisk.contains(model) ? m_options.diskLoadTime : m_options.storeLoadTime);
    return 202;
}

void model_engine::onOrder(caller_link &caller, const received_request &request)
{
    const nlohmann::json json = nlohmann::json::parse(request.body, nullptr, false);
    if (!json.is_object() || !json.contains("holder") || !json.contains("fence")) {
        caller.respond(400, {}, {});
        return;
    }
    received_order order{clock::now(), id(), json["holder"], json["fence"], request.body, 0};
    order.status = execute(json);
    m_record.write("engine " + id() + " receives order " + request.body + ", answers " + std::to_string(order.status));
    m_orders.push_back(order);
    caller.respond(order.status, {}, {});
}

static void sendEvents(asio::io_context &loop, const std::shared_ptr<caller_link> &caller, int event)
{
    if (!caller->isOpen()) {
        return;
    }
    caller->sendPart("id: " + std::to_string(event) + "\ndata: token\n\n");
    if (event >= events) {
        caller->endStream();
        return;
    }
    const auto timer = std::make_shared<asio::steady_timer>(loop, shortPause);
    timer->async_wait([&loop, caller, event, timer](const asio::error_code &) {
        sendEvents(loop, caller, event + 1);
    });
}

void model_engine::onRequest(const std::shared_ptr<caller_link> &caller, const received_request &request)
{
    completeOrder();
    header_list headers;
    const std::string requestId = fieldOf(request, "X-Request-Id");
    if (!requestId.empty()) {
        headers.add("X-Request-Id", requestId);
    }
    const bool isHere = fieldOf(request, "X-Expect-Instance") == id();
    if (isHere && request.target == "/-/order") {
        onOrder(*caller, request);
    } else if (isHere && request.target == "/-/report") {
        report(*caller);
    } else if (isHere && m_options.resident.contains(fieldOf(request, "X-Model"))) {
        m_record.write("engine " + id() + " runs " + requestId);
        headers.add("X-Answer-Stamp", id() + ".stamp");
        headers.add("Content-Type", "text/event-stream");
        caller->startStream(200, headers);
        sendEvents(m_loop, caller, 1);
    } else {
        headers.add("X-Not-Run", "1");
        caller->respond(421, headers, {});
    }
}

struct lossy_path::connection
{
    explicit connection(asio::ip::tcp::socket accepted)
        : vm(std::move(accepted))
        , engine(vm.get_executor())
        , timer(vm.get_executor())
    {
    }

    asio::ip::tcp::socket &from(bool toEngine)
    {
        return toEngine ? vm : engine;
    }
    void close()
    {
        for (asio::ip::tcp::socket *socket : {&vm, &engine}) {
            asio::error_code ignored; // it may be closed already
            socket->close(ignored);
        }
    }

    asio::ip::tcp::socket vm;
    asio::ip::tcp::socket engine;
    asio::steady_timer timer;
    std::array<std::array<char, 16384>, 2> bytes{};
};

lossy_path::lossy_path(asio::io_context &loop, asio::ip::tcp::endpoint engine, loss_source losses)
    : m_engine(std::move(engine))
    , m_losses(std::move(losses))
    , m_acceptor(loop, {asio::ip::address_v4::loopback(), 0})
{
    accept();
}

void lossy_path::accept()
{
    m_acceptor.async_accept([this](const asio::error_code &problem, asio::ip::tcp::socket vm) {
        if (problem) {
            return;
        }
        const auto made = std::make_shared<connection>(std::move(vm));
        asio::error_code refused;
        made->engine.connect(m_engine, refused);
        if (refused) {
            made->close();
        } else {
            asio::error_code ignored; // the option only tunes the connection
            made->vm.set_option(asio::ip::tcp::no_delay(true), ignored);
            made->engine.set_option(asio::ip::tcp::no_delay(true), ignored);
            pump(made, true);
            pump(made, false);
        }
        accept();
    });
}

void lossy_path::pump(const std::shared_ptr<connection> &through, bool toEngine)
{
    through->from(toEngine).async_read_some(
        asio::buffer(through->bytes.at(toEngine ? 1 : 0)), [this, through, toEngine](const asio::error_code &problem, std::size_t size) {
            if (problem) {
                through->close();
                return;
            }
            m_carried += 1;
            const int losses = toEngine ? m_losses(std::string(through->bytes[1].data(), size)) : 0;
            if (losses == 0) {
                forward(through, toEngine, size);
                return;
            }
            std::chrono::milliseconds delay{0};
            for (int loss = 0; loss < losses; ++loss) {
                delay += firstRetransmission * (1 << loss);
            }
            m_lost += static_cast<std::size_t>(losses);
            through->timer.expires_after(delay);
            through->timer.async_wait([this, through, toEngine, size](const asio::error_code &cancelled) {
                if (!cancelled) {
                    forward(through, toEngine, size);
                }
            });
        });
}

void lossy_path::forward(const std::shared_ptr<connection> &through, bool toEngine, std::size_t size)
{
    asio::async_write(through->from(!toEngine),
                      asio::buffer(through->bytes.at(toEngine ? 1 : 0), size),
                      [this, through, toEngine](const asio::error_code &problem, std::size_t) {
                          if (problem) {
                              through->close();
                          } else {
                              pump(through, toEngine);
                          }
                      });
}

static asio::ip::tcp::endpoint endpointOf(const std::string &address)
{
    const std::size_t colon = address.find(':');
    return {asio::ip::make_address(address.substr(0, colon)), static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))};
}

vm_process::vm_process(std::string name, nlohmann::json settings, const std::string &folder, event_record &record)
    : m_name(std::move(name))
    , m_settings(std::move(settings))
    , m_settingsPath(folder + "/" + m_name + ".json")
    , m_logPath(folder + "/" + m_name + ".log")
    , m_record(record)
{
    std::ofstream(m_settingsPath) << m_settings.dump();
}

vm_process::~vm_process()
{
    if (m_pid != 0) {
        ::kill(m_pid, SIGCONT);
        ::kill(m_pid, SIGKILL);
        ::waitpid(m_pid, nullptr, 0);
    }
}

void vm_process::start()
{
    const int log = ::open(m_logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    const std::string word = "--config=" + m_settingsPath;
    m_pid = ::fork();
    if (m_pid == 0) {
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        ::execl(program, program, word.c_str(), nullptr);
        ::_exit(127);
    }
    ::close(log);
    m_record.write(m_name + " started");
}

void vm_process::send(int signal)
{
    ::kill(m_pid, signal);
}

bool vm_process::awaitEnd(std::chrono::seconds limit)
{
    const auto end = clock::now() + limit;
    while (clock::now() < end) {
        if (::waitpid(m_pid, nullptr, WNOHANG) == m_pid) {
            m_pid = 0;
            m_record.write(m_name + " ended");
            return true;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    ::kill(m_pid, SIGKILL);
    ::waitpid(m_pid, nullptr, 0);
    m_pid = 0;
    m_record.write(m_name + " killed");
    return false;
}

asio::ip::tcp::endpoint vm_process::callers() const
{
    return endpointOf(m_settings["callers"]);
}

/// Sends \p text and reads one answer.
static scene_answer exchange(const asio::ip::tcp::endpoint &address, const std::string &text)
{
    static constexpr int longestMs = 15000;
    scene_answer answer;
    asio::io_context loop;
    asio::ip::tcp::socket socket(loop);
    asio::error_code problem;
    socket.connect(address, problem);
    if (!problem) {
        asio::write(socket, asio::buffer(text), problem);
    }
    answer_reader reader;
    std::array<char, 4096> bytes{};
    while (!problem && !answer.isWhole) {
        pollfd readable{socket.native_handle(), POLLIN, 0};
        if (::poll(&readable, 1, longestMs) <= 0) {
            break;
        }
        const std::size_t size = socket.read_some(asio::buffer(bytes), problem);
        if (problem) {
            break;
        }
        const answer_progress progress = reader.consume(std::string_view(bytes.data(), size));
        answer.body += progress.body;
        answer.isWhole = progress.complete;
        answer.status = reader.head().status;
        if (progress.broken) {
            break;
        }
    }
    return answer;
}

bool vm_process::isReady() const
{
    return exchange(endpointOf(m_settings["ready"]), "GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n").status == 200;
}

/// \return the first of \p count ports that nothing uses at 127.0.0.1.
static std::uint16_t freePorts(int count)
{
    static constexpr int lowest = 20000;
    static constexpr int highest = 32000;
    for (int first = lowest + (::getpid() * 7) % 10000; first < highest; first += count) {
        bool isFree = true;
        for (int port = first; isFree && port < first + count; ++port) {
            asio::io_context loop;
            asio::ip::tcp::acceptor probe(loop);
            asio::error_code problem;
            probe.open(asio::ip::tcp::v4(), problem);
            probe.bind({asio::ip::address_v4::any(), static_cast<std::uint16_t>(port)}, problem);
            isFree = !problem;
        }
        if (isFree) {
            return static_cast<std::uint16_t>(first);
        }
    }
    throw std::runtime_error("no free ports");
}

scene::scene(const std::string &recordPath)
    : m_record(recordPath)
    , m_work(asio::make_work_guard(m_loop))
    , m_store(m_loop)
    , m_beatTimer(m_loop)
    , m_losses([](const std::string &) {
        return 0;
    })
    , m_firstPort(freePorts(portsOfVm))
{
    std::string folder = (std::filesystem::temp_directory_path() / "fuchsialoom-review-XXXXXX").string();
    m_folder = ::mkdtemp(folder.data());
    m_store.setEra(1);
    m_thread = std::thread([this] {
        m_loop.run();
    });
    call([this] {
        beat();
    });
}

scene::~scene()
{
    m_vms.clear();
    m_loop.stop();
    m_thread.join();
    if (std::getenv("KEEP_LOGS") == nullptr) {
        std::filesystem::remove_all(m_folder);
    }
}

void scene::beat()
{
    for (const auto &[id, engine] : m_engines) {
        m_store.put("keyed.servers", id, engine->entry());
    }
    for (const auto &[id, entry] : m_targets) {
        m_store.put("keyed.servers", id, entry);
    }
    m_beatTimer.expires_after(heartbeatInterval);
    m_beatTimer.async_wait([this](const asio::error_code &problem) {
        if (!problem) {
            beat();
        }
    });
}

void scene::configure(const std::vector<std::string> &names)
{
    nlohmann::json models = nlohmann::json::array();
    for (const std::string &name : names) {
        models.push_back({{"name", name}, {"mb", 70000}, {"load_s", 1.2}, {"warm_s", 0.4}, {"disk_s", 0.5}, {"adapters", 0}});
    }
    const nlohmann::json route{{"name", "chat"},
                               {"host", "h.example"},
                               {"prefix", "/chat/"},
                               {"kind", "stream"},
                               {"service", "models"},
                               {"timeout_ms", 12000},
                               {"slo_ms", 3000},
                               {"gap_aim_ms", 300},
                               {"prio", 1},
                               {"attempts", 1},
                               {"resumable", false},
                               {"sticky", true}};
    const nlohmann::json engine{
        {"slots", 32}, {"kv_capacity", 130000}, {"mb", 220000}, {"adapter_slots", 8}, {"loads_per_s", 2.8}, {"models", models}};
    const nlohmann::json configuration{
        {"version", 3},
        {"routes", {route}},
        {"services", {{{"name", "models"}, {"health_path", "/healthz"}, {"max_conns", 250}, {"engine", engine}}}},
        {"limits", {{"max_header_bytes", 16384}, {"max_body_bytes", 4194304}, {"header_timeout_ms", 3000}, {"idle_timeout_ms", 15000}}}};
    configure(configuration);
}

void scene::configure(const nlohmann::json &configuration)
{
    call([&] {
        m_store.put("keyed.op", "config", configuration.dump());
    });
}

void scene::addTarget(const std::string &id, const std::string &entry)
{
    call([&] {
        m_targets[id] = entry;
        m_store.put("keyed.servers", id, entry);
    });
}

void scene::addEngine(engine_options options)
{
    call([&] {
        const std::string id = options.id;
        m_engines[id] = std::make_unique<model_engine>(m_loop, std::move(options), m_record);
        m_store.put("keyed.servers", id, m_engines[id]->entry());
    });
}

vm_process &scene::addVm(const std::string &zone, const store_path &path)
{
    const std::size_t number = m_vms.size() + 1;
    const std::string name = "vm-" + std::to_string(number);
    const std::string ip = "127.0.1." + std::to_string(number);
    const auto at = [&](int port) {
        return ip + ":" + std::to_string(m_firstPort + port);
    };
    const std::uint16_t store = call([this, name] {
        const auto edit = [this, name](const std::string &topic, const std::string &key, const std::string &value) {
            if (topic != "keyed.servers" || value.empty() || !m_engines.contains(key)) {
                return value;
            }
            std::unique_ptr<lossy_path> &path = m_paths[{name, key}];
            if (!path) {
                path = std::make_unique<lossy_path>(m_loop, m_engines.at(key)->address(), m_losses);
            }
            nlohmann::json entry = nlohmann::json::parse(value);
            entry["addr"] = "127.0.0.1:" + std::to_string(path->port());
            return entry.dump();
        };
        return m_store.addView(edit).port();
    });
    const nlohmann::json settings{{"vm", name},
                                  {"domain", zone},
                                  {"region", "r"},
                                  {"callers", at(0)},
                                  {"ready", at(1)},
                                  {"address", ip},
                                  {"firstPort", m_firstPort + 2},
                                  {"lastPort", m_firstPort + portsOfVm - 1},
                                  {"seeds", nlohmann::json::array()},
                                  {"heartbeatMs", heartbeatInterval.count()},
                                  {"wholeFleetStarts", m_isFirstStart},
                                  {"store", "127.0.0.1:" + std::to_string(path ? path(store) : store)},
                                  {"limits", {{"cpu_share", 0.25}, {"vcpus", 1}, {"ram_mb", 260}, {"max_fds", 4100}, {"net_mbps", 1000}}},
                                  {"bounds",
                                   {{"stable_ms", 3000},
                                    {"drain_ms", 2000},
                                    {"grace_s", 8},
                                    {"loss_slack_ms", 200},
                                    {"config_apply_ms", 2000},
                                    {"retry_ratio", 0.2},
                                    {"retry_window_s", 10},
                                    {"retry_slack", 58},
                                    {"fence_checked", false},
                                    {"lease_ms", 3000},
                                    {"freeze_slack_ms", 300},
                                    {"ceiling_window_s", 5},
                                    {"origin_excess", 1.1}}}};
    m_vms.push_back(std::make_unique<vm_process>(name, settings, m_folder, m_record));
    m_vms.back()->start();
    return *m_vms.back();
}

vm_process &scene::vm(const std::string &name)
{
    return **std::ranges::find_if(m_vms, [&name](const std::unique_ptr<vm_process> &one) {
        return one->name() == name;
    });
}

bool scene::awaitReady(const vm_process &vm, std::chrono::seconds limit) const
{
    const auto end = clock::now() + limit;
    while (clock::now() < end) {
        if (vm.isReady()) {
            return true;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    return false;
}

scene_answer scene::ask(const vm_process &vm, const std::string &model, const std::string &id)
{
    const std::string text = "POST /chat/1 HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: " + id + "\r\nX-Model: " + model
        + "\r\nX-Token-Count: 100,40\r\nX-Prompt-Prefix: 5c1e07a2:100\r\nX-Deadline-Ms: 12000\r\nContent-Length: 2\r\n\r\nhi";
    m_record.write("client sends " + id + " for " + model + " to " + vm.name());
    scene_answer answer = exchange(vm.callers(), text);
    m_record.write("client gets " + std::to_string(answer.status) + (answer.isWhole ? " whole" : " not whole") + " for " + id);
    return answer;
}

std::vector<received_order> scene::orders()
{
    return call([this] {
        std::vector<received_order> all;
        for (const auto &[id, engine] : m_engines) {
            all.insert(all.end(), engine->orders().begin(), engine->orders().end());
        }
        return all;
    });
}

std::pair<std::size_t, std::size_t> scene::carriedAndLost()
{
    return call([this] {
        std::pair<std::size_t, std::size_t> sum{0, 0};
        for (const auto &[key, path] : m_paths) {
            sum.first += path->carried();
            sum.second += path->lost();
        }
        return sum;
    });
}

} // namespace fuchsialoom::review
