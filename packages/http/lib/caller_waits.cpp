/// \file
/// One connection of a caller: how long it may wait.
#include "fuchsialoom/http/caller_link.h"

#include "fuchsialoom/http/http_link.h"

#include <algorithm>
#include <utility>

#include <linux/sockios.h>

namespace fuchsialoom
{

/// After the last answer, what the caller still sends is read and dropped for this long.
static constexpr milliseconds lingerTime{2000};
/// Reads of one connection in a row, so that a caller who never pauses doesn't hold up the others.
static constexpr int maxReadsOnTime = 8;

/// Closing a socket that has unread bytes resets the connection, which destroys what the caller hasn't received yet.
void caller_link::linger()
{
    freeMemory(m_buffered);
    countRequest();
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

} // namespace fuchsialoom
