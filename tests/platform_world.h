/// \file
/// The users' platform in small: its store, some targets and some VMs of ours as real processes, on loopback.
#pragma once

#include "child_process.h"
#include "fake_store.h"
#include "fake_target.h"
#include "target_path.h"

#include <asio.hpp>
#include <nlohmann/json.hpp>

#include <functional>
#include <future>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace fuchsialoom
{

/// What a caller got.
struct platform_answer
{
    int status = 0; ///< 0: none
    std::string head;
    std::string body; ///< without its framing
    bool complete = false; ///< ended as its framing says; without length and chunks: by an orderly close

    /// The value of a field of the head, or nothing where it isn't there.
    std::string field(const std::string &name) const;
};

struct platform_request
{
    std::string method = "POST";
    std::string host = "h.example";
    std::string path = "/chat/1";
    std::string id = "r1";
    std::string model = "m1";
    int deadlineMs = 8000;
    std::string more{}; ///< further head lines, each with its line end
    std::string version = "HTTP/1.1";
};

class platform_world
{
public:
    platform_world();
    ~platform_world();

    /// Runs \p what on the stand-ins' thread and waits for it.
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

    fake_store &store()
    {
        return *m_store;
    }
    fake_target &target(const std::string &id)
    {
        return *m_targets.at(id);
    }

    /// A target that has written its entry.
    void addTarget(target_options options);

    /// Writes the configuration with \p version; \p chat: attempts of the route /chat/, which can be resumed
    /// where \p resumable.
    void configure(int version, int chatAttempts = 1, bool resumable = false);

    /// Writes \p configuration.
    void configure(const nlohmann::json &configuration);

    /// What configure() writes without teams.
    static nlohmann::json configurationOf(int version, int chatAttempts = 1, bool resumable = false);

    /// Has \p edit change later configurations before they are written.
    void editConfigurations(std::function<void(nlohmann::json &)> edit)
    {
        m_edit = std::move(edit);
    }

    /// The teams of later configurations, as the platform writes them; none until called.
    void setTeams(nlohmann::json teams)
    {
        m_teams = std::move(teams);
    }

    /// Writes the entry of the target \p id with \p state; removes it without one.
    void listTarget(const std::string &id, const std::string &state);

    /// Sets the field `limits` of the settings of VMs that are started later.
    void setLimits(nlohmann::json limits)
    {
        m_limits = std::move(limits);
    }

    /// Starts a VM. \return its name. \p storePort: of a forwarder to the store; the store's own unless given.
    std::string startVm(const std::string &domain = "a", std::uint16_t storePort = 0);
    /// Starts a VM that reaches each target by a path of its own. \return its name.
    std::string startVmOnPaths(const std::string &domain = "a");
    /// Sets the paths of a VM of startVmOnPaths() to all targets, also to later ones.
    void setPaths(const std::string &vm, path_state state);
    /// Starts the VM \p name again, which has ended.
    void restartVm(const std::string &name);
    child_process &vm(const std::string &name)
    {
        return *m_vms.at(name).process;
    }
    /// The settings that the VM \p name was started with.
    const nlohmann::json &settingsOf(const std::string &name) const
    {
        return m_vms.at(name).settings;
    }
    const std::string &settingsPathOf(const std::string &name) const
    {
        return m_vms.at(name).settingsPath;
    }
    /// Writes all but the end of the settings file of a VM that is started next.
    void cutNextSettings()
    {
        m_cutsSettings = true;
    }
    bool isReady(const std::string &name);
    bool waitReady(const std::string &name);

    /// Where the VM takes connections of callers.
    asio::ip::tcp::endpoint callersOf(const std::string &name) const;

    /// Where the VM listens for other VMs, readiness probes and readers of its metrics.
    /// @{
    asio::ip::tcp::endpoint peersOf(const std::string &name) const;
    asio::ip::tcp::endpoint readinessOf(const std::string &name) const;
    asio::ip::tcp::endpoint metricsEndpointOf(const std::string &name) const;
    /// @}

    /// HOST:PORT of the VM's metrics.
    std::string metricsAddressOf(const std::string &name) const;

    /// The VM's metrics page.
    std::string metricsOf(const std::string &name);

    platform_answer ask(const std::string &vm, const platform_request &request);

    /// An open connection to \p vm that has sent \p request.
    asio::ip::tcp::socket send(const std::string &vm, const platform_request &request);

    /// Sends \p request on a connection that has carried others.
    static void sendOn(asio::ip::tcp::socket &socket, const platform_request &request);

    /// An open connection to \p vm.
    asio::ip::tcp::socket connect(const std::string &vm);

    /// The whole text of \p request, for a connection that is open.
    static std::string textOf(const platform_request &request);

    /// The same in two steps: all but the body, and the body, with which the request is whole.
    /// @{
    asio::ip::tcp::socket sendHead(const std::string &vm, const platform_request &request);
    static void sendHead(asio::ip::tcp::socket &socket, const platform_request &request);
    static void sendBody(asio::ip::tcp::socket &socket);
    /// @}

    /// Everything that comes on \p socket until it ends or the answer is whole.
    static platform_answer receive(asio::ip::tcp::socket &socket);

    asio::io_context &loop()
    {
        return m_callers;
    }

private:
    struct vm_entry
    {
        std::unique_ptr<child_process> process;
        std::string callers;
        std::string ready;
        std::string metrics;
        std::string settingsPath;
        nlohmann::json settings;
    };

    target_path &pathOf(const std::string &vm, const std::string &target);

    asio::io_context m_loop; ///< of the stand-ins
    asio::io_context m_callers; ///< of the callers' sockets, which block
    asio::executor_work_guard<asio::io_context::executor_type> m_work;
    std::unique_ptr<fake_store> m_store;
    std::map<std::string, std::unique_ptr<fake_target>> m_targets;
    std::map<std::pair<std::string, std::string>, std::unique_ptr<target_path>> m_paths; ///< by VM and target
    std::map<std::string, path_state> m_pathStates; ///< by VM
    std::map<std::string, vm_entry> m_vms;
    nlohmann::json m_teams;
    nlohmann::json m_limits{{"max_fds", 4096}};
    std::function<void(nlohmann::json &)> m_edit;
    std::string m_folder;
    bool m_cutsSettings = false;
    std::thread m_thread;
};

} // namespace fuchsialoom
