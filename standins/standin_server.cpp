/// \file
/// What the HTTP servers of all roles share.
#include "standin_server.h"

#include "fuchsialoom/support/errors.h"
#include "fuchsialoom/wire/http_server.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <condition_variable>
#include <cstdlib>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

namespace fuchsialoom
{

namespace
{

constexpr time_t keepAliveSeconds = 1;

/// httplib blocks a thread for each connection, and long polls hold theirs for long; a fixed pool would
/// have to be sized for the worst test.
class growing_pool : public httplib::TaskQueue
{
public:
    void enqueue(std::function<void()> task) override
    {
        const std::lock_guard lock(m_mutex);
        m_tasks.push_back(std::move(task));
        if (m_tasks.size() > m_idle) {
            m_threads.emplace_back([this] {
                run();
            });
        }
        m_changed.notify_one();
    }

    void shutdown() override
    {
        {
            const std::lock_guard lock(m_mutex);
            m_stopping = true;
        }
        m_changed.notify_all();
        for (std::thread &thread : m_threads) {
            thread.join();
        }
    }

private:
    void run()
    {
        std::unique_lock lock(m_mutex);
        for (;;) {
            ++m_idle;
            m_changed.wait(lock, [this] {
                return m_stopping || !m_tasks.empty();
            });
            --m_idle;
            if (m_tasks.empty()) {
                return;
            }
            const std::function<void()> task = std::move(m_tasks.front());
            m_tasks.pop_front();
            lock.unlock();
            task();
            lock.lock();
        }
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<std::function<void()>> m_tasks; ///< guarded by m_mutex
    std::vector<std::thread> m_threads; ///< grows in enqueue alone
    std::size_t m_idle = 0; ///< guarded by m_mutex; threads that wait for a task
    bool m_stopping = false; ///< guarded by m_mutex
};

} // namespace

void prepareServer(httplib::Server &server)
{
    listenAlone(server);
    server.set_tcp_nodelay(true);
    server.set_keep_alive_timeout(keepAliveSeconds);
    server.new_task_queue = [] {
        return new growing_pool;
    };
}

void serve(httplib::Server &server, const endpoint &address)
{
    if (!server.bind_to_port(address.host.c_str(), address.port)) {
        throw error(error_kind::InvalidOption, "'" + toText(address) + "' can't be bound");
    }
    server.listen_after_bind();
}

static bool isPeerOf(int socket, const httplib::Request &request)
{
    sockaddr_in peer{};
    socklen_t size = sizeof(peer);
    if (getpeername(socket, reinterpret_cast<sockaddr *>(&peer), &size) != 0 || peer.sin_family != AF_INET) {
        return false;
    }
    char text[INET_ADDRSTRLEN] = {};
    inet_ntop(AF_INET, &peer.sin_addr, text, sizeof(text));
    return ntohs(peer.sin_port) == request.remote_port && request.remote_addr == text;
}

void breakConnection(const httplib::Request &request)
{
    // httplib doesn't say which descriptor a request came over; its remote address is unique.
    const int end = static_cast<int>(sysconf(_SC_OPEN_MAX));
    for (int socket = 0; socket < end; ++socket) {
        if (isPeerOf(socket, request)) {
            ::shutdown(socket, SHUT_RDWR);
            return;
        }
    }
}

static std::uint64_t toNumber(const std::string &text, std::uint64_t fallback)
{
    char *end = nullptr;
    const std::uint64_t value = std::strtoull(text.c_str(), &end, 10);
    return text.empty() || *end != '\0' ? fallback : value;
}

std::uint64_t numberParam(const httplib::Request &request, const char *name, std::uint64_t fallback)
{
    return toNumber(request.get_param_value(name), fallback);
}

std::uint64_t numberHeader(const httplib::Request &request, const char *name)
{
    return toNumber(request.get_header_value(name), 0);
}

void answerJson(httplib::Response &to, int status, const nlohmann::json &body)
{
    to.status = status;
    to.set_content(body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace), "application/json");
}

} // namespace fuchsialoom
