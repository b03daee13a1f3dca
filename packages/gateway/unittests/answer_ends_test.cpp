/// \file
/// Tests what a caller gets for each way in which a target's answer can end.
#include "answer_world.h"

#include <gtest/gtest.h>

namespace fuchsialoom
{

namespace
{

const std::string signedHead = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n";

std::string eventsUpTo(int last, int first = 1)
{
    std::string text;
    for (int event = first; event <= last; ++event) {
        text += "id: " + std::to_string(event) + "\ndata: token-" + std::to_string(event) + "\n\n";
    }
    return text;
}

} // namespace

TEST(answer_ends_test, streamThatEndsInsideAnEventIsNotPassedOnAsWhole)
{
    const std::string cut = eventsUpTo(2) + "id: 3\ndata: to";
    answer_world world(request_kind::Stream, false, {{signedHead + "\r\n" + cut, connection_end::Close}});
    const caller_answer answer = world.ask();
    EXPECT_EQ(answer.status, 200);
    EXPECT_EQ(answer.body, eventsUpTo(2));
    EXPECT_FALSE(answer.complete);
}

} // namespace fuchsialoom
