/// \file
/// Changes of the settings and of the configuration under a running VM, from its callers' side.
#include "platform_world.h"

#include <gtest/gtest.h>

#include <array>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <future>
#include <optional>
#include <thread>

namespace fuchsialoom
{

namespace
{

using steady_instant = std::chrono::steady_clock::time_point;

void writeSettings(const platform_world &world, const std::string &vm, const std::string &text)
{
    std::ofstream(world.settingsPathOf(vm)) << text;
}

/// The last line with \p part, with its time; empty without one.
std::string lastLineWith(const std::string &text, const std::string &part)
{
    const std::size_t at = text.rfind(part);
    if (at == std::string::npos) {
        return "";
    }
    const std::size_t from = text.rfind('\n', at) + 1;
    return text.substr(from, text.find('\n', at) - from);
}

bool waitForLine(const child_process &vm, const std::string &part)
{
    return waitFor(
        [&] {
            return vm.output().find(part) != std::string::npos;
        },
        std::chrono::seconds(3));
}

platform_request plainRequest(const std::string &id)
{
    return {.path = "/get/1", .id = id, .model = ""};
}

/// Sends one request after the other on connections that it keeps, until \p end. \return what wasn't answered whole.
std::vector<std::string> callUntil(platform_world &world, const std::string &vm, const std::string &name, steady_instant end)
{
    static constexpr std::array<std::string_view, 3> paths{"/get/1", "/post/1", "/chat/1"};
    std::vector<std::string> unanswered;
    std::optional<asio::ip::tcp::socket> kept;
    for (std::size_t number = 0; std::chrono::steady_clock::now() < end; ++number) {
        platform_request request{.path = std::string(paths.at(number % paths.size())), .id = name + std::to_string(number)};
        request.model = request.path.starts_with("/chat/") ? "m1" : "";
        if (kept) {
            asio::error_code problem;
            asio::write(*kept, asio::buffer(platform_world::textOf(request)), problem);
        } else {
            kept = world.send(vm, request);
        }
        const platform_answer answer = platform_world::receive(*kept);
        if (!answer.complete || (answer.status != 200 && answer.status != 503)) {
            unanswered.push_back(request.id + ' ' + request.path + ' ' + std::to_string(answer.status));
        }
        if (!answer.complete || answer.field("Connection") == "close") {
            kept.reset();
        }
    }
    return unanswered;
}

/// Moves routes between services, takes a service away and changes limits, another way in each version.
void changeByVersion(nlohmann::json &configuration)
{
    const int version = configuration["version"].get<int>();
    const std::string service = version % 3 == 0 ? "spare" : "plain";
    for (nlohmann::json &route : configuration["routes"]) {
        if (route["service"] == "plain") {
            route["service"] = service;
            route["timeout_ms"] = 4000 + 1000 * (version % 4);
        }
    }
    if (version % 3 == 0) {
        configuration["services"].erase(1);
    }
    configuration["services"].push_back({{"name", "spare"}});
    configuration["limits"]["max_header_bytes"] = version % 2 == 0 ? 1000 : 16384;
    configuration["limits"]["max_body_bytes"] = version % 2 == 0 ? 10 : 100000;
    configuration["limits"]["header_timeout_ms"] = version % 2 == 0 ? 500 : 3000;
    configuration["limits"]["idle_timeout_ms"] = version % 2 == 0 ? 500 : 15000;
}

} // namespace

TEST(platform_change, aVmStartedBesideItsSettingsBeingWrittenServes)
{
    platform_world world;
    world.configure(1);
    world.addTarget({.id = "p1", .service = "plain", .isEngine = false});
    world.cutNextSettings();
    const std::string vm = world.startVm();
    ASSERT_TRUE(waitForLine(world.vm(vm), "waiting for valid settings"));
    world.vm(vm).send(SIGHUP);
    writeSettings(world, vm, world.settingsOf(vm).dump());
    ASSERT_TRUE(world.waitReady(vm));
    EXPECT_EQ(world.ask(vm, plainRequest("a")).status, 200);
}

TEST(platform_change, aShorterGraceHoldsWithoutASignal)
{
    platform_world world;
    world.configure(1);
    world.addTarget({.id = "p1", .service = "plain", .isEngine = false});
    const std::string vm = world.startVm();
    ASSERT_TRUE(world.waitReady(vm));
    nlohmann::json settings = world.settingsOf(vm);
    settings["bounds"]["grace_s"] = 4;
    writeSettings(world, vm, settings.dump());
    world.vm(vm).send(SIGTERM);
    EXPECT_TRUE(waitForLine(world.vm(vm), "grace-ms=4000"));
    EXPECT_EQ(world.vm(vm).waitForExit(), 0);
}

TEST(platform_change, aFileThatWasHalfWrittenAtItsSignalIsReadAgain)
{
    platform_world world;
    world.configure(1);
    const std::string vm = world.startVm();
    ASSERT_TRUE(world.waitReady(vm));
    nlohmann::json settings = world.settingsOf(vm);
    settings["bounds"]["grace_s"] = 4;
    const std::string text = settings.dump();
    writeSettings(world, vm, text.substr(0, text.size() / 2));
    world.vm(vm).send(SIGHUP);
    ASSERT_TRUE(waitForLine(world.vm(vm), "kept-old"));
    writeSettings(world, vm, text);
    EXPECT_TRUE(waitForLine(world.vm(vm), "outcome=applied"));
}

TEST(platform_change, noContentOfTheSettingsFileEndsTheProcess)
{
    platform_world world;
    world.configure(1);
    world.addTarget({.id = "p1", .service = "plain", .isEngine = false});
    const std::string vm = world.startVm();
    ASSERT_TRUE(world.waitReady(vm));
    std::vector<std::string> texts{
        "", "[]", "null", "7", "{}", "{\"vm\":", "\xff\xfe", std::string(5000000, 'x'), std::string(200000, '[')};
    const nlohmann::json valid = world.settingsOf(vm);
    for (const auto &[name, value] : valid.items()) {
        for (const nlohmann::json &wrong : {nlohmann::json("?"), nlohmann::json::array({nullptr, "?"})}) {
            nlohmann::json changed = valid;
            changed[name] = wrong;
            texts.push_back(changed.dump());
        }
    }
    const auto expectServing = [&](const std::string &text) {
        const std::string before = lastLineWith(world.vm(vm).output(), "settings-reread");
        world.vm(vm).send(SIGHUP);
        ASSERT_TRUE(waitFor(
            [&] {
                return lastLineWith(world.vm(vm).output(), "settings-reread") != before || world.vm(vm).ended();
            },
            std::chrono::seconds(5)));
        ASSERT_FALSE(world.vm(vm).ended()) << text.substr(0, 200) << '\n' << world.vm(vm).output();
    };
    for (const std::string &text : texts) {
        writeSettings(world, vm, text);
        ASSERT_NO_FATAL_FAILURE(expectServing(text));
    }
    const std::string path = world.settingsPathOf(vm);
    std::filesystem::permissions(path, std::filesystem::perms::none);
    ASSERT_NO_FATAL_FAILURE(expectServing("an unreadable file"));
    std::filesystem::remove(path);
    ASSERT_NO_FATAL_FAILURE(expectServing("no file"));
    std::filesystem::create_directory(path);
    ASSERT_NO_FATAL_FAILURE(expectServing("a directory"));
    EXPECT_EQ(world.ask(vm, plainRequest("a")).status, 200);
}

TEST(platform_change, aSeedThatIsNoAddressDoesNotEndTheProcess)
{
    platform_world world;
    world.configure(1);
    world.cutNextSettings();
    const std::string vm = world.startVm();
    nlohmann::json settings = world.settingsOf(vm);
    settings["seeds"] = {"nowhere:1", "", "::", "256.1.1.1:1"};
    writeSettings(world, vm, settings.dump());
    EXPECT_TRUE(world.waitReady(vm));
    EXPECT_FALSE(world.vm(vm).ended()) << world.vm(vm).output();
}

TEST(platform_change, everyRequestBesideChangesIsAnsweredWhole)
{
    platform_world world;
    world.editConfigurations(changeByVersion);
    int version = 1;
    world.configure(version);
    world.addTarget({.id = "e1", .service = "models", .models = {"m1"}});
    world.addTarget({.id = "p1", .service = "plain", .isEngine = false});
    world.addTarget({.id = "p2", .service = "spare", .isEngine = false});
    const std::string vm = world.startVm();
    ASSERT_TRUE(world.waitReady(vm));
    const steady_instant end = std::chrono::steady_clock::now() + std::chrono::seconds(3);
    std::vector<std::future<std::vector<std::string>>> callers;
    for (const char *name : {"a", "b", "c", "d", "e", "f"}) {
        callers.push_back(std::async(std::launch::async, [&, name] {
            return callUntil(world, vm, name, end);
        }));
    }
    nlohmann::json settings = world.settingsOf(vm);
    while (std::chrono::steady_clock::now() < end) {
        version += 1;
        world.configure(version);
        settings["bounds"]["grace_s"] = 8 + version % 3;
        writeSettings(world, vm, settings.dump());
        world.vm(vm).send(SIGHUP);
        std::this_thread::sleep_for(milliseconds(40));
    }
    for (std::future<std::vector<std::string>> &caller : callers) {
        EXPECT_EQ(caller.get(), std::vector<std::string>());
    }
    EXPECT_FALSE(world.vm(vm).ended()) << world.vm(vm).output();
    for (const char *target : {"e1", "p1", "p2"}) {
        const std::size_t runs = world.call([&] {
            return world.target(target).runs().size();
        });
        EXPECT_GT(runs, 10U) << target;
    }
}

TEST(platform_change, furtherSignalsDoNotDisturbAStop)
{
    platform_world world;
    world.configure(1);
    world.addTarget({.id = "e1", .service = "models", .models = {"m1"}, .events = 30, .eventPause = milliseconds(50)});
    const std::string vm = world.startVm();
    ASSERT_TRUE(world.waitReady(vm));
    asio::ip::tcp::socket running = world.send(vm, {.id = "running"});
    ASSERT_TRUE(waitFor([&] {
        return world.call([&] {
            return world.target("e1").runs().contains("running");
        });
    }));
    world.vm(vm).send(SIGTERM);
    writeSettings(world, vm, "{\"bounds\":");
    world.vm(vm).send(SIGHUP);
    world.vm(vm).send(SIGTERM);
    world.configure(2);
    const platform_answer answer = platform_world::receive(running);
    EXPECT_EQ(answer.status, 200);
    EXPECT_TRUE(answer.complete);
    EXPECT_EQ(world.vm(vm).waitForExit(), 0);
}

} // namespace fuchsialoom
