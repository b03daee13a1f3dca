/// \file
/// Changes of the settings and of the configuration under a running VM, from its callers' side.
#include "platform_world.h"

#include <gtest/gtest.h>

#include <csignal>
#include <filesystem>
#include <fstream>

namespace fuchsialoom
{

namespace
{

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

} // namespace fuchsialoom
