/// \file
/// Requests that share a crashing part beside stops, SIGHUPs, configurations, cut paths and other ends of targets, which are drawn from
/// a seed and overlap. PROMPT_PART_SOAK_SEED chooses the seed, PROMPT_PART_SOAK_SECONDS the length.
#include "prompt_part_scene.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <string>

namespace fuchsialoom
{

namespace
{

using std::chrono::milliseconds;

constexpr std::size_t vmCount = 4;
constexpr std::size_t maxLateSends = 3;
constexpr std::size_t leastTries = 20;
constexpr milliseconds alone{3000};
/// VMs count again this long after a disturbance.
constexpr milliseconds settleTime{3000};

enum class disturbance {
    Stop,
    Hangup,
    Configuration,
    Cut,
    TargetEnd,
};

std::uint64_t numberFrom(const char *variable, std::uint64_t otherwise)
{
    const char *text = std::getenv(variable);
    return text ? std::strtoull(text, nullptr, 10) : otherwise;
}

/// Draws disturbances and undoes them after a while.
class disturber
{
public:
    explicit disturber(prompt_part_scene &scene)
        : m_scene(scene)
    {
    }

    void tick()
    {
        const auto now = prompt_part_scene::clock::now();
        undo(now);
        if (now < m_nextAt) {
            return;
        }
        m_nextAt = now + milliseconds(300 + m_scene.random()() % 1500);
        begin(now);
    }

    /// Starts what was stopped and heals what was cut.
    void finish()
    {
        while (!m_stopped.empty()) {
            undo(prompt_part_scene::clock::now());
        }
        for (const auto &[vm, until] : m_cut) {
            m_scene.world().setPaths(vm, path_state::Whole);
        }
    }

private:
    bool isDisturbed(const std::string &vm) const
    {
        return m_stopped.contains(vm) || m_cut.contains(vm);
    }

    void begin(prompt_part_scene::clock::time_point now)
    {
        static constexpr std::array kinds{
            disturbance::Stop, disturbance::Hangup, disturbance::Configuration, disturbance::Cut, disturbance::TargetEnd};
        static constexpr std::array states{path_state::Silent, path_state::Reset, path_state::RefusingNew, path_state::OneWay};
        std::mt19937_64 &random = m_scene.random();
        const std::string &vm = m_scene.vms().at(random() % m_scene.vms().size());
        const bool isFree = !isDisturbed(vm) && m_stopped.size() + m_cut.size() < vmCount / 2;
        switch (kinds.at(random() % kinds.size())) {
        case disturbance::Stop:
            if (isFree) {
                m_scene.exempt(vm, now + std::chrono::hours(1));
                m_scene.world().vm(vm).send(SIGTERM);
                m_stopped.emplace(vm, false);
            }
            break;
        case disturbance::Hangup:
            if (!m_stopped.contains(vm)) {
                m_scene.world().vm(vm).send(SIGHUP);
            }
            break;
        case disturbance::Configuration:
            m_scene.world().configure(++m_version, 1, true);
            break;
        case disturbance::Cut:
            if (isFree) {
                const auto until = now + milliseconds(400 + random() % 1200);
                m_scene.exempt(vm, until + settleTime);
                m_scene.world().setPaths(vm, states.at(random() % states.size()));
                m_cut.emplace(vm, until);
            }
            break;
        case disturbance::TargetEnd:
            m_scene.crashAnyTarget();
            break;
        }
    }

    void undo(prompt_part_scene::clock::time_point now)
    {
        std::erase_if(m_cut, [&](const auto &entry) {
            const bool isOver = now >= entry.second;
            if (isOver) {
                m_scene.world().setPaths(entry.first, path_state::Whole);
            }
            return isOver;
        });
        for (auto &[vm, isStarted] : m_stopped) {
            if (!isStarted && m_scene.world().vm(vm).ended()) {
                m_scene.world().restartVm(vm);
                isStarted = true;
            }
        }
        std::erase_if(m_stopped, [&](const auto &entry) {
            const bool isBack = entry.second && m_scene.world().isReady(entry.first);
            if (isBack) {
                m_scene.endExemption(entry.first, now + settleTime);
            }
            return isBack;
        });
    }

    prompt_part_scene &m_scene;
    prompt_part_scene::clock::time_point m_nextAt;
    std::map<std::string, bool> m_stopped; ///< by VM: whether it was started again
    std::map<std::string, prompt_part_scene::clock::time_point> m_cut; ///< by VM: until when
    int m_version = 1;
};

} // namespace

TEST(platform_prompt_part_soak, isContainedBesideStopsCutsAndChanges)
{
    const std::uint64_t seed = numberFrom("PROMPT_PART_SOAK_SEED", 1);
    const milliseconds together = 1000 * milliseconds(numberFrom("PROMPT_PART_SOAK_SECONDS", 20));
    static constexpr std::array places{crash_place::BeforeHead, crash_place::AfterHead, crash_place::InFirstEvent};
    prompt_part_scene scene({.vms = vmCount, .targets = 12, .place = places.at(seed % places.size()), .seed = seed});
    ASSERT_TRUE(scene.start());
    disturber others(scene);
    scene.play(alone, together, [&others] {
        others.tick();
    });
    others.finish();
    const first_tries before = scene.triesBefore();
    const first_tries after = scene.triesAfterContainment();
    std::printf("seed %llu: ends %zu, late sends %zu, sound requests served %.3f before, %.3f of %zu after\n",
                static_cast<unsigned long long>(seed),
                scene.ends(),
                scene.lateSends(),
                before.share(),
                after.share(),
                after.sent);
    EXPECT_LE(scene.lateSends(), maxLateSends) << "seed " << seed;
    if (after.sent >= leastTries) {
        EXPECT_GE(after.share(), before.share() / 2) << "seed " << seed;
    }
}

} // namespace fuchsialoom
