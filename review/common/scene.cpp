/// \file
/// The parts of a review case.
#include "scene.h"

#include "fuchsialoom/http/answer_reader.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <stdexcept>

#include <fcntl.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <unistd.h>

namespace fuchsialoom::review
{

using std::chrono::milliseconds;

static constexpr std::uint16_t callersPort = 8149;
static constexpr std::uint16_t readyPort = 8141;
static constexpr std::uint16_t firstPort = 7380;
static constexpr std::uint16_t lastPort = 7395;
static constexpr std::uint16_t storePort = 8142;
static constexpr std::uint16_t enginePort = 9000;
static constexpr milliseconds heartbeatInterval{1200};
static constexpr milliseconds diskLoadTime{500};
static constexpr milliseconds storeLoadTime{1200};
static constexpr milliseconds copyInterval{100};
static constexpr milliseconds keptCopies{10000};

case_record::case_record(const std::string &path)
    : m_file(path)
{
}

std::int64_t case_record::elapsedMs() const
{
    return std::chrono::duration_cast<milliseconds>(steady::now() - m_startedAt).count();
}

void case_record::write(const std::string &line)
{
    const std::lock_guard lock(m_mutex);
    m_file << elapsedMs() << " ms: " << line << '\n' << std::flush;
}

bool waitUntil(const std::function<bool()> &condition, milliseconds limit)
{
    const auto end = steady::now() + limit;
    while (!condition()) {
        if (steady::now() >= end) {
            return false;
        }
        std::this_thread::sleep_for(milliseconds(5));
    }
    return true;
}

bool isTroubled()
{
    const char *trouble = std::getenv("TROUBLE");
    return !trouble || std::string(trouble) != "0";
}

// The store.

static std::string queryValue(const received_request &request, const std::string &name)
{
    std::size_t at = request.target.find('?');
    while (at != std::string::npos) {
        const std::size_t end = request.target.find('&', at + 1);
        const std::string part = request.target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
        if (part.starts_with(name + "=")) {
            return part.substr(name.size() + 1);
        }
        at = end;
    }
    return "";
}

static std::uint64_t queryNumber(const received_request &request, const std::string &name)
{
    const std::string text = queryValue(request, name);
    return text.empty() ? 0 : std::stoull(text);
}

static void appendBigEndian(std::string &bytes, std::uint64_t number, int size)
{
    for (int shift = 8 * (size - 1); shift >= 0; shift -= 8) {
        bytes.push_back(static_cast<char>(number >> shift & 0xff));
    }
}

static std::string encodedBase64(const std::string &bytes)
{
    static constexpr std::string_view letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        std::uint32_t bits = 0;
        for (std::size_t i = 0; i < 3; ++i) {
            bits = bits << 8 | (at + i < bytes.size() ? static_cast<unsigned char>(bytes[at + i]) : 0);
        }
        for (std::size_t i = 0; i < 4; ++i) {
            text.push_back(at + i > bytes.size() ? '=' : letters[bits >> (18 - 6 * i) & 63]);
        }
    }
    return text;
}

static std::string keyedRecordOf(const std::string &key, const std::string &value)
{
    return std::string(1, static_cast<char>(key.size())) + key + value;
}

review_store::review_store(asio::io_context &loop, const asio::ip::tcp::endpoint &address, case_record &record)
    : m_loop(loop)
    , m_record(record)
    , m_copyTimer(loop)
    , m_listener(loop,
                 address,
                 caller_events{.onRequest =
                                   [this](const std::shared_ptr<caller_link> &caller, const received_request &request) {
                                       onRequest(caller, request);
                                   },
                               .onRejected = {},
                               .limits = [this]() -> const caller_limits & {
                                   return m_limits;
                               }})
{
    m_limits.idleTimeout = milliseconds(60000);
    m_listener.start(1000);
    takeCopies();
}

void review_store::takeCopies()
{
    if (!m_away) {
        m_copies.push_back({steady::now(), m_topics});
        while (steady::now() - m_copies.front().takenAt > keptCopies) {
            m_copies.pop_front();
        }
    }
    m_copyTimer.expires_after(copyInterval);
    m_copyTimer.async_wait([this](const asio::error_code &problem) {
        if (!problem) {
            takeCopies();
        }
    });
}

void review_store::respond(const std::shared_ptr<caller_link> &caller, int status, const std::string &body) const
{
    header_list headers;
    headers.add("Store-Era", std::to_string(m_era));
    caller->respond(status, std::move(headers), body);
}

void review_store::setAway(bool away)
{
    m_away = away;
    m_record.write(away ? "the store is away" : "the store is back, era " + std::to_string(m_era));
    if (!away) {
        return;
    }
    for (const waiting_read &one : std::exchange(m_waiting, {})) {
        one.timer->cancel();
        if (one.caller->isOpen()) {
            respond(one.caller, 503, {});
        }
    }
}

void review_store::restoreCopy(milliseconds age)
{
    const auto wanted = steady::now() - age;
    auto copy = m_copies.begin();
    while (std::next(copy) != m_copies.end() && std::next(copy)->takenAt <= wanted) {
        ++copy;
    }
    const auto ageMs = std::chrono::duration_cast<milliseconds>(steady::now() - copy->takenAt).count();
    m_record.write("the store's content is a copy " + std::to_string(ageMs) + " ms old");
    m_topics = copy->topics;
    m_era += 1;
}

std::string review_store::newestValue(const std::string &topic, const std::string &key) const
{
    const auto found = m_topics.find(topic);
    if (found == m_topics.end() || !found->second.newest.contains(key)) {
        return "";
    }
    return found->second.newest.at(key).first;
}

std::uint64_t review_store::endOf(const std::string &topic) const
{
    const auto found = m_topics.find(topic);
    return found == m_topics.end() ? 0 : found->second.records.size();
}

void review_store::add(const std::string &topic, const std::string &record)
{
    topic_state &state = m_topics[topic];
    if (topic.starts_with("keyed.") && !record.empty()) {
        const auto keySize = static_cast<unsigned char>(record[0]);
        const std::string key = record.substr(1, keySize);
        const std::string value = record.substr(1 + keySize);
        if (value.empty()) {
            state.newest.erase(key);
        } else {
            state.newest[key] = {value, state.records.size()};
        }
        if (topic == "keyed.duty") {
            m_record.write("lease record at offset " + std::to_string(state.records.size()) + ": " + value);
        }
    }
    state.records.push_back(record);
}

void review_store::put(const std::string &topic, const std::string &key, const std::string &value)
{
    add(topic, keyedRecordOf(key, value));
    wakeReads(topic);
}

void review_store::onRequest(const std::shared_ptr<caller_link> &caller, const received_request &request)
{
    if (m_away) {
        respond(caller, 503, {});
        return;
    }
    const std::string_view path = request.path();
    if (path == "/-/log-append") {
        append(caller, request);
    } else if (path == "/-/log-read") {
        read(caller, request);
    } else if (path == "/-/log-newest") {
        listNewest(caller, request);
    } else {
        respond(caller, 404, {});
    }
}

void review_store::append(const std::shared_ptr<caller_link> &caller, const received_request &request)
{
    const std::string topic = queryValue(request, "topic");
    const std::uint64_t end = endOf(topic);
    const std::string asOf = queryValue(request, "as_of");
    if (!asOf.empty() && std::stoull(asOf) != end) {
        respond(caller, 412, nlohmann::json{{"end", end}}.dump());
        return;
    }
    static constexpr std::size_t lengthBytes = 4;
    for (std::size_t at = 0; at + lengthBytes <= request.body.size();) {
        std::size_t length = 0;
        for (std::size_t i = 0; i < lengthBytes; ++i) {
            length = length << 8 | static_cast<unsigned char>(request.body[at + i]);
        }
        add(topic, request.body.substr(at + lengthBytes, length));
        at += lengthBytes + length;
    }
    respond(caller, 200, nlohmann::json{{"offset", end}, {"end", endOf(topic)}}.dump());
    wakeReads(topic);
}

void review_store::answerRecords(const std::shared_ptr<caller_link> &caller, const std::string &topic, std::uint64_t from)
{
    const topic_state &state = m_topics[topic];
    std::string body;
    appendBigEndian(body, state.records.size(), 8);
    appendBigEndian(body, 0, 8);
    for (std::uint64_t offset = from; offset < state.records.size(); ++offset) {
        appendBigEndian(body, state.records[offset].size(), 4);
        body.append(state.records[offset]);
    }
    respond(caller, 200, body);
}

void review_store::read(const std::shared_ptr<caller_link> &caller, const received_request &request)
{
    const std::string topic = queryValue(request, "topic");
    const std::uint64_t from = queryNumber(request, "from");
    const std::uint64_t wait = queryNumber(request, "wait_ms");
    const std::uint64_t end = endOf(topic);
    if (from > end) {
        // The page: a read from an offset that the store doesn't have gets 410.
        respond(caller, 410, nlohmann::json{{"first", 0}}.dump());
        return;
    }
    if (from < end || wait == 0) {
        answerRecords(caller, topic, from);
        return;
    }
    const auto timer = std::make_shared<asio::steady_timer>(m_loop, milliseconds(wait));
    m_waiting.push_back({caller, topic, from, timer});
    timer->async_wait([this, timer](const asio::error_code &problem) {
        if (problem) {
            return;
        }
        std::erase_if(m_waiting, [this, &timer](const waiting_read &one) {
            if (one.timer == timer && one.caller->isOpen()) {
                answerRecords(one.caller, one.topic, one.from);
            }
            return one.timer == timer;
        });
    });
}

void review_store::wakeReads(const std::string &topic)
{
    std::vector<waiting_read> woken;
    std::erase_if(m_waiting, [&](const waiting_read &one) {
        if (one.topic != topic || one.from >= endOf(topic)) {
            return false;
        }
        woken.push_back(one);
        return true;
    });
    for (const waiting_read &one : woken) {
        one.timer->cancel();
        if (one.caller->isOpen()) {
            answerRecords(one.caller, topic, one.from);
        }
    }
}

void review_store::listNewest(const std::shared_ptr<caller_link> &caller, const received_request &request)
{
    static constexpr std::size_t pageSize = 500;
    const topic_state &state = m_topics[queryValue(request, "topic")];
    nlohmann::json items = nlohmann::json::array();
    auto at = state.newest.upper_bound(queryValue(request, "after"));
    for (; at != state.newest.end() && items.size() < pageSize; ++at) {
        items.push_back({{"key", at->first}, {"value", encodedBase64(at->second.first)}, {"offset", at->second.second}});
    }
    respond(caller, 200, nlohmann::json{{"items", items}, {"truncated", at != state.newest.end()}, {"end", state.records.size()}}.dump());
}

// Engines.

static std::string headerValue(const received_request &request, const char *name)
{
    const std::string *value = request.headers.find(name);
    return value ? *value : "";
}

review_engine::review_engine(asio::io_context &loop,
                             const asio::ip::tcp::endpoint &address,
                             review_store &store,
                             case_record &record,
                             std::string id,
                             std::string service,
                             const std::set<std::string> &models)
    : m_store(store)
    , m_record(record)
    , m_id(std::move(id))
    , m_service(std::move(service))
    , m_address(address.address().to_string() + ":" + std::to_string(address.port()))
    , m_loop(loop)
    , m_beatTimer(loop)
    , m_listener(loop,
                 address,
                 caller_events{.onRequest =
                                   [this](const std::shared_ptr<caller_link> &caller, const received_request &request) {
                                       onRequest(caller, request);
                                   },
                               .onRejected = {},
                               .limits = [this]() -> const caller_limits & {
                                   return m_limits;
                               }})
{
    for (const std::string &model : models) {
        m_models[model];
    }
    m_onDisk = models;
    m_isEngine = !models.empty();
    m_limits.idleTimeout = milliseconds(60000);
    m_listener.start(1000);
    beat();
}

static nlohmann::json modelsOf(const std::map<std::string, std::set<std::string>> &models)
{
    nlohmann::json list = nlohmann::json::array();
    for (const auto &[name, adapters] : models) {
        list.push_back({{"name", name}, {"version", 1}, {"adapters", adapters}});
    }
    return list;
}

void review_engine::writeEntry()
{
    nlohmann::json entry{{"service", m_service},
                         {"addr", m_address},
                         {"zone", "a"},
                         {"version", "v1"},
                         {"slots", 8},
                         {"state", m_state},
                         {"cold_left_ms", 0},
                         {"seq", ++m_beats}};
    completeLoad();
    if (m_isEngine) {
        entry["models"] = modelsOf(m_models);
    }
    m_store.put("keyed.servers", m_id, entry.dump());
}

void review_engine::beat()
{
    if (m_hasExited) {
        return;
    }
    if (!m_store.isAway()) {
        writeEntry();
    }
    m_beatTimer.expires_after(heartbeatInterval);
    m_beatTimer.async_wait([this](const asio::error_code &problem) {
        if (!problem) {
            beat();
        }
    });
}

void review_engine::completeLoad()
{
    if (!m_loading.empty() && steady::now() >= m_loadedAt) {
        m_models[m_loading];
        m_onDisk.insert(m_loading);
        m_loading.clear();
    }
}

std::string review_engine::report()
{
    completeLoad();
    return nlohmann::json{{"stage", "mixed"},
                          {"models", modelsOf(m_models)},
                          {"busy", !m_loading.empty()},
                          {"seq", m_orderCount},
                          {"queued", 0},
                          {"running", 0},
                          {"kv_used", 0},
                          {"kv_total", 90000},
                          {"handles", 0},
                          {"at_hand", {{"resident", nlohmann::json::array()}, {"on_disk", m_onDisk}}}}
        .dump();
}

int review_engine::executeModelOrder(const std::string &model, bool load)
{
    if (load == m_models.contains(model)) {
        return 200;
    }
    if (!m_loading.empty()) {
        return 409;
    }
    m_orderCount += 1;
    if (load) {
        m_loading = model;
        m_loadedAt = steady::now() + (m_onDisk.contains(model) ? diskLoadTime : storeLoadTime);
    } else {
        m_models.erase(model);
    }
    return 202;
}

int review_engine::execute(const nlohmann::json &order)
{
    completeLoad();
    if (!order.is_object() || !order.contains("holder") || !order.contains("fence")) {
        return 400;
    }
    if (order.value("expected", m_orderCount) != m_orderCount) {
        return 409;
    }
    const bool load = order.value("op", "") == "load";
    if (!order.contains("adapter")) {
        return executeModelOrder(order.value("model", ""), load);
    }
    const auto model = m_models.find(order.value("model", ""));
    if (model == m_models.end()) {
        return 400;
    }
    const auto adapter = order["adapter"].get<std::string>();
    if (load == model->second.contains(adapter)) {
        return 200;
    }
    m_orderCount += 1;
    if (load) {
        model->second.insert(adapter);
        return 202;
    }
    model->second.erase(adapter);
    return 200;
}

void review_engine::onRequest(const std::shared_ptr<caller_link> &caller, const received_request &request)
{
    header_list headers;
    headers.add("X-Instance-Id", m_id);
    const std::string expected = headerValue(request, "X-Expect-Instance");
    if (!expected.empty() && expected != m_id) {
        caller->respond(421, std::move(headers), {});
        return;
    }
    if (request.path() == "/-/report") {
        caller->respond(200, std::move(headers), report());
        return;
    }
    if (request.path() == "/-/order") {
        const nlohmann::json order = nlohmann::json::parse(request.body, nullptr, false);
        received_order received{steady::now(), "", 0, request.body, execute(order)};
        if (order.is_object()) {
            received.holder = order.value("holder", "");
            received.fence = order.value("fence", std::uint64_t{0});
        }
        m_record.write("order at engine " + m_id + ", answered " + std::to_string(received.status) + ": " + request.body);
        const int status = received.status;
        m_orders.push_back(std::move(received));
        caller->respond(status, std::move(headers), {});
        return;
    }
    const std::string id = headerValue(request, "X-Request-Id");
    headers.add("X-Request-Id", id);
    completeLoad();
    const std::string wanted = headerValue(request, "X-Model");
    const std::size_t slash = wanted.find('/');
    const auto model = m_models.find(wanted.substr(0, slash));
    const bool isHeld = model != m_models.end() && (slash == std::string::npos || model->second.contains(wanted.substr(slash + 1)));
    if (m_isEngine && !isHeld) {
        caller->respond(421, std::move(headers), {});
        return;
    }
    if (m_isEngine && m_refusal > milliseconds(0) && request.headers.find("Last-Event-Id")) {
        refuseLater(caller, std::move(headers), id);
        return;
    }
    m_runs.push_back({steady::now(), id});
    m_record.write("engine " + m_id + " runs " + id + " for " + request.target + " " + wanted);
    headers.add("X-Answer-Stamp", m_id + ".stamp");
    if (!m_isEngine) {
        answerLater(caller, std::move(headers));
        return;
    }
    headers.add("Content-Type", "text/event-stream");
    stream(caller, std::move(headers), id);
}

void review_engine::later(milliseconds pause, std::function<void()> step)
{
    const auto timer = std::make_shared<asio::steady_timer>(m_loop, pause);
    timer->async_wait([timer, step = std::move(step)](const asio::error_code &) {
        step();
    });
}

void review_engine::refuseLater(const std::shared_ptr<caller_link> &caller, header_list headers, const std::string &id)
{
    m_record.write("engine " + m_id + " has " + id + " to resume");
    headers.add("X-Not-Run", "1");
    later(m_refusal, [this, caller, headers = std::move(headers), id] {
        if (caller->isOpen()) {
            m_record.write("engine " + m_id + " is full and refuses " + id);
            caller->respond(503, headers, {});
        }
    });
}

void review_engine::stream(const std::shared_ptr<caller_link> &caller, header_list headers, const std::string &id)
{
    caller->onGone([this, id] {
        m_record.write("the VM closes the run of " + id + " at engine " + m_id);
    });
    caller->startStream(200, std::move(headers));
    caller->sendPart("id: 1\ndata: one\n\nid: 2\ndata: two\n\n");
    if (m_silence == milliseconds(0)) {
        caller->endStream();
        return;
    }
    later(m_silence, [this, caller, id] {
        if (caller->isOpen()) {
            m_record.write("engine " + m_id + " goes on with " + id);
            caller->sendPart("id: 3\ndata: three\n\n");
            caller->endStream();
        }
    });
}

void review_engine::answerLater(const std::shared_ptr<caller_link> &caller, header_list headers)
{
    m_callers.push_back(caller);
    const std::size_t run = m_runs.size() - 1;
    const auto timer = std::make_shared<asio::steady_timer>(m_loop, m_runTime);
    timer->async_wait([this, timer, caller, headers = std::move(headers), run](const asio::error_code &) mutable {
        if (m_hasExited) {
            m_runs[run].isCut = true;
            m_record.write("engine " + m_id + " has exited during the run of " + m_runs[run].id);
            return;
        }
        if (caller->isOpen()) {
            caller->respond(200, std::move(headers), "answer of " + m_id);
        }
    });
}

void review_engine::drain()
{
    m_state = "draining";
    m_record.write("engine " + m_id + " reports draining");
    writeEntry();
}

void review_engine::exit()
{
    m_record.write("engine " + m_id + " exits");
    m_hasExited = true;
    m_listener.stopAccepting();
    for (const std::weak_ptr<caller_link> &caller : m_callers) {
        if (const auto open = caller.lock()) {
            open->abort();
        }
    }
}

// VMs.

review_vm::review_vm(std::string name, std::string address, std::string settingsPath, std::string logPath)
    : m_name(std::move(name))
    , m_address(std::move(address))
    , m_settingsPath(std::move(settingsPath))
    , m_logPath(std::move(logPath))
{
}

review_vm::~review_vm()
{
    send(SIGKILL);
    while (!hasEnded()) {
        std::this_thread::sleep_for(milliseconds(1));
    }
}

void review_vm::start()
{
    std::string program = "target/tools/fuchsialoomd"; // from the root of the repository, as the deploy file has it
    std::array<char *, 2> arguments{program.data(), nullptr};
    std::string setting = "FUCHSIALOOM_CONFIG=" + m_settingsPath;
    std::string path = "PATH=/usr/bin:/bin";
    std::array<char *, 3> environment{setting.data(), path.data(), nullptr};
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, m_logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    const int problem = posix_spawn(&m_pid, program.c_str(), &actions, nullptr, arguments.data(), environment.data());
    posix_spawn_file_actions_destroy(&actions);
    if (problem != 0) {
        m_pid = 0;
        throw std::runtime_error("the daemon can't be started; build it first");
    }
}

void review_vm::send(int signal) const
{
    if (m_pid > 0) {
        ::kill(m_pid, signal);
    }
}

bool review_vm::hasEnded()
{
    if (m_pid > 0 && waitpid(m_pid, nullptr, WNOHANG) == m_pid) {
        m_pid = 0;
    }
    return m_pid == 0;
}

// The scene.

static asio::ip::tcp::endpoint endpointAt(const std::string &address, std::uint16_t port)
{
    return {asio::ip::make_address(address), port};
}

scene::scene(case_record &record)
    : m_record(record)
    , m_work(asio::make_work_guard(m_loop))
{
    static int scenes = 0;
    scenes += 1;
    // Each scene of each process has its own part of the loopback range, so that its ports are free.
    const int mark = static_cast<int>(getpid()) % 15000 + scenes * 211;
    m_prefix = "127." + std::to_string(10 + mark / 250 % 200) + "." + std::to_string(1 + mark % 250) + ".";
    std::string folder = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    m_folder = ::mkdtemp(folder.data());
    m_store = std::make_unique<review_store>(m_loop, endpointAt(nextAddress(), storePort), m_record);
    m_thread = std::thread([this] {
        m_loop.run();
    });
}

scene::~scene()
{
    m_vms.clear();
    for (std::thread &client : m_clients) {
        client.join();
    }
    m_loop.stop();
    m_thread.join();
    const char *kept = std::getenv("REVIEW_KEEP");
    if (!kept) {
        std::filesystem::remove_all(m_folder);
    }
}

std::string scene::nextAddress()
{
    m_addresses += 1;
    return m_prefix + std::to_string(m_addresses);
}

void scene::addEngine(const std::string &id, const std::string &service, const std::set<std::string> &models)
{
    const asio::ip::tcp::endpoint address = endpointAt(nextAddress(), enginePort);
    call([&] {
        m_engines[id] = std::make_unique<review_engine>(m_loop, address, *m_store, m_record, id, service, models);
    });
}

void scene::addVm(const std::string &name, const std::string &zone, bool firstStart)
{
    const std::string address = nextAddress();
    const auto at = [&address](std::uint16_t port) {
        return address + ":" + std::to_string(port);
    };
    // The template of the deploy file, filled in for a small deployment.
    nlohmann::json settings{
        {"vm", name},
        {"domain", zone},
        {"region", "r"},
        {"callers", at(callersPort)},
        {"ready", at(readyPort)},
        {"address", address},
        {"firstPort", firstPort},
        {"lastPort", lastPort},
        {"seeds", nlohmann::json::array()},
        {"heartbeatMs", heartbeatInterval.count()},
        {"wholeFleetStarts", firstStart},
        {"store", m_prefix + "1:" + std::to_string(storePort)},
        {"limits", {{"cpu_share", 0.25}, {"vcpus", 1}, {"ram_mb", 260}, {"max_fds", 4100}, {"net_mbps", 1000.0}, {"disk_mb", 0}}},
        {"bounds",
         {{"seed_lag_s", 3},        {"addr_reuse_s", 2},   {"stable_ms", 3000},      {"ack_ms", 4000},          {"sync_s", 4},
          {"drain_ms", 2000},       {"grace_s", 8},        {"loss_slack_ms", 200},   {"config_apply_ms", 2000}, {"downgrade_ms", 250},
          {"stretch_max_ms", 5000}, {"retry_ratio", 0.2},  {"retry_window_s", 10},   {"retry_slack", 58},       {"recovery_s", 12},
          {"pass_ms", 120},         {"retry_after_s", 0},  {"fence_checked", false}, {"lease_ms", 3000},        {"freeze_slack_ms", 300},
          {"ceiling_window_s", 5},  {"origin_excess", 1.1}}}};
    settings["bounds"].update(m_changedBounds);
    const std::string settingsPath = m_folder + "/" + name + ".json";
    std::ofstream(settingsPath) << settings.dump(2);
    m_vms[name] = std::make_unique<review_vm>(name, address, settingsPath, m_folder + "/" + name + ".log");
    m_record.write("VM " + name + " starts");
    m_vms[name]->start();
}

nlohmann::json scene::configuration(int version)
{
    const auto route = [](const std::string &prefix, const std::string &kind, const std::string &service, int attempts) {
        return nlohmann::json{{"name", "r" + prefix},
                              {"host", "h.example"},
                              {"prefix", prefix},
                              {"kind", kind},
                              {"service", service},
                              {"timeout_ms", 8000},
                              {"slo_ms", 400},
                              {"gap_aim_ms", 300},
                              {"prio", 1},
                              {"attempts", attempts}};
    };
    const nlohmann::json model{{"name", "m1"}, {"mb", 70000}, {"load_s", 1.2}, {"adapters", 40}, {"adapter_mb", 66}};
    const nlohmann::json engine{{"slots", 8},
                                {"kv_capacity", 90000},
                                {"mb", 220000},
                                {"adapter_slots", 8},
                                {"loads_per_s", 2.8},
                                {"models", nlohmann::json::array({model})}};
    return nlohmann::json{
        {"version", version},
        {"routes",
         {route("/chat/", "stream", "models", 1), route("/post/", "non_idempotent", "plain", 1), route("/get/", "idempotent", "plain", 2)}},
        {"services", {{{"name", "models"}, {"engine", engine}}, {{"name", "plain"}}, {{"name", "other"}}}},
        {"limits", {{"max_header_bytes", 16384}, {"max_body_bytes", 100000}, {"header_timeout_ms", 3000}, {"idle_timeout_ms", 15000}}}};
}

void scene::writeConfiguration(const nlohmann::json &configuration)
{
    m_record.write("the operator writes configuration " + configuration["version"].dump());
    call([&] {
        m_store->put("keyed.op", "config", configuration.dump());
    });
}

client_answer scene::exchange(const std::string &address, std::uint16_t port, const std::string &text)
{
    client_answer answer;
    asio::io_context own;
    asio::ip::tcp::socket socket(own);
    asio::error_code problem;
    socket.connect(endpointAt(address, port), problem);
    if (problem) {
        return answer;
    }
    const timeval longest{15, 0};
    ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &longest, sizeof longest);
    asio::write(socket, asio::buffer(text), problem);
    answer_reader reader;
    std::array<char, 4096> bytes{};
    while (!answer.complete && !problem) {
        const std::size_t size = socket.read_some(asio::buffer(bytes), problem);
        if (problem && problem != asio::error::eof) {
            break;
        }
        const answer_progress progress = problem ? reader.finish() : reader.consume(std::string_view(bytes.data(), size));
        answer.body += progress.body;
        answer.complete = progress.complete;
        if (progress.broken) {
            break;
        }
    }
    answer.status = reader.head().status;
    return answer;
}

bool scene::waitReady(const std::string &vm, std::chrono::seconds limit)
{
    return waitUntil(
        [&] {
            return exchange(m_vms.at(vm)->address(), readyPort, "GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n").status == 200;
        },
        limit);
}

client_answer scene::ask(const std::string &vm, const std::string &path, const std::string &model, int deadlineMs)
{
    const std::string id = "q" + std::to_string(++m_requests);
    std::string text =
        "POST " + path + " HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: " + std::to_string(deadlineMs);
    if (!model.empty()) {
        text += "\r\nX-Model: " + model + "\r\nX-Token-Count: 200,20\r\nX-Prompt-Prefix: 5c1e07a2:100," + id.substr(1) + ":100";
    }
    text += "\r\nContent-Length: 2\r\n\r\nhi";
    m_record.write("request " + id + " to VM " + vm + ": " + path + " " + model);
    client_answer answer = exchange(m_vms.at(vm)->address(), callersPort, text);
    m_record.write("request " + id + " got " + std::to_string(answer.status) + (answer.complete ? " " : ", incomplete ") + "with "
                   + std::to_string(answer.body.size()) + " bytes");
    return answer;
}

std::future<client_answer> scene::askAside(const std::string &vm, const std::string &path, const std::string &model, int deadlineMs)
{
    std::packaged_task<client_answer()> task([this, vm, path, model, deadlineMs] {
        return ask(vm, path, model, deadlineMs);
    });
    std::future<client_answer> result = task.get_future();
    m_clients.emplace_back(std::move(task));
    return result;
}

void scene::askLater(const std::string &vm, const std::string &path, const std::string &model, int deadlineMs)
{
    m_clients.emplace_back([this, vm, path, model, deadlineMs] {
        ask(vm, path, model, deadlineMs);
    });
}

std::pair<std::string, std::string> scene::newestLease()
{
    const std::string text = call([this] {
        return m_store->newestValue("keyed.duty", "residency");
    });
    const nlohmann::json json = nlohmann::json::parse(text, nullptr, false);
    return json.is_object() ? std::pair(json.value("holder", ""), json.value("kind", "")) : std::pair<std::string, std::string>();
}

} // namespace fuchsialoom::review
