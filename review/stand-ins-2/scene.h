/// \file
/// A small deployment on loopback addresses: the platform's store, engines, the paths to them, and VMs as real processes.
/// What happens is written to a record.
#pragma once

#include "../../platform/standins/fake_store.h"
#include "fuchsialoom/http/caller_link.h"

#include <asio.hpp>
#include <nlohmann/json.hpp>

#include <chrono>
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
#include <vector>

#include <sys/types.h>

namespace fuchsialoom::review
{

using clock = std::chrono::steady_clock;

/// Writes lines with the time since the start of the process.
class event_record
{
public:
    explicit event_record(const std::string &path);

    void write(const std::string &line);
    static double secondsAt(clock::time_point when);

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

/// An order as an engine received it.
struct received_order
{
    clock::time_point at;
    std::string engine;
    std::string holder;
    std::uint64_t fence = 0;
    std::string text;
    int status = 0;
};

struct engine_options
{
    std::string id;
    std::string zone = "a";
    std::set<std::string> resident; ///< models; the order of names is that of their sizes
    std::set<std::string> onDisk;
    double megabytes = 220000;
    double modelMegabytes = 70000;
    std::chrono::milliseconds diskLoadTime{400};
    std::chrono::milliseconds storeLoadTime{1200};
};

/// A model engine: runs streams, reports, and carries out orders one at a time.
class model_engine
{
public:
    model_engine(asio::io_context &loop, engine_options options, event_record &record);

    asio::ip::tcp::endpoint address() const
    {
        return m_listener.address();
    }
    /// \return its entry in the store.
    std::string entry() const;
    const std::string &id() const
    {
        return m_options.id;
    }
    const std::vector<received_order> &orders() const
    {
        return m_orders;
    }

private:
    void onRequest(const std::shared_ptr<caller_link> &caller, const received_request &request);
    void onOrder(caller_link &caller, const received_request &request);
    int execute(const nlohmann::json &order);
    void report(caller_link &caller);
    void completeOrder();
    std::vector<nlohmann::json> models() const;

    asio::io_context &m_loop;
    engine_options m_options;
    event_record &m_record;
    caller_limits m_limits;
    caller_listener m_listener;
    std::uint64_t m_bornMs;
    std::uint64_t m_orderCount = 0;
    std::optional<clock::time_point> m_loadedAt; ///< end of the load under way
    std::string m_loading;
    std::vector<received_order> m_orders;
};

/// A path for TCP connections that loses segments. A lost segment is sent again after 0.2 s, once more after further 0.4 s, as TCP does;
/// what follows it on its connection waits for it.
class lossy_path
{
public:
    /// \return how often the segment that carries \p bytes to the engine is lost.
    using loss_source = std::function<int(const std::string &bytes)>;

    lossy_path(asio::io_context &loop, asio::ip::tcp::endpoint engine, loss_source losses);

    std::uint16_t port() const
    {
        return m_acceptor.local_endpoint().port();
    }
    /// Segments that were carried, both ways, and those that were lost.
    /// @{
    std::size_t carried() const
    {
        return m_carried;
    }
    std::size_t lost() const
    {
        return m_lost;
    }
    /// @}

private:
    struct connection;

    void accept();
    void pump(const std::shared_ptr<connection> &through, bool toEngine);
    void forward(const std::shared_ptr<connection> &through, bool toEngine, std::size_t size);

    asio::ip::tcp::endpoint m_engine;
    loss_source m_losses;
    asio::ip::tcp::acceptor m_acceptor;
    std::size_t m_carried = 0;
    std::size_t m_lost = 0;
};

/// A process of the deployment's program, by its settings file.
class vm_process
{
public:
    vm_process(std::string name, nlohmann::json settings, const std::string &folder, event_record &record);
    ~vm_process();
    vm_process(const vm_process &) = delete;
    vm_process &operator=(const vm_process &) = delete;

    void start();
    void send(int signal);
    /// Waits for its end, and kills it if it takes longer. \return whether it ended by itself.
    bool awaitEnd(std::chrono::seconds limit);
    bool isReady() const;
    const std::string &name() const
    {
        return m_name;
    }
    asio::ip::tcp::endpoint callers() const;

private:
    std::string m_name;
    nlohmann::json m_settings;
    std::string m_settingsPath;
    std::string m_logPath;
    event_record &m_record;
    pid_t m_pid = 0;
};

struct scene_answer
{
    int status = 0; ///< 0: none
    std::string body;
    bool isWhole = false;
};

class scene
{
public:
    explicit scene(const std::string &recordPath);
    ~scene();
    scene(const scene &) = delete;
    scene &operator=(const scene &) = delete;

    /// Runs \p what on the thread of the stand-ins and waits for it.
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

    event_record &record()
    {
        return m_record;
    }
    /// Writes \p configuration.
    void configure(const nlohmann::json &configuration);
    /// Writes a configuration with the models \p names, and streams at `/chat/` of the host `h.example`.
    void configure(const std::vector<std::string> &names);
    void addEngine(engine_options options);
    /// Writes the entry of a target of the case's own, and again with each heartbeat. VMs reach it without a path between.
    void addTarget(const std::string &id, const std::string &entry);
    /// The event loop of the stand-ins.
    asio::io_context &loop()
    {
        return m_loop;
    }
    model_engine &engine(const std::string &id)
    {
        return *m_engines.at(id);
    }
    /// Sets how segments from VMs to engines are lost. Must be called before the first VM.
    void setLosses(lossy_path::loss_source losses)
    {
        m_losses = std::move(losses);
    }
    /// Tells later VMs that the whole fleet starts for the first time.
    void setFirstStart()
    {
        m_isFirstStart = true;
    }
    fake_store &store()
    {
        return m_store;
    }
    /// \return the port at which a VM reaches the store that listens at the given one.
    using store_path = std::function<std::uint16_t(std::uint16_t)>;
    /// Starts a VM in \p zone that reaches each engine by a path of its own, and the store by \p path, if there is one.
    vm_process &addVm(const std::string &zone, const store_path &path = {});
    vm_process &vm(const std::string &name);
    const std::vector<std::unique_ptr<vm_process>> &vms() const
    {
        return m_vms;
    }
    bool awaitReady(const vm_process &vm, std::chrono::seconds limit) const;
    /// Asks \p vm for a stream of \p model, and waits for its end.
    scene_answer ask(const vm_process &vm, const std::string &model, const std::string &id);
    std::vector<received_order> orders();
    std::pair<std::size_t, std::size_t> carriedAndLost();

private:
    void beat();

    event_record m_record;
    asio::io_context m_loop;
    asio::executor_work_guard<asio::io_context::executor_type> m_work;
    fake_store m_store;
    asio::steady_timer m_beatTimer;
    std::map<std::string, std::unique_ptr<model_engine>> m_engines;
    std::map<std::string, std::string> m_targets; ///< entries by id
    lossy_path::loss_source m_losses;
    std::map<std::pair<std::string, std::string>, std::unique_ptr<lossy_path>> m_paths; ///< by VM and engine
    std::vector<std::unique_ptr<vm_process>> m_vms;
    std::string m_folder;
    bool m_isFirstStart = false;
    std::uint16_t m_firstPort = 0; ///< of six that are free at all addresses of VMs
    std::thread m_thread;
};

} // namespace fuchsialoom::review
