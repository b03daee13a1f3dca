/// \file
/// Tests that only complete events are relayed, and that a resumed stream repeats none.
#include "fuchsialoom/gateway/event_scanner.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <vector>

namespace fuchsialoom
{

TEST(event_scanner, relaysCompleteEventsForAnyChunkSize)
{
    const std::string text = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid:3\r\ndata: c\r\n\r\nid: 4\nda";
    for (std::size_t size = 1; size <= text.size(); ++size) {
        event_scanner scanner;
        std::string passed;
        for (std::size_t at = 0; at < text.size(); at += size) {
            passed += scanner.feed(std::string_view(text).substr(at, size));
        }
        EXPECT_EQ(passed + scanner.rest(), text);
        EXPECT_EQ(scanner.rest(), "id: 4\nda");
        EXPECT_EQ(scanner.lastId(), 3U);
        EXPECT_EQ(scanner.count(), 3U);
    }
}

TEST(event_scanner, resumedStreamOmitsEventsThatTheCallerHas)
{
    event_scanner scanner;
    scanner.feed("id: 1\n\nid: 2\n\nid: 3");
    scanner.restart();
    EXPECT_EQ(scanner.feed("id: 2\n\nid: 3\n\nid: 4\n\n"), "id: 3\n\nid: 4\n\n");
    EXPECT_EQ(scanner.lastId(), 4U);
}

TEST(event_scanner, relaysEventsWithoutId)
{
    event_scanner scanner;
    EXPECT_EQ(scanner.feed("data: a\n\n: comment\n\n"), "data: a\n\n: comment\n\n");
    EXPECT_FALSE(scanner.lastId());
}

namespace
{

constexpr const char *lineEnds[] = {"\n", "\r\n", "\r"};

/// The bytes of one event, of any shape.
std::string arbitraryEvent(std::uint64_t id, const std::string &lineEnd)
{
    std::string event;
    const auto line = [&](bool isThere, const std::string &text) {
        event += isThere ? text + lineEnd : std::string();
    };
    line(*rc::gen::arbitrary<bool>(), ": comment");
    line(*rc::gen::arbitrary<bool>(), "x-weight-versions: 3");
    line(*rc::gen::arbitrary<bool>(), "id: " + std::to_string(id));
    line(true, "data: " + *rc::gen::container<std::string>(rc::gen::inRange('a', 'z')));
    line(*rc::gen::arbitrary<bool>(), "data:");
    return event + lineEnd;
}

std::string feedInPieces(event_scanner &scanner, std::string_view text)
{
    std::string passed;
    while (!text.empty()) {
        const std::size_t size = *rc::gen::inRange<std::size_t>(1, text.size() + 1);
        passed += scanner.feed(text.substr(0, size));
        text.remove_prefix(size);
    }
    return passed + scanner.finish();
}

struct arbitrary_stream
{
    arbitrary_stream()
        : lineEnd(lineEnds[*rc::gen::inRange<std::size_t>(0, std::size(lineEnds))])
    {
        const auto count = *rc::gen::inRange<std::uint64_t>(1, 6);
        for (std::uint64_t id = 1; id <= count; ++id) {
            eventStarts.push_back(text.size());
            text += arbitraryEvent(id, lineEnd);
        }
    }

    std::string lineEnd;
    std::string text;
    std::vector<std::size_t> eventStarts;
};

} // namespace

RC_GTEST_PROP(event_scanner, wholeStreamIsNeverCalledBroken, ())
{
    const arbitrary_stream stream;
    const std::string tail = *rc::gen::element(std::string(), stream.lineEnd, ": the end" + stream.lineEnd);
    event_scanner scanner;
    const std::string passed = feedInPieces(scanner, stream.text + tail);
    RC_ASSERT(passed + scanner.rest() == stream.text + tail);
    RC_ASSERT(scanner.count() == stream.eventStarts.size());
    for (const answer_framing framing : {answer_framing::Length, answer_framing::Chunks, answer_framing::Connection}) {
        RC_ASSERT(scanner.judge(framing) == stream_end::Whole);
    }
}

RC_GTEST_PROP(event_scanner, streamThatIsCutInsideAnEventIsBroken, ())
{
    const arbitrary_stream stream;
    // The last event without its last two line ends, and with at least one byte.
    const std::size_t begin = stream.eventStarts.back() + 1;
    const std::size_t end = stream.text.size() - 2 * stream.lineEnd.size();
    const std::string cut = stream.text.substr(0, *rc::gen::inRange(begin, end + 1));
    const std::string lastBlock = cut.substr(stream.eventStarts.back());
    // A complete comment line is no part of an event, and a CR ends a line.
    const std::string comment = ": comment";
    RC_PRE(lastBlock != comment + stream.lineEnd && lastBlock != comment + "\r");
    event_scanner scanner;
    const std::string passed = feedInPieces(scanner, cut);
    RC_ASSERT(passed == stream.text.substr(0, stream.eventStarts.back()));
    RC_ASSERT(scanner.judge(answer_framing::Chunks) == stream_end::InsideEvent);
    RC_ASSERT(scanner.judge(answer_framing::Connection) == stream_end::InsideEvent);
}

TEST(event_scanner, eventWithoutItsEmptyLineIsBroken)
{
    for (const char *lineEnd : lineEnds) {
        event_scanner scanner;
        const std::string event = std::string("id: 1") + lineEnd + "data: a" + lineEnd;
        EXPECT_EQ(scanner.feed(event) + scanner.finish(), "");
        EXPECT_EQ(scanner.judge(answer_framing::Length), stream_end::InsideEvent);
    }
}

TEST(event_scanner, streamWithoutEventIsBrokenIfItsConnectionEndsIt)
{
    for (const char *text : {"", "\n", ": comment\n\n"}) {
        event_scanner scanner;
        scanner.feed(text);
        scanner.finish();
        EXPECT_EQ(scanner.judge(answer_framing::Connection), stream_end::NoEvent) << text;
        EXPECT_EQ(scanner.judge(answer_framing::Length), stream_end::Whole) << text;
        EXPECT_EQ(scanner.judge(answer_framing::Chunks), stream_end::Whole) << text;
    }
}

TEST(event_scanner, resumedStreamNeedsANewEventIfItsConnectionEndsIt)
{
    event_scanner scanner;
    scanner.feed("id: 1\n\nid: 2\n\n");
    scanner.restart();
    scanner.feed("id: 1\n\nid: 2\n\n");
    EXPECT_EQ(scanner.judge(answer_framing::Connection), stream_end::NoEvent);
    EXPECT_EQ(scanner.judge(answer_framing::Chunks), stream_end::Whole);
    scanner.feed("id: 3\n\n");
    EXPECT_EQ(scanner.judge(answer_framing::Connection), stream_end::Whole);
}

} // namespace fuchsialoom
