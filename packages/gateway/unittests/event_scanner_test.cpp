/// \file
/// Tests that only complete events are relayed, and that a resumed stream repeats none.
#include "fuchsialoom/gateway/event_scanner.h"

#include <gtest/gtest.h>

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

} // namespace fuchsialoom
