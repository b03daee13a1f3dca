/// \file
/// Tests that log lines are well-formed and bounded, and that writing never blocks.
#include "fuchsialoom/gateway/decision_log.h"

#include <gtest/gtest.h>

#include <array>

#include <fcntl.h>
#include <unistd.h>

namespace fuchsialoom
{

static constexpr instant start = instant(std::chrono::seconds(1000));

class decision_log_test : public testing::Test
{
protected:
    decision_log_test()
    {
        EXPECT_EQ(::pipe(m_ends.data()), 0);
        ::fcntl(m_ends[0], F_SETFL, O_NONBLOCK);
    }
    ~decision_log_test() override
    {
        ::close(m_ends[0]);
        ::close(m_ends[1]);
    }

    std::string read() const
    {
        std::string text;
        std::array<char, 65536> bytes{};
        for (ssize_t size = ::read(m_ends[0], bytes.data(), bytes.size()); size > 0; size = ::read(m_ends[0], bytes.data(), bytes.size())) {
            text.append(bytes.data(), static_cast<std::size_t>(size));
        }
        return text;
    }

    /// Flushes the log and reads until nothing more comes.
    std::string readAll(decision_log &log) const
    {
        std::string text;
        for (std::string part = "first"; !part.empty(); text += part) {
            log.flush();
            part = read();
        }
        return text;
    }

    std::array<int, 2> m_ends{};
};

TEST_F(decision_log_test, anyValueStaysWithinItsLine)
{
    decision_log log(m_ends[1], "vm-1");
    log.write(start, log_line("refused", request_id("a b\nc")).with("n", 3).with("text", "x\"y"));
    log.flush();
    const std::string text = read();
    EXPECT_NE(text.find(" vm=vm-1 event=refused request=a_b_c n=3 text=x_y\n"), std::string::npos) << text;
    EXPECT_EQ(std::count(text.begin(), text.end(), '\n'), 1);
}

TEST_F(decision_log_test, stalledReaderDoesNotBlock)
{
    decision_log log(m_ends[1], "vm-1");
    for (int line = 0; line < 20000; ++line) {
        log.write(start, log_line("target-listed").with("number", line));
        log.flush();
    }
    EXPECT_GT(log.dropped(), 0U);
    readAll(log);
    log.write(start, log_line("after"));
    EXPECT_NE(readAll(log).find("event=log-dropped"), std::string::npos);
}

TEST_F(decision_log_test, floodOfRequestLinesIsDroppedAndCounted)
{
    decision_log log(m_ends[1], "vm-1");
    for (int line = 0; line < 5000; ++line) {
        log.writeRequest(start, log_line("done", request_id(std::to_string(line))));
    }
    EXPECT_GT(log.dropped(), 3000U);
    log.writeRequest(start + seconds(1), log_line("done", request_id("later")));
    const std::string text = readAll(log);
    EXPECT_NE(text.find("event=log-dropped lines="), std::string::npos);
    EXPECT_NE(text.find("request=later"), std::string::npos);
}

} // namespace fuchsialoom
