/// \file
/// Connections of callers: one answer for each request, in order, and a caller who leaves is noticed.
#include "caller_world.h"

#include <thread>

namespace fuchsialoom
{

using caller_link_test = caller_world;

TEST_F(caller_link_test, answersRequestsSentTogetherInOrder)
{
    write(std::string(plainRequest) + plainRequest + plainRequest);
    const std::string text = read();
    const std::size_t first = text.find("answer 1");
    const std::size_t second = text.find("answer 2");
    const std::size_t third = text.find("answer 3");
    EXPECT_TRUE(first < second && second < third && third != std::string::npos) << text;
    EXPECT_FALSE(m_closed);
}

TEST_F(caller_link_test, aCallerWhoLeavesIsNoticedWhileItsAnswerIsMade)
{
    m_answerAtOnce = false;
    write(plainRequest);
    ASSERT_EQ(m_requests.size(), 1U);
    m_caller.close();
    runFor(milliseconds(30));
    EXPECT_TRUE(m_gone);
    EXPECT_FALSE(m_link->isOpen());
}

TEST_F(caller_link_test, aStreamThatIsAbortedDoesNotLookComplete)
{
    m_answerAtOnce = false;
    write(plainRequest);
    m_link->startStream(200, {});
    m_link->sendPart("id: 1\n\n");
    runFor(milliseconds(10));
    m_link->abort();
    runFor(milliseconds(10));
    const std::string text = read();
    EXPECT_NE(text.find("id: 1"), std::string::npos);
    EXPECT_EQ(text.find("0\r\n\r\n"), std::string::npos);
    EXPECT_TRUE(m_closed);
}

TEST_F(caller_link_test, aStreamEndsWithItsLastChunk)
{
    m_answerAtOnce = false;
    write(plainRequest);
    m_link->startStream(200, {});
    m_link->sendPart("ab");
    m_link->endStream();
    runFor(milliseconds(10));
    const std::string text = read();
    EXPECT_TRUE(text.ends_with("\r\n2\r\nab\r\n0\r\n\r\n")) << text;
    EXPECT_FALSE(m_closed);
}

TEST_F(caller_link_test, whatIsNoRequestIsAnsweredAndClosed)
{
    write("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
    EXPECT_TRUE(read().starts_with("HTTP/1.1 400 "));
    EXPECT_EQ(m_rejected, reading_problem::AmbiguousFraming);
    EXPECT_TRUE(m_requests.empty());
    runFor(milliseconds(10));
    read();
    EXPECT_TRUE(m_closed);
}

TEST_F(caller_link_test, aCallerWhoWaitsForLeaveGetsIt)
{
    write("POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
    EXPECT_TRUE(read().starts_with("HTTP/1.1 100 "));
    write("ab");
    EXPECT_NE(read().find("answer 1"), std::string::npos);
    EXPECT_EQ(m_requests.at(0).body, "ab");
}

TEST_F(caller_link_test, anIdleConnectionIsClosedAfterItsTime)
{
    m_limits.idleTimeout = milliseconds(40);
    write(plainRequest);
    read();
    EXPECT_FALSE(m_closed);
    runFor(milliseconds(100));
    read();
    EXPECT_TRUE(m_closed);
}

TEST_F(caller_link_test, aHeadThatNeverEndsIsNotWaitedFor)
{
    m_limits.headTimeout = milliseconds(40);
    write("GET / HT");
    runFor(milliseconds(100));
    read();
    EXPECT_TRUE(m_closed);
}

TEST_F(caller_link_test, aStreamToAnOldCallerHasNoChunks)
{
    m_answerAtOnce = false;
    write(oldRequest);
    ASSERT_TRUE(m_link);
    m_link->startStream(200, {});
    m_link->sendPart("id: 1\n\n");
    m_link->sendPart("id: 2\n\n");
    m_link->endStream();
    runFor(milliseconds(30));
    const std::string text = read();
    EXPECT_TRUE(text.ends_with("\r\n\r\nid: 1\n\nid: 2\n\n")) << text;
    EXPECT_EQ(text.find("Transfer-Encoding"), std::string::npos);
    EXPECT_TRUE(m_closed);
    EXPECT_FALSE(m_reset);
}

/// An orderly end would make the stream look complete to a caller without chunks.

TEST_F(caller_link_test, aBrokenStreamToAnOldCallerEndsInAReset)
{
    m_answerAtOnce = false;
    write(oldRequest);
    ASSERT_TRUE(m_link);
    m_link->startStream(200, {});
    m_link->sendPart("id: 1\n\n");
    m_link->abort();
    runFor(milliseconds(30));
    read();
    EXPECT_TRUE(m_closed);
    EXPECT_TRUE(m_reset);
}

TEST_F(caller_link_test, aStreamThatAnswersAHeadHasNoBody)
{
    m_answerAtOnce = false;
    write("HEAD /a HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(m_link);
    m_link->startStream(200, {});
    m_link->sendPart("id: 1\n\n");
    m_link->endStream();
    runFor(milliseconds(30));
    const std::string text = read();
    EXPECT_TRUE(text.ends_with("\r\n\r\n")) << text;
    EXPECT_EQ(text.find("\r\n\r\n"), text.size() - 4) << text;
}

TEST_F(caller_link_test, anAnswerIsNotLostToABodyThatIsStillBeingSent)
{
    m_limits.request.bodyBytes = 1000;
    reconnect();
    write("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n");
    const std::string piece(10000, 'x');
    for (int sent = 0; sent < 100; ++sent) {
        asio::error_code problem;
        asio::write(m_caller, asio::buffer(piece), problem);
        ASSERT_FALSE(problem) << problem.message() << " after " << sent;
        runFor(milliseconds(1));
    }
    EXPECT_TRUE(read().starts_with("HTTP/1.1 413 "));
    EXPECT_TRUE(m_closed);
    EXPECT_FALSE(m_reset);
}

TEST_F(caller_link_test, anAnswerIsNotLostToARequestBehindIt)
{
    reconnect(4096);
    m_answerAtOnce = false;
    write("GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    ASSERT_TRUE(m_link);
    const std::string body(50000, 'b');
    m_link->respond(200, {}, body);
    asio::error_code ignored; // what counts is what can still be read
    asio::write(m_caller, asio::buffer(std::string(plainRequest)), ignored);
    std::string text;
    for (int round = 0; round < 200 && !m_closed; ++round) {
        runFor(milliseconds(2));
        text += read();
    }
    EXPECT_TRUE(text.ends_with("\r\n\r\n" + body)) << text.size();
    EXPECT_FALSE(m_reset);
}

TEST_F(caller_link_test, aLongerIdleTimeHoldsForConnectionsThatAreIdleAlready)
{
    m_limits.idleTimeout = milliseconds(40);
    write(plainRequest);
    m_limits.idleTimeout = milliseconds(400);
    runFor(milliseconds(150));
    read();
    ASSERT_FALSE(m_closed);
    write(plainRequest);
    EXPECT_EQ(m_requests.size(), 2U);
    read();
    EXPECT_FALSE(m_closed);
}

TEST_F(caller_link_test, aShorterIdleTimeDoesNotEndAWaitThatBeganBefore)
{
    m_limits.idleTimeout = milliseconds(300);
    write(plainRequest);
    m_limits.idleTimeout = milliseconds(20);
    runFor(milliseconds(100));
    read();
    EXPECT_FALSE(m_closed);
    write(plainRequest);
    EXPECT_EQ(m_requests.size(), 2U);
    runFor(milliseconds(100));
    read();
    EXPECT_TRUE(m_closed);
}

TEST_F(caller_link_test, largerSizesHoldForTheNextRequestOfAnOpenConnection)
{
    m_limits.request = {60, 10};
    reconnect();
    write(plainRequest);
    read();
    m_limits.request = {1000, 1000};
    write("POST /" + std::string(100, 'p') + " HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\n" + std::string(100, 'b'));
    EXPECT_EQ(m_requests.size(), 2U);
    EXPECT_EQ(m_rejected, std::nullopt);
}

TEST_F(caller_link_test, smallerSizesDoNotRejectARequestThatHasBegun)
{
    m_limits.request = {1000, 1000};
    write("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n");
    m_limits.request = {10, 10};
    write("\r\n");
    write(std::string(100, 'b'));
    EXPECT_EQ(m_requests.size(), 1U);
    EXPECT_EQ(m_rejected, std::nullopt);
}

TEST_F(caller_link_test, aLongBodyIsReadForAsLongAsItMakesProgress)
{
    m_limits.headTimeout = milliseconds(60);
    m_limits.idleTimeout = milliseconds(150);
    write("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n");
    for (int number = 0; number < 10; ++number) {
        runFor(milliseconds(20));
        write("b");
    }
    ASSERT_EQ(m_requests.size(), 1U);
    EXPECT_EQ(m_requests.at(0).body, "bbbbbbbbbb");
}

TEST_F(caller_link_test, aRequestWhoseRestDoesNotComeIsAnswered)
{
    m_limits.headTimeout = milliseconds(40);
    m_limits.idleTimeout = milliseconds(40);
    for (const char *part : {"GET / HT", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nabc"}) {
        reconnect();
        write(part);
        runFor(milliseconds(100));
        EXPECT_TRUE(read().starts_with("HTTP/1.1 408 ")) << part;
        EXPECT_TRUE(m_closed);
        EXPECT_EQ(m_rejected, reading_problem::TimedOut);
    }
}

TEST_F(caller_link_test, anAnswerThatItsCallerTakesSlowlyIsNotCutAtTheIdleTime)
{
    m_limits.idleTimeout = milliseconds(200);
    reconnect(4096);
    m_answerAtOnce = false;
    write(plainRequest);
    ASSERT_TRUE(m_link);
    const std::string body(8000000, 'b');
    m_link->respond(200, {}, body);
    std::string text;
    for (int round = 0; round < 10000 && !m_closed && !text.ends_with("\r\n\r\n" + body); ++round) {
        std::array<char, 20000> bytes{};
        asio::error_code problem;
        m_caller.non_blocking(true);
        const std::size_t size = m_caller.read_some(asio::buffer(bytes), problem);
        m_closed = problem && problem != asio::error::would_block;
        text.append(bytes.data(), size);
        runFor(milliseconds(1));
    }
    EXPECT_TRUE(text.ends_with("\r\n\r\n" + body)) << text.size();
}

TEST_F(caller_link_test, aCallerWhoTakesNothingOfItsLastAnswerDoesNotHoldTheConnectionForEver)
{
    m_limits.idleTimeout = milliseconds(200);
    reconnect(4096);
    m_answerAtOnce = false;
    write("GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    ASSERT_TRUE(m_link);
    m_link->respond(200, {}, std::string(8000000, 'b'));
    runFor(milliseconds(3000));
    EXPECT_FALSE(m_link->isOpen());
}

} // namespace fuchsialoom
