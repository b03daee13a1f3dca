/// \file
/// Simulation of prompt processing (prefill) at engines shared by nine VMs. Engines process prompts between the tokens
/// of their streams, so an engine's backlog of prompt tokens is the gap that all its streams see.
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
constexpr double tokensPerMs = 38.1; ///< prompt tokens that an engine processes per ms

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
    double longestBacklogMs = 0; ///< longest prompt backlog of an engine
    double longBacklogShare = 0; ///< share of engine time with a prompt backlog of more than 300 ms
    double meanWaitMs = 0; ///< mean time until a prompt is sent
};

/// The target pools of all VMs and their shared engines, simulated in steps of 1 ms.
class prefill_simulation
{
public:
    /// \p gossipIntervalMs: interval at which VMs learn of each other's requests.
    explicit prefill_simulation(int gossipIntervalMs)
        : m_gossipIntervalMs(gossipIntervalMs)
        , m_active(engineCount)
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
            processPrompts();
            if (ms % m_gossipIntervalMs == 0) {
                gossip();
            }
        }
        m_result.longBacklogShare /= static_cast<double>(milliseconds) * engineCount;
        m_result.meanWaitMs /= static_cast<double>(m_sent);
        return m_result;
    }

private:
    static target_id engineAt(std::size_t index)
    {
        return target_id("e" + std::to_string(index));
    }

    /// 60 requests per second in bursts of three, a fifth of them with long prompts; engines spend 55% of the time on
    /// prompts.
    void arrive()
    {
        if (m_random() % 50 != 0) {
            return;
        }
        for (int i = 0; i < 3; ++i) {
            const bool isLong = m_random() % 5 == 0;
            const std::uint32_t tokens = isLong ? 1000 + m_random() % 6000 : 200 + m_random() % 1300;
            m_queued.push_back({m_random() % vmCount, tokens, m_now});
        }
    }

    void send()
    {
        std::erase_if(m_queued, [this](const queued_prompt &prompt) {
            target_query query{service, model, {}, prompt.tokens, nullptr};
            const target_choice choice = m_pools[prompt.vm].choose(m_now, query, m_random());
            if (!choice.target) {
                return false;
            }
            const target_id id = choice.target->listed.id;
            m_pools[prompt.vm].begin(id, prompt.tokens);
            const std::size_t engine = static_cast<std::size_t>(id.text()[1] - '0');
            m_active[engine].push_back({prompt.vm, prompt.tokens, static_cast<double>(prompt.tokens)});
            m_result.meanWaitMs += std::chrono::duration<double, std::milli>(m_now - prompt.arrivedAt).count();
            m_sent += 1;
            return true;
        });
    }

    void processPrompts()
    {
        for (std::size_t engine = 0; engine < engineCount; ++engine) {
            std::deque<active_prompt> &prompts = m_active[engine];
            double total = 0;
            for (const active_prompt &prompt : prompts) {
                total += prompt.left;
            }
            m_result.longestBacklogMs = std::max(m_result.longestBacklogMs, total / tokensPerMs);
            m_result.longBacklogShare += total / tokensPerMs > 300 ? 1 : 0;
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
                    m_pools[other].updatePeerInFlight(m_now, vm_id("v" + std::to_string(vm)), changed);
                }
            }
        }
    }

    int m_gossipIntervalMs;
    std::deque<target_pool> m_pools; ///< a deque, so that adding pools moves none
    std::vector<std::deque<active_prompt>> m_active;
    std::vector<queued_prompt> m_queued;
    std::mt19937 m_random{20261203};
    instant m_now = start;
    std::size_t m_sent = 0;
    simulation_result m_result;
};

} // namespace

/// With frequent gossip, engines have a prompt backlog of more than 300 ms for 0.4% of the time; with gossip every 150 ms,
/// for 4%.
TEST(prompt_reading, frequentGossipKeepsStreamGapsShort)
{
    const simulation_result frequent = prefill_simulation(5).run(60000);
    const simulation_result rare = prefill_simulation(150).run(60000);
    EXPECT_LT(frequent.longBacklogShare, 0.004);
    EXPECT_GT(rare.longBacklogShare, 3 * frequent.longBacklogShare);
    EXPECT_LT(frequent.longestBacklogMs, 500);
    EXPECT_LT(frequent.meanWaitMs, 30);
}

/// A prompt larger than the backlog limit is sent to an engine without pending prompts.
TEST(prompt_reading, servesPromptLargerThanBacklogLimit)
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
