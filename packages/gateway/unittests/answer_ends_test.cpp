/// \file
/// Tests what a caller gets for each way in which a target's answer can end: the table in docs/PLATFORM.md, row by row.
#include "answer_world.h"

#include <gtest/gtest.h>

#include <random>
#include <tuple>

namespace fuchsialoom
{

namespace
{

const std::string signedHead = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n";
const std::string plainBody = "the whole body";
constexpr int lastEvent = 4;

std::string eventsUpTo(int last, int first = 1)
{
    std::string text;
    for (int event = first; event <= last; ++event) {
        text += "id: " + std::to_string(event) + "\ndata: token-" + std::to_string(event) + "\n\n";
    }
    return text;
}

std::string chunk(const std::string &text)
{
    std::array<char, 24> size{};
    std::snprintf(size.data(), size.size(), "%zx", text.size());
    return text.empty() ? std::string() : size.data() + std::string("\r\n") + text + "\r\n";
}

std::string chunkedAnswer(const std::string &body)
{
    return signedHead + "Transfer-Encoding: chunked\r\n\r\n" + chunk(body) + "0\r\n\r\n";
}

/// What a target states about the end of its body. The last two state that the body ends where it was cut.
enum class stated_framing {
    Length,
    Chunks,
    Neither,
    LengthOfCut,
    ChunksOfCut,
};

/// Where the bytes of an answer end.
enum class cut_place {
    BeforeHead,
    InHead,
    AfterHead,
    InFirstEvent,
    InLaterEvent,
    BetweenLines,
    AfterEvent,
    AtEnd,
};

std::string cutStream(cut_place place)
{
    switch (place) {
    case cut_place::BeforeHead:
    case cut_place::InHead:
    case cut_place::AfterHead:
        return {};
    case cut_place::InFirstEvent:
        return "id: 1\nda";
    case cut_place::InLaterEvent:
        return eventsUpTo(2) + "id: 3\ndata: to";
    case cut_place::BetweenLines:
        return eventsUpTo(2) + "id: 3\ndata: token-3\n";
    case cut_place::AfterEvent:
        return eventsUpTo(3);
    case cut_place::AtEnd:
        return eventsUpTo(lastEvent);
    }
    return {};
}

int wholeEvents(cut_place place)
{
    switch (place) {
    case cut_place::InLaterEvent:
    case cut_place::BetweenLines:
        return 2;
    case cut_place::AfterEvent:
        return 3;
    case cut_place::AtEnd:
        return lastEvent;
    default:
        return 0;
    }
}

std::string cutPlainBody(cut_place place)
{
    return place == cut_place::AtEnd ? plainBody : place == cut_place::InLaterEvent ? plainBody.substr(0, 5) : std::string();
}

/// The answer with body \p whole of which \p sent is sent.
std::string answerBytes(stated_framing framing, cut_place place, const std::string &whole, const std::string &sent)
{
    const auto lengthOf = [](const std::string &body) {
        return signedHead + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    };
    if (place == cut_place::BeforeHead) {
        return {};
    }
    if (place == cut_place::InHead) {
        return signedHead.substr(0, 20);
    }
    switch (framing) {
    case stated_framing::Length:
        return lengthOf(whole) + sent;
    case stated_framing::LengthOfCut:
        return lengthOf(sent) + sent;
    case stated_framing::Chunks:
        return signedHead + "Transfer-Encoding: chunked\r\n\r\n" + chunk(sent) + (sent == whole ? "0\r\n\r\n" : "");
    case stated_framing::ChunksOfCut:
        return chunkedAnswer(sent);
    case stated_framing::Neither:
        return signedHead + "\r\n" + sent;
    }
    return {};
}

/// One line of the table: for each place, in the order of cut_place, whether the answer counts as whole (w) or broken off (b); a
/// place that this kind of answer doesn't have is left out (-).
struct table_line
{
    const char *name;
    stated_framing framing;
    connection_end end;
    std::string_view verdicts;
};

constexpr table_line streamLines[] = {
    {"lengthThenClose", stated_framing::Length, connection_end::Close, "bbbbbbbw"},
    {"lengthThenReset", stated_framing::Length, connection_end::Reset, "bbbbbbbw"},
    {"chunksThenClose", stated_framing::Chunks, connection_end::Close, "bbbbbbbw"},
    {"chunksThenReset", stated_framing::Chunks, connection_end::Reset, "bbbbbbbw"},
    {"neitherThenClose", stated_framing::Neither, connection_end::Close, "bbbbbbww"},
    {"neitherThenReset", stated_framing::Neither, connection_end::Reset, "bbbbbbbb"},
    {"lengthOfCutThenClose", stated_framing::LengthOfCut, connection_end::Close, "bbwbbbww"},
    {"lengthOfCutThenStay", stated_framing::LengthOfCut, connection_end::Stay, "--wbbbww"},
    {"chunksOfCutThenClose", stated_framing::ChunksOfCut, connection_end::Close, "bbwbbbww"},
    {"chunksOfCutThenStay", stated_framing::ChunksOfCut, connection_end::Stay, "--wbbbww"},
};

constexpr table_line plainLines[] = {
    {"lengthThenClose", stated_framing::Length, connection_end::Close, "bbb-b--w"},
    {"lengthThenReset", stated_framing::Length, connection_end::Reset, "bbb-b--w"},
    {"chunksThenClose", stated_framing::Chunks, connection_end::Close, "bbb-b--w"},
    {"chunksThenReset", stated_framing::Chunks, connection_end::Reset, "bbb-b--w"},
    {"neitherThenClose", stated_framing::Neither, connection_end::Close, "bbw-w--w"},
    {"neitherThenReset", stated_framing::Neither, connection_end::Reset, "bbb-b--b"},
};

/// Calls \p check with each place of \p line and whether the answer is whole there.
template<typename Check>
void forEachPlace(const table_line &line, Check check)
{
    for (std::size_t index = 0; index < line.verdicts.size(); ++index) {
        const auto place = static_cast<cut_place>(index);
        if (line.verdicts[index] != '-') {
            SCOPED_TRACE("place " + std::to_string(index));
            check(place, line.verdicts[index] == 'w');
        }
    }
}

scripted_answer streamAnswer(const table_line &line, cut_place place)
{
    return {answerBytes(line.framing, place, eventsUpTo(lastEvent), cutStream(place)), line.end};
}

std::string resumedAfter(int event)
{
    return event == 0 ? std::string() : "Last-Event-Id: " + std::to_string(event) + "\r\n";
}

void expectWhole(const caller_answer &answer, const std::string &body)
{
    EXPECT_EQ(answer.status, 200);
    EXPECT_TRUE(answer.complete);
    EXPECT_EQ(answer.body, body);
}

std::string nameOfLine(const testing::TestParamInfo<table_line> &info)
{
    return info.param.name;
}

class stream_ends_test : public testing::TestWithParam<table_line>
{
};

class plain_ends_test : public testing::TestWithParam<table_line>
{
};

} // namespace

TEST_P(stream_ends_test, unrepeatableStream)
{
    forEachPlace(GetParam(), [](cut_place place, bool isWhole) {
        answer_world world(request_kind::Stream, false, {streamAnswer(GetParam(), place)});
        const caller_answer answer = world.ask();
        EXPECT_EQ(world.target().received().size(), 1U);
        if (isWhole) {
            expectWhole(answer, cutStream(place));
        } else if (wholeEvents(place) > 0) {
            EXPECT_EQ(answer.status, 200);
            EXPECT_FALSE(answer.complete);
            EXPECT_TRUE(answer.end);
            EXPECT_EQ(answer.body, eventsUpTo(wholeEvents(place)));
        } else {
            EXPECT_EQ(answer.status, 502);
            EXPECT_TRUE(answer.complete);
        }
    });
}

TEST_P(stream_ends_test, resumableStream)
{
    forEachPlace(GetParam(), [](cut_place place, bool isWhole) {
        const int last = wholeEvents(place);
        const scripted_answer resumed{chunkedAnswer(eventsUpTo(lastEvent, last + 1)), connection_end::Close};
        answer_world world(request_kind::Stream, true, {streamAnswer(GetParam(), place), resumed});
        const caller_answer answer = world.ask();
        expectWhole(answer, isWhole ? cutStream(place) : eventsUpTo(lastEvent));
        ASSERT_EQ(world.target().received().size(), isWhole ? 1U : 2U);
        if (!isWhole) {
            EXPECT_NE(world.target().received()[1].find(resumedAfter(last)), std::string::npos);
            EXPECT_EQ(world.requestPath().counters().retries, 1U);
        }
    });
}

INSTANTIATE_TEST_SUITE_P(table, stream_ends_test, testing::ValuesIn(streamLines), nameOfLine);

TEST_P(plain_ends_test, unrepeatableRequest)
{
    forEachPlace(GetParam(), [](cut_place place, bool isWhole) {
        const std::string sent = cutPlainBody(place);
        answer_world world(request_kind::NonIdempotent, false, {{answerBytes(GetParam().framing, place, plainBody, sent), GetParam().end}});
        const caller_answer answer = world.ask();
        EXPECT_EQ(world.target().received().size(), 1U);
        if (isWhole) {
            expectWhole(answer, sent);
        } else {
            EXPECT_EQ(answer.status, 502);
            EXPECT_TRUE(answer.complete);
        }
    });
}

TEST_P(plain_ends_test, repeatableRequest)
{
    forEachPlace(GetParam(), [](cut_place place, bool isWhole) {
        const std::string sent = cutPlainBody(place);
        const scripted_answer first{answerBytes(GetParam().framing, place, plainBody, sent), GetParam().end};
        answer_world world(request_kind::Idempotent, false, {first, {chunkedAnswer(plainBody)}});
        expectWhole(world.ask(), isWhole ? sent : plainBody);
        EXPECT_EQ(world.target().received().size(), isWhole ? 1U : 2U);
    });
}

INSTANTIATE_TEST_SUITE_P(table, plain_ends_test, testing::ValuesIn(plainLines), nameOfLine);

TEST(answer_ends_test, streamThatEndsInsideAnEventIsNotPassedOnAsWhole)
{
    const std::string cut = eventsUpTo(2) + "id: 3\ndata: to";
    answer_world world(request_kind::Stream, false, {{signedHead + "\r\n" + cut, connection_end::Close}});
    const caller_answer answer = world.ask();
    EXPECT_EQ(answer.status, 200);
    EXPECT_EQ(answer.body, eventsUpTo(2));
    EXPECT_FALSE(answer.complete);
}

/// The resumed stream is judged like the first one, however the first was framed.
TEST(answer_ends_test, resumedStreamThatBreaksOffIsNotPassedOnAsWhole)
{
    const scripted_answer first{signedHead + "\r\n" + eventsUpTo(2) + "id: 3\n", connection_end::Close};
    for (const std::string &rest :
         {std::string(), std::string("id: 3\ndata"), eventsUpTo(2), eventsUpTo(3, 3) + "id: 4\ndata: token-4\n"}) {
        std::string second = signedHead;
        second.append("\r\n").append(rest);
        answer_world world(request_kind::Stream, true, {first, {second, connection_end::Close}});
        const caller_answer answer = world.ask();
        EXPECT_FALSE(answer.complete) << rest;
        EXPECT_TRUE(eventsUpTo(lastEvent).starts_with(answer.body)) << rest;
        EXPECT_EQ(world.target().received().size(), 2U);
    }
}

TEST(answer_ends_test, resumedStreamWithoutFramingIsWhole)
{
    const scripted_answer first{signedHead + "\r\n" + eventsUpTo(2) + "id: 3\n", connection_end::Close};
    answer_world world(request_kind::Stream, true, {first, {signedHead + "\r\n" + eventsUpTo(lastEvent, 3), connection_end::Close}});
    expectWhole(world.ask(), eventsUpTo(lastEvent));
}

TEST(answer_ends_test, brokenOffStreamCountsAsFailureOfItsTarget)
{
    answer_world world(request_kind::Stream, false, {{signedHead + "\r\nid: 1\n", connection_end::Close}});
    EXPECT_EQ(world.ask().status, 502);
    EXPECT_EQ(world.requestPath().counters().failed, 1U);
    EXPECT_EQ(world.requestPath().counters().answered, 0U);
    EXPECT_TRUE(world.hasFailedTarget());
}

TEST(answer_ends_test, targetThatExitsInsideTheFirstEventIsEvidenceOfACrash)
{
    answer_world world(request_kind::Stream, false, {{signedHead + "\r\nid: 1\n", connection_end::Exit}});
    EXPECT_EQ(world.ask().status, 502);
    EXPECT_TRUE(world.waitForCrashReport());
}

TEST(answer_ends_test, targetThatGoesOnAfterABrokenStreamIsNoEvidenceOfACrash)
{
    answer_world world(request_kind::Stream, false, {{signedHead + "\r\nid: 1\n", connection_end::Close}});
    EXPECT_EQ(world.ask().status, 502);
    EXPECT_FALSE(world.waitForCrashReport());
}

TEST(answer_ends_test, callerWithoutChunksSeesTheBreak)
{
    std::string head = signedHead + "Transfer-Encoding: chunked\r\n\r\n";
    head += chunk(eventsUpTo(2));
    answer_world whole(request_kind::Stream, false, {{head + "0\r\n\r\n"}});
    const caller_answer complete = whole.ask("HTTP/1.0");
    expectWhole(complete, eventsUpTo(2));
    EXPECT_EQ(complete.end, connection_end::Close);
    for (const connection_end end : {connection_end::Close, connection_end::Reset}) {
        answer_world broken(request_kind::Stream, false, {{head, end}});
        const caller_answer answer = broken.ask("HTTP/1.0");
        EXPECT_EQ(answer.end, connection_end::Reset);
        EXPECT_FALSE(answer.complete);
    }
}

/// Streams of many shapes and framings, cut into pieces anywhere, are passed on byte for byte.
TEST(answer_ends_test, wholeStreamsAreNeverCalledBroken)
{
    static constexpr unsigned seeds = 200;
    static constexpr const char *lineEnds[] = {"\n", "\r\n", "\r"};
    for (unsigned seed = 1; seed <= seeds; ++seed) {
        std::mt19937 random(seed);
        const std::string lineEnd = lineEnds[random() % std::size(lineEnds)];
        std::string stream = random() % 4 == 0 ? lineEnd : std::string();
        const unsigned events = 1 + random() % 12;
        for (unsigned event = 1; event <= events; ++event) {
            stream += random() % 5 == 0 ? ": comment" + lineEnd : std::string();
            stream += random() % 5 == 0 ? "x-weight-versions: 7" + lineEnd : std::string();
            stream += "id: " + std::to_string(event) + lineEnd;
            for (unsigned line = random() % 3; line < 3; ++line) {
                stream += "data: " + std::string(random() % 40, 'x') + lineEnd;
            }
            stream += lineEnd + (random() % 6 == 0 ? lineEnd : std::string());
        }
        stream += random() % 4 == 0 ? ": the end" + lineEnd : std::string();
        std::string chunks;
        for (std::size_t at = 0; at < stream.size();) {
            const std::size_t size = 1 + random() % 60;
            chunks += chunk(stream.substr(at, size));
            at += size;
        }
        std::string answer = signedHead;
        switch (random() % 3) {
        case 0:
            answer.append("\r\n").append(stream);
            break;
        case 1:
            answer.append("Content-Length: ").append(std::to_string(stream.size())).append("\r\n\r\n").append(stream);
            break;
        default:
            answer.append("Transfer-Encoding: chunked\r\n\r\n").append(chunks).append("0\r\n\r\n");
            break;
        }
        answer_world world(request_kind::Stream, false, {{answer, connection_end::Close}});
        SCOPED_TRACE("seed " + std::to_string(seed));
        expectWhole(world.ask(), stream);
    }
}

} // namespace fuchsialoom
