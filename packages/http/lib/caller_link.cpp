/// \file
/// One connection of a caller: reading requests, and the end of the connection.
#include "fuchsialoom/http/caller_link.h"

#include "fuchsialoom/http/http_link.h"
#include "fuchsialoom/support/scope_guard.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace fuchsialoom
{

/// A caller that sends on while its request is answered is read up to here, then left waiting.
static constexpr std::size_t mostBuffered = 65536;
/// What a caller still sends after the last answer is dropped up to this much.
static constexpr std::size_t maxDroppedBytes = 16777216;

caller_link::caller_link(asio::ip::tcp::socket socket, std::shared_ptr<const caller_events> events)
    : m_socket(std::move(socket))
    , m_timer(m_socket.get_executor())
    , m_events(std::move(events))
    , m_reader(m_events->limits().request)
    , m_heldRequest(m_events->held,
                    [this] {
                        onRequestTooMuch();
                    })
    , m_heldAnswer(m_events->held,
                   [this] {
                       asio::post(m_socket.get_executor(), [self = shared_from_this()] {
                           if (self->m_heldAnswer.mustGiveWay()) {
                               self->giveWay(scarce_resource::Memory);
                           }
                       });
                   })
    , m_idleSince(loopNow())
    , m_waitBegan(m_idleSince)
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
    } else {
        stopReading();
    }
}

/// What has arrived by then stays with the system, so it may be little.
void caller_link::stopReading()
{
    static constexpr int leastReceiveBuffer = 4096;
    asio::error_code ignored; // the system then keeps more
    m_socket.set_option(asio::socket_base::receive_buffer_size(leastReceiveBuffer), ignored);
}

void caller_link::countRequest()
{
    m_countingRequest = true;
    m_heldRequest.set(keptBytes(m_buffered) + m_reader.heldBytes());
    m_countingRequest = false;
}

/// Done at once if that touches nothing but this link: by the next turn of the event loop, others have read as much again.
void caller_link::onRequestTooMuch()
{
    if (!m_countingRequest && !m_answering && !m_closing) {
        giveRequestUp();
        return;
    }
    asio::post(m_socket.get_executor(), [self = shared_from_this()] {
        self->giveRequestUp();
    });
}

void caller_link::giveRequestUp()
{
    if (!m_heldRequest.mustGiveWay() || m_closed) {
        return;
    }
    if (m_answering || m_closing || !m_reader.hasStarted()) {
        giveWay(scarce_resource::Memory);
    } else {
        reject(reading_problem::NoMemory);
    }
}

instant caller_link::waitsForClientSince() const
{
    if (m_closed) {
        return farFuture;
    }
    return m_answering ? m_untakenSince : std::min(m_untakenSince, m_idleSince);
}

void caller_link::giveWay(scarce_resource scarce)
{
    if (m_closed) {
        return;
    }
    if (m_events->onGaveWay) {
        m_events->onGaveWay(scarce);
    }
    onLost();
}

void caller_link::readRequests()
{
    const scope_guard counting([this] {
        countRequest();
    });
    if (m_answering || m_closed || m_closing || m_buffered.empty()) {
        return;
    }
    const bool fresh = !m_reader.hasStarted();
    m_idleSince = fresh ? loopNow() : m_idleSince;
    const request_limits &inForce = m_events->limits().request;
    m_reader.setLimits(fresh ? inForce : widest(m_reader.limits(), inForce));
    const std::size_t taken = m_reader.consume(m_buffered);
    if (taken == m_buffered.size()) {
        freeMemory(m_buffered);
    } else {
        m_buffered.erase(0, taken);
    }
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
    countRequest(); // the receiver counts what it keeps
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
    m_reader.discard();
    freeMemory(m_buffered);
    countRequest();
    respond(statusOf(problem), {}, {});
}

void caller_link::onAnswered()
{
    // The callback may hold what is answering right now, so it ends after this call has returned.
    asio::post(m_socket.get_executor(), [ended = std::move(m_onGone)] {});
    m_onGone = nullptr;
    m_answering = false;
    m_idleSince = loopNow();
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

void caller_link::close()
{
    if (m_closed) {
        return;
    }
    m_closed = true;
    m_reader.discard();
    freeMemory(m_buffered);
    countRequest();
    if (m_onGone) {
        asio::post(m_socket.get_executor(), [ended = std::move(m_onGone)] {});
        m_onGone = nullptr;
    }
    m_timer.cancel();
    asio::error_code ignored; // the descriptor is gone either way
    m_socket.close(ignored);
}

} // namespace fuchsialoom
