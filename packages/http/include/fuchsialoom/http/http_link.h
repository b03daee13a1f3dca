/// \file
/// One connection to a server, from this side: connects, sends a request at a time, and hands on the
/// answer as it comes. All calls and callbacks are on the thread of the event loop.
#pragma once

#include "fuchsialoom/http/answer_reader.h"
#include "fuchsialoom/http/byte_account.h"
#include "fuchsialoom/support/name_table.h"
#include "fuchsialoom/support/time.h"

#include <asio.hpp>

#include <array>
#include <cstddef>
#include <functional>
#include <limits>
#include <memory>
#include <string>
#include <string_view>

namespace fuchsialoom
{

/// How an exchange on a link failed.
enum class link_failure {
    Refused, ///< the host answered that nobody listens: nothing was sent
    NoConnection, ///< there was none for another reason: nothing was sent
    ConnectTimeout, ///< likewise
    Withdrawn, ///< mayWrite returned false after connecting: nothing was sent
    Reset, ///< the connection was lost before the answer was whole
    Closed, ///< the server closed it in order before the answer was whole
    Malformed, ///< what came is no answer
    WrongAnswer, ///< answers to other requests came instead
    TooLarge, ///< the answer's body is larger than link_events::maxBodyBytes
};

template<>
struct name_table<link_failure>
{
    static constexpr auto entries = std::to_array<enum_name<link_failure>>({
        {link_failure::Refused, "refused"},
        {link_failure::NoConnection, "no-connection"},
        {link_failure::ConnectTimeout, "connect-timeout"},
        {link_failure::Withdrawn, "withdrawn"},
        {link_failure::Reset, "reset"},
        {link_failure::Closed, "closed"},
        {link_failure::Malformed, "malformed"},
        {link_failure::WrongAnswer, "wrong-answer"},
        {link_failure::TooLarge, "too-large"},
    });
};

/// What the sender of a request hears; the events of one exchange, in this order.
struct link_events
{
    std::function<void(const answer_head &)> onHead;
    std::function<void(std::string_view)> onBody;
    std::function<void()> onComplete;
    /// Instead of onComplete. \p sent: some byte of the request may have reached the server.
    std::function<void(link_failure, bool sent)> onFailure;
    /// Whether a head answers this request; an answer that doesn't is read and dropped.
    std::function<bool(const answer_head &)> isMine;
    /// A larger body fails the exchange. By default the receiver bounds what it keeps.
    std::size_t maxBodyBytes = std::numeric_limits<std::size_t>::max();
    /// Optional. Called once a new connection is established, right before the request is written to it. If it returns
    /// false, the request fails with Withdrawn. Not called when a connection is reused.
    std::function<bool()> mayWrite;
    held_bytes outgoing{}; ///< counts the memory of the request until it is written; by default nothing is counted
};

class http_link : public std::enable_shared_from_this<http_link>
{
public:
    http_link(asio::io_context &loop, asio::ip::tcp::endpoint server);

    /// Sends \p bytes, one whole request, after connecting where need be. \p connectBy: a connection that
    /// isn't there by then fails. The link must be idle.
    void send(std::string bytes, bool isHead, instant connectBy, link_events events);

    /// Ends the connection; no event comes after this.
    void close();

    /// Fails a request that waits for its connection as Withdrawn; does nothing if there is none.
    void withdraw();

    /// Open, no exchange under way, and nothing unasked has come: the next request may follow.
    bool isReusable();

    /// The server closes the idle connection then, as it said; far future when it said nothing.
    instant idleUntil() const
    {
        return m_idleUntil;
    }

    /// Bytes of the answer that have come, with their framing; those of answers to others included.
    std::size_t receivedBytes() const
    {
        return m_receivedBytes;
    }

    /// What made the answer Malformed; None otherwise.
    answer_problem answerProblem() const
    {
        return m_reader.problem();
    }

    bool wasUsed() const
    {
        return m_exchanges > 1;
    }

    const asio::ip::tcp::endpoint &server() const
    {
        return m_server;
    }

private:
    void connect(instant connectBy);
    void onConnected(const asio::error_code &problem);
    void write();
    void read();
    void onBytes(std::string_view bytes);
    /// \p inOrder: the read saw an orderly end. Judges it once it is known what the write saw.
    void onReadEnd(bool inOrder);
    /// \p inOrder: the server closed it; else it was reset.
    void onClosed(bool inOrder);
    /// The write was the call that heard of a reset.
    bool writeSawReset() const;
    void handle(const answer_progress &progress);
    void endExchange();
    void fail(link_failure how);
    void noteIdleTime();

    asio::ip::tcp::socket m_socket;
    asio::steady_timer m_connectTimer;
    asio::ip::tcp::endpoint m_server;
    answer_reader m_reader;
    link_events m_events;
    std::string m_outgoing;
    std::array<char, 16384> m_incoming;
    bool m_connected = false;
    bool m_closed = false;
    bool m_busy = false; ///< an exchange is under way
    bool m_sent = false; ///< a write of the exchange was begun
    bool m_writing = false;
    /// Of the last write. The system reports a reset once: a read after it ends as if the server had closed the connection in order.
    asio::error_code m_writeProblem;
    bool m_isHead = false;
    bool m_skipping = false; ///< the answer being read is another's
    bool m_tainted = false; ///< bytes came that belong to no request: not to be used again
    int m_dropped = 0; ///< answers to others in this exchange
    std::size_t m_droppedBytes = 0; ///< of their bodies
    std::size_t m_bodyBytes = 0; ///< of the answer
    std::size_t m_receivedBytes = 0; ///< since the exchange began
    int m_exchanges = 0;
    instant m_connectBy = farFuture; ///< of the connection being made
    instant m_idleUntil = farFuture;
};

/// The monotonic clock of the event loop.
instant loopNow();

} // namespace fuchsialoom
