/// \file
/// Requests are framed one way only, or refused.
#include "fuchsialoom/http/request_reader.h"

#include <gtest/gtest.h>

#include <random>
#include <string>
#include <vector>

namespace fuchsialoom
{

static constexpr request_limits smallLimits{512, 64};

/// Feeds \p text in pieces of \p size and returns the reader's verdict.
static reading_problem problemOf(const std::string &text, std::size_t size = 4096)
{
    request_reader reader(smallLimits);
    for (std::size_t at = 0; at < text.size() && reader.problem() == reading_problem::None && !reader.isComplete();) {
        const std::size_t taken = reader.consume(std::string_view(text).substr(at, size));
        at += taken;
        if (taken == 0) {
            break;
        }
    }
    return reader.problem();
}

TEST(request_reader, readsARequestHoweverItIsCut)
{
    const std::string text = "POST /a/b?c=d HTTP/1.1\r\nHost: h.example\r\nX-Other: 1\r\nContent-Length: 5\r\n\r\nhello";
    for (std::size_t size = 1; size <= text.size(); ++size) {
        request_reader reader(smallLimits);
        std::size_t at = 0;
        while (!reader.isComplete()) {
            at += reader.consume(std::string_view(text).substr(at, size));
        }
        const received_request request = reader.take();
        EXPECT_EQ(request.method, "POST");
        EXPECT_EQ(request.target, "/a/b?c=d");
        EXPECT_EQ(request.path(), "/a/b");
        EXPECT_EQ(request.body, "hello");
        EXPECT_TRUE(request.keepAlive);
        EXPECT_EQ(*request.headers.find("x-other"), "1");
        EXPECT_FALSE(reader.hasStarted());
    }
}

TEST(request_reader, leavesTheNextRequestAlone)
{
    const std::string first = "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n";
    const std::string second = "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n";
    request_reader reader(smallLimits);
    EXPECT_EQ(reader.consume(first + second), first.size());
    EXPECT_EQ(reader.take().target, "/1");
    EXPECT_EQ(reader.consume(second), second.size());
    EXPECT_EQ(reader.take().target, "/2");
}

/// Guards against a caller that sets fields of its request behind the body, where no check sees them.
TEST(request_reader, fieldsOfATrailerAreNoFieldsOfTheRequest)
{
    const std::string text =
        "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nHost: other\r\nX-Deadline-Ms: 1\r\n\r\n";
    request_reader reader(smallLimits);
    EXPECT_EQ(reader.consume(text), text.size());
    ASSERT_TRUE(reader.isComplete());
    EXPECT_EQ(reader.take().headers.fields(), (std::vector<header_field>{{"Host", "h"}, {"Transfer-Encoding", "chunked"}}));
}

TEST(request_reader, readsChunks)
{
    const std::string text = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n";
    for (std::size_t size = 1; size <= text.size(); ++size) {
        request_reader reader(smallLimits);
        std::size_t at = 0;
        while (!reader.isComplete()) {
            at += reader.consume(std::string_view(text).substr(at, size));
        }
        EXPECT_EQ(at, text.size());
        EXPECT_EQ(reader.take().body, "abcde");
    }
}

TEST(request_reader, refusesAmbiguousFraming)
{
    const std::vector<std::string> heads = {
        "Content-Length: 3\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: chunked\r\nContent-Length: 3",
        "Content-Length: 3\r\nContent-Length: 3",
        "Content-Length: 3\r\nContent-Length: 4",
        "Content-Length: 3, 3",
        "Content-Length: +3",
        "Content-Length: 0x3",
        "Transfer-Encoding: gzip, chunked",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: xchunked",
        "Transfer-Encoding: identity",
    };
    for (const std::string &head : heads) {
        EXPECT_NE(problemOf("POST / HTTP/1.1\r\nHost: h\r\n" + head + "\r\n\r\nabc"), reading_problem::None) << head;
    }
    EXPECT_NE(problemOf("POST / HTTP/1.0\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"), reading_problem::None);
}

TEST(request_reader, refusesHeadsThatReadersCutDifferently)
{
    const std::vector<std::string> texts = {
        "GET / HTTP/1.1\nHost: h\n\n\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: h\nX: 1\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: h\r\n folded\r\n\r\n",
        "GET / HTTP/1.1\r\nHost : h\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: h\r\nX\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: h\r\n: 1\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: h\rX: 1\r\n\r\n",
        std::string("GET / HTTP/1.1\r\nHost: h\r\nX: a") + '\0' + "b\r\n\r\n",
        "GET / HTTP/1.1\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n",
        "GET http://h/ HTTP/1.1\r\nHost: h\r\n\r\n",
        "CONNECT h:80 HTTP/1.1\r\nHost: h\r\n\r\n",
        " GET / HTTP/1.1\r\nHost: h\r\n\r\n",
        "GET / HTTP/2.0\r\nHost: h\r\n\r\n",
        "nonsense\r\n\r\n",
    };
    for (const std::string &text : texts) {
        EXPECT_NE(problemOf(text), reading_problem::None) << text;
    }
}

TEST(request_reader, refusesBadChunkSizes)
{
    const std::string head = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (const std::string size : {"-1", "0x3", "g", "", " 3", "ffffffffffffffffff", "3\n"}) {
        EXPECT_NE(problemOf(head + size + "\r\nabc\r\n0\r\n\r\n"), reading_problem::None) << size;
    }
    EXPECT_NE(problemOf(head + "3\r\nabcd\r\n0\r\n\r\n"), reading_problem::None);
}

TEST(request_reader, keepsTheLimits)
{
    EXPECT_EQ(problemOf("GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(600, 'a')), reading_problem::HeadTooLarge);
    EXPECT_EQ(problemOf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 65\r\n\r\n"), reading_problem::BodyTooLarge);
    const std::string chunk = "28\r\n" + std::string(40, 'a') + "\r\n";
    EXPECT_EQ(problemOf("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk + chunk), reading_problem::BodyTooLarge);
}

TEST(request_reader, noticesACallerThatWaitsForLeave)
{
    request_reader reader(smallLimits);
    reader.consume("POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
    EXPECT_TRUE(reader.expectsContinue());
    reader.consume("ab");
    EXPECT_TRUE(reader.isComplete());
}

/// Whatever bytes come: no crash, and what is taken as a request has one reading. A request that is taken
/// whole differs from the valid one only where the mutation left a valid one.
TEST(request_reader, survivesMutations)
{
    static constexpr int rounds = 10000;
    static constexpr unsigned seed = 20261202;
    const std::string valid = "POST /a/b HTTP/1.1\r\nHost: h.example\r\nContent-Length: 5\r\nX-A: b\r\n\r\nhello";
    std::mt19937 random(seed);
    for (int round = 0; round < rounds; ++round) {
        std::string text = valid;
        const int changes = 1 + static_cast<int>(random() % 3);
        for (int change = 0; change < changes; ++change) {
            const std::size_t at = random() % text.size();
            switch (random() % 3) {
            case 0:
                text[at] = static_cast<char>(random() % 256);
                break;
            case 1:
                text.erase(at, 1);
                break;
            default:
                text.insert(at, 1, static_cast<char>(random() % 256));
            }
        }
        request_reader reader(smallLimits);
        reader.consume(text);
        if (!reader.isComplete() || reader.problem() != reading_problem::None) {
            continue;
        }
        const received_request request = reader.take();
        EXPECT_EQ(request.headers.count("Host"), 1U);
        EXPECT_FALSE(request.headers.find("Content-Length") && request.headers.find("Transfer-Encoding"));
        EXPECT_EQ(request.target.find('\n'), std::string::npos);
        for (const header_field &field : request.headers.fields()) {
            EXPECT_EQ(field.value.find_first_of(std::string("\r\n\0", 3)), std::string::npos);
        }
    }
}

} // namespace fuchsialoom
