/// \file
/// Callers of streams at targets that pause, break off and refuse as a seed says: events stay in order, and no slot is lost.
#include "silence_world.h"

#include <algorithm>
#include <iostream>
#include <random>
#include <tuple>

namespace fuchsialoom
{

namespace
{

constexpr std::uint64_t eventsPerRun = 12;

std::string eventOf(std::uint64_t id)
{
    return "id: " + std::to_string(id) + "\ndata: " + std::string(id, 'x') + "\n\n";
}

/// A run at a target that goes on, pauses, breaks off or answers otherwise, as a seed says.
class random_run
{
public:
    random_run(std::shared_ptr<caller_link> link, std::uint64_t firstId)
        : m_link(std::move(link))
        , m_nextId(firstId)
    {
    }

    void step(instant now, std::mt19937_64 &random, const header_list &headers)
    {
        if (m_over || now < m_pausedUntil) {
            return;
        }
        if (!m_link->isOpen()) {
            m_over = true;
            return;
        }
        const std::uint64_t draw = random() % 100;
        if (draw < 12) {
            m_pausedUntil = now + milliseconds(draw == 0 ? 4500 : 900 + random() % 900);
        } else if (draw < 14) {
            m_over = true;
            m_link->abort();
        } else if (draw < 20 && !m_started) {
            m_over = true;
            header_list own = headers;
            if (draw < 17) {
                own.add("X-Not-Run", "1");
            }
            m_link->respond(draw < 17 ? 503 : 500, std::move(own), {});
        } else {
            goOn(draw, headers);
        }
        m_pausedUntil = std::max(m_pausedUntil, now + milliseconds(random() % 60));
    }

private:
    void goOn(std::uint64_t draw, const header_list &headers)
    {
        if (!m_started) {
            m_started = true;
            m_link->startStream(200, headers);
            return;
        }
        if (m_nextId > eventsPerRun) {
            m_over = true;
            m_link->endStream();
            return;
        }
        const std::string event = eventOf(m_nextId).substr(m_sentOfEvent);
        if (draw < 40 && event.size() > 1) {
            m_link->sendPart(event.substr(0, 1));
            m_sentOfEvent += 1;
            return;
        }
        m_link->sendPart(event);
        m_sentOfEvent = 0;
        m_nextId += 1;
    }

    std::shared_ptr<caller_link> m_link;
    std::uint64_t m_nextId;
    std::size_t m_sentOfEvent = 0;
    instant m_pausedUntil{};
    bool m_started = false;
    bool m_over = false;
};

struct random_caller
{
    explicit random_caller(asio::io_context &loop)
        : socket(loop)
    {
    }

    void read()
    {
        std::array<char, 4096> bytes{};
        asio::error_code problem;
        const std::size_t size = socket.read_some(asio::buffer(bytes), problem);
        std::string_view left(bytes.data(), size);
        while (!left.empty() && !isWhole) {
            const answer_progress progress = reader.consume(left);
            left.remove_prefix(std::min(progress.taken, left.size()));
            body.append(progress.body);
            isWhole = progress.complete;
        }
        isOver = isWhole || (problem && problem != asio::error::would_block);
    }

    asio::ip::tcp::socket socket;
    answer_reader reader;
    std::string body;
    instant leavesAt = farFuture;
    bool isWhole = false;
    bool isOver = false;
};

} // namespace

class exchange_silence_soak : public exchange_silence_test, public testing::WithParamInterface<std::tuple<bool, std::uint64_t>>
{
};

TEST_P(exchange_silence_soak, streamsStayInOrderAndNoSlotIsLostOrFreedTwice)
{
    const auto [isEngine, seed] = GetParam();
    std::mt19937_64 random(seed);
    configure(isEngine);
    for (std::size_t number = 0; number < m_targets.size(); ++number) {
        list(number, 14);
    }
    std::vector<std::unique_ptr<random_caller>> callers;
    std::array<std::vector<random_run>, 3> runs;
    const instant begunAt = loopNow();
    const auto areOver = [&] {
        return std::ranges::all_of(callers, [](const auto &one) {
            return one->isOver;
        });
    };
    while ((callers.size() < 50 || !areOver()) && loopNow() < begunAt + milliseconds(40000)) {
        m_loop.restart();
        m_loop.run_for(milliseconds(3));
        const instant now = loopNow();
        if (callers.size() < 50 && random() % 5 == 0) {
            callers.push_back(std::make_unique<random_caller>(m_loop));
            sendOn(callers.back()->socket);
            callers.back()->leavesAt = random() % 10 == 0 ? now + milliseconds(random() % 3000) : farFuture;
        }
        for (std::size_t number = 0; number < runs.size(); ++number) {
            while (runs.at(number).size() < target(number).links.size()) {
                const std::size_t next = runs.at(number).size();
                const std::string *last = target(number).requests.at(next).headers.find("Last-Event-Id");
                runs.at(number).emplace_back(target(number).links.at(next), last ? std::stoull(*last) + 1 : 1);
            }
            for (random_run &run : runs.at(number)) {
                run.step(now, random, held_target::ownHeaders());
            }
        }
        for (const auto &caller : callers) {
            if (!caller->isOver) {
                caller->read();
            }
            if (!caller->isOver && now >= caller->leavesAt) {
                caller->socket.close();
                caller->isOver = true;
            }
        }
    }
    std::string whole;
    for (std::uint64_t id = 1; id <= eventsPerRun; ++id) {
        whole += eventOf(id);
    }
    std::size_t answered = 0;
    for (const auto &caller : callers) {
        EXPECT_TRUE(caller->isOver);
        EXPECT_TRUE(whole.starts_with(caller->body)) << caller->body;
        answered += caller->body == whole ? 1 : 0;
        EXPECT_FALSE(caller->isWhole && !caller->body.empty() && caller->body != whole) << caller->body;
    }
    runFor(milliseconds(50));
    EXPECT_EQ(m_gateway.openRequests(), 0U);
    for (std::size_t number = 0; number < m_targets.size(); ++number) {
        EXPECT_EQ(m_gateway.pool().find(idOf(number))->inFlight(), 0U) << number;
        EXPECT_EQ(m_gateway.pool().find(idOf(number))->unreadTokens(), 0U) << number;
    }
    std::cout << "answered " << answered << " of " << callers.size() << ", retries " << m_gateway.counters().retries << "\n";
}

INSTANTIATE_TEST_SUITE_P(seeds, exchange_silence_soak, testing::Combine(testing::Bool(), testing::Range<std::uint64_t>(1, 3)));

} // namespace fuchsialoom
