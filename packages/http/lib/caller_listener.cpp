/// \file
/// Accepts the connections of callers.
#include "fuchsialoom/http/caller_link.h"

#include <algorithm>
#include <utility>

namespace fuchsialoom
{

/// Connections accepted in a row, so that the others aren't held up.
static constexpr int maxTakenInARow = 64;
/// What the system keeps of a connection until it is read, bytes. Other clients' memory is taken by larger ones.
static constexpr int receiveBufferBytes = 65536;

caller_listener::caller_listener(asio::io_context &loop, const asio::ip::tcp::endpoint &address, caller_events events)
    : m_acceptor(loop)
    , m_retry(loop)
{
    events.sendsAway = [isCrowded = m_isCrowded, asked = std::move(events.sendsAway)] {
        return *isCrowded || (asked && asked());
    };
    m_events = std::make_shared<const caller_events>(std::move(events));
    m_acceptor.open(address.protocol());
    m_acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true));
    asio::error_code ignored; // the system's own size does as well, while few clients send much
    m_acceptor.set_option(asio::socket_base::receive_buffer_size(receiveBufferBytes), ignored); // accepted sockets inherit it
    m_acceptor.bind(address);
    m_acceptor.listen();
}

void caller_listener::start(std::size_t most)
{
    m_most = most;
    accept();
}

void caller_listener::accept()
{
    if (!m_acceptor.is_open()) {
        return;
    }
    if (m_links.size() >= m_sweepAt) {
        sweep();
    }
    if (m_links.size() >= m_most) {
        sweep();
    }
    if (m_links.size() >= m_most) {
        awaitClient();
        return;
    }
    m_acceptor.async_accept([this](const asio::error_code &problem, asio::ip::tcp::socket socket) {
        if (problem == asio::error::operation_aborted) {
            return;
        }
        if (problem == asio::error::no_descriptors || problem == asio::error::no_buffer_space || problem == asio::error::no_memory) {
            makeRoom();
            retryAccept();
            return;
        }
        // It may have been accepted just before the listener stopped.
        if (!problem) {
            take(std::move(socket));
        }
        if (m_events->asksToLeave()) {
            takeWaiting();
        }
        accept();
    });
}

void caller_listener::awaitClient()
{
    m_acceptor.async_wait(asio::socket_base::wait_read, [this](const asio::error_code &problem) {
        if (problem == asio::error::operation_aborted) {
            return;
        }
        if (makeRoom()) {
            accept();
        } else {
            retryAccept();
        }
    });
}

void caller_listener::retryAccept()
{
    static constexpr milliseconds retryAfter{20};
    m_retry.expires_after(retryAfter);
    m_retry.async_wait([this](const asio::error_code &problem) {
        if (!problem) {
            accept();
        }
    });
}

bool caller_listener::makeRoom()
{
    std::shared_ptr<caller_link> chosen;
    instant since = farFuture;
    for (const std::weak_ptr<caller_link> &link : m_links) {
        const std::shared_ptr<caller_link> open = link.lock();
        if (open && open->waitsForClientSince() < since) {
            since = open->waitsForClientSince();
            chosen = open;
        }
    }
    if (chosen) {
        chosen->giveWay(scarce_resource::Connections);
    }
    return chosen != nullptr;
}

void caller_listener::take(asio::ip::tcp::socket socket)
{
    if (!m_events->admits || m_events->admits()) {
        startLink(std::move(socket));
        return;
    }
    asio::error_code ignored; // the connection ends either way
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

void caller_listener::takeWaiting()
{
    asio::error_code problem;
    m_acceptor.non_blocking(true, problem);
    for (int taken = 0; !problem && taken < maxTakenInARow && m_links.size() < m_most; ++taken) {
        asio::ip::tcp::socket socket = m_acceptor.accept(problem);
        if (!problem) {
            take(std::move(socket));
        }
    }
}

void caller_listener::startLink(asio::ip::tcp::socket socket)
{
    const auto link = std::make_shared<caller_link>(std::move(socket), m_events);
    m_links.push_back(link);
    if (m_links.size() > m_most / 2) {
        sweep();
    }
    link->start();
    if (m_draining) {
        link->drain(m_idleUntil);
    }
}

void caller_listener::sweep()
{
    std::erase_if(m_links, [](const std::weak_ptr<caller_link> &link) {
        const auto open = link.lock();
        return !open || !open->isOpen();
    });
    static constexpr std::size_t leastSweep = 64;
    m_sweepAt = std::max(leastSweep, 2 * m_links.size());
    *m_isCrowded = m_links.size() > m_most / 2;
}

void caller_listener::stopAccepting()
{
    asio::error_code problem;
    m_acceptor.non_blocking(true, problem);
    while (!problem || problem == asio::error::connection_aborted) {
        // Closing the listening socket resets the connections that the system has completed for it.
        asio::ip::tcp::socket socket = m_acceptor.accept(problem);
        if (!problem) {
            startLink(std::move(socket));
        }
    }
    m_acceptor.close(problem); // the port is gone either way
    m_retry.cancel();
}

void caller_listener::drain(instant idleUntil)
{
    m_draining = true;
    m_idleUntil = idleUntil;
    for (const std::weak_ptr<caller_link> &link : m_links) {
        if (const auto open = link.lock()) {
            open->drain(idleUntil);
        }
    }
}

std::size_t caller_listener::openLinks() const
{
    std::size_t open = 0;
    for (const std::weak_ptr<caller_link> &link : m_links) {
        const auto held = link.lock();
        open += held && held->isOpen() ? 1 : 0;
    }
    return open;
}

std::size_t caller_listener::busyLinks() const
{
    std::size_t busy = 0;
    for (const std::weak_ptr<caller_link> &link : m_links) {
        const auto held = link.lock();
        busy += held && held->isOpen() && held->isBusy() ? 1 : 0;
    }
    return busy;
}

} // namespace fuchsialoom
