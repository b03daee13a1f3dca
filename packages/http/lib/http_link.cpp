/// \file
/// One connection to a server.
#include "fuchsialoom/http/http_link.h"

#include <netinet/tcp.h>

#include <cassert>
#include <charconv>

namespace fuchsialoom
{

/// A server that sends more answers to other requests than this is not waited for.
static constexpr int mostDroppedAnswers = 2;
/// Nor is a server that sends more bytes in such answers.
static constexpr std::size_t mostDroppedBytes = 1048576;
/// A connection isn't used so shortly before its server closes it: one way to the server and back.
static constexpr milliseconds idleMargin{500};
/// Unacknowledged bytes older than this end the connection: a server that lost power sends no reset.
static constexpr int unacknowledgedMs = 3000;

instant loopNow()
{
    return instant(std::chrono::duration_cast<microseconds>(std::chrono::steady_clock::now().time_since_epoch()));
}

static std::chrono::steady_clock::time_point onSteadyClock(instant when)
{
    return std::chrono::steady_clock::time_point(when.time_since_epoch());
}

http_link::http_link(asio::io_context &loop, asio::ip::tcp::endpoint server)
    : m_socket(loop)
    , m_connectTimer(loop)
    , m_server(std::move(server))
{
}

void http_link::send(std::string bytes, bool isHead, instant connectBy, link_events events)
{
    assert(!m_busy && !m_closed);
    m_busy = true;
    m_sent = false;
    m_isHead = isHead;
    m_dropped = 0;
    m_droppedBytes = 0;
    m_bodyBytes = 0;
    m_receivedBytes = 0;
    m_skipping = false;
    m_exchanges += 1;
    m_outgoing = std::move(bytes);
    m_events = std::move(events);
    m_reader.reset(isHead);
    if (m_connected) {
        write();
    } else {
        connect(connectBy);
    }
}

void http_link::connect(instant connectBy)
{
    const auto self = shared_from_this();
    m_connectBy = connectBy;
    m_connectTimer.expires_at(onSteadyClock(connectBy));
    m_connectTimer.async_wait([self](const asio::error_code &problem) {
        if (!problem && !self->m_connected && !self->m_closed) {
            self->fail(link_failure::ConnectTimeout);
        }
    });
    m_socket.async_connect(m_server, [self](const asio::error_code &problem) {
        self->onConnected(problem);
    });
}

void http_link::onConnected(const asio::error_code &problem)
{
    if (m_closed) {
        return;
    }
    m_connectTimer.cancel();
    if (problem) {
        fail(problem == asio::error::connection_refused ? link_failure::Refused : link_failure::NoConnection);
        return;
    }
    if (loopNow() >= m_connectBy) {
        // The process stood still: its sockets are heard before its timers, and what it meant to send is out of date.
        fail(link_failure::ConnectTimeout);
        return;
    }
    if (m_events.mayWrite && !m_events.mayWrite()) {
        fail(link_failure::Withdrawn);
        return;
    }
    m_connected = true;
    asio::error_code ignored; // options only tune the connection; it works without them
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    using user_timeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    m_socket.set_option(user_timeout(unacknowledgedMs), ignored);
    write();
    read();
}

void http_link::write()
{
    m_sent = true;
    m_writing = true;
    const auto self = shared_from_this();
    asio::async_write(m_socket, asio::buffer(m_outgoing), [self](const asio::error_code &problem, std::size_t) {
        // The answer may have come before; the read goes on until the connection's end.
        self->m_writing = false;
        self->m_writeProblem = problem;
        freeMemory(self->m_outgoing);
        self->m_events.outgoing.set(0);
    });
}

void http_link::read()
{
    const auto self = shared_from_this();
    m_socket.async_read_some(asio::buffer(m_incoming), [self](const asio::error_code &problem, std::size_t size) {
        if (self->m_closed) {
            return;
        }
        if (problem) {
            self->onReadEnd(problem == asio::error::eof);
            return;
        }
        self->onBytes(std::string_view(self->m_incoming.data(), size));
        if (!self->m_closed) {
            self->read();
        }
    });
}

void http_link::onBytes(std::string_view bytes)
{
    while (!bytes.empty() && !m_closed) {
        if (!m_busy) {
            close();
            return;
        }
        const answer_progress progress = m_reader.consume(bytes);
        m_receivedBytes += progress.taken;
        bytes.remove_prefix(std::min(progress.taken, bytes.size()));
        // Whatever follows a whole answer belongs to no request of this link.
        m_tainted = m_tainted || (progress.complete && !bytes.empty());
        handle(progress);
    }
}

void http_link::onReadEnd(bool inOrder)
{
    if (!m_writing) {
        onClosed(inOrder);
        return;
    }
    // If the write took the reset from the system, its completion is queued by now.
    const auto self = shared_from_this();
    asio::post(m_socket.get_executor(), [self, inOrder] {
        if (!self->m_closed) {
            self->onClosed(inOrder);
        }
    });
}

bool http_link::writeSawReset() const
{
    // EPIPE: the server's orderly end came before its reset, so the answer may be whole.
    return m_writeProblem && m_writeProblem != asio::error::broken_pipe;
}

void http_link::onClosed(bool inOrder)
{
    if (!m_busy) {
        close();
        return;
    }
    if (!inOrder || writeSawReset()) {
        fail(link_failure::Reset);
        return;
    }
    if (!m_reader.hasStarted()) {
        fail(link_failure::Closed);
        return;
    }
    const answer_progress progress = m_reader.finish();
    m_tainted = true;
    if (progress.broken || !progress.complete) {
        fail(link_failure::Closed);
        return;
    }
    handle(progress);
}

void http_link::handle(const answer_progress &progress)
{
    if (progress.broken) {
        fail(link_failure::Malformed);
        return;
    }
    if (progress.headCame) {
        m_skipping = m_events.isMine && !m_events.isMine(m_reader.head());
        if (!m_skipping && m_events.onHead) {
            m_events.onHead(m_reader.head());
        }
    }
    if (m_closed) {
        return;
    }
    (m_skipping ? m_droppedBytes : m_bodyBytes) += progress.body.size();
    if (m_droppedBytes > mostDroppedBytes) {
        fail(link_failure::WrongAnswer);
        return;
    }
    if (m_bodyBytes > m_events.maxBodyBytes) {
        fail(link_failure::TooLarge);
        return;
    }
    if (!progress.body.empty() && !m_skipping && m_events.onBody) {
        m_events.onBody(progress.body);
    }
    if (m_closed || !progress.complete) {
        return;
    }
    if (!m_skipping) {
        endExchange();
        return;
    }
    m_tainted = true;
    m_dropped += 1;
    if (m_dropped > mostDroppedAnswers || !m_reader.allowsReuse()) {
        fail(link_failure::WrongAnswer);
        return;
    }
    m_reader.reset(m_isHead);
}

void http_link::noteIdleTime()
{
    m_idleUntil = farFuture;
    const std::string *keep = m_reader.head().headers.find("Keep-Alive");
    if (!keep) {
        return;
    }
    static constexpr std::string_view name = "timeout=";
    const std::size_t at = keep->find(name);
    if (at == std::string::npos) {
        return;
    }
    int timeout = 0;
    const char *begin = keep->data() + at + name.size();
    if (std::from_chars(begin, keep->data() + keep->size(), timeout).ec == std::errc()) {
        m_idleUntil = loopNow() + seconds(timeout) - idleMargin;
    }
}

void http_link::endExchange()
{
    noteIdleTime();
    const bool open =
        m_reader.allowsReuse() && !m_tainted && !m_writing && !m_writeProblem && !m_reader.head().headers.hasToken("Connection", "close");
    m_busy = false;
    const link_events events = std::move(m_events);
    m_events = {};
    const auto self = shared_from_this();
    if (!open) {
        close();
    }
    if (events.onComplete) {
        events.onComplete();
    }
}

void http_link::fail(link_failure how)
{
    const link_events events = std::move(m_events);
    const bool sent = m_sent;
    const auto self = shared_from_this();
    close();
    if (events.onFailure) {
        events.onFailure(how, sent);
    }
}

void http_link::withdraw()
{
    if (m_busy && !m_connected) {
        fail(link_failure::Withdrawn);
    }
}

void http_link::close()
{
    const bool unanswered = m_busy && m_connected;
    m_closed = true;
    if (m_busy) {
        // One of the callbacks may be what closes the link, so they are destroyed after it has returned.
        asio::post(m_socket.get_executor(), [ended = std::move(m_events)] {});
        m_events = {};
    }
    m_busy = false;
    m_connectTimer.cancel();
    asio::error_code ignored; // the descriptor is gone either way
    if (unanswered) {
        // An orderly close leaves unacknowledged bytes to the kernel, which sends them again once a cut heals: an
        // order that its sender gave up long before could reach its engine behind a newer holder's.
        m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
    }
    m_socket.close(ignored);
}

bool http_link::isReusable()
{
    if (m_closed || m_busy || !m_connected || m_tainted || loopNow() >= m_idleUntil) {
        return false;
    }
    asio::error_code problem;
    return m_socket.available(problem) == 0 && !problem;
}

} // namespace fuchsialoom
