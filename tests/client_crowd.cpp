/// \file
/// A crowd of clients that keep to no limit.
#include "client_crowd.h"

#include <utility>

namespace fuchsialoom
{

/// Between two reads, sendings or drops of a client.
static constexpr std::chrono::milliseconds stepPause{50};

struct client_crowd::client
{
    explicit client(asio::io_context &loop)
        : socket(loop)
        , pause(loop)
    {
    }

    asio::ip::tcp::socket socket;
    asio::steady_timer pause;
    std::string begin{};
    std::string taken{};
    std::size_t blocksLeft = 0;
    std::size_t sendingsLeft = 0;
    std::size_t reads = 0;
    std::size_t connection = 0; ///< number of the present one; callbacks of earlier ones are ignored
    bool isSettled = false;
};

client_crowd::client_crowd(asio::ip::tcp::endpoint server, client_script script, std::size_t clients)
    : m_server(std::move(server))
    , m_script(std::move(script))
    , m_clientCount(clients)
{
    for (std::size_t number = 0; number < clients; ++number) {
        m_clients.push_back(std::make_shared<client>(m_loop));
        const std::shared_ptr<client> one = m_clients.back();
        one->sendingsLeft = m_script.sendings;
        one->pause.expires_after(m_script.startPause * number);
        one->pause.async_wait([this, one](const asio::error_code &) {
            connect(one);
        });
    }
    m_thread = std::thread([this] {
        m_loop.run();
    });
}

client_crowd::~client_crowd()
{
    m_loop.stop();
    m_thread.join();
}

void client_crowd::connect(const std::shared_ptr<client> &one)
{
    if (one->sendingsLeft == 0) {
        settle(*one);
        return;
    }
    one->sendingsLeft -= 1;
    one->connection += 1;
    one->socket = asio::ip::tcp::socket(m_loop, m_server.protocol());
    if (m_script.receiveBufferBytes > 0) {
        one->socket.set_option(asio::socket_base::receive_buffer_size(static_cast<int>(m_script.receiveBufferBytes)));
    }
    one->socket.async_connect(m_server, [this, one](const asio::error_code &problem) {
        if (problem) {
            onEnded(one);
            return;
        }
        send(one);
    });
}

void client_crowd::send(const std::shared_ptr<client> &one)
{
    one->begin = m_script.begin(m_begun++);
    one->blocksLeft = m_script.blocks;
    awaitAnswer(one);
    asio::async_write(
        one->socket, asio::buffer(one->begin), [this, one, connection = one->connection](const asio::error_code &problem, std::size_t) {
            if (!problem && connection == one->connection) {
                sendBlock(one);
            }
        });
}

void client_crowd::sendBlock(const std::shared_ptr<client> &one)
{
    if (one->blocksLeft == 0) {
        // A client that waits for its answer has more to do once that has come.
        if (m_script.sendings == 1 && m_script.reads == 0) {
            settle(*one);
        }
        if (!m_script.drip.empty()) {
            drip(one);
        }
        return;
    }
    one->blocksLeft -= 1;
    asio::async_write(
        one->socket, asio::buffer(m_script.block), [this, one, connection = one->connection](const asio::error_code &problem, std::size_t) {
            if (!problem && connection == one->connection) {
                sendBlock(one);
            }
        });
}

void client_crowd::drip(const std::shared_ptr<client> &one)
{
    one->pause.expires_after(stepPause);
    one->pause.async_wait([this, one, connection = one->connection](const asio::error_code &) {
        if (connection != one->connection) {
            return;
        }
        asio::async_write(one->socket, asio::buffer(m_script.drip), [this, one](const asio::error_code &problem, std::size_t) {
            if (!problem) {
                drip(one);
            }
        });
    });
}

void client_crowd::awaitAnswer(const std::shared_ptr<client> &one)
{
    one->socket.async_wait(asio::socket_base::wait_read, [this, one, connection = one->connection](const asio::error_code &problem) {
        if (problem || connection != one->connection) {
            return;
        }
        if (m_script.bytesPerRead > 0) {
            takeSlowly(one);
            return;
        }
        onEnded(one);
    });
}

void client_crowd::takeSlowly(const std::shared_ptr<client> &one)
{
    one->taken.resize(m_script.bytesPerRead);
    asio::error_code problem;
    one->socket.non_blocking(true);
    one->socket.read_some(asio::buffer(one->taken), problem);
    const bool hasEnded = problem && problem != asio::error::would_block;
    one->reads += 1;
    if (hasEnded || one->reads == m_script.reads) {
        settle(*one);
    }
    if (hasEnded) {
        return;
    }
    one->pause.expires_after(stepPause);
    one->pause.async_wait([this, one](const asio::error_code &) {
        takeSlowly(one);
    });
}

/// The last connection stays open, so that the server has to end it.
void client_crowd::onEnded(const std::shared_ptr<client> &one)
{
    if (one->sendingsLeft == 0) {
        settle(*one);
        return;
    }
    one->pause.expires_after(stepPause);
    one->pause.async_wait([this, one](const asio::error_code &) {
        connect(one);
    });
}

void client_crowd::settle(client &one)
{
    if (!std::exchange(one.isSettled, true)) {
        m_settled += 1;
    }
}

} // namespace fuchsialoom
