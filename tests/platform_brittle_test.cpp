/// \file
/// VMs whose callers ask for more than brittle engines can run, as the engines see them.
#include "platform_world.h"

#include <gtest/gtest.h>

#include <chrono>
#include <future>
#include <string>
#include <thread>
#include <vector>

namespace fuchsialoom
{

namespace
{

constexpr std::size_t vms = 12;
constexpr int requestsPerVm = 12;
constexpr std::chrono::milliseconds pauseBetweenRequests{4};
constexpr std::size_t maxTurnedAway = 1; ///< in a second

platform_request chatRequest(const std::string &id)
{
    platform_request request;
    request.id = id;
    request.path = "/chat/" + id;
    request.model = "m1";
    request.deadlineMs = 6000;
    return request;
}

/// The parameter is the number of VMs that the engines tell that they are brittle; the others hear it from these.
class platform_brittle : public testing::TestWithParam<std::size_t>
{
};

} // namespace

/// Guards against VMs that all send to the same free slot, so that engines turn requests away and fall over.
TEST_P(platform_brittle, enginesHardlyFallOverWhileAllVmsHaveRequestsWaiting)
{
    platform_world world;
    world.configure(platform_world::configurationOf(1, 2, true));
    const std::vector<std::string> engines{"e1", "e2", "e3"};
    for (const std::string &id : engines) {
        world.addTarget({.id = id, .service = "models", .models = {"m1", "m2"}, .eventPause = milliseconds(100), .slots = 6});
    }
    world.call([&] {
        for (const std::string &id : engines) {
            world.target(id).setBrittle(maxTurnedAway);
        }
    });
    std::vector<std::string> started;
    for (std::size_t vm = 0; vm < vms; ++vm) {
        started.push_back(world.startVmOnPaths(vm % 2 == 0 ? "a" : "b"));
    }
    for (const std::string &vm : started) {
        ASSERT_TRUE(world.waitReady(vm)) << world.vm(vm).wholeOutput();
    }
    std::this_thread::sleep_for(std::chrono::seconds(1)); // the VMs find each other
    for (std::size_t vm = 0; vm < GetParam(); ++vm) {
        EXPECT_EQ(world.ask(started[vm], chatRequest("word-" + started[vm])).status, 200) << "the VM hears that the engines are brittle";
    }
    std::this_thread::sleep_for(std::chrono::seconds(1)); // and tells the others
    std::vector<std::future<platform_answer>> answers;
    for (int number = 0; number < requestsPerVm; ++number) {
        for (const std::string &vm : started) {
            const platform_request request = chatRequest(vm + "-" + std::to_string(number));
            answers.push_back(std::async(std::launch::async, [&world, vm, request] {
                return world.ask(vm, request);
            }));
            std::this_thread::sleep_for(pauseBetweenRequests);
        }
    }
    std::size_t served = 0;
    for (auto &answer : answers) {
        const platform_answer got = answer.get();
        served += got.status == 200 && got.complete ? 1 : 0;
    }
    int falls = 0;
    world.call([&] {
        for (const std::string &id : engines) {
            falls += world.target(id).falls();
        }
    });
    EXPECT_LE(falls, 2) << "accepted for three engines; " << served << " served";
    EXPECT_GT(served, answers.size() / 2) << "the engines have room for all of them within their deadlines";
}

INSTANTIATE_TEST_SUITE_P(told, platform_brittle, testing::Values(1, vms));

} // namespace fuchsialoom
