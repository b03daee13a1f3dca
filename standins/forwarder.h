/// \file
/// A TCP forwarder that makes established connections go silent while new ones work, or cuts all.
#pragma once

#include "fuchsialoom/core/targets.h"

#include <asio.hpp>

#include <memory>
#include <vector>

namespace fuchsialoom
{

class forwarded_connection;

/// All members run on the thread of its io_context, but for the two that say otherwise.
class forwarder
{
public:
    /// \throws error(InvalidOption) where \p listen can't be bound.
    forwarder(asio::io_context &context, const endpoint &listen, const endpoint &to);

    /// From any thread: the connections that exist now get no more bytes, and no end. Later ones work.
    void swallow();
    /// From any thread: while \p on, every connection is broken, new ones at once.
    void cut(bool on);

private:
    void acceptNext();
    void take(asio::ip::tcp::socket client);
    void forgetClosed();

    asio::io_context &m_context;
    asio::ip::tcp::acceptor m_acceptor;
    const asio::ip::tcp::endpoint m_to;
    std::vector<std::weak_ptr<forwarded_connection>> m_connections;
    bool m_cut = false;
};

} // namespace fuchsialoom
