/// \file
/// Answers end where their framing says, and what follows belongs to nobody.
#include "fuchsialoom/http/answer_reader.h"

#include <gtest/gtest.h>

namespace fuchsialoom
{

TEST(answer_reader, readsAnAnswerHoweverItIsCut)
{
    const std::string text = "HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 5\r\n\r\nhello";
    for (std::size_t size = 1; size <= text.size(); ++size) {
        answer_reader reader;
        std::string body;
        bool complete = false;
        for (std::size_t at = 0; at < text.size(); at += size) {
            const answer_progress progress = reader.consume(std::string_view(text).substr(at, size));
            ASSERT_FALSE(progress.broken);
            body += progress.body;
            complete = progress.complete;
        }
        EXPECT_TRUE(complete);
        EXPECT_EQ(body, "hello");
        EXPECT_EQ(reader.head().status, 200);
        EXPECT_TRUE(reader.allowsReuse());
    }
}

TEST(answer_reader, stopsAtTheEndOfTheMessage)
{
    const std::string first = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    answer_reader reader;
    const answer_progress progress = reader.consume(first + "HTTP/1.1 200 OK\r\n");
    EXPECT_TRUE(progress.complete);
    EXPECT_EQ(progress.taken, first.size());
}

TEST(answer_reader, anAnswerWithoutLengthEndsWithItsConnection)
{
    answer_reader reader;
    EXPECT_FALSE(reader.consume("HTTP/1.1 200 OK\r\n\r\nall of").complete);
    const answer_progress end = reader.finish();
    EXPECT_TRUE(end.complete);
    EXPECT_FALSE(end.broken);
    EXPECT_FALSE(reader.allowsReuse());
}

TEST(answer_reader, tellsWhatEndsTheBody)
{
    const std::pair<const char *, answer_framing> cases[] = {
        {"HTTP/1.1 200 OK\r\n\r\n", answer_framing::Connection},
        {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", answer_framing::Length},
        {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhel", answer_framing::Length},
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel", answer_framing::Chunks},
        {"HTTP/1.0 200 OK\r\nConnection: keep-alive\r\n\r\n", answer_framing::Connection},
        {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\n", answer_framing::Connection},
        {"HTTP/1.1 204 No Content\r\n\r\n", answer_framing::Bodiless},
    };
    for (const auto &[text, framing] : cases) {
        answer_reader reader;
        EXPECT_TRUE(reader.consume(text).headCame) << text;
        EXPECT_EQ(reader.head().framing, framing) << text;
    }
}

TEST(answer_reader, aCutAnswerIsBroken)
{
    for (const char *text : {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhel",
                             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel",
                             "HTTP/1.1 2"}) {
        answer_reader reader;
        reader.consume(text);
        EXPECT_TRUE(reader.finish().broken) << text;
    }
}

TEST(answer_reader, bytesThatAreNoAnswerAreBroken)
{
    for (const char *text :
         {"garbage\r\n\r\n", "HTTP/1.1 abc\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na"}) {
        answer_reader reader;
        EXPECT_TRUE(reader.consume(text).broken) << text;
    }
}

TEST(answer_reader, passesOverInterimAnswers)
{
    answer_reader reader;
    const answer_progress progress = reader.consume("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 201 Created\r\nContent-Length: 0\r\n\r\n");
    EXPECT_TRUE(progress.complete);
    EXPECT_EQ(reader.head().status, 201);
}

TEST(answer_reader, anAnswerToHeadHasNoBody)
{
    answer_reader reader;
    reader.reset(true);
    EXPECT_TRUE(reader.consume("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n").complete);
}

/// Guards against a wait for a body that never comes.
TEST(answer_reader, anAnswerThatHasNoBodyEndsWithItsHeadWhateverItsLength)
{
    for (const char *first : {"HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n",
                              "HTTP/1.1 204 No Content\r\nContent-Length: 5\r\n",
                              "HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n"}) {
        answer_reader reader;
        const answer_progress progress = reader.consume(std::string(first) + "\r\n");
        EXPECT_TRUE(progress.complete) << first;
        EXPECT_EQ(reader.head().framing, answer_framing::Bodiless) << first;
    }
}

/// Guards against the bytes behind an interim answer that are taken for its body, and handed on as a part of the answer's.
TEST(answer_reader, anInterimAnswerEndsWithItsHeadWhateverItsLength)
{
    for (const char *field : {"Content-Length: 5\r\n", "Transfer-Encoding: chunked\r\n"}) {
        const std::string interim = "HTTP/1.1 103 Early Hints\r\n" + std::string(field) + "\r\n";
        answer_reader reader;
        const answer_progress progress = reader.consume(interim + "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        EXPECT_TRUE(progress.complete) << field;
        EXPECT_EQ(progress.body, "ok") << field;
        answer_reader foreign;
        EXPECT_TRUE(foreign.consume(interim + "5\r\nhello\r\n0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok").broken) << field;
    }
}

TEST(answer_reader, aHeadThatIsCutAtAnyByteIsBroken)
{
    const std::string earlier = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    for (const std::string framing : {"Content-Length: 4\r\n", "Transfer-Encoding: chunked\r\n", ""}) {
        const std::string head = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n" + framing + "X-Last: 2\r\n\r\n";
        for (std::size_t cut = 0; cut < head.size(); ++cut) {
            answer_reader reader;
            // Another answer has come on the connection.
            ASSERT_TRUE(reader.consume(earlier).complete);
            reader.reset(false);
            reader.consume(head.substr(0, cut));
            const answer_progress end = reader.finish();
            EXPECT_TRUE(end.broken) << head.substr(0, cut);
            EXPECT_FALSE(end.complete || end.headCame) << head.substr(0, cut);
        }
    }
}

} // namespace fuchsialoom
