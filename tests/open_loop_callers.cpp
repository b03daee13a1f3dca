/// \file
/// Implements callers that don't wait for each other.
#include "open_loop_callers.h"

#include "fuchsialoom/http/answer_reader.h"

#include <array>
#include <memory>
#include <utility>

namespace fuchsialoom
{

static constexpr int maxTries = 2;

struct open_loop_callers::call
{
    explicit call(asio::io_context &loop)
        : socket(loop)
        , timer(loop)
    {
    }

    std::string text;
    std::size_t result = 0;
    int tries = 0;
    std::string vm;
    bool isRead = false; ///< this try got a byte
    bool isOver = false; ///< this try
    asio::ip::tcp::socket socket;
    asio::steady_timer timer;
    std::unique_ptr<answer_reader> reader;
    std::array<char, 4096> bytes{};
};

open_loop_callers::open_loop_callers(platform_world &world, std::function<std::string(const std::string &)> choose)
    : m_world(world)
    , m_choose(std::move(choose))
{
}

void open_loop_callers::run(double perSecond, std::chrono::milliseconds length, const platform_request &request)
{
    const auto begun = std::chrono::steady_clock::now();
    const auto pause = std::chrono::duration_cast<std::chrono::steady_clock::duration>(std::chrono::duration<double>(1 / perSecond));
    const auto total = static_cast<std::size_t>(length / pause);
    asio::steady_timer next(m_loop);
    std::size_t sent = 0;
    std::function<void()> arm = [&] {
        while (sent < total && std::chrono::steady_clock::now() >= begun + sent * pause) {
            sent += 1;
            start(request);
        }
        if (sent < total) {
            next.expires_at(begun + sent * pause);
            next.async_wait([&](const asio::error_code &) {
                arm();
            });
        }
    };
    arm();
    m_loop.restart();
    m_loop.run();
}

void open_loop_callers::start(const platform_request &request)
{
    const auto made = std::make_shared<call>(m_loop);
    platform_request numbered = request;
    numbered.id = "o" + std::to_string(++m_sent);
    numbered.path += numbered.id;
    made->text = platform_world::textOf(numbered);
    made->result = m_results.size();
    m_results.push_back({std::chrono::steady_clock::now()});
    made->timer.expires_after(std::chrono::milliseconds(request.deadlineMs));
    made->timer.async_wait([made](const asio::error_code &problem) {
        if (!problem) {
            asio::error_code ignored; // the read in progress ends with a failure
            made->tries = maxTries;
            made->socket.close(ignored);
        }
    });
    connect(made);
}

void open_loop_callers::connect(const std::shared_ptr<call> &one)
{
    one->tries += 1;
    one->vm = m_choose(one->vm);
    one->reader = std::make_unique<answer_reader>();
    one->isRead = false;
    one->socket = asio::ip::tcp::socket(m_loop);
    one->socket.async_connect(m_world.callersOf(one->vm), [this, one](const asio::error_code &problem) {
        if (problem) {
            end(one, false);
            return;
        }
        // Leaves no connection behind that waits for late segments: there are too many.
        one->socket.set_option(asio::socket_base::linger(true, 0));
        asio::async_write(one->socket, asio::buffer(one->text), [this, one](const asio::error_code &failed, std::size_t) {
            if (failed) {
                end(one, false);
                return;
            }
            read(one);
        });
    });
}

void open_loop_callers::read(const std::shared_ptr<call> &one)
{
    one->socket.async_read_some(asio::buffer(one->bytes), [this, one](const asio::error_code &problem, std::size_t size) {
        if (problem) {
            end(one, one->isRead);
            return;
        }
        one->isRead = true;
        if (one->reader->consume(std::string_view(one->bytes.data(), size)).complete) {
            end(one, true);
            return;
        }
        read(one);
    });
}

void open_loop_callers::end(const std::shared_ptr<call> &one, bool isAnswered)
{
    first_try &outcome = m_results[one->result].outcome;
    if (one->tries == 1 && isAnswered) {
        outcome = one->reader->head().status == 200 ? first_try::Served : first_try::Answered;
    } else if (isAnswered) {
        outcome = first_try::Unread;
    } else if (one->tries < maxTries) {
        connect(one);
        return;
    }
    asio::error_code ignored; // it may be closed already
    one->socket.close(ignored);
    one->timer.cancel();
}

} // namespace fuchsialoom
