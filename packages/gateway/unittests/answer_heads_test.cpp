/// \file
/// An answer whose head stops in the middle or is broken is no answer, whatever comes of it.
#include "answer_world.h"

#include <gtest/gtest.h>

#include <string>
#include <tuple>
#include <vector>

namespace fuchsialoom
{

namespace
{

const std::string lengthHead = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 14\r\n\r\n";
const std::string chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Id: 1\r\n\r\n";
const std::string unframedHead = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nServer: a\r\n\r\n";
const std::string interimHead = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 0\r\n\r\n";

const std::string behindStatus = " OK\r\nX-Id: 1\r\nContent-Length: 4\r\n\r\nbody";
const std::string soundAnswer = "HTTP/1.1 200" + behindStatus;

const std::vector<std::string> brokenAnswers{
    "HTTP/1.1 000" + behindStatus,
    "HTTP/1.1 20" + behindStatus,
    "HTTP/1.1 999" + behindStatus,
    "HTTP/2.0 200" + behindStatus,
    "HTTP/1.1 200 OK\r\nX Field: a\r\nX-Id: 1\r\nContent-Length: 4\r\n\r\nbody",
    "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length : 2\r\n\r\nbody",
    "HTTP/1.1 503 No\r\nX-Id: 1\r\nX\001Field: a\r\nContent-Length: 4\r\n\r\nbody",
    "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: gzip\r\n\r\nbody",
};

class answer_heads : public testing::TestWithParam<std::tuple<request_kind, connection_end>>
{
};

} // namespace

/// Guards against a 200 with an empty or short body for an answer whose head was cut.
TEST_P(answer_heads, cutAtAnyByteGiveNoSuccess)
{
    const auto [kind, end] = GetParam();
    for (const std::string &head : {lengthHead, chunkedHead, unframedHead, interimHead}) {
        for (std::size_t cut = 0; cut < head.size(); ++cut) {
            answer_world world(kind, false, {{head.substr(0, cut), end}});
            const caller_answer answer = world.ask();
            EXPECT_NE(answer.status / 100, 2) << head.substr(0, cut);
            EXPECT_TRUE(answer.body.find("X-Id") == std::string::npos) << answer.body;
        }
    }
}

/// Guards against a broken head that is passed on, and against a promise that a request which was sent hasn't run.
TEST_P(answer_heads, brokenOnesAreRepeatedWhereAllowedAndElseGiveA502)
{
    const auto [kind, end] = GetParam();
    for (const std::string &broken : brokenAnswers) {
        answer_world world(kind, false, {{broken, end}, {soundAnswer}});
        const caller_answer answer = world.ask();
        const bool isRepeated = kind == request_kind::Idempotent;
        EXPECT_EQ(answer.status, isRepeated ? 200 : 502) << broken;
        EXPECT_EQ(answer.body, isRepeated ? "body" : "") << broken;
        EXPECT_TRUE(answer.complete) << broken;
        EXPECT_EQ(answer.raw.find("Field"), std::string::npos) << answer.raw;
        EXPECT_EQ(world.target().received().size(), isRepeated ? 2U : 1U) << broken;
        EXPECT_TRUE(world.hasFailedTarget()) << broken;
    }
}

/// Guards against a target that loses its place by an answer that the protocol allows.
TEST_P(answer_heads, unusualOnesArePassedOnWhole)
{
    const auto [kind, end] = GetParam();
    for (const std::string first :
         {"HTTP/1.1 200", "HTTP/1.0 200 OK", "HTTP/1.1 103 Hints\r\nLink: a\r\n\r\nHTTP/1.1 299 \xc3\xbc", "HTTP/1.1 418 "}) {
        answer_world world(
            kind, false, {{first + "\r\nX-Id: 1\r\nX-Field: \xc3\xbc\xff\r\nX-Empty:\r\nContent-Length: 6\r\n\r\ndata\n\n", end}});
        const caller_answer answer = world.ask();
        EXPECT_TRUE(answer.status == 200 || answer.status == 299 || answer.status == 418) << answer.raw;
        EXPECT_NE(answer.raw.find("X-Field: \xc3\xbc\xff\r\nX-Empty: \r\n"), std::string::npos) << answer.raw;
        EXPECT_EQ(answer.body, "data\n\n") << answer.raw;
        EXPECT_TRUE(answer.complete) << answer.raw;
        EXPECT_FALSE(world.hasFailedTarget()) << first;
    }
}

INSTANTIATE_TEST_SUITE_P(kinds,
                         answer_heads,
                         testing::Combine(testing::Values(request_kind::Idempotent, request_kind::NonIdempotent, request_kind::Stream),
                                          testing::Values(connection_end::Close, connection_end::Reset)));

} // namespace fuchsialoom
