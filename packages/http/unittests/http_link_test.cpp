/// \file
/// A connection to a server carries another request only after a whole answer to its own, and not one
/// byte more.
#include "fuchsialoom/http/http_link.h"

#include "link_outcome.h"
#include "scripted_server.h"

#include <gtest/gtest.h>

#include <thread>

namespace fuchsialoom
{

namespace
{

class http_link_test : public testing::Test
{
protected:
    void runFor(milliseconds length)
    {
        m_loop.restart();
        m_loop.run_for(length);
    }

    link_outcome ask(const std::shared_ptr<http_link> &link, const std::string &id = "1")
    {
        link_outcome seen;
        link_events events = eventsInto(seen);
        events.isMine = [id](const answer_head &head) {
            const std::string *named = head.headers.find("X-Id");
            return named && *named == id;
        };
        link->send("GET / HTTP/1.1\r\nHost: h\r\n\r\n", false, loopNow() + milliseconds(500), std::move(events));
        for (int turn = 0; turn < 100 && !seen.isOver(); ++turn) {
            runFor(milliseconds(10));
        }
        return seen;
    }

    std::shared_ptr<http_link> linkTo(const scripted_server &server)
    {
        return std::make_shared<http_link>(m_loop, server.address());
    }

    asio::io_context m_loop;
};

std::string answer(const std::string &id, const std::string &body, const std::string &more = "")
{
    return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\n" + more + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

TEST_F(http_link_test, carriesOneRequestAfterTheOther)
{
    scripted_server server(m_loop, {{answer("1", "a")}, {answer("2", "b")}});
    const auto link = linkTo(server);
    EXPECT_EQ(ask(link, "1").body, "a");
    ASSERT_TRUE(link->isReusable());
    EXPECT_EQ(ask(link, "2").body, "b");
    EXPECT_EQ(server.connections(), 1);
}

TEST_F(http_link_test, bytesBehindAnAnswerEndTheConnection)
{
    scripted_server server(m_loop, {{answer("1", "a") + "x"}});
    const auto link = linkTo(server);
    const link_outcome seen = ask(link);
    EXPECT_TRUE(seen.complete);
    EXPECT_EQ(seen.body, "a");
    EXPECT_FALSE(link->isReusable());
}

TEST_F(http_link_test, bytesThatComeLaterEndTheConnection)
{
    scripted_server server(m_loop, {{answer("1", "a"), scripted_step::end::Stay, answer("1", "again")}});
    const auto link = linkTo(server);
    EXPECT_TRUE(ask(link).complete);
    runFor(milliseconds(30));
    EXPECT_FALSE(link->isReusable());
}

TEST_F(http_link_test, anAnswerToAnotherRequestIsPassedOver)
{
    scripted_server server(m_loop, {{answer("0", "theirs") + answer("1", "ours")}});
    const auto link = linkTo(server);
    const link_outcome seen = ask(link);
    EXPECT_TRUE(seen.complete);
    EXPECT_EQ(seen.body, "ours");
    EXPECT_FALSE(link->isReusable());
}

TEST_F(http_link_test, onlyAnswersToOthersAreAFailure)
{
    scripted_server server(m_loop, {{answer("0", "a") + answer("0", "b") + answer("0", "c")}});
    const link_outcome seen = ask(linkTo(server));
    EXPECT_EQ(seen.failure, link_failure::WrongAnswer);
    EXPECT_TRUE(seen.sent);
    EXPECT_TRUE(seen.body.empty());
}

TEST_F(http_link_test, anAnswerWithoutLengthEndsInOrderOnly)
{
    const std::string unframed = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nabc";
    scripted_server closing(m_loop, {{unframed, scripted_step::end::Close}});
    EXPECT_TRUE(ask(linkTo(closing)).complete);
    scripted_server resetting(m_loop, {{unframed, scripted_step::end::Reset}});
    const link_outcome seen = ask(linkTo(resetting));
    EXPECT_FALSE(seen.complete);
    EXPECT_EQ(seen.failure, link_failure::Reset);
}

TEST_F(http_link_test, aResetInTheMiddleIsAFailure)
{
    scripted_server server(m_loop, {{"HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 9\r\n\r\nabc", scripted_step::end::Reset}});
    const link_outcome seen = ask(linkTo(server));
    ASSERT_TRUE(seen.failure);
    EXPECT_EQ(*seen.failure, link_failure::Reset);
    EXPECT_TRUE(seen.sent);
}

TEST_F(http_link_test, anOrderlyCloseInTheMiddleIsAFailure)
{
    const std::string head = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n";
    for (const std::string &cut : {std::string(),
                                   std::string("HTTP/1.1 2"),
                                   head,
                                   head + "Content-Length: 9\r\n\r\nabc",
                                   head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"}) {
        scripted_server server(m_loop, {{cut, scripted_step::end::Close}});
        EXPECT_EQ(ask(linkTo(server)).failure, link_failure::Closed) << cut;
    }
}

TEST_F(http_link_test, bytesThatAreNoAnswerAreAFailure)
{
    scripted_server server(m_loop, {{"no answer at all\r\n\r\n"}});
    EXPECT_EQ(ask(linkTo(server)).failure, link_failure::Malformed);
}

TEST_F(http_link_test, aRefusedConnectionSentNothing)
{
    asio::ip::tcp::endpoint nobody;
    {
        const scripted_server server(m_loop, {{""}});
        nobody = server.address();
    }
    const link_outcome seen = ask(std::make_shared<http_link>(m_loop, nobody));
    EXPECT_EQ(seen.failure, link_failure::Refused);
    EXPECT_FALSE(seen.sent);
}

TEST_F(http_link_test, aConnectionThatIsSeenTooLateSendsNothing)
{
    scripted_server server(m_loop, {{answer("1", "a")}});
    const auto link = linkTo(server);
    link_outcome seen;
    const instant connectBy = loopNow() + milliseconds(20);
    link->send("GET / HTTP/1.1\r\nHost: h\r\n\r\n", false, connectBy, eventsInto(seen));
    // The connection is made meanwhile, by the kernel: the process stands still until its time is over.
    std::this_thread::sleep_until(std::chrono::steady_clock::time_point((connectBy + milliseconds(20)).time_since_epoch()));
    runFor(milliseconds(100));
    EXPECT_EQ(server.received(), "");
    EXPECT_EQ(seen.failure, link_failure::ConnectTimeout);
    EXPECT_FALSE(seen.sent);
}

TEST_F(http_link_test, anAnswerBeforeTheBodyIsReadEndsTheConnection)
{
    scripted_server server(m_loop, {{answer("1", "early")}});
    const auto link = linkTo(server);
    link_outcome seen;
    // More than the sockets hold, so that the answer comes while the rest is still to be written.
    const std::string body(32 << 20, 'x');
    link->send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body,
               false,
               loopNow() + milliseconds(500),
               eventsInto(seen));
    for (int turn = 0; turn < 200 && !seen.complete; ++turn) {
        m_loop.restart();
        m_loop.run_one_for(milliseconds(10));
    }
    EXPECT_TRUE(seen.complete);
    EXPECT_EQ(seen.body, "early");
    EXPECT_FALSE(link->isReusable());
}

TEST_F(http_link_test, aServerThatAnnouncesItsTimeoutIsBelieved)
{
    scripted_server server(m_loop, {{answer("1", "a", "Keep-Alive: timeout=5\r\n")}, {answer("1", "a", "Connection: close\r\n")}});
    const auto link = linkTo(server);
    ask(link);
    EXPECT_LE(link->idleUntil(), loopNow() + seconds(5));
    EXPECT_TRUE(link->isReusable());
    ask(link);
    EXPECT_FALSE(link->isReusable());
}

/// What a cut held back would reach the server after the cut has healed, long after its sender gave it up.
TEST_F(http_link_test, aRequestThatIsGivenUpIsResetSoThatItCannotArriveLater)
{
    scripted_server server(m_loop, {{""}});
    const auto link = linkTo(server);
    link->send("GET / HTTP/1.1\r\nHost: h\r\n\r\n", false, loopNow() + milliseconds(500), {});
    runFor(milliseconds(30));
    ASSERT_FALSE(server.received().empty());
    link->close();
    runFor(milliseconds(30));
    EXPECT_EQ(server.resetByPeer(), 1);
}

TEST_F(http_link_test, anIdleConnectionIsClosedInOrder)
{
    scripted_server server(m_loop, {{"HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 0\r\n\r\n"}});
    const auto link = linkTo(server);
    ASSERT_TRUE(ask(link).complete);
    link->close();
    runFor(milliseconds(30));
    EXPECT_EQ(server.closedByPeer(), 1);
    EXPECT_EQ(server.resetByPeer(), 0);
}

} // namespace fuchsialoom
