/// \file
/// One connection of a caller: reads its requests one at a time, hands each on whole, and writes the
/// answer. It goes on reading while an answer is made, so that a caller who leaves is noticed at once.
/// All calls and callbacks are on the thread of the event loop.
#pragma once

#include "fuchsialoom/http/byte_account.h"
#include "fuchsialoom/http/request_reader.h"
#include "fuchsialoom/support/time.h"

#include <asio.hpp>

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace fuchsialoom
{

class caller_link;

/// What marks the end of a stream to a caller.
enum class stream_framing {
    Chunks, ///< the last chunk, for callers that take chunks
    Connection, ///< the orderly end of the connection
};

/// How long a caller may take, and how much it may send. Durations, since they come from a
/// configuration; each connection makes deadlines of them.
struct caller_limits
{
    request_limits request;
    milliseconds headTimeout{3000};
    milliseconds idleTimeout{15000};

    friend bool operator==(const caller_limits &left, const caller_limits &right)
    {
        return left.request.headBytes == right.request.headBytes && left.request.bodyBytes == right.request.bodyBytes
            && left.headTimeout == right.headTimeout && left.idleTimeout == right.idleTimeout;
    }
};

/// What a VM is short of when it ends the connection of a client.
enum class scarce_resource {
    Memory,
    Connections,
};

template<>
struct name_table<scarce_resource>
{
    static constexpr auto entries = std::to_array<enum_name<scarce_resource>>({
        {scarce_resource::Memory, "memory"},
        {scarce_resource::Connections, "connections"},
    });
};

/// What the links of one listener have in common.
struct caller_events
{
    /// A whole request came; it is to be answered on the link.
    std::function<void(const std::shared_ptr<caller_link> &, received_request)> onRequest;
    /// A connection sent what is no request; it was answered and closed.
    std::function<void(reading_problem)> onRejected;
    /// The limits in force now; they may change while a connection is open.
    std::function<const caller_limits &()> limits;
    /// Whether to take the next new connection; a connection that isn't taken is reset with its request unread. Empty: all are taken.
    std::function<bool()> admits{};
    /// Whether callers are asked to leave with their next answer. Empty: they aren't.
    std::function<bool()> sendsAway{};
    /// Counts what links hold of requests that are being read and of answers that callers haven't taken; a link that has to give way
    /// rejects the request or ends the connection. Null: nothing is counted.
    std::shared_ptr<byte_account> held{};
    /// A connection was ended without an answer, so that others have what it held. May be empty.
    std::function<void(scarce_resource)> onGaveWay{};

    bool asksToLeave() const
    {
        return sendsAway && sendsAway();
    }
};

class caller_link : public std::enable_shared_from_this<caller_link>
{
public:
    caller_link(asio::ip::tcp::socket socket, std::shared_ptr<const caller_events> events);

    void start();

    /// Called when the caller has gone before its answer is whole. Replaces an earlier callback.
    void onGone(std::function<void()> callback);

    /// \name Answering. One request is answered by one respond(), or by startStream(), sendPart() and
    /// endStream().
    /// @{
    void respond(int status, header_list headers, std::string_view body);
    void startStream(int status, header_list headers, stream_framing framing = stream_framing::Chunks);
    void sendPart(std::string_view bytes);
    void endStream();
    /// Ends the connection, so that an answer under way can't look complete.
    void abort();
    /// @}

    /// The caller is asked to leave with its next answer; an idle connection lingers until \p idleUntil,
    /// so that a request on its way is still answered.
    void drain(instant idleUntil);

    /// Since when this link has waited for its client: for a request, the rest of one, or until it takes an answer; far future while the
    /// client waits for this side.
    instant waitsForClientSince() const;

    /// Ends the connection, since \p scarce is needed for other clients.
    void giveWay(scarce_resource scarce);

    /// A request is being answered, part of one has come, or the caller may still be receiving the last answer.
    bool isBusy() const;
    bool isOpen() const
    {
        return !m_closed;
    }

private:
    static constexpr std::size_t readBytes = 8192;

    void read();
    void onBytes(std::string_view bytes);
    void readRequests();
    void takeRequest();
    void reject(reading_problem problem);
    void sendHead(int status, const header_list &headers, std::string_view framing);
    void queue(std::string_view bytes);
    void flush();
    void writeNext();
    void writeRest();
    /// Counts the memory of what has come and isn't handed on.
    void countRequest();
    /// Counts the memory of what the caller hasn't taken yet.
    void countUnsent();
    /// The account asks for m_heldRequest, which may be just being counted.
    void onRequestTooMuch();
    /// Rejects the request that is being read, or ends the connection.
    void giveRequestUp();
    /// Stops reading, as more than mostBuffered has come behind a request that is being answered.
    void stopReading();
    /// Whether closing the socket resets the connection.
    void setResetOnClose(bool resets);
    void onAnswered();
    /// Ends this side of the connection, then drops what comes until the caller ends its own.
    void linger();
    void onLost();
    milliseconds timeoutInForce() const;
    void waitFrom(instant began);
    instant waitEnd() const;
    /// Has onTime() called at the end of the wait, or earlier.
    void watchTime();
    void onTime();
    bool isWaitOver() const;
    /// Whether the caller has taken bytes since the last look.
    bool hasTakenBytes();
    /// Takes bytes that have arrived, without waiting. \return whether there were any.
    bool readArrived();
    void close();

    asio::ip::tcp::socket m_socket;
    asio::steady_timer m_timer;
    std::shared_ptr<const caller_events> m_events;
    request_reader m_reader;
    held_bytes m_heldRequest; ///< memory of m_reader and m_buffered
    held_bytes m_heldAnswer; ///< memory of m_outgoing and m_next
    std::string m_buffered; ///< bytes after the request that is being answered; bounded by mostBuffered
    std::array<char, readBytes> m_incoming;
    std::string m_outgoing; ///< being written
    std::size_t m_outgoingWritten = 0; ///< bytes of it
    int m_unacknowledged = 0; ///< bytes that the caller hadn't taken at the last look
    std::string m_next; ///< to be written after it
    std::function<void()> m_onGone;
    std::size_t m_droppedBytes = 0; ///< that came after the last request
    instant m_idleSince; ///< the last answer was written, or the first byte of the request being read came
    instant m_untakenSince = farFuture; ///< since then, there was always something of an answer that the caller hadn't taken
    instant m_waitBegan; ///< for the rest of a request, for the next one, or for the caller's end
    instant m_waitUntil; ///< end of the wait by the timeout in force when it began
    instant m_drainUntil = farFuture; ///< idle connections are closed then
    bool m_answering = false;
    bool m_streaming = false;
    bool m_toHead = false; ///< the request is a HEAD: no body is sent
    bool m_chunks = true; ///< a stream is sent in chunks; else it ends with the connection
    bool m_keepAlive = true;
    bool m_draining = false;
    bool m_closing = false; ///< the last answer is being written, or the caller's end is awaited
    bool m_closed = false;
    bool m_writing = false;
    bool m_reading = false;
    bool m_countingRequest = false; ///< countRequest() is under way
    bool m_watching = false; ///< the timer is set
    bool m_continued = false; ///< leave to send the body was given
};

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

/// The reason phrase of \p status.
std::string_view reasonOf(int status);

} // namespace fuchsialoom
