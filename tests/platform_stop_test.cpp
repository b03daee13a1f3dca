/// \file
/// The end of a VM on the users' platform, from its callers' side: what is taken is answered whole, and what
/// can't be is told so at once.
#include "platform_world.h"

#include <gtest/gtest.h>

#include <csignal>
#include <cstdio>
#include <optional>
#include <system_error>
#include <thread>
#include <vector>

namespace fuchsialoom
{

namespace
{

using steady_instant = std::chrono::steady_clock::time_point;

/// The platform excuses a stream that is cut by the end of a stop only where it was sent so long after the signal.
constexpr milliseconds excusedFor{3000};

/// When \p vm heard that it is to stop, at the latest, by its own line: its monotonic clock is this machine's, cut to
/// milliseconds.
std::optional<steady_instant> heardStopAt(const child_process &vm)
{
    const std::string output = vm.output();
    const std::size_t event = output.find("event=draining");
    if (event == std::string::npos) {
        return std::nullopt;
    }
    static constexpr std::string_view key = "mono=";
    const std::size_t at = output.rfind(key, event);
    return steady_instant(milliseconds(std::stoll(output.substr(at + key.size())) + 1));
}

} // namespace

/// Callers saw the beginning of a stream and then a closed connection: their request had reached a VM 3.001 s after
/// its stop signal, on a connection that was still open, was sent on to an engine at once and cut 4.5 s later by the
/// end of the stop, though requests that come later than 3 s after the signal were to be refused.
///
/// Cause: the refusal was a flag that a look every 50 ms set. Each look came a little late and armed the next one from
/// there, so the one that was due at 3 s came 9 to 29 ms late, and what arrived meanwhile was begun. Evidence: the
/// lines of nine stops, in which the signal was heard within 2 ms and the flag was set that late (`late-us` of
/// closed-to-new); the streams were closed late by the same looks.
TEST(platform_stop, nothingIsBegunLongAfterTheSignal)
{
    platform_world world;
    world.configure(1);
    // Too long to be over by the end of the stop, though nothing tells the VM so.
    world.addTarget({.id = "e1", .service = "models", .models = {"m1"}, .events = 100, .eventPause = milliseconds(75)});
    const std::string vm = world.startVm();
    ASSERT_TRUE(world.waitReady(vm));
    world.vm(vm).send(SIGTERM);
    std::optional<steady_instant> heardAt;
    ASSERT_TRUE(waitFor([&] {
        heardAt = heardStopAt(world.vm(vm));
        return heardAt.has_value();
    }));
    // Early enough to be let in, late enough that the VM waits for their bodies.
    std::this_thread::sleep_until(*heardAt + excusedFor / 2);
    static constexpr int requests = 60;
    std::vector<asio::ip::tcp::socket> sockets;
    sockets.reserve(requests);
    for (int number = 0; number < requests; ++number) {
        sockets.push_back(world.sendHead(vm, {.id = "late" + std::to_string(number)}));
    }
    static constexpr microseconds between{250};
    for (int number = 0; number < requests; ++number) {
        std::this_thread::sleep_until(*heardAt + excusedFor + number * between);
        platform_world::sendBody(sockets.at(static_cast<std::size_t>(number)));
    }
    for (asio::ip::tcp::socket &socket : sockets) {
        const platform_answer answer = platform_world::receive(socket);
        EXPECT_EQ(answer.status, 503);
        EXPECT_TRUE(answer.complete);
    }
    EXPECT_TRUE(world.call([&] {
        return world.target("e1").runs().empty();
    }));
    EXPECT_EQ(world.vm(vm).waitForExit(), 0);
}

/// Callers saw streams that began within the first seconds of a stop and were cut at its end: the VM had taken them for
/// half as long as they were. What such runs take is told by those that have ended, and while targets become slower
/// the slow ones have not ended yet. Evidence: of 336 requests sent in the stops of a day on which demand jumped while
/// targets were lost, 36 took longer than was expected of them (`run-ms` of sent, `took-ms` of done), one of them, cut
/// after 6.7 s, twice as long.
TEST(platform_stop, aStreamThatTargetsHaveBecomeTooSlowForIsNotBegun)
{
    static constexpr int events = 100;
    platform_world world;
    world.configure(1);
    world.addTarget({.id = "e1", .service = "models", .models = {"m1"}, .events = events, .eventPause = milliseconds(10)});
    const std::string vm = world.startVm();
    ASSERT_TRUE(world.waitReady(vm));
    const auto streamNamed = [](const std::string &id) {
        return platform_request{.id = id, .deadlineMs = 30000, .more = "X-Token-Count: 10,100\r\n"};
    };
    EXPECT_TRUE(world.ask(vm, streamNamed("quick")).complete);
    world.call([&] {
        world.target("e1").setEventPause(milliseconds(90));
    });
    asio::ip::tcp::socket slow = world.send(vm, streamNamed("slow"));
    // Two seconds of the slow stream have been seen.
    std::this_thread::sleep_for(std::chrono::seconds(2));
    world.vm(vm).send(SIGTERM);
    ASSERT_TRUE(waitFor([&] {
        return heardStopAt(world.vm(vm)).has_value();
    }));
    const platform_answer answer = world.ask(vm, streamNamed("tooLong"));
    EXPECT_EQ(answer.status, 503);
    EXPECT_TRUE(answer.complete);
    EXPECT_TRUE(world.call([&] {
        return !world.target("e1").runs().contains("tooLong");
    }));
    EXPECT_EQ(world.vm(vm).waitForExit(), 0);
}

/// Guards against requests that come late in a stop and are cut at its end.
TEST(platform_stop, aLateRequestIsAnsweredWholeOrHasNotRun)
{
    static constexpr milliseconds runTime{1500};
    static constexpr milliseconds between{100};
    static constexpr int requests = 76;
    platform_world world;
    world.configure(1);
    world.addTarget({.id = "p1", .service = "plain", .isEngine = false, .slots = 100, .readingTime = runTime});
    const std::string vm = world.startVm();
    ASSERT_TRUE(world.waitReady(vm));
    const auto requestNumbered = [](int number) {
        return platform_request{.path = "/post/1", .id = "late" + std::to_string(number), .model = "", .deadlineMs = 8000};
    };
    // Every second request comes on a connection that is open already.
    std::vector<std::optional<asio::ip::tcp::socket>> sockets(requests);
    for (int number = 0; number < requests; number += 2) {
        sockets.at(static_cast<std::size_t>(number)) = world.connect(vm);
    }
    world.vm(vm).send(SIGTERM);
    const steady_instant signalledAt = std::chrono::steady_clock::now();
    std::vector<int> unsent;
    for (int number = 0; number < requests; ++number) {
        std::this_thread::sleep_until(signalledAt + number * between);
        std::optional<asio::ip::tcp::socket> &socket = sockets.at(static_cast<std::size_t>(number));
        try {
            if (!socket) {
                socket = world.connect(vm);
            }
            platform_world::sendOn(*socket, requestNumbered(number));
        } catch (const std::system_error &) {
            socket.reset(); // the VM took no more connections, or had closed this one
            unsent.push_back(number);
        }
    }
    int served = 0;
    int refused = 0;
    for (int number = 0; number < requests; ++number) {
        std::optional<asio::ip::tcp::socket> &socket = sockets.at(static_cast<std::size_t>(number));
        const platform_answer answer = socket ? platform_world::receive(*socket) : platform_answer();
        const bool hasRun = world.call([&] {
            return world.target("p1").runs().contains(requestNumbered(number).id);
        });
        const bool isServed = answer.status == 200 && answer.complete;
        served += isServed ? 1 : 0;
        refused += answer.status == 503 && answer.complete ? 1 : 0;
        EXPECT_EQ(hasRun, isServed) << number * between.count() << " ms after the signal: " << answer.status;
    }
    std::printf("%d of %d served, %d refused, %zu not sent\n", served, requests, refused, unsent.size());
    EXPECT_GT(served, 0);
    EXPECT_GT(refused, 0);
    EXPECT_EQ(world.vm(vm).waitForExit(), 0);
}

/// Guards against a whole request that is closed unanswered, since the answer before it asks the caller to leave.
TEST(platform_stop, aRequestBehindAnotherOnItsConnectionIsAnswered)
{
    platform_world world;
    world.configure(1);
    world.addTarget({.id = "p1", .service = "plain", .isEngine = false, .readingTime = milliseconds(600)});
    const std::string vm = world.startVm();
    ASSERT_TRUE(world.waitReady(vm));
    asio::ip::tcp::socket socket = world.send(vm, {.path = "/post/1", .id = "first", .model = ""});
    platform_world::sendOn(socket, {.path = "/post/1", .id = "second", .model = ""});
    ASSERT_TRUE(waitFor([&] {
        return world.call([&] {
            return world.target("p1").arrivals().contains("first");
        });
    }));
    world.vm(vm).send(SIGTERM);
    std::string text;
    asio::error_code ended;
    asio::read(socket, asio::dynamic_buffer(text), ended);
    EXPECT_EQ(ended, asio::error::eof);
    std::size_t answers = 0;
    for (std::size_t at = text.find("HTTP/1.1 "); at != std::string::npos; at = text.find("HTTP/1.1 ", at + 1)) {
        answers += 1;
    }
    EXPECT_EQ(answers, 2U) << text;
    EXPECT_EQ(world.vm(vm).waitForExit(), 0);
}

} // namespace fuchsialoom
