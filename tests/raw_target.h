/// \file
/// A target on a raw socket, with a thread of its own, for answers that no server would send.
#pragma once

#include <asio.hpp>

#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace fuchsialoom
{

/// One connection of a raw_target.
struct raw_connection
{
    explicit raw_connection(asio::ip::tcp::socket accepted)
        : socket(std::move(accepted))
    {
    }

    asio::ip::tcp::socket socket;
    std::string received{}; ///< the request's head, and what has come with it
    std::string outgoing{}; ///< for answers that are written in the background
};

/// Keeps connections open until it is destroyed, unless the answer closes them.
class raw_target
{
public:
    /// Writes the answer to the request with an id that came on a connection.
    using answer_writer = std::function<void(const std::shared_ptr<raw_connection> &, const std::string &id)>;

    /// \p answer is called on the target's thread as soon as a request's head has come. Questions of other kinds, which have no id, get no
    /// answer.
    explicit raw_target(answer_writer answer)
        : m_answer(std::move(answer))
    {
        accept();
        m_thread = std::thread([this] {
            m_loop.run();
        });
    }
    raw_target(const raw_target &) = delete;
    raw_target &operator=(const raw_target &) = delete;
    ~raw_target()
    {
        m_loop.stop();
        m_thread.join();
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    }

private:
    void accept()
    {
        m_acceptor.async_accept([this](const asio::error_code &problem, asio::ip::tcp::socket socket) {
            if (!problem) {
                read(m_connections.emplace_back(std::make_shared<raw_connection>(std::move(socket))));
                accept();
            }
        });
    }

    void read(std::shared_ptr<raw_connection> one)
    {
        asio::async_read_until(
            one->socket, asio::dynamic_buffer(one->received), "\r\n\r\n", [this, one](const asio::error_code &problem, std::size_t) {
                static const std::string field = "X-Request-Id: ";
                const std::size_t at = one->received.find(field);
                if (!problem && at != std::string::npos) {
                    const std::size_t from = at + field.size();
                    m_answer(one, one->received.substr(from, one->received.find('\r', from) - from));
                }
            });
    }

    answer_writer m_answer;
    asio::io_context m_loop;
    std::vector<std::shared_ptr<raw_connection>> m_connections;
    asio::ip::tcp::acceptor m_acceptor{m_loop, {asio::ip::address_v4::loopback(), 0}};
    std::thread m_thread;
};

/// \p bytes with "{id}" replaced by \p id.
inline std::string withRequestId(std::string bytes, const std::string &id)
{
    static const std::string place = "{id}";
    if (const std::size_t at = bytes.find(place); at != std::string::npos) {
        bytes.replace(at, place.size(), id);
    }
    return bytes;
}

} // namespace fuchsialoom
