/// \file
/// The parts of a review case: stand-ins of the platform's store and of engines, VMs as real processes, and a record of what was seen.
/// All stand-ins run on one thread, all sockets are on loopback.
#pragma once

#include "fuchsialoom/http/caller_link.h"

#include <asio.hpp>
#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <deque>
#include <fstream>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <sys/types.h>

namespace fuchsialoom::review
{

using steady = std::chrono::steady_clock;

/// Writes one line for each event, with the milliseconds since the start.
class case_record
{
public:
    explicit case_record(const std::string &path);
    void write(const std::string &line);
    std::int64_t elapsedMs() const;

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    steady::time_point m_startedAt = steady::now();
};

/// The platform's metadata store: a log with conditional appends, waiting reads and listings of keyed topics.
class review_store
{
public:
    review_store(asio::io_context &loop, const asio::ip::tcp::endpoint &address, case_record &record);

    /// Appends a keyed record as the operator or an engine does; an empty value deletes the key.
    void put(const std::string &topic, const std::string &key, const std::string &value);
    /// While it is away, every call gets 503 and does nothing.
    void setAway(bool away);
    bool isAway() const
    {
        return m_away;
    }
    /// Replaces all topics by the copy that is \p age old, or the oldest one, and raises the era.
    void restoreCopy(std::chrono::milliseconds age);
    /// The newest value of a key; empty without one.
    std::string newestValue(const std::string &topic, const std::string &key) const;
    std::uint64_t endOf(const std::string &topic) const;

private:
    struct topic_state
    {
        std::vector<std::string> records;
        std::map<std::string, std::pair<std::string, std::uint64_t>> newest; ///< by key: value and offset
    };

    struct waiting_read
    {
        std::shared_ptr<caller_link> caller;
        std::string topic;
        std::uint64_t from = 0;
        std::shared_ptr<asio::steady_timer> timer;
    };

    struct dated_copy
    {
        steady::time_point takenAt;
        std::map<std::string, topic_state> topics;
    };

    void onRequest(const std::shared_ptr<caller_link> &caller, const received_request &request);
    void append(const std::shared_ptr<caller_link> &caller, const received_request &request);
    void read(const std::shared_ptr<caller_link> &caller, const received_request &request);
    void listNewest(const std::shared_ptr<caller_link> &caller, const received_request &request);
    void add(const std::string &topic, const std::string &record);
    void answerRecords(const std::shared_ptr<caller_link> &caller, const std::string &topic, std::uint64_t from);
    void respond(const std::shared_ptr<caller_link> &caller, int status, const std::string &body) const;
    void wakeReads(const std::string &topic);
    void takeCopies();

    asio::io_context &m_loop;
    case_record &m_record;
    caller_limits m_limits;
    std::map<std::string, topic_state> m_topics;
    std::vector<waiting_read> m_waiting;
    std::deque<dated_copy> m_copies;
    asio::steady_timer m_copyTimer;
    std::uint64_t m_era = 1;
    bool m_away = false;
    caller_listener m_listener;
};

/// An order as an engine received it.
struct received_order
{
    steady::time_point at;
    std::string holder;
    std::uint64_t fence = 0;
    std::string text;
    int status = 0;
};

/// A request that an engine began to run.
struct engine_run
{
    steady::time_point at;
    std::string id;
    bool isCut = false; ///< the engine exited before the answer
};

/// A model engine, or a plain server without models.
class review_engine
{
public:
    review_engine(asio::io_context &loop,
                  const asio::ip::tcp::endpoint &address,
                  review_store &store,
                  case_record &record,
                  std::string id,
                  std::string service,
                  const std::set<std::string> &models);

    /// Weights of \p models are on its disk.
    void setOnDisk(const std::set<std::string> &models)
    {
        m_onDisk.insert(models.begin(), models.end());
    }
    const std::vector<received_order> &orders() const
    {
        return m_orders;
    }
    /// All runs, oldest first.
    const std::vector<engine_run> &runs() const
    {
        return m_runs;
    }
    /// How long a plain server works on a request.
    void setRunTime(std::chrono::milliseconds time)
    {
        m_runTime = time;
    }
    /// From now on a stream is silent for \p length after its second event and then goes on; a request to resume a stream waits for
    /// \p refusal and is then refused as not run.
    void setSilence(std::chrono::milliseconds length, std::chrono::milliseconds refusal)
    {
        m_silence = length;
        m_refusal = refusal;
    }
    /// From now on its entry says that it leaves; it serves on until it exits.
    void drain();
    /// Resets all connections and takes no more.
    void exit();
    /// Writes its entry now, beside the heartbeats.
    void writeEntry();

private:
    void onRequest(const std::shared_ptr<caller_link> &caller, const received_request &request);
    int execute(const nlohmann::json &order);
    int executeModelOrder(const std::string &model, bool load);
    void completeLoad();
    std::string report();
    void beat();
    void later(std::chrono::milliseconds pause, std::function<void()> step);
    void stream(const std::shared_ptr<caller_link> &caller, header_list headers, const std::string &id);
    void refuseLater(const std::shared_ptr<caller_link> &caller, header_list headers, const std::string &id);
    void answerLater(const std::shared_ptr<caller_link> &caller, header_list headers);

    review_store &m_store;
    case_record &m_record;
    std::string m_id;
    std::string m_service;
    std::string m_address;
    std::map<std::string, std::set<std::string>> m_models; ///< with their adapters
    std::set<std::string> m_onDisk;
    std::string m_loading; ///< the model that is being loaded; empty: none
    steady::time_point m_loadedAt;
    bool m_isEngine = false;
    std::uint64_t m_orderCount = 0;
    std::uint64_t m_beats = 0;
    std::vector<received_order> m_orders;
    std::vector<engine_run> m_runs;
    std::vector<std::weak_ptr<caller_link>> m_callers;
    std::chrono::milliseconds m_runTime{0};
    std::string m_state = "ready";
    std::chrono::milliseconds m_silence{0};
    std::chrono::milliseconds m_refusal{0};
    bool m_hasExited = false;
    asio::io_context &m_loop;
    asio::steady_timer m_beatTimer;
    caller_limits m_limits;
    caller_listener m_listener;
};

/// A process of the system, started with the command of the deploy file.
class review_vm
{
public:
    review_vm(std::string name, std::string address, std::string settingsPath, std::string logPath);
    ~review_vm();
    review_vm(const review_vm &) = delete;
    review_vm &operator=(const review_vm &) = delete;

    void start();
    void send(int signal) const;
    bool hasEnded();
    const std::string &name() const
    {
        return m_name;
    }
    const std::string &address() const
    {
        return m_address;
    }

private:
    std::string m_name;
    std::string m_address;
    std::string m_settingsPath;
    std::string m_logPath;
    pid_t m_pid = 0;
};

/// What a client got.
struct client_answer
{
    int status = 0; ///< 0: none
    std::string body;
    bool complete = false;
};

/// A small deployment on loopback.
class scene
{
public:
    explicit scene(case_record &record);
    ~scene();

    template<typename What>
    auto call(What what)
    {
        std::packaged_task<decltype(what())()> task(std::move(what));
        auto result = task.get_future();
        asio::post(m_loop, [&task] {
            task();
        });
        return result.get();
    }

    review_store &store()
    {
        return *m_store;
    }
    review_engine &engine(const std::string &id)
    {
        return *m_engines.at(id);
    }
    review_vm &vm(const std::string &name)
    {
        return *m_vms.at(name);
    }
    case_record &record()
    {
        return m_record;
    }
    void addEngine(const std::string &id, const std::string &service, const std::set<std::string> &models);
    /// Changes bounds of the settings of VMs that are added later.
    void setBounds(const nlohmann::json &changed)
    {
        m_changedBounds = changed;
    }
    /// \p firstStart: the whole system starts.
    void addVm(const std::string &name, const std::string &zone, bool firstStart);
    void writeConfiguration(const nlohmann::json &configuration);
    static nlohmann::json configuration(int version);
    bool waitReady(const std::string &vm, std::chrono::seconds limit);
    /// Sends a request for \p model on a new connection and waits for the answer.
    client_answer ask(const std::string &vm, const std::string &path, const std::string &model, int deadlineMs);
    /// The same with the answer as a result that comes later.
    std::future<client_answer> askAside(const std::string &vm, const std::string &path, const std::string &model, int deadlineMs);
    /// The same without waiting for the answer.
    void askLater(const std::string &vm, const std::string &path, const std::string &model, int deadlineMs);
    /// The VM that wrote the newest lease record, and what kind of record it is.
    std::pair<std::string, std::string> newestLease();

private:
    client_answer exchange(const std::string &address, std::uint16_t port, const std::string &text);
    std::string nextAddress();

    case_record &m_record;
    asio::io_context m_loop;
    asio::executor_work_guard<asio::io_context::executor_type> m_work;
    std::string m_folder;
    std::string m_prefix; ///< of the loopback addresses of this scene
    nlohmann::json m_changedBounds = nlohmann::json::object();
    int m_addresses = 0;
    std::atomic<int> m_requests = 0;
    std::unique_ptr<review_store> m_store;
    std::map<std::string, std::unique_ptr<review_engine>> m_engines;
    std::map<std::string, std::unique_ptr<review_vm>> m_vms;
    std::vector<std::thread> m_clients;
    std::thread m_thread;
};

/// Looks every few milliseconds until \p condition holds. \return false if it doesn't within \p limit.
bool waitUntil(const std::function<bool()> &condition, std::chrono::milliseconds limit);
/// Whether the disruption is played: TROUBLE isn't 0.
bool isTroubled();

} // namespace fuchsialoom::review
