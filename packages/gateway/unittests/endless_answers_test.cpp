/// \file
/// Targets that send bytes without end in a head or a body: bounded in bytes, and the caller gets a true answer.
#include "silence_world.h"

namespace fuchsialoom
{

static std::string repeated(const std::string &text, std::size_t bytes)
{
    std::string result;
    while (result.size() < bytes) {
        result.append(text);
    }
    return result;
}

struct endless_answer
{
    std::string name;
    std::string bytes; ///< after which the connection stays open
};

static const std::string streamHead = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n";
static const std::string bodyHead = "HTTP/1.1 500 Error\r\nX-Id: 1\r\nContent-Length: 99999999\r\n\r\n";
static constexpr std::size_t headBytes = 200000;
static constexpr std::size_t eventBytes = 1200000;
static constexpr std::size_t bodyBytes = 17000000;

static std::string chunk(const std::string &bytes)
{
    std::array<char, 32> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
    return size.data() + bytes + "\r\n";
}

static const std::vector<endless_answer> endlessAnswers{
    {"emptyLines", repeated("\r\n", headBytes)},
    {"interimAnswers", repeated("HTTP/1.1 100 Continue\r\n\r\n", headBytes)},
    {"fields", "HTTP/1.1 200 OK\r\n" + repeated("X-Field: value\r\n", headBytes)},
    {"oneField", "HTTP/1.1 200 OK\r\nX-Field: " + repeated("value", headBytes)},
    {"statusLine", "HTTP/1.1 200 " + repeated("OK", headBytes)},
    {"body", bodyHead + repeated("a", bodyBytes)},
    {"bodyWithoutLength", "HTTP/1.1 500 Error\r\nX-Id: 1\r\n\r\n" + repeated("a", bodyBytes)},
    {"oneEvent", streamHead + chunk("data: " + repeated("a", eventBytes))},
    {"dataLines", streamHead + chunk(repeated("data: a\n", eventBytes))},
    {"commentLines", streamHead + chunk(repeated(": a\n", eventBytes))},
    {"otherAnswer", "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 99999999\r\n\r\n" + repeated("a", eventBytes)},
};

class endless_answers : public testing::TestWithParam<std::size_t>
{
};

TEST_P(endless_answers, areBrokenOff)
{
    const endless_answer &one = endlessAnswers.at(GetParam());
    answer_world world(request_kind::Stream, false, {{one.bytes, connection_end::Stay}});
    const caller_answer answer = world.ask();
    EXPECT_EQ(answer.status, 502);
    EXPECT_TRUE(answer.complete);
    EXPECT_EQ(world.requestPath().heldBytes()->total(), 0U);
    EXPECT_EQ(world.target().received().size(), 1U);
}

INSTANTIATE_TEST_SUITE_P(table, endless_answers, testing::Range<std::size_t>(0, endlessAnswers.size()), [](const auto &info) {
    return endlessAnswers.at(info.param).name;
});

TEST_F(exchange_silence_test, manyLongAnswersAtOnceStayWithinTheirBound)
{
    static constexpr std::size_t callers = 24;
    static constexpr std::size_t most = 33554432;
    configure(false);
    list(0, callers);
    std::vector<asio::ip::tcp::socket> sockets;
    for (std::size_t caller = 0; caller < callers; ++caller) {
        sendOn(sockets.emplace_back(m_loop));
    }
    awaitRequests(0, callers);
    const std::string part(1048576, 'a');
    std::size_t largest = 0;
    for (int round = 0; round < 6; ++round) {
        for (const std::shared_ptr<caller_link> &link : target(0).links) {
            if (!link->isOpen()) {
                continue;
            }
            if (round == 0) {
                link->startStream(500, held_target::ownHeaders());
            }
            link->sendPart(part);
        }
        runFor(milliseconds(300));
        largest = std::max(largest, m_gateway.heldBytes()->total());
    }
    EXPECT_LE(largest, most);
    EXPECT_GT(largest, most / 2) << "there was no need to give up any";
    EXPECT_GT(target(0).abandoned, 0U);
    EXPECT_LT(target(0).abandoned, callers) << "some go on";
    for (asio::ip::tcp::socket &socket : sockets) {
        socket.close();
    }
}

} // namespace fuchsialoom
