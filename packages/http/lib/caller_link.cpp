/// \file
/// One connection of a caller.
#include "fuchsialoom/http/caller_link.h"

#include "fuchsialoom/http/http_link.h"

#include <algorithm>
#include <cassert>
#include <cstdio>
#include <limits>
#include <utility>

#include <linux/sockios.h>

namespace fuchsialoom
{

/// A caller that sends on while its request is answered is read up to here, then left waiting.
static constexpr std::size_t mostBuffered = 65536;
/// After the last answer, what the caller still sends is read and dropped for this long and up to this much.
static constexpr milliseconds lingerTime{2000};
static constexpr std::size_t maxDroppedBytes = 16777216;
/// Connections accepted in a row, so that the others aren't held up.
static constexpr int maxTakenInARow = 64;
/// Reads of one connection in a row, so that a caller who never pauses doesn't hold up the others.
static constexpr int maxReadsOnTime = 8;

std::string_view reasonOf(int status)
{
    switch (status) {
    case 100:
        return "Continue";
    case 200:
        return "OK";
    case 400:
        return "Bad Request";
    case 404:
        return "Not Found";
    case 408:
        return "Request Timeout";
    case 413:
        return "Content Too Large";
    case 421:
        return "Misdirected Request";
    case 429:
        return "Too Many Requests";
    case 431:
        return "Request Header Fields Too Large";
    case 500:
        return "Internal Server Error";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Status";
    }
}

caller_link::caller_link(asio::ip::tcp::socket socket, std::shared_ptr<const caller_events> events)
    : m_socket(std::move(socket))
    , m_timer(m_socket.get_executor())
    , m_events(std::move(events))
    , m_reader(m_events->limits().request)
    , m_waitBegan(loopNow())
    , m_waitUntil(m_waitBegan + m_events->limits().idleTimeout)
{
}

void caller_link::start()
{
    asio::error_code ignored; // the option only tunes the connection
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    watchTime();
    read();
}

void caller_link::onGone(std::function<void()> callback)
{
    m_onGone = std::move(callback);
}

bool caller_link::isBusy() const
{
    return m_answering || m_reader.hasStarted() || m_writing || !m_next.empty() || m_closing;
}

static request_limits widest(const request_limits &left, const request_limits &right)
{
    return {std::max(left.headBytes, right.headBytes), std::max(left.bodyBytes, right.bodyBytes)};
}

void caller_link::read()
{
    if (m_reading || m_closed) {
        return;
    }
    m_reading = true;
    const auto self = shared_from_this();
    m_socket.async_read_some(asio::buffer(m_incoming), [self](const asio::error_code &problem, std::size_t size) {
        self->m_reading = false;
        if (self->m_closed) {
            return;
        }
        if (problem) {
            self->onLost();
            return;
        }
        self->onBytes(std::string_view(self->m_incoming.data(), size));
    });
}

void caller_link::onBytes(std::string_view bytes)
{
    if (m_closing) {
        m_droppedBytes += bytes.size();
        if (m_droppedBytes > maxDroppedBytes) {
            close();
        }
        read();
        return;
    }
    m_buffered.append(bytes);
    readRequests();
    if (m_buffered.size() <= mostBuffered) {
        read();
    }
}

void caller_link::readRequests()
{
    if (m_answering || m_closed || m_closing || m_buffered.empty()) {
        return;
    }
    const bool fresh = !m_reader.hasStarted();
    const request_limits &inForce = m_events->limits().request;
    m_reader.setLimits(fresh ? inForce : widest(m_reader.limits(), inForce));
    const std::size_t taken = m_reader.consume(m_buffered);
    m_buffered.erase(0, taken);
    if (m_reader.problem() != reading_problem::None) {
        reject(m_reader.problem());
        return;
    }
    if (m_reader.isComplete()) {
        takeRequest();
        return;
    }
    if (m_reader.hasHead() || (fresh && m_reader.hasStarted())) {
        waitFrom(loopNow());
    }
    if (m_reader.expectsContinue() && !m_continued) {
        m_continued = true;
        queue("HTTP/1.1 100 Continue\r\n\r\n");
    }
}

void caller_link::takeRequest()
{
    received_request request = m_reader.take();
    m_answering = true;
    m_continued = false;
    m_keepAlive = request.keepAlive;
    m_chunks = request.takesChunks;
    m_toHead = request.method == "HEAD";
    m_waitUntil = farFuture;
    const auto self = shared_from_this();
    m_events->onRequest(self, std::move(request));
}

void caller_link::reject(reading_problem problem)
{
    m_answering = true;
    m_keepAlive = false;
    m_waitUntil = farFuture;
    if (m_events->onRejected) {
        m_events->onRejected(problem);
    }
    respond(statusOf(problem), {}, {});
}

void caller_link::sendHead(int status, const header_list &headers, std::string_view framing)
{
    const bool closes = m_draining || !m_keepAlive || m_events->asksToLeave();
    std::string head = "HTTP/1.1 " + std::to_string(status) + ' ';
    head.append(reasonOf(status)).append("\r\n");
    appendFields(head, headers);
    head.append(framing);
    if (closes) {
        head.append("Connection: close\r\n");
        m_keepAlive = false;
    }
    head.append("\r\n");
    queue(head);
}

void caller_link::respond(int status, header_list headers, std::string_view body)
{
    assert(m_answering && !m_streaming);
    if (m_closed) {
        return;
    }
    headers.erase("Content-Length");
    const bool bodiless = status == 204 || status == 304;
    const std::string framing = bodiless ? std::string() : "Content-Length: " + std::to_string(body.size()) + "\r\n";
    sendHead(status, headers, framing);
    if (!m_toHead && !bodiless) {
        queue(body);
    }
    onAnswered();
}

void caller_link::startStream(int status, header_list headers, stream_framing framing)
{
    assert(m_answering && !m_streaming);
    if (m_closed) {
        return;
    }
    m_streaming = true;
    m_chunks = m_chunks && framing == stream_framing::Chunks;
    headers.erase("Content-Length");
    if (m_chunks) {
        sendHead(status, headers, "Transfer-Encoding: chunked\r\n");
        return;
    }
    // The stream is whole if the connection ends in order, so until its end any other way to close it, the end of this
    // process included, has to reset it.
    setResetOnClose(true);
    m_keepAlive = false;
    sendHead(status, headers, {});
}

void caller_link::sendPart(std::string_view bytes)
{
    assert(m_streaming);
    if (m_closed || bytes.empty() || m_toHead) {
        return;
    }
    if (!m_chunks) {
        queue(bytes);
        return;
    }
    std::array<char, 24> size{};
    const int written = std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
    m_next.append(size.data(), static_cast<std::size_t>(written)).append(bytes).append("\r\n");
    flush();
}

void caller_link::endStream()
{
    assert(m_streaming);
    if (m_closed) {
        return;
    }
    m_streaming = false;
    if (!m_chunks) {
        setResetOnClose(false);
    } else if (!m_toHead) {
        queue("0\r\n\r\n");
    }
    onAnswered();
}

void caller_link::setResetOnClose(bool resets)
{
    asio::error_code ignored; // fails only if the connection is lost already
    m_socket.set_option(asio::socket_base::linger(resets, 0), ignored);
}

void caller_link::abort()
{
    m_onGone = nullptr;
    close();
}

void caller_link::queue(std::string_view bytes)
{
    m_next.append(bytes);
    flush();
}

void caller_link::flush()
{
    if (m_writing || m_closed || m_next.empty()) {
        return;
    }
    // Mostly the socket takes the bytes at once, which saves a turn of the event loop.
    asio::error_code problem;
    m_socket.non_blocking(true, problem);
    const std::size_t written = m_socket.write_some(asio::buffer(m_next), problem);
    if (problem && problem != asio::error::would_block) {
        const auto self = shared_from_this();
        asio::post(m_socket.get_executor(), [self] {
            self->onLost();
        });
        m_next.clear();
        m_writing = true; // nothing more is written
        return;
    }
    if (!problem) {
        m_next.erase(0, written);
    }
    if (m_next.empty()) {
        return;
    }
    m_outgoing = std::move(m_next);
    m_outgoingWritten = 0;
    m_unacknowledged = std::numeric_limits<int>::max();
    m_next.clear();
    m_writing = true;
    writeRest();
}

void caller_link::writeRest()
{
    const auto self = shared_from_this();
    m_socket.async_write_some(asio::buffer(m_outgoing) + m_outgoingWritten, [self](const asio::error_code &failed, std::size_t written) {
        if (self->m_closed) {
            return;
        }
        if (failed) {
            self->m_writing = false;
            self->onLost();
            return;
        }
        self->m_outgoingWritten += written;
        self->m_unacknowledged = std::numeric_limits<int>::max();
        if (!self->m_answering) {
            // A caller may take the rest of an answer as slowly as it makes progress.
            self->waitFrom(loopNow());
        }
        if (self->m_outgoingWritten < self->m_outgoing.size()) {
            self->writeRest();
            return;
        }
        self->m_writing = false;
        self->m_outgoing.clear();
        self->flush();
        if (self->m_closing && !self->m_writing) {
            self->linger();
        }
    });
}

void caller_link::onAnswered()
{
    // The callback may hold what is answering right now, so it ends after this call has returned.
    asio::post(m_socket.get_executor(), [ended = std::move(m_onGone)] {});
    m_onGone = nullptr;
    m_answering = false;
    if (!m_keepAlive) {
        m_closing = true;
        if (!m_writing) {
            linger();
        } else {
            waitFrom(loopNow());
        }
        return;
    }
    waitFrom(loopNow());
    const auto self = shared_from_this();
    if (!m_buffered.empty()) {
        asio::post(m_socket.get_executor(), [self] {
            self->readRequests();
            self->read();
        });
    }
}

/// Closing a socket that has unread bytes resets the connection, which destroys what the caller hasn't received yet.
void caller_link::linger()
{
    m_buffered.clear();
    asio::error_code problem;
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, problem);
    if (problem) {
        close();
        return;
    }
    m_waitUntil = loopNow() + lingerTime;
    watchTime();
    read();
}

void caller_link::onLost()
{
    if (m_closed) {
        return;
    }
    const auto gone = std::move(m_onGone);
    m_onGone = nullptr;
    close();
    if (gone) {
        gone();
    }
}

milliseconds caller_link::timeoutInForce() const
{
    const caller_limits &limits = m_events->limits();
    // A body may take as long as it makes progress.
    return m_reader.hasStarted() && !m_reader.hasHead() ? limits.headTimeout : limits.idleTimeout;
}

void caller_link::waitFrom(instant began)
{
    m_waitBegan = began;
    m_waitUntil = began + timeoutInForce();
    watchTime();
}

/// The caller may rely on the timeout in force when the wait began and on a longer one that has come into force since.
instant caller_link::waitEnd() const
{
    if (m_closing) {
        return m_waitUntil;
    }
    const instant end = std::max(m_waitUntil, m_waitBegan + timeoutInForce());
    return m_reader.hasStarted() || m_writing ? end : std::min(end, m_drainUntil);
}

void caller_link::watchTime()
{
    const instant end = waitEnd();
    if (m_closed || end == farFuture) {
        return;
    }
    const std::chrono::steady_clock::time_point due(end.time_since_epoch());
    if (m_watching && m_timer.expiry() <= due) {
        return;
    }
    m_watching = true;
    const auto self = shared_from_this();
    m_timer.expires_at(due);
    m_timer.async_wait([self](const asio::error_code &problem) {
        if (!problem) {
            self->m_watching = false;
            self->onTime();
        }
    });
}

void caller_link::onTime()
{
    if (m_closed || m_answering) {
        return;
    }
    // After the process stood still, timers may run before the reads of what arrived in time.
    for (int reads = 0; isWaitOver() && reads < maxReadsOnTime && readArrived(); ++reads) {}
    if (m_closed || m_answering) {
        return;
    }
    if (!isWaitOver()) {
        watchTime();
        return;
    }
    if (m_writing && hasTakenBytes()) {
        waitFrom(loopNow());
        return;
    }
    if (m_reader.hasStarted() && !m_closing) {
        reject(reading_problem::TimedOut);
        return;
    }
    close();
}

namespace
{

/// Bytes in the socket's send buffer that its peer hasn't acknowledged.
class unacknowledged_bytes
{
public:
    static int name()
    {
        return SIOCOUTQ;
    }
    void *data()
    {
        return &m_bytes;
    }
    int value() const
    {
        return m_bytes;
    }

private:
    int m_bytes = 0;
};

} // namespace

/// The system takes bytes in large steps, so a slow caller's progress shows in its buffer only.
bool caller_link::hasTakenBytes()
{
    unacknowledged_bytes left;
    asio::error_code problem;
    m_socket.io_control(left, problem);
    return !problem && left.value() < std::exchange(m_unacknowledged, left.value());
}

bool caller_link::isWaitOver() const
{
    return !m_closed && !m_answering && loopNow() >= waitEnd();
}

bool caller_link::readArrived()
{
    asio::error_code problem;
    if (m_closing || m_socket.available(problem) == 0 || problem) {
        return false;
    }
    std::array<char, readBytes> arrived; // not m_incoming, which the pending read fills
    const std::size_t size = m_socket.read_some(asio::buffer(arrived), problem);
    if (problem) {
        return false;
    }
    onBytes(std::string_view(arrived.data(), size));
    return true;
}

void caller_link::drain(instant idleUntil)
{
    m_draining = true;
    m_drainUntil = idleUntil;
    if (!m_answering) {
        watchTime();
    }
}

void caller_link::close()
{
    if (m_closed) {
        return;
    }
    m_closed = true;
    if (m_onGone) {
        asio::post(m_socket.get_executor(), [ended = std::move(m_onGone)] {});
        m_onGone = nullptr;
    }
    m_timer.cancel();
    asio::error_code ignored; // the descriptor is gone either way
    m_socket.close(ignored);
}

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
    static constexpr milliseconds retryAfter{20};
    if (m_links.size() >= m_most) {
        m_retry.expires_after(retryAfter);
        m_retry.async_wait([this](const asio::error_code &problem) {
            if (!problem) {
                sweep();
                accept();
            }
        });
        return;
    }
    m_acceptor.async_accept([this](const asio::error_code &problem, asio::ip::tcp::socket socket) {
        if (problem == asio::error::operation_aborted) {
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
