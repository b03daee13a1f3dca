/// \file
/// A server that answers each connection's requests with given bytes, for tests of connections.
#pragma once

#include <asio.hpp>

#include <array>
#include <memory>
#include <string>
#include <vector>

namespace fuchsialoom
{

/// What the server does when some bytes of a request have come.
struct scripted_step
{
    std::string bytes; ///< written
    enum class end {
        Stay,
        Close, ///< in order
        Reset,
    } end = end::Stay;
    std::string later{}; ///< written a few milliseconds afterwards
};

class scripted_server
{
public:
    /// One step for each arrival of bytes, over all connections in order; the last one repeats.
    scripted_server(asio::io_context &loop, std::vector<scripted_step> steps)
        : m_loop(loop)
        , m_acceptor(loop, {asio::ip::address_v4::loopback(), 0})
        , m_steps(std::move(steps))
    {
        accept();
    }

    asio::ip::tcp::endpoint address() const
    {
        return m_acceptor.local_endpoint();
    }
    int connections() const
    {
        return m_connections;
    }
    int closedByPeer() const
    {
        return m_closedByPeer;
    }
    /// Of those: without an orderly end.
    int resetByPeer() const
    {
        return m_resetByPeer;
    }
    const std::string &received() const
    {
        return m_received;
    }

private:
    struct connection : std::enable_shared_from_this<connection>
    {
        explicit connection(asio::ip::tcp::socket from)
            : socket(std::move(from))
        {
        }
        asio::ip::tcp::socket socket;
        std::array<char, 65536> bytes{};
    };

    void accept()
    {
        m_acceptor.async_accept([this](const asio::error_code &problem, asio::ip::tcp::socket socket) {
            if (problem) {
                return;
            }
            m_connections += 1;
            read(std::make_shared<connection>(std::move(socket)));
            accept();
        });
    }

    void read(const std::shared_ptr<connection> &one)
    {
        one->socket.async_read_some(asio::buffer(one->bytes), [this, one](const asio::error_code &problem, std::size_t size) {
            if (problem) {
                m_closedByPeer += 1;
                m_resetByPeer += problem == asio::error::connection_reset ? 1 : 0;
                return;
            }
            m_received.append(one->bytes.data(), size);
            play(one);
        });
    }

    void play(const std::shared_ptr<connection> &one)
    {
        const scripted_step step = m_steps[std::min(m_next, m_steps.size() - 1)];
        m_next += 1;
        asio::error_code ignored;
        asio::write(one->socket, asio::buffer(step.bytes), ignored);
        if (step.end == scripted_step::end::Reset) {
            one->socket.set_option(asio::socket_base::linger(true, 0), ignored);
        }
        if (step.end != scripted_step::end::Stay) {
            one->socket.close(ignored);
            return;
        }
        if (!step.later.empty()) {
            const auto timer = std::make_shared<asio::steady_timer>(m_loop, std::chrono::milliseconds(5));
            timer->async_wait([one, step, timer](const asio::error_code &) {
                asio::error_code failed;
                asio::write(one->socket, asio::buffer(step.later), failed);
            });
        }
        read(one);
    }

    asio::io_context &m_loop;
    asio::ip::tcp::acceptor m_acceptor;
    std::vector<scripted_step> m_steps;
    std::size_t m_next = 0;
    int m_connections = 0;
    int m_closedByPeer = 0;
    int m_resetByPeer = 0;
    std::string m_received;
};

} // namespace fuchsialoom
