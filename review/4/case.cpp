/// \file
/// CONFIG: VMs that read through a relay miss a configuration that is acknowledged after a drill, and go on with the older one.
#include "../common/scene.h"

#include <algorithm>

using namespace fuchsialoom::review;
using std::chrono::milliseconds;
using std::chrono::seconds;

static constexpr int vmCount = 18;
static constexpr milliseconds awayTime{300};
static constexpr milliseconds copyAge{5000};
static constexpr milliseconds stableTime{4000};
static constexpr milliseconds applyTime{3000};

static nlohmann::json configurationOf(int version, const std::string &service)
{
    nlohmann::json configuration = scene::configuration(version);
    configuration["routes"][2]["service"] = service;
    configuration["routes"][0]["timeout_ms"] = 8000 + version;
    return configuration;
}

/// Asks all VMs on the route that was moved. \return the VMs whose request was run by the old service.
static std::vector<std::string> staleVms(scene &world, const std::vector<std::string> &vms)
{
    std::vector<std::string> stale;
    for (const std::string &vm : vms) {
        const client_answer answer = world.ask(vm, "/get/1", "", 2000);
        if (answer.body == "answer of p1") {
            stale.push_back(vm);
        }
    }
    return stale;
}

int main(int count, char **words)
{
    if (count != 2) {
        return 2;
    }
    case_record record(words[1]);
    scene world(record);
    // Of a site with more than 16 machines.
    world.setBounds({{"stable_ms", 4000},
                     {"ack_ms", 6000},
                     {"sync_s", 6},
                     {"drain_ms", 3000},
                     {"config_apply_ms", 3000},
                     {"stretch_max_ms", 6000},
                     {"retry_slack", 184},
                     {"recovery_s", 15},
                     {"pass_ms", 200}});
    world.addEngine("p1", "plain", {});
    world.addEngine("o1", "other", {});
    world.writeConfiguration(configurationOf(1, "plain"));
    std::vector<std::string> vms;
    for (int number = 1; number <= vmCount; ++number) {
        vms.push_back("vm-" + std::to_string(number));
        world.addVm(vms.back(), number % 2 == 0 ? "zone-a" : "zone-b", true);
    }
    for (const std::string &vm : vms) {
        if (!world.waitReady(vm, seconds(20))) {
            return 2;
        }
    }
    std::this_thread::sleep_for(milliseconds(7500));
    world.writeConfiguration(configurationOf(2, "plain"));
    std::this_thread::sleep_for(seconds(1));
    world.writeConfiguration(configurationOf(3, "plain"));
    std::this_thread::sleep_for(milliseconds(2400));
    if (isTroubled()) {
        world.call([&world] {
            world.store().setAway(true);
        });
        std::this_thread::sleep_for(awayTime);
        world.call([&world] {
            world.store().restoreCopy(copyAge);
            world.store().setAway(false);
            // What the operator and the engines wrote is written again.
            world.store().put("keyed.op", "config", configurationOf(3, "plain").dump());
            world.engine("p1").writeEntry();
            world.engine("o1").writeEntry();
        });
    }
    // The store has been stable for more than stable_ms before the change.
    std::this_thread::sleep_for(stableTime + seconds(2));
    world.writeConfiguration(configurationOf(4, "other"));
    const auto changedAt = steady::now();
    bool broken = false;
    for (const milliseconds later : {applyTime + milliseconds(500), applyTime + milliseconds(6000)}) {
        std::this_thread::sleep_until(changedAt + later);
        const std::vector<std::string> stale = staleVms(world, vms);
        record.write(std::to_string(later.count()) + " ms after configuration 4, " + std::to_string(stale.size()) + " of "
                     + std::to_string(vms.size()) + " VMs have requests run by the service that only the older ones name");
        broken = broken || !stale.empty();
    }
    record.write(broken ? "BROKEN: requests later than config_apply_ms are run by the old service" : "held");
    return broken ? 1 : 0;
}
