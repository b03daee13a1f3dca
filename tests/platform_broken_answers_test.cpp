/// \file
/// Targets in trouble whose answers are broken: callers get no success of them, and no promise that the request hasn't run.
#include "platform_world.h"
#include "raw_target.h"

#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

namespace fuchsialoom
{

namespace
{

/// How a target ends the connection behind its answer, while the rest of the request is still to be read.
enum class unread_end {
    Stay, ///< it doesn't
    Reset,
    Close, ///< which resets it as well, as bytes are unread
};

struct broken_answer
{
    std::string name;
    std::string bytes; ///< "{id}" stands for the request's id
    unread_end end = unread_end::Stay;
    std::chrono::milliseconds pause{0}; ///< before the end
    std::size_t uploadBytes = 0;
};

/// More than the sockets between a VM and a target hold.
constexpr std::size_t longUpload = 4000000;
constexpr std::chrono::milliseconds shortPause{30};

const std::string signedFields = "X-Request-Id: {id}\r\nX-Answer-Stamp: t.1\r\n";
const std::string unframedPart = "HTTP/1.1 200 OK\r\n" + signedFields + "\r\npart of the bo";

const std::vector<broken_answer> brokenAnswers{
    {"status000", "HTTP/1.1 000 OK\r\n" + signedFields + "Content-Length: 4\r\n\r\nbody"},
    {"statusOfTwoDigits", "HTTP/1.1 20 OK\r\n" + signedFields + "Content-Length: 4\r\n\r\nbody"},
    {"blankInAName", "HTTP/1.1 200 OK\r\n" + signedFields + "X Field: a\r\nContent-Length: 4\r\n\r\nbody"},
    {"blankBehindAName", "HTTP/1.1 200 OK\r\n" + signedFields + "Content-Length : 2\r\n\r\nbody"},
    {"controlByteInAName", "HTTP/1.1 200 OK\r\n" + signedFields + "X\001Field: a\r\nContent-Length: 4\r\n\r\nbody"},
    {"resetDuringTheUpload", unframedPart, unread_end::Reset, std::chrono::milliseconds(0), longUpload},
    {"resetDuringTheUploadLater", unframedPart, unread_end::Reset, shortPause, longUpload},
    {"closedDuringTheUpload", unframedPart, unread_end::Close, std::chrono::milliseconds(0), longUpload},
    {"closedDuringTheUploadLater", unframedPart, unread_end::Close, shortPause, longUpload},
    {"resetBeforeABody", "HTTP/1.1 200 OK\r\n" + signedFields + "\r\n", unread_end::Reset, shortPause, longUpload},
};

/// Answers each request with one broken answer as soon as its head has come.
class broken_target
{
public:
    explicit broken_target(broken_answer answer)
        : m_answer(std::move(answer))
    {
    }

    std::string address() const
    {
        return m_target.address();
    }
    int requests() const
    {
        return m_requests;
    }

private:
    void answer(const std::shared_ptr<raw_connection> &one, const std::string &id)
    {
        m_requests += 1;
        asio::error_code ignored;
        asio::write(one->socket, asio::buffer(withRequestId(m_answer.bytes, id)), ignored);
        const auto timer = std::make_shared<asio::steady_timer>(one->socket.get_executor(), m_answer.pause);
        timer->async_wait([this, one, timer](const asio::error_code &) {
            asio::error_code failed;
            if (m_answer.end == unread_end::Close) {
                one->socket.wait(asio::ip::tcp::socket::wait_read, failed); // until bytes are unread
            }
            if (m_answer.end == unread_end::Reset) {
                one->socket.set_option(asio::socket_base::linger(true, 0), failed);
            }
            if (m_answer.end != unread_end::Stay) {
                one->socket.close(failed);
            }
        });
    }

    broken_answer m_answer;
    std::atomic<int> m_requests = 0;
    raw_target m_target{[this](const std::shared_ptr<raw_connection> &one, const std::string &id) {
        answer(one, id);
    }};
};

class platform_broken_answers : public testing::TestWithParam<std::size_t>
{
protected:
    platform_broken_answers()
    {
        m_world.editConfigurations([](nlohmann::json &configuration) {
            configuration["limits"]["max_body_bytes"] = longUpload;
        });
        m_world.configure(1);
        m_world.call([&] {
            const nlohmann::json entry{{"service", "plain"},
                                       {"addr", m_broken.address()},
                                       {"zone", "a"},
                                       {"version", "v1"},
                                       {"slots", 8},
                                       {"state", "ready"},
                                       {"cold_left_ms", 0},
                                       {"seq", 1}};
            m_world.store().put("keyed.servers", "broken", entry.dump());
        });
    }

    /// Sends a request with a long body and reads until the VM closes the connection.
    std::string ask(const std::string &vm, const std::string &path, const std::string &id)
    {
        asio::ip::tcp::socket socket = m_world.connect(vm);
        const std::string body(brokenAnswers.at(GetParam()).uploadBytes, 'a');
        asio::error_code ended; // the VM may have answered before it has read all
        asio::write(socket,
                    asio::buffer("POST " + path + " HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: " + id
                                 + "\r\nX-Deadline-Ms: 4000\r\nConnection: close\r\nContent-Length: " + std::to_string(body.size())
                                 + "\r\n\r\n" + body),
                    ended);
        std::string text;
        asio::read(socket, asio::dynamic_buffer(text), ended);
        return text;
    }

    broken_target m_broken{brokenAnswers.at(GetParam())};
    platform_world m_world;
};

} // namespace

/// Guards against a broken answer that is passed on, and against a promise that a request which was sent hasn't run.
TEST_P(platform_broken_answers, giveTheirCallerA502)
{
    const std::string vm = m_world.startVm();
    ASSERT_TRUE(m_world.waitReady(vm));
    for (int number = 0; number < 3; ++number) {
        const std::string text = ask(vm, "/post/1", "r" + std::to_string(number));
        EXPECT_EQ(text.substr(0, text.find("\r\n")), "HTTP/1.1 502 Bad Gateway") << text.substr(0, 400);
        EXPECT_EQ(text.find("X-Answer-Stamp"), std::string::npos) << text.substr(0, 400);
    }
    EXPECT_EQ(m_broken.requests(), 3);
}

TEST_P(platform_broken_answers, areRepeatedElsewhereWhereTheRequestMayRunTwice)
{
    m_world.addTarget({.id = "p1", .service = "plain", .isEngine = false});
    const std::string vm = m_world.startVm();
    ASSERT_TRUE(m_world.waitReady(vm));
    for (int number = 0; number < 6; ++number) {
        const std::string text = ask(vm, "/get/1", "r" + std::to_string(number));
        EXPECT_EQ(text.substr(0, text.find("\r\n")), "HTTP/1.1 200 OK") << text.substr(0, 400);
        EXPECT_EQ(text.find("X-Answer-Stamp: t.1"), std::string::npos) << text.substr(0, 400);
        // A target that failed is avoided for a while.
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
    }
    EXPECT_GE(m_broken.requests(), 1);
}

INSTANTIATE_TEST_SUITE_P(table,
                         platform_broken_answers,
                         testing::Range<std::size_t>(0, brokenAnswers.size()),
                         [](const testing::TestParamInfo<std::size_t> &info) {
                             return brokenAnswers.at(info.param).name;
                         });

} // namespace fuchsialoom
