/// \file
/// A crowd of clients that keep to no limit: each sends what its script says and stays connected. Has a thread of its own.
#pragma once

#include <asio.hpp>

#include <array>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace fuchsialoom
{

struct client_script
{
    std::function<std::string(std::size_t sending)> begin; ///< first bytes of each sending, numbered over the whole crowd
    std::string block{}; ///< sent after them, `blocks` times
    std::size_t blocks = 0;
    std::string drip{}; ///< sent after those, again and again
    std::size_t sendings = 1; ///< by each client; a further one on a new connection once the server has answered or closed the one before
    std::chrono::milliseconds startPause{0}; ///< between the starts of two clients
    std::size_t receiveBufferBytes = 0; ///< of the client's system; its default unless given
    std::size_t bytesPerRead = 0; ///< taken of the answer at a time; 0: nothing is
    std::size_t reads = 0; ///< after which the client has done what it should, though it goes on
};

class client_crowd
{
public:
    client_crowd(asio::ip::tcp::endpoint server, client_script script, std::size_t clients);
    /// Closes all connections.
    ~client_crowd();
    client_crowd(const client_crowd &) = delete;
    client_crowd &operator=(const client_crowd &) = delete;

    /// Whether all clients have done what their script says, as far as the server let them.
    bool isSettled() const
    {
        return m_settled == m_clientCount;
    }
    /// Sendings that were begun.
    std::size_t begun() const
    {
        return m_begun;
    }

private:
    struct client;

    void connect(const std::shared_ptr<client> &one);
    void send(const std::shared_ptr<client> &one);
    void sendBlock(const std::shared_ptr<client> &one);
    void drip(const std::shared_ptr<client> &one);
    void awaitAnswer(const std::shared_ptr<client> &one);
    void takeSlowly(const std::shared_ptr<client> &one);
    void onEnded(const std::shared_ptr<client> &one);
    void settle(client &one);

    asio::ip::tcp::endpoint m_server;
    client_script m_script;
    std::size_t m_clientCount;
    std::atomic<std::size_t> m_settled = 0;
    std::atomic<std::size_t> m_begun = 0;
    asio::io_context m_loop;
    std::vector<std::shared_ptr<client>> m_clients;
    std::thread m_thread;
};

} // namespace fuchsialoom
