/// \file
/// Listeners for callers: which connections are taken, kept and ended.
#include "caller_world.h"

#include <thread>

namespace fuchsialoom
{

using caller_listener_test = caller_world;

TEST_F(caller_listener_test, aDrainingConnectionIsAnsweredAndClosed)
{
    m_listener.drain(loopNow() + seconds(5));
    write(plainRequest);
    EXPECT_NE(read().find("Connection: close"), std::string::npos);
    runFor(milliseconds(10));
    read();
    EXPECT_TRUE(m_closed);
}

TEST_F(caller_listener_test, anIdleConnectionOutlivesTheStopForAWhile)
{
    runFor(milliseconds(10));
    m_listener.drain(loopNow() + milliseconds(60));
    runFor(milliseconds(20));
    read();
    EXPECT_FALSE(m_closed);
    runFor(milliseconds(100));
    read();
    EXPECT_TRUE(m_closed);
}

TEST_F(caller_listener_test, aConnectionIsBusyUntilItsCallerHasTheLastAnswer)
{
    write("GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    EXPECT_EQ(m_listener.busyLinks(), 1U);
    m_caller.close();
    runFor(milliseconds(10));
    EXPECT_EQ(m_listener.busyLinks(), 0U);
    EXPECT_EQ(m_listener.openLinks(), 0U);
}

TEST_F(caller_listener_test, aCallerWhoNeverLeavesIsNotWaitedForAfterTheLastAnswer)
{
    write("GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    runFor(milliseconds(2500));
    EXPECT_EQ(m_listener.openLinks(), 0U);
}

TEST_F(caller_listener_test, requestsThatArrivedWhileTheProcessStoodStillAreAnswered)
{
    m_limits.idleTimeout = milliseconds(100);
    // More than the event loop takes from the system at once.
    static constexpr std::size_t count = 200;
    std::vector<asio::ip::tcp::socket> callers;
    for (std::size_t number = 0; number < count; ++number) {
        callers.emplace_back(m_loop).connect(m_listener.address());
        runFor(milliseconds(0));
    }
    runFor(milliseconds(1));
    asio::steady_timer early(m_loop, milliseconds(5));
    early.async_wait([](const asio::error_code &) {});
    std::this_thread::sleep_for(milliseconds(10));
    for (asio::ip::tcp::socket &caller : callers) {
        asio::write(caller, asio::buffer(std::string(plainRequest)));
    }
    std::this_thread::sleep_for(milliseconds(150));
    for (int round = 0; round < 300 && m_requests.size() < count; ++round) {
        runFor(milliseconds(10));
    }
    EXPECT_EQ(m_requests.size(), count);
}

TEST_F(caller_listener_test, connectionsThatAreOpenWhenTheListenerStopsAreAnswered)
{
    runFor(milliseconds(10));
    std::vector<asio::ip::tcp::socket> callers;
    for (int number = 0; number < 5; ++number) {
        callers.emplace_back(m_loop).connect(m_listener.address());
        asio::write(callers.back(), asio::buffer(std::string(plainRequest)));
    }
    m_listener.drain(loopNow());
    m_listener.stopAccepting();
    runFor(milliseconds(30));
    EXPECT_EQ(m_requests.size(), callers.size());
}

TEST_F(caller_listener_test, aConnectionAcceptedJustBeforeTheListenerStopsIsAnswered)
{
    runFor(milliseconds(10));
    std::vector<asio::ip::tcp::socket> callers;
    for (int number = 0; number < 5; ++number) {
        callers.emplace_back(m_loop).connect(m_listener.address());
        asio::write(callers.back(), asio::buffer(std::string(plainRequest)));
    }
    m_loop.restart();
    m_loop.poll_one();
    m_listener.drain(loopNow());
    m_listener.stopAccepting();
    runFor(milliseconds(30));
    EXPECT_EQ(m_requests.size(), callers.size());
}

TEST_F(caller_listener_test, aConnectionThatIsTurnedAwayIsResetWithItsRequestUnread)
{
    runFor(milliseconds(30));
    m_admits = false;
    m_sendsAway = true;
    std::vector<asio::ip::tcp::socket> turnedAway;
    for (int made = 0; made < 20; ++made) {
        turnedAway.emplace_back(m_loop).connect(m_listener.address());
        asio::write(turnedAway.back(), asio::buffer(std::string("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n")));
    }
    runFor(milliseconds(100));
    for (asio::ip::tcp::socket &one : turnedAway) {
        asio::error_code problem;
        std::array<char, 16> bytes{};
        EXPECT_EQ(one.read_some(asio::buffer(bytes), problem), 0U);
        EXPECT_EQ(problem, asio::error::connection_reset);
    }
    EXPECT_TRUE(m_requests.empty());
    m_answerAtOnce = true;
    write("GET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
    EXPECT_EQ(m_requests.size(), 1U) << "an open connection is served";
    EXPECT_NE(read().find("Connection: close"), std::string::npos) << "and its caller asked to leave";
    m_admits = true;
    reconnect();
    write("GET /3 HTTP/1.1\r\nHost: h\r\n\r\n");
    EXPECT_EQ(m_requests.size(), 2U);
}

TEST_F(caller_listener_test, idleConnectionsOfManyCallersDontKeepNewOnesOut)
{
    static constexpr std::size_t most = 8;
    caller_listener small(m_loop, {asio::ip::address_v4::loopback(), 0}, events());
    small.start(most);
    std::vector<asio::ip::tcp::socket> callers;
    for (std::size_t made = 0; made < 3 * most; ++made) {
        asio::ip::tcp::socket caller(m_loop);
        caller.connect(small.address());
        m_caller = std::move(caller);
        write(plainRequest);
        EXPECT_NE(read().find("answer"), std::string::npos) << made;
        if (!m_closed) {
            callers.push_back(std::move(m_caller));
        }
    }
    EXPECT_GE(callers.size(), most / 2) << "some are kept open";
}

/// Guards against clients that keep all connections by sending a byte now and then.
TEST_F(caller_listener_test, aConnectionThatWaitsForItsClientGivesWayToANewOne)
{
    static constexpr std::size_t most = 4;
    caller_listener small(m_loop, {asio::ip::address_v4::loopback(), 0}, events());
    small.start(most);
    std::vector<asio::ip::tcp::socket> dripping;
    for (std::size_t made = 0; made < 2 * most; ++made) {
        dripping.emplace_back(m_loop).connect(small.address());
        asio::write(dripping.back(), asio::buffer(std::string("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n")));
        runFor(milliseconds(10));
    }
    EXPECT_EQ(small.openLinks(), most);
    m_caller = asio::ip::tcp::socket(m_loop);
    m_caller.connect(small.address());
    write(plainRequest);
    EXPECT_NE(read().find("answer"), std::string::npos);
    EXPECT_LE(small.openLinks(), most);
}

/// Guards against a listener that ends requests under way for new connections.
TEST_F(caller_listener_test, aConnectionWhoseRequestIsAnsweredKeepsItsPlace)
{
    static constexpr std::size_t most = 2;
    m_answerAtOnce = false;
    caller_listener small(m_loop, {asio::ip::address_v4::loopback(), 0}, events());
    small.start(most);
    std::vector<asio::ip::tcp::socket> callers;
    for (std::size_t made = 0; made < 2 * most; ++made) {
        callers.emplace_back(m_loop).connect(small.address());
        asio::write(callers.back(), asio::buffer(std::string(plainRequest)));
        runFor(milliseconds(10));
    }
    EXPECT_EQ(m_requests.size(), most);
    EXPECT_EQ(small.busyLinks(), most);
    EXPECT_FALSE(m_gone);
}

/// Guards against a request that is refused for memory and keeps its own until its connection ends.
TEST_F(caller_listener_test, requestsThatAreRefusedForMemoryFreeItAtOnce)
{
    caller_events counted = events();
    counted.held = std::make_shared<byte_account>(100000, 1000);
    const std::shared_ptr<byte_account> account = counted.held;
    caller_listener listener(m_loop, {asio::ip::address_v4::loopback(), 0}, std::move(counted));
    listener.start(100);
    std::vector<asio::ip::tcp::socket> stalled;
    for (int made = 0; made < 20; ++made) {
        stalled.emplace_back(m_loop).connect(listener.address());
        asio::write(stalled.back(), asio::buffer("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 90000\r\n\r\n" + std::string(40000, 'a')));
        runFor(milliseconds(10));
        EXPECT_LE(account->total(), 100000U);
    }
    EXPECT_EQ(m_rejected, reading_problem::NoMemory);
    EXPECT_TRUE(m_requests.empty());
}

} // namespace fuchsialoom
