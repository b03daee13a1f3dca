/// \file
/// Answers that come while the request is still being written: the end of the connection says whether they are whole.
#include "link_outcome.h"

#include <gtest/gtest.h>

#include <atomic>
#include <memory>
#include <string>
#include <thread>

namespace fuchsialoom
{

namespace
{

/// How a server ends a connection on which part of the request is unread.
enum class early_end {
    Reset,
    Close, ///< which resets it, as bytes are unread
    Shutdown, ///< ends its own side in order and leaves the other open
    ShutdownThenReset,
};

/// Answers one request as soon as its first bytes have come, on a thread of its own.
class early_server
{
public:
    early_server(std::string answer, early_end end, milliseconds pause)
        : m_pause(pause)
        , m_thread([this, answer = std::move(answer), end] {
            play(answer, end);
        })
    {
    }

    asio::ip::tcp::endpoint address() const
    {
        return m_acceptor.local_endpoint();
    }
    bool hasPlayed() const
    {
        return m_hasPlayed;
    }

private:
    void pause() const
    {
        std::this_thread::sleep_for(m_pause);
    }

    void play(const std::string &answer, early_end end)
    {
        asio::error_code ignored;
        m_acceptor.accept(m_socket, ignored);
        std::array<char, 1024> bytes{};
        m_socket.read_some(asio::buffer(bytes), ignored);
        asio::write(m_socket, asio::buffer(answer), ignored);
        pause();
        if (end == early_end::Shutdown || end == early_end::ShutdownThenReset) {
            m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
            pause();
        }
        if (end == early_end::Reset || end == early_end::ShutdownThenReset) {
            m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
        }
        if (end != early_end::Shutdown) {
            m_socket.close(ignored);
        }
        pause();
        m_hasPlayed = true;
    }

    asio::io_context m_loop;
    asio::ip::tcp::acceptor m_acceptor{m_loop, {asio::ip::address_v4::loopback(), 0}};
    asio::ip::tcp::socket m_socket{m_loop};
    std::atomic<bool> m_hasPlayed = false;
    const milliseconds m_pause; ///< between its steps
    std::jthread m_thread; ///< destroyed first
};

struct upload_outcome : link_outcome
{
    bool isReusable = false; ///< the connection, once the exchange is over
};

/// Whether the process hears the server at once, or only after all that the server does.
enum class listening {
    AtOnce,
    Late,
};

/// Sends a request that is larger than what the sockets hold.
upload_outcome upload(const std::string &answer, early_end end, listening when, milliseconds pause = milliseconds(10))
{
    static constexpr std::size_t uploadBytes = 8 << 20;
    early_server server(answer, end, pause);
    asio::io_context loop;
    const auto link = std::make_shared<http_link>(loop, server.address());
    upload_outcome seen;
    const std::string head = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(uploadBytes) + "\r\n\r\n";
    link->send(head + std::string(uploadBytes, 'x'), false, loopNow() + milliseconds(500), eventsInto(seen));
    if (when == listening::Late) {
        // Connects, and writes what the sockets take.
        loop.run_one();
        while (!server.hasPlayed()) {
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
    }
    for (int turn = 0; turn < 200 && !seen.isOver(); ++turn) {
        loop.restart();
        loop.run_one_for(milliseconds(10));
    }
    seen.isReusable = link->isReusable();
    link->close();
    loop.restart();
    loop.poll();
    return seen;
}

const std::string unframedHead = "HTTP/1.1 200 OK\r\n\r\n";
constexpr listening bothWays[] = {listening::AtOnce, listening::Late};

} // namespace

/// Guards against a reset that only the write of the request hears of.
TEST(early_answer, withoutLengthIsNoWholeAnswerOnceTheConnectionIsReset)
{
    for (const listening when : bothWays) {
        for (const early_end end : {early_end::Reset, early_end::Close}) {
            for (const char *body : {"", "part"}) {
                const upload_outcome seen = upload(unframedHead + body, end, when);
                EXPECT_FALSE(seen.complete) << body;
                EXPECT_EQ(seen.failure, link_failure::Reset) << body;
                EXPECT_TRUE(seen.sent);
            }
        }
    }
}

/// Guards against the end of the read that is heard before the reset that the write took.
TEST(early_answer, withoutLengthIsNoWholeAnswerHoweverSoonTheResetComes)
{
    for (int play = 0; play < 300; ++play) {
        const upload_outcome seen = upload(unframedHead + "part", early_end::Reset, listening::AtOnce, milliseconds(0));
        ASSERT_FALSE(seen.complete) << "play " << play;
        ASSERT_EQ(seen.failure, link_failure::Reset) << "play " << play;
    }
}

/// Guards against a rule by which every early answer without length would be lost.
TEST(early_answer, withoutLengthIsWholeOnceItsServerHasEndedItInOrder)
{
    for (const listening when : bothWays) {
        for (const early_end end : {early_end::Shutdown, early_end::ShutdownThenReset}) {
            const upload_outcome seen = upload(unframedHead + "whole", end, when);
            EXPECT_TRUE(seen.complete);
            EXPECT_EQ(seen.body, "whole");
            EXPECT_FALSE(seen.isReusable);
        }
    }
}

TEST(early_answer, withItsFramingIsWholeHoweverTheConnectionEnds)
{
    for (const listening when : bothWays) {
        for (const early_end end : {early_end::Reset, early_end::Close, early_end::Shutdown, early_end::ShutdownThenReset}) {
            for (const char *rest : {"Content-Length: 5\r\n\r\nwhole", "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"}) {
                const upload_outcome seen = upload("HTTP/1.1 200 OK\r\n" + std::string(rest), end, when);
                EXPECT_TRUE(seen.complete);
                EXPECT_EQ(seen.body, "whole");
                EXPECT_FALSE(seen.isReusable);
            }
        }
    }
}

TEST(early_answer, thatIsCutIsAFailure)
{
    for (const listening when : bothWays) {
        for (const early_end end : {early_end::Reset, early_end::Close, early_end::Shutdown}) {
            for (const char *rest : {"", "Content-Length: 5\r\n\r\npar", "Transfer-Encoding: chunked\r\n\r\n5\r\npar"}) {
                const upload_outcome seen = upload("HTTP/1.1 200 OK\r\n" + std::string(rest), end, when);
                EXPECT_FALSE(seen.complete);
                EXPECT_EQ(seen.failure, end == early_end::Shutdown ? link_failure::Closed : link_failure::Reset);
            }
        }
    }
}

} // namespace fuchsialoom
