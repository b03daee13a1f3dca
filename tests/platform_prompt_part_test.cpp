/// \file
/// Requests that share one crashing part of their prompts, no two alike, at all VMs: what reaches targets, and what becomes of the
/// sound requests that share their other parts.
#include "prompt_part_scene.h"

#include <gtest/gtest.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <string>

namespace fuchsialoom
{

namespace
{

constexpr std::size_t maxLateSends = 3;
constexpr std::chrono::milliseconds alone{3000};
constexpr std::chrono::milliseconds together{13000};
/// A trial that breaks off beside another end is followed by another one only after a longer time.
constexpr std::chrono::milliseconds togetherAmidCrashes{22000};
constexpr std::size_t leastTries = 20;

/// The bounds are the platform's.
void expectContained(prompt_part_scene &scene)
{
    if (const char *folder = std::getenv("PROMPT_PART_LOGS")) {
        for (const std::string &vm : scene.vms()) {
            std::ofstream(std::string(folder) + "/" + vm + ".log") << scene.world().vm(vm).wholeOutput();
        }
    }
    const first_tries before = scene.triesBefore();
    const first_tries after = scene.triesAfterContainment();
    std::printf("ends %zu, late sends %zu, sound requests served %.3f before, %.3f of %zu after\n",
                scene.ends(),
                scene.lateSends(),
                before.share(),
                after.share(),
                after.sent);
    EXPECT_GE(scene.ends(), 1U);
    EXPECT_LE(scene.lateSends(), maxLateSends);
    EXPECT_GE(after.sent, leastTries);
    EXPECT_GE(after.share(), before.share() / 2);
}

class platform_prompt_part : public testing::TestWithParam<crash_place>
{
};

} // namespace

TEST_P(platform_prompt_part, thatCrashesTargetsReachesThreeMoreAtMostAndSoundRequestsAreServed)
{
    prompt_part_scene scene({.place = GetParam()});
    ASSERT_TRUE(scene.start());
    scene.play(alone, together);
    expectContained(scene);
}

INSTANTIATE_TEST_SUITE_P(places,
                         platform_prompt_part,
                         testing::Values(crash_place::BeforeHead, crash_place::AfterHead, crash_place::InFirstEvent),
                         [](const auto &info) {
                             return std::string(nameOf(info.param));
                         });

TEST(platform_prompt_part_amid_crashes, withSecondAttemptsIsContained)
{
    prompt_part_scene scene({.attempts = 2});
    ASSERT_TRUE(scene.start());
    prompt_part_scene::clock::time_point next = prompt_part_scene::clock::now();
    scene.play(alone, togetherAmidCrashes, [&] {
        if (prompt_part_scene::clock::now() >= next) {
            scene.crashAnyTarget();
            next = prompt_part_scene::clock::now() + std::chrono::milliseconds(1500);
        }
    });
    expectContained(scene);
}

} // namespace fuchsialoom
