/// \file
/// How attempts end, as seen over real connections to a target that misbehaves.
#include "fuchsialoom/wire/engine_client.h"

#include "fuchsialoom/wire/http_server.h"

#include <gtest/gtest.h>

#include <future>
#include <thread>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace fuchsialoom;

/// Long enough that only a defect reaches it.
static constexpr milliseconds longTime{60000};
static constexpr milliseconds shortTime{30};

static real_deadline deadlineIn(milliseconds time)
{
    return std::chrono::steady_clock::now() + time;
}

namespace
{

/// A target whose answers a test writes. Handlers that hold a connection wait for release().
class fake_target
{
public:
    fake_target()
    {
        listenAlone(m_server);
    }

    ~fake_target()
    {
        release();
        m_server.stop();
        if (m_thread.joinable()) {
            m_thread.join();
        }
    }

    httplib::Server &server()
    {
        return m_server;
    }

    engine_client start()
    {
        const std::optional<std::uint16_t> port = bindServer(m_server, "127.0.0.1", 0);
        EXPECT_TRUE(port);
        m_thread = serveBound(m_server);
        return engine_client(endpoint{"127.0.0.1", port.value_or(0)});
    }

    void hold()
    {
        m_released.wait();
    }

    void release()
    {
        if (!m_done.exchange(true)) {
            m_release.set_value();
        }
    }

    /// Answers GET /streams/r with \p events, then holds the connection or ends it.
    void streamEvents(std::string events, bool holdAfter)
    {
        m_server.Get("/streams/r", [this, events = std::move(events), holdAfter](const httplib::Request &, httplib::Response &to) {
            to.set_chunked_content_provider("text/event-stream", [this, events, holdAfter](std::size_t, httplib::DataSink &sink) {
                sink.write(events.data(), events.size());
                if (holdAfter) {
                    hold();
                }
                sink.done();
                return true;
            });
        });
    }

private:
    httplib::Server m_server;
    std::jthread m_thread;
    std::promise<void> m_release;
    std::shared_future<void> m_released{m_release.get_future()};
    std::atomic<bool> m_done{false};
};

} // namespace

namespace
{

/// A target that answers one connection with given bytes and ends it.
class one_answer_target
{
public:
    one_answer_target(std::string bytes, bool resets)
        : m_listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        EXPECT_EQ(::bind(m_listener, reinterpret_cast<sockaddr *>(&address), size), 0);
        EXPECT_EQ(::listen(m_listener, 1), 0);
        EXPECT_EQ(::getsockname(m_listener, reinterpret_cast<sockaddr *>(&address), &size), 0);
        m_port = ntohs(address.sin_port);
        m_thread = std::jthread([this, bytes = std::move(bytes), resets] {
            answer(bytes, resets);
        });
    }

    ~one_answer_target()
    {
        m_thread.join();
        ::close(m_listener);
    }

    one_answer_target(const one_answer_target &) = delete;
    one_answer_target &operator=(const one_answer_target &) = delete;

    engine_client client() const
    {
        return engine_client(endpoint{"127.0.0.1", m_port});
    }

private:
    /// Closing a connection with unread bytes resets it, and a body may arrive after its headers.
    static bool isWhole(const std::string &received)
    {
        const std::size_t end = received.find("\r\n\r\n");
        return end != std::string::npos && (received.starts_with("GET ") || received.substr(end + 4) == "body");
    }

    void answer(const std::string &bytes, bool resets) const
    {
        const int connection = ::accept(m_listener, nullptr, nullptr);
        std::array<char, 4096> request{};
        std::string received;
        while (!isWhole(received)) {
            const ssize_t size = ::recv(connection, request.data(), request.size(), 0);
            if (size <= 0) {
                break;
            }
            received.append(request.data(), static_cast<std::size_t>(size));
        }
        ::send(connection, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        std::this_thread::sleep_for(milliseconds(5)); // a reset may discard what its receiver hasn't read
        const linger reset{resets ? 1 : 0, 0};
        ::setsockopt(connection, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
        ::close(connection);
    }

    int m_listener;
    std::uint16_t m_port = 0;
    std::jthread m_thread;
};

} // namespace

static std::string tokenEvent(const std::string &stream, int offset)
{
    return "data: {\"stream\":\"" + stream + "\",\"attempt\":1,\"offset\":" + std::to_string(offset) + ",\"text\":\"t\"}\n\n";
}

static std::string finishEvent(const std::string &stream, int offset)
{
    return "data: {\"stream\":\"" + stream + "\",\"attempt\":1,\"offset\":" + std::to_string(offset) + ",\"finish\":\"stop\"}\n\n";
}

/// Counts the frames; the answer is whole at the finish of stream `r`.
static attempt_end followCounting(engine_client client, milliseconds progress, milliseconds time, int &frames)
{
    return client.follow(request_id("r"), 0, progress, deadlineIn(time), [&](const token_frame &frame) {
        ++frames;
        return frame.finish && frame.request == request_id("r") ? frame_reply::Finished : frame_reply::More;
    });
}

TEST(engine_client, followsToTheOwnFinishOnly)
{
    fake_target target;
    target.streamEvents(finishEvent("other", 0) + tokenEvent("r", 0) + "data: {broken\n\n: comment\n\n" + finishEvent("r", 1), true);
    int frames = 0;
    EXPECT_EQ(followCounting(target.start(), longTime, longTime, frames), attempt_end::Completed);
    EXPECT_EQ(frames, 3);
}

TEST(engine_client, theEndOfTheConnectionIsNotTheEndOfTheAnswer)
{
    fake_target target;
    target.streamEvents(tokenEvent("r", 0) + finishEvent("other", 1), false);
    int frames = 0;
    EXPECT_EQ(followCounting(target.start(), longTime, longTime, frames), attempt_end::Lost);
    EXPECT_EQ(frames, 2);
}

TEST(engine_client, aConnectionWithoutBytesIsSilent)
{
    fake_target target;
    target.streamEvents(tokenEvent("r", 0), true);
    int frames = 0;
    EXPECT_EQ(followCounting(target.start(), shortTime, longTime, frames), attempt_end::Silent);
    EXPECT_EQ(frames, 1);
}

TEST(engine_client, theDeadlineGoesBeforeSilence)
{
    fake_target target;
    target.streamEvents(tokenEvent("r", 0), true);
    int frames = 0;
    EXPECT_EQ(followCounting(target.start(), longTime, shortTime, frames), attempt_end::DeadlinePassed);
}

TEST(engine_client, anUnknownStreamIsForgotten)
{
    fake_target target;
    int frames = 0;
    EXPECT_EQ(followCounting(target.start(), longTime, longTime, frames), attempt_end::StreamForgotten);
}

TEST(engine_client, aStartWithoutAnAnswerIsSilentAndOneWithoutATargetNotSent)
{
    fake_target target;
    target.server().Post("/streams/r", [&](const httplib::Request &, httplib::Response &) {
        target.hold();
    });
    target_request request;
    request.request = request_id("r");
    EXPECT_EQ(target.start().start(request, shortTime, deadlineIn(longTime)).end, attempt_end::Silent);
    // Port 1 of the loopback address has no listener.
    EXPECT_EQ(engine_client(endpoint{"127.0.0.1", 1}).start(request, longTime, deadlineIn(longTime)).end, attempt_end::NotSent);
}

TEST(engine_client, aStartTellsWhetherTheStreamRanAlready)
{
    fake_target target;
    std::atomic<int> posts{0};
    target.server().Post("/streams/r", [&](const httplib::Request &, httplib::Response &to) {
        to.status = ++posts == 1 ? 201 : 200;
    });
    engine_client client = target.start();
    target_request request;
    request.request = request_id("r");
    const start_result first = client.start(request, longTime, deadlineIn(longTime));
    EXPECT_EQ(first.end, attempt_end::Completed);
    EXPECT_FALSE(first.ranAlready);
    EXPECT_TRUE(client.start(request, longTime, deadlineIn(longTime)).ranAlready);
}

TEST(engine_client, onlyATargetThatSaysSoDidNotRun)
{
    fake_target target;
    std::atomic<int> posts{0};
    target.server().Post("/call/s", [&](const httplib::Request &, httplib::Response &to) {
        to.status = 503;
        to.set_content(++posts == 1 ? R"({"outcome":"not-run"})" : R"({"outcome":7})", "application/json");
    });
    engine_client client = target.start();
    target_request request;
    EXPECT_EQ(client.call(service_id("s"), request, deadlineIn(longTime)).end, attempt_end::Refused);
    const plain_answer answer = client.call(service_id("s"), request, deadlineIn(longTime));
    EXPECT_EQ(answer.end, attempt_end::Completed);
    EXPECT_EQ(answer.status, 503U);
    EXPECT_EQ(answer.body, R"({"outcome":7})");
}

TEST(engine_client, aCallWithoutFramingThatIsResetIsLost)
{
    target_request request;
    request.body = "body";
    for (const bool resets : {true, false}) {
        const one_answer_target target("HTTP/1.1 200 OK\r\n\r\nhalf", resets);
        const plain_answer answer = target.client().call(service_id("s"), request, deadlineIn(longTime));
        EXPECT_EQ(answer.end, resets ? attempt_end::Lost : attempt_end::Completed);
    }
}

/// Guards against a status outside its range, and against a field name that frames the body for some readers only.
TEST(engine_client, aCallWhoseHeadIsBrokenIsLost)
{
    target_request request;
    request.body = "body";
    const std::string rest = " OK\r\nContent-Length: 4\r\n\r\nbody";
    for (const std::string &bytes : {"HTTP/1.1 000" + rest,
                                     "HTTP/1.1 600" + rest,
                                     "HTTP/1.1 20" + rest,
                                     std::string("HTTP/1.1 200 OK\r\nX Field: a\r\nContent-Length: 4\r\n\r\nbody"),
                                     std::string("HTTP/1.1 200 OK\r\nX\001Field: a\r\nContent-Length: 4\r\n\r\nbody"),
                                     std::string("HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nbody")}) {
        const one_answer_target target(bytes, false);
        EXPECT_EQ(target.client().call(service_id("s"), request, deadlineIn(longTime)).end, attempt_end::Lost) << bytes;
    }
    for (const std::string line : {"HTTP/1.1 299 OK", "HTTP/1.1 404 ", "HTTP/1.1 599 OK\r\nX-Field: \xc3\xbc"}) {
        const one_answer_target target(line + "\r\nContent-Length: 4\r\n\r\nbody", false);
        EXPECT_EQ(target.client().call(service_id("s"), request, deadlineIn(longTime)).end, attempt_end::Completed) << line;
    }
}

TEST(engine_client, aStreamWithoutFramingIsWholeByItsFinishOnly)
{
    const std::string head = "HTTP/1.1 200 OK\r\n\r\n" + tokenEvent("r", 0);
    for (const std::string &rest : {std::string(), finishEvent("r", 1).substr(0, 30), finishEvent("r", 1)}) {
        int frames = 0;
        const one_answer_target target(head + rest, false);
        const bool isWhole = rest.ends_with("\n\n");
        EXPECT_EQ(followCounting(target.client(), longTime, longTime, frames), isWhole ? attempt_end::Completed : attempt_end::Lost);
        EXPECT_EQ(frames, isWhole ? 2 : 1);
    }
}

TEST(engine_client, aCallThatTricklesEndsByItsDeadline)
{
    fake_target target;
    std::atomic<bool> callerLeft{false};
    target.server().Post("/call/s", [&](const httplib::Request &, httplib::Response &to) {
        to.set_chunked_content_provider("text/plain", [&](std::size_t, httplib::DataSink &sink) {
            // One byte at a time, each well within every read timeout, until the other side closes.
            while (sink.write("x", 1) && !callerLeft) {
                std::this_thread::sleep_for(milliseconds(1));
            }
            sink.done();
            return true;
        });
    });
    target_request request;
    EXPECT_EQ(target.start().call(service_id("s"), request, deadlineIn(shortTime)).end, attempt_end::DeadlinePassed);
    callerLeft = true;
}

TEST(engine_client, aCallWhoseHeadIsCutAtAnyByteIsLost)
{
    target_request request;
    request.body = "body";
    const std::string head = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 4\r\n\r\n";
    for (std::size_t cut = 0; cut < head.size(); ++cut) {
        const one_answer_target target(head.substr(0, cut), false);
        EXPECT_EQ(target.client().call(service_id("s"), request, deadlineIn(longTime)).end, attempt_end::Lost) << head.substr(0, cut);
    }
}
