/// \file
/// Accepts connections of callers, as many as may be open at once.
#pragma once

#include "fuchsialoom/http/caller_link.h"

#include <asio.hpp>

#include <cstddef>
#include <memory>
#include <vector>

namespace fuchsialoom
{

/// Accepts the connections of callers and keeps track of them.
class caller_listener
{
public:
    /// \throws std::system_error when \p address can't be bound.
    caller_listener(asio::io_context &loop, const asio::ip::tcp::endpoint &address, caller_events events);

    /// Connections count against \p most. From half of it on, callers are asked to leave with their next answer; beyond it, a new
    /// connection takes the place of the one that has waited longest for its client, or waits while there is none.
    void start(std::size_t most);
    /// Takes the connections that callers have opened so far, and no more.
    void stopAccepting();
    void drain(instant idleUntil);

    asio::ip::tcp::endpoint address() const
    {
        return m_acceptor.local_endpoint();
    }
    std::size_t openLinks() const;
    std::size_t busyLinks() const;

private:
    void accept();
    /// All places are taken: waits until a client connects.
    void awaitClient();
    /// Ends the connection that has waited longest for its client. \return whether there is one.
    bool makeRoom();
    void retryAccept();
    /// Makes a link of \p socket, or resets it.
    void take(asio::ip::tcp::socket socket);
    /// Takes connections that have been completed, without waiting, so that those that are turned away don't wait for their turn.
    void takeWaiting();
    void startLink(asio::ip::tcp::socket socket);
    void sweep();

    asio::ip::tcp::acceptor m_acceptor;
    asio::steady_timer m_retry;
    std::shared_ptr<const caller_events> m_events;
    std::vector<std::weak_ptr<caller_link>> m_links;
    /// More than half of the connections that may be open are: their callers are asked to leave, as idle ones would keep new ones out.
    std::shared_ptr<bool> m_isCrowded = std::make_shared<bool>(false);
    std::size_t m_most = 0;
    std::size_t m_sweepAt = 64; ///< closed links are forgotten when there are as many entries
    bool m_draining = false;
    instant m_idleUntil;
};

} // namespace fuchsialoom
