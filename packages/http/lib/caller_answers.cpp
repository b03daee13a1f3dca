/// \file
/// One connection of a caller: writing answers.
#include "fuchsialoom/http/caller_link.h"

#include "fuchsialoom/http/http_link.h"

#include <algorithm>
#include <cassert>
#include <cstdio>
#include <utility>

namespace fuchsialoom
{

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

void caller_link::sendHead(int status, const header_list &headers, std::string_view framing)
{
    // A request that has come behind this one is answered first.
    const bool closes = !m_keepAlive || (m_buffered.empty() && (m_draining || m_events->asksToLeave()));
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
    writeNext();
    countUnsent();
}

void caller_link::countUnsent()
{
    const std::size_t held = keptBytes(m_outgoing) + keptBytes(m_next);
    m_untakenSince = held == 0 ? farFuture : std::min(m_untakenSince, loopNow());
    m_heldAnswer.set(held);
}

void caller_link::writeNext()
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
        freeMemory(m_next);
        m_writing = true; // nothing more is written
        return;
    }
    if (!problem && written == m_next.size()) {
        freeMemory(m_next);
        return;
    }
    if (!problem) {
        m_next.erase(0, written);
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
        freeMemory(self->m_outgoing);
        self->flush();
        if (self->m_closing && !self->m_writing) {
            self->linger();
        }
    });
}

} // namespace fuchsialoom
