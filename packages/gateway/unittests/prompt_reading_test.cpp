/// \file
/// Prompts that engines read between the tokens of their streams: nine VMs choose engines for clumps of
/// requests, and what each engine has to read at a time is the pause that all its streams see.
#include "fuchsialoom/gateway/target_pool.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <random>

namespace fuchsialoom
{

namespace
{

constexpr instant start = instant(std::chrono::seconds(1000));
const service_id service("models");
const model_id model("m");
constexpr std::size_t vmCount = 9;
constexpr std::size_t engineCount = 4;
constexpr double tokensPerMs = 38.1; ///< that an engine reads

struct queued_prompt
{
    std::size_t vm = 0;
    std::uint32_t tokens = 0;
    instant arrivedAt;
};

struct active_prompt
{
    std::size_t vm = 0;
    std::uint32_t tokens = 0;
    double left = 0;
};

struct simulation_result
{
    double longestPauseMs = 0; ///< that the prompts at one engine take
    double longPauses = 0; ///< share of the time at which an engine has more than 300 ms to read
    double meanWaitMs = 0; ///< of a prompt, until it is sent
};

/// Pools of all VMs before common engines, moved on by the millisecond.
class prefill_simulation
{
public:
    /// \p gossipIntervalMs: VMs hear of each other's requests so often.
    explicit prefill_simulation(int gossipIntervalMs)
        : m_gossipIntervalMs(gossipIntervalMs)
        , m_reading(engineCount)
    {
        for (std::size_t vm = 0; vm < vmCount; ++vm) {
            m_pools.emplace_back(domain_id("d"));
            for (std::size_t engine = 0; engine < engineCount; ++engine) {
                target_listing made;
                made.id = engineAt(engine);
                made.service = service;
                made.domain = domain_id("d");
                made.slots = 32;
                made.isEngine = true;
                made.models = {{model, {}}};
                m_pools[vm].list(start, made);
            }
        }
    }

    simulation_result run(int milliseconds)
    {
        for (int ms = 0; ms < milliseconds; ++ms) {
            m_now = start + std::chrono::milliseconds(ms);
            arrive();
            send();
            read();
            if (ms % m_gossipIntervalMs == 0) {
                gossip();
            }
        }
        m_result.longPauses /= static_cast<double>(milliseconds) * engineCount;
        m_result.meanWaitMs /= static_cast<double>(m_sent);
        return m_result;
    }

private:
    static target_id engineAt(std::size_t index)
    {
        return target_id("e" + std::to_string(index));
    }

    /// 60 requests a second in clumps of three, a fifth of them with long prompts: engines read 0.55 of the time.
    void arrive()
    {
        if (m_random() % 50 != 0) {
            return;
        }
        for (int one = 0; one < 3; ++one) {
            const bool isLong = m_random() % 5 == 0;
            const std::uint32_t tokens = isLong ? 1000 + m_random() % 6000 : 200 + m_random() % 1300;
            m_waiting.push_back({m_random() % vmCount, tokens, m_now});
        }
    }

    void send()
    {
        std::erase_if(m_waiting, [this](const queued_prompt &one) {
            target_query query{service, model, {}, one.tokens, nullptr};
            const target_choice choice = m_pools[one.vm].choose(m_now, query, m_random());
            if (!choice.target) {
                return false;
            }
            const target_id id = choice.target->listed.id;
            m_pools[one.vm].begin(id, one.tokens);
            const std::size_t engine = static_cast<std::size_t>(id.text()[1] - '0');
            m_reading[engine].push_back({one.vm, one.tokens, static_cast<double>(one.tokens)});
            m_result.meanWaitMs += std::chrono::duration<double, std::milli>(m_now - one.arrivedAt).count();
            m_sent += 1;
            return true;
        });
    }

    void read()
    {
        for (std::size_t engine = 0; engine < engineCount; ++engine) {
            std::deque<active_prompt> &prompts = m_reading[engine];
            double total = 0;
            for (const active_prompt &one : prompts) {
                total += one.left;
            }
            m_result.longestPauseMs = std::max(m_result.longestPauseMs, total / tokensPerMs);
            m_result.longPauses += total / tokensPerMs > 300 ? 1 : 0;
            double budget = tokensPerMs;
            while (!prompts.empty() && budget > 0) {
                const double taken = std::min(budget, prompts.front().left);
                prompts.front().left -= taken;
                budget -= taken;
                if (prompts.front().left <= 0) {
                    m_pools[prompts.front().vm].read(engineAt(engine), prompts.front().tokens);
                    m_pools[prompts.front().vm].end(engineAt(engine), 0);
                    prompts.pop_front();
                }
            }
        }
    }

    void gossip()
    {
        for (std::size_t vm = 0; vm < vmCount; ++vm) {
            const in_flight_counts changed = m_pools[vm].takeChangedFlights();
            for (std::size_t other = 0; other < vmCount; ++other) {
                if (other != vm) {
                    m_pools[other].changePeerFlights(m_now, vm_id("v" + std::to_string(vm)), changed);
                }
            }
        }
    }

    int m_gossipIntervalMs;
    std::deque<target_pool> m_pools; ///< pools stay where they are
    std::vector<std::deque<active_prompt>> m_reading;
    std::vector<queued_prompt> m_waiting;
    std::mt19937 m_random{20261203};
    instant m_now = start;
    std::size_t m_sent = 0;
    simulation_result m_result;
};

} // namespace

/// 0.4 of 100 engine milliseconds with more than 300 ms to read, against 4 in 100 where VMs hear of each
/// other's requests each 150 ms.
TEST(prompt_reading, streamsSeldomPauseLongWhenVmsNoteWhatTheySend)
{
    const simulation_result noted = prefill_simulation(5).run(60000);
    const simulation_result late = prefill_simulation(150).run(60000);
    EXPECT_LT(noted.longPauses, 0.004);
    EXPECT_GT(late.longPauses, 3 * noted.longPauses);
    EXPECT_LT(noted.longestPauseMs, 500);
    EXPECT_LT(noted.meanWaitMs, 30);
}

/// A prompt larger than the bound goes to an engine that has nothing to read.
TEST(prompt_reading, theLargestPromptIsServed)
{
    target_pool pool{domain_id("d")};
    target_listing made;
    made.id = target_id("e");
    made.service = service;
    made.slots = 32;
    made.isEngine = true;
    made.models = {{model, {}}};
    pool.list(start, made);
    const target_query large{service, model, {}, 50000, nullptr};
    EXPECT_NE(pool.choose(start, large, 1).target, nullptr);
    pool.begin(made.id, 50000);
    EXPECT_EQ(pool.choose(start, {service, model, {}, 10, nullptr}, 1).verdict, pool_verdict::NoRoom);
    pool.read(made.id, 50000);
    EXPECT_NE(pool.choose(start, large, 1).target, nullptr);
    pool.end(made.id, 0);
}

} // namespace fuchsialoom
