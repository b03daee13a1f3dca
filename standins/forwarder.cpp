/// \file
/// A TCP forwarder with faults.
#include "forwarder.h"

#include "fuchsialoom/support/errors.h"

#include <algorithm>
#include <array>
#include <utility>

namespace fuchsialoom
{

using asio::ip::tcp;

static constexpr std::size_t bufferBytes = 16UL * 1024;

/// One client's connection and the one made for it. It lives as long as a read or write is pending.
class forwarded_connection : public std::enable_shared_from_this<forwarded_connection>
{
public:
    forwarded_connection(asio::io_context &context, tcp::socket client)
        : m_client(std::move(client))
        , m_server(context)
    {
    }

    void start(const tcp::endpoint &to)
    {
        m_server.async_connect(to, [self = shared_from_this()](const asio::error_code &problem) {
            if (problem) {
                self->breakOff();
                return;
            }
            self->setNoDelay();
            self->pump(self->m_client, self->m_server, self->m_upward);
            self->pump(self->m_server, self->m_client, self->m_downward);
        });
    }

    void swallow()
    {
        m_swallowed = true;
    }

    /// Ends both sides with a reset.
    void breakOff()
    {
        asio::error_code ignored;
        m_client.set_option(asio::socket_base::linger(true, 0), ignored);
        m_server.set_option(asio::socket_base::linger(true, 0), ignored);
        m_client.close(ignored);
        m_server.close(ignored);
    }

private:
    using buffer = std::array<char, bufferBytes>;

    void setNoDelay()
    {
        asio::error_code ignored;
        m_client.set_option(tcp::no_delay(true), ignored);
        m_server.set_option(tcp::no_delay(true), ignored);
    }

    void pump(tcp::socket &from, tcp::socket &to, buffer &bytes)
    {
        from.async_read_some(
            asio::buffer(bytes), [self = shared_from_this(), &from, &to, &bytes](const asio::error_code &problem, std::size_t size) {
                if (problem) {
                    self->endOf(to);
                    return;
                }
                if (self->m_swallowed) {
                    self->pump(from, to, bytes);
                    return;
                }
                asio::async_write(to, asio::buffer(bytes, size), [self, &from, &to, &bytes](const asio::error_code &failed, std::size_t) {
                    if (failed) {
                        self->endOf(from);
                        return;
                    }
                    self->pump(from, to, bytes);
                });
            });
    }

    /// The other side closed; a swallowed connection doesn't tell.
    void endOf(tcp::socket &side)
    {
        if (m_swallowed) {
            return;
        }
        asio::error_code ignored;
        side.shutdown(tcp::socket::shutdown_send, ignored);
    }

    tcp::socket m_client;
    tcp::socket m_server;
    buffer m_upward{};
    buffer m_downward{};
    bool m_swallowed = false;
};

static tcp::endpoint toAsio(const endpoint &address)
{
    return {asio::ip::make_address(address.host), address.port};
}

static tcp::acceptor listenAt(asio::io_context &context, const endpoint &listen)
{
    try {
        return tcp::acceptor(context, toAsio(listen));
    } catch (const asio::system_error &) {
        throw error(error_kind::InvalidOption, "'" + toText(listen) + "' can't be bound");
    }
}

forwarder::forwarder(asio::io_context &context, const endpoint &listen, const endpoint &to)
    : m_context(context)
    , m_acceptor(listenAt(context, listen))
    , m_to(toAsio(to))
{
    acceptNext();
}

void forwarder::acceptNext()
{
    m_acceptor.async_accept([this](const asio::error_code &problem, tcp::socket client) {
        if (!problem) {
            take(std::move(client));
        }
        acceptNext();
    });
}

void forwarder::take(tcp::socket client)
{
    auto connection = std::make_shared<forwarded_connection>(m_context, std::move(client));
    if (m_cut) {
        connection->breakOff();
        return;
    }
    forgetClosed();
    m_connections.push_back(connection);
    connection->start(m_to);
}

void forwarder::forgetClosed()
{
    std::erase_if(m_connections, [](const std::weak_ptr<forwarded_connection> &connection) {
        return connection.expired();
    });
}

void forwarder::swallow()
{
    asio::post(m_context, [this] {
        for (const std::weak_ptr<forwarded_connection> &connection : m_connections) {
            if (const auto open = connection.lock()) {
                open->swallow();
            }
        }
    });
}

void forwarder::cut(bool on)
{
    asio::post(m_context, [this, on] {
        m_cut = on;
        if (!on) {
            return;
        }
        for (const std::weak_ptr<forwarded_connection> &connection : m_connections) {
            if (const auto open = connection.lock()) {
                open->breakOff();
            }
        }
    });
}

} // namespace fuchsialoom
