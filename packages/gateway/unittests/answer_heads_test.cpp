/// \file
/// An answer whose head stops in the middle is no answer, whatever comes of it.
#include "answer_world.h"

#include <gtest/gtest.h>

#include <string>
#include <tuple>

namespace fuchsialoom
{

namespace
{

const std::string lengthHead = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 14\r\n\r\n";
const std::string chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Id: 1\r\n\r\n";
const std::string unframedHead = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nServer: a\r\n\r\n";
const std::string interimHead = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 0\r\n\r\n";

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

INSTANTIATE_TEST_SUITE_P(kinds,
                         answer_heads,
                         testing::Combine(testing::Values(request_kind::Idempotent, request_kind::NonIdempotent, request_kind::Stream),
                                          testing::Values(connection_end::Close, connection_end::Reset)));

} // namespace fuchsialoom
