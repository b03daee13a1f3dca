/// \file
/// Bytes that differ from an answer by little are no answer, and unusual answers that the protocol allows are whole.
#include "fuchsialoom/http/answer_reader.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace fuchsialoom
{

namespace
{

/// What became of the bytes of a connection.
struct answer_read
{
    bool complete = false;
    bool broken = false;
    bool headCame = false;
    std::string body;
    answer_head head;
};

/// Reads \p bytes in parts of \p size bytes. \p closes: the connection ends behind them.
answer_read readInParts(const std::string &bytes, std::size_t size, bool closes)
{
    answer_reader reader;
    answer_read seen;
    const auto note = [&](const answer_progress &progress) {
        seen.complete = seen.complete || progress.complete;
        seen.broken = seen.broken || progress.broken;
        seen.headCame = seen.headCame || progress.headCame;
        seen.body += progress.body;
    };
    for (std::size_t at = 0; at < bytes.size() && !seen.complete && !seen.broken; at += size) {
        note(reader.consume(std::string_view(bytes).substr(at, size)));
    }
    if (closes && !seen.complete && !seen.broken) {
        note(reader.finish());
    }
    seen.head = reader.head();
    return seen;
}

const std::vector<std::size_t> partSizes{1, 2, 7, 100000};

void expectBroken(const std::string &bytes)
{
    for (const std::size_t size : partSizes) {
        const answer_read seen = readInParts(bytes, size, true);
        EXPECT_TRUE(seen.broken) << testing::PrintToString(bytes) << " in parts of " << size;
        EXPECT_FALSE(seen.complete) << testing::PrintToString(bytes) << " in parts of " << size;
    }
}

void expectNoHead(const std::string &bytes)
{
    expectBroken(bytes);
    for (const std::size_t size : partSizes) {
        EXPECT_FALSE(readInParts(bytes, size, true).headCame) << testing::PrintToString(bytes) << " in parts of " << size;
    }
}

void expectWhole(const std::string &bytes, int status, const std::string &body, bool closes = false)
{
    for (const std::size_t size : partSizes) {
        const answer_read seen = readInParts(bytes, size, closes);
        EXPECT_FALSE(seen.broken) << testing::PrintToString(bytes) << " in parts of " << size;
        EXPECT_TRUE(seen.complete) << testing::PrintToString(bytes) << " in parts of " << size;
        EXPECT_EQ(seen.head.status, status) << testing::PrintToString(bytes);
        EXPECT_EQ(seen.body, body) << testing::PrintToString(bytes) << " in parts of " << size;
    }
}

const std::string lengthAndBody = "Content-Length: 5\r\n\r\nhello";

std::string withField(const std::string &field)
{
    return "HTTP/1.1 200 OK\r\n" + field + "\r\n" + lengthAndBody;
}

std::string chunked(const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + body;
}

} // namespace

TEST(answer_syntax, aStatusOutsideItsRangeIsNoAnswer)
{
    for (const char *status : {"000", "001", "020", "099", "600", "999", "0", "2", "20", "0200", "2000", "-20", "2 0", "2x0", ""}) {
        expectNoHead("HTTP/1.1 " + std::string(status) + " OK\r\n" + lengthAndBody);
        expectNoHead("HTTP/1.1 " + std::string(status) + "\r\n" + lengthAndBody);
    }
}

TEST(answer_syntax, anInterimAnswerWithAnImpossibleStatusIsNoAnswer)
{
    expectNoHead("HTTP/1.1 000 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" + lengthAndBody);
    expectNoHead("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 OK\r\n" + lengthAndBody);
}

TEST(answer_syntax, anotherFirstLineIsNoAnswer)
{
    for (const char *line : {"HTTP/2.0 200 OK",
                             "HTTP/0.9 200 OK",
                             "HTTP/1 200 OK",
                             "HTTP/1.x 200 OK",
                             "HTTP/11.1 200 OK",
                             "http/1.1 200 OK",
                             " HTTP/1.1 200 OK",
                             "HTTP/1.1  200 OK",
                             "HTTP/1.1\t200 OK",
                             "HTTP/1.1 200OK",
                             "HTTP/1.1 200 O\x01K",
                             "ICY 200 OK"}) {
        expectNoHead(std::string(line) + "\r\n" + lengthAndBody);
    }
}

TEST(answer_syntax, aBlankOrControlByteInAFieldNameIsNoAnswer)
{
    for (const char *field : {"X Field: a",
                              "X-Field : a",
                              " X-Field: a",
                              "X-Field\t: a",
                              "X\tField: a",
                              "X\001Field: a",
                              "X\177Field: a",
                              "X\200Field: a",
                              "X\"Field: a",
                              ": a",
                              " : a",
                              "X-Field"}) {
        expectNoHead(withField(field));
    }
    expectNoHead(withField(std::string("X\0Field: a", 10)));
}

TEST(answer_syntax, aControlByteInAValueIsNoAnswer)
{
    expectNoHead(withField("X-Field: a\001b"));
    expectNoHead(withField("X-Field: a\177b"));
    expectNoHead(withField("X-Field: a\rb"));
    expectNoHead(withField(std::string("X-Field: a\0b", 12)));
}

TEST(answer_syntax, aFoldedLineIsNoAnswer)
{
    expectNoHead(withField("X-Field: a\r\n b"));
    expectNoHead(withField("X-Field: a\r\n\tb"));
}

TEST(answer_syntax, aHeadWhoseLinesEndOtherwiseIsNoAnswer)
{
    expectNoHead("HTTP/1.1 200 OK\nContent-Length: 5\n\nhello");
    expectNoHead("HTTP/1.1 200 OK\r\nContent-Length: 5\n\r\nhello");
    expectNoHead("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\rXhello");
    expectNoHead("HTTP/1.1 200 OK\rXContent-Length: 5\r\n\r\nhello");
}

TEST(answer_syntax, aBodyWhoseEndIsUnclearIsNoAnswer)
{
    for (const char *fields : {"Content-Length : 5",
                               "Content-Length: ",
                               "Content-Length: +5",
                               "Content-Length: -5",
                               "Content-Length: 5 5",
                               "Content-Length: 5, 5",
                               "Content-Length: 0x5",
                               "Content-Length: 99999999999999999999",
                               "Content-Length: 5\r\nContent-Length: 5",
                               "Content-Length: 5\r\nContent-Length: 6",
                               "Content-Length: 5\r\nTransfer-Encoding: chunked",
                               "Transfer-Encoding: chunked\r\nContent-Length: 5",
                               "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
                               "Transfer-Encoding : chunked",
                               "Transfer-Encoding: gzip",
                               "Transfer-Encoding: gzip, chunked",
                               "Transfer-Encoding: chunked, identity",
                               "Transfer-Encoding: xchunked",
                               "Transfer-Encoding: "}) {
        expectNoHead("HTTP/1.1 200 OK\r\n" + std::string(fields) + "\r\n\r\nhello");
    }
    expectNoHead("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n");
}

TEST(answer_syntax, aChunkThatDoesNotEndWhereItSaysIsNoAnswer)
{
    for (const char *body : {"5\r\nhelloXX0\r\n\r\n",
                             "5\r\nhello\rX0\r\n\r\n",
                             "5\r\nhello\n\n0\r\n\r\n",
                             "5\rXhello\r\n0\r\n\r\n",
                             "5\nhello\r\n0\r\n\r\n",
                             "5\r\nhello\r\n0\rX\r\n",
                             "5\r\nhello\r\n0\r\n\rX",
                             "5\r\nhello\r\n0\r\nXX",
                             "\r\n5\r\nhello\r\n0\r\n\r\n",
                             "-5\r\nhello\r\n0\r\n\r\n",
                             "5x\r\nhello\r\n0\r\n\r\n",
                             "5 5\r\nhello\r\n0\r\n\r\n",
                             "5;a\x01\r\nhello\r\n0\r\n\r\n",
                             "fffffffffffffffff\r\nhello\r\n0\r\n\r\n",
                             "5\r\nhello\r\n0\r\nX Trailer: a\r\n\r\n",
                             "5\r\nhello\r\n0\r\nX-Trailer : a\r\n\r\n",
                             "5\r\nhello\r\n0\r\n: a\r\n\r\n",
                             "5\r\nhello\r\n0\r\nX-Trailer: a\rb\r\n\r\n",
                             "5\r\nhello\r\n0\r\nX-Trailer: a\n\r\n"}) {
        expectBroken(chunked(body));
    }
}

/// Guards against a check that gives up unusual answers of sound targets.
TEST(answer_syntax, unusualAnswersThatAreAllowedAreWhole)
{
    for (const int status : {200, 203, 299, 301, 418, 451, 499, 507, 599}) {
        expectWhole("HTTP/1.1 " + std::to_string(status) + " Text\r\n" + lengthAndBody, status, "hello");
    }
    for (const char *line :
         {"HTTP/1.1 200", "HTTP/1.1 200 ", "HTTP/1.0 200 OK", "HTTP/1.1 200 It's \xc3\xbc\xff\tfine: yes", "HTTP/1.1 200 200"}) {
        expectWhole(std::string(line) + "\r\n" + lengthAndBody, 200, "hello");
    }
    for (const char *field : {"X-Field:",
                              "X-Field: ",
                              "X-Field:a",
                              "X-Field:  \t a \t ",
                              "X-Field: \xc3\xbc\x80\xff",
                              "X-Field: a\tb",
                              "X-Field: a: b : c",
                              "!#$%&'*+-.^_`|~09azAZ: a",
                              "X-Field: a\r\nx-field: b",
                              "content-type: text/plain",
                              "Upgrade: h2c\r\nConnection: upgrade"}) {
        expectWhole(withField(field), 200, "hello");
    }
    expectWhole("HTTP/1.1 200 OK\r\ncontent-length:5\r\n\r\nhello", 200, "hello");
    expectWhole("HTTP/1.1 200 OK\r\nContent-Length: 005 \r\n\r\nhello", 200, "hello");
    expectWhole("\r\n\r\nHTTP/1.1 200 OK\r\n" + lengthAndBody, 200, "hello");
    expectWhole("HTTP/1.1 200 OK\r\nX-Field: a\r\n\r\nhel\rlo\n", 200, "hel\rlo\n", true);
    expectWhole("HTTP/1.1 200 OK\r\n\r\n", 200, "", true);
}

TEST(answer_syntax, interimAnswersAreLeftOut)
{
    for (const char *interim : {"HTTP/1.1 100 Continue\r\n\r\n",
                                "HTTP/1.1 100\r\n\r\n",
                                "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n",
                                "HTTP/1.1 199 Own\r\nX-Field: a\r\n\r\n"}) {
        expectWhole(interim + withField("X-Field: b"), 200, "hello");
    }
    answer_reader reader;
    EXPECT_TRUE(reader.consume("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\n" + lengthAndBody).complete);
    EXPECT_EQ(reader.head().headers.find("Link"), nullptr);
}

TEST(answer_syntax, chunkedAnswersWithExtensionsAndTrailersAreWhole)
{
    for (const char *body : {"5\r\nhello\r\n0\r\n\r\n",
                             "00005\r\nhello\r\n000\r\n\r\n",
                             "5;name=value;other=\"a b\"\r\nhello\r\n0;last\r\n\r\n",
                             "5 \r\nhello\r\n0\r\n\r\n",
                             "5 ; a = b\r\nhello\r\n0\r\n\r\n",
                             "2\r\nhe\r\n3;a\r\nllo\r\n0\r\n\r\n",
                             "5\r\nhello\r\n0\r\nX-Trailer: \xc3\xbc\r\nX-Other:\r\n\r\n"}) {
        expectWhole(chunked(body), 200, "hello");
    }
    expectWhole(chunked("A\r\nhel\r\n0\r\n\r\n\r\n0\r\n\r\n"), 200, "hel\r\n0\r\n\r\n");
    expectWhole("HTTP/1.1 200 OK\r\ntransfer-encoding: Chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", 200, "hello");
}

} // namespace fuchsialoom
