/// \file
/// Implements the scene of requests that share a crashing part.
#include "prompt_part_scene.h"

#include <algorithm>
#include <cstdio>
#include <system_error>
#include <thread>

namespace fuchsialoom
{

static constexpr const char *firstPart = "a1";
static constexpr const char *crashingPart = "bad0";
static constexpr std::size_t endsToContain = 5;
/// From the fifth end until VMs may hardly send the requests any more.
static constexpr std::chrono::milliseconds containmentTime{3000};
static constexpr std::chrono::milliseconds restartTime{900};
static constexpr std::chrono::milliseconds readingTime{30};
static constexpr int deadlineMs = 3000;
static constexpr std::size_t soundCallersOfVm = 2;
static constexpr std::size_t badCallers = 2;

prompt_part_scene::prompt_part_scene(const scene_options &options)
    : m_options(options)
    , m_random(options.seed)
{
}

bool prompt_part_scene::start()
{
    m_world.configure(1, m_options.attempts, true);
    for (std::size_t target = 0; target < m_options.targets; ++target) {
        startTarget();
    }
    for (std::size_t vm = 0; vm < m_options.vms; ++vm) {
        m_vms.push_back(m_world.startVmOnPaths(vm % 2 == 0 ? "a" : "b"));
    }
    const bool areReady = std::ranges::all_of(m_vms, [this](const std::string &vm) {
        const bool isReady = m_world.waitReady(vm);
        if (!isReady) {
            std::printf("%s isn't ready:\n%s\n", vm.c_str(), m_world.vm(vm).wholeOutput().c_str());
        }
        return isReady;
    });
    std::this_thread::sleep_for(std::chrono::seconds(3)); // the VMs find each other
    return areReady;
}

void prompt_part_scene::startTarget()
{
    const std::string id = "e" + std::to_string(m_targets.size() + 1);
    m_world.addTarget({.id = id,
                       .service = "models",
                       .domain = m_targets.size() % 2 == 0 ? "a" : "b",
                       .models = {"m1"},
                       .events = 14,
                       .isUnframed = m_targets.size() % 2 == 0,
                       .readingTime = readingTime,
                       .crashes = {.part = crashingPart, .place = m_options.place, .delay = readingTime}});
    m_targets.push_back(id);
    m_running.push_back(id);
}

void prompt_part_scene::crashAnyTarget()
{
    if (!m_running.empty()) {
        m_world.call([&] {
            m_world.target(m_running.at(m_random() % m_running.size())).crash();
        });
    }
}

void prompt_part_scene::replaceEnded()
{
    const clock::time_point now = clock::now();
    m_world.call([&] {
        std::erase_if(m_running, [&](const std::string &id) {
            const fake_target &target = m_world.target(id);
            if (target.hasCrashed()) {
                m_ended.emplace_back(now, id);
                if (!target.crashedBy().empty()) {
                    m_ends.push_back(now);
                }
            }
            return target.hasCrashed();
        });
    });
    while (!m_ended.empty() && now - m_ended.front().first >= restartTime) {
        m_world.listTarget(m_ended.front().second, "");
        m_ended.erase(m_ended.begin());
        startTarget();
    }
}

void prompt_part_scene::exempt(const std::string &vm, clock::time_point settledAt)
{
    const std::scoped_lock lock(m_mutex);
    m_exemptions[vm].push_back({clock::now(), settledAt});
}

void prompt_part_scene::endExemption(const std::string &vm, clock::time_point settledAt)
{
    const std::scoped_lock lock(m_mutex);
    m_exemptions[vm].back().until = settledAt;
}

bool prompt_part_scene::isExempt(const std::string &vm, clock::time_point at)
{
    const std::scoped_lock lock(m_mutex);
    return std::ranges::any_of(m_exemptions[vm], [at](const exemption &one) {
        return at >= one.from && at < one.until;
    });
}

static std::string prefixOf(const std::vector<std::string> &parts)
{
    std::string prefix = "X-Prompt-Prefix: ";
    for (const std::string &part : parts) {
        prefix.append(part).append(":60").append(&part == &parts.back() ? "\r\n" : ",");
    }
    return prefix;
}

bool prompt_part_scene::ask(const std::string &vm, char kind, std::vector<std::string> parts)
{
    const std::string number = std::to_string(++m_requests);
    parts.push_back("f" + number);
    platform_request request;
    request.id = vm;
    request.id.append("-").append(1, kind).append(number);
    request.path = "/chat/" + number;
    request.deadlineMs = deadlineMs;
    request.more = prefixOf(parts);
    try {
        const platform_answer answer = m_world.ask(vm, request);
        return answer.status == 200 && answer.complete;
    } catch (const std::system_error &) {
        return false; // the VM has stopped
    }
}

void prompt_part_scene::callSoundly(const std::string &vm, std::uint64_t seed, clock::time_point until)
{
    std::mt19937_64 random(seed);
    while (clock::now() < until) {
        sound_try made{clock::now()};
        made.isServed = ask(vm, 's', {firstPart, "c" + std::to_string(random() % m_options.middles)});
        made.isCounted = !isExempt(vm, made.at) && !isExempt(vm, clock::now());
        {
            const std::scoped_lock lock(m_mutex);
            m_sound.push_back(made);
        }
        std::this_thread::sleep_for(m_options.soundInterval);
    }
}

void prompt_part_scene::callBadly(std::uint64_t seed, clock::time_point until)
{
    std::mt19937_64 random(seed);
    while (clock::now() < until) {
        const std::string middle = "c" + std::to_string(random() % m_options.middles);
        const bool isBefore = random() % 2 == 0;
        ask(m_vms.at(random() % m_vms.size()), 'b', {firstPart, isBefore ? crashingPart : middle, isBefore ? middle : crashingPart});
        std::this_thread::sleep_for(badCallers * m_options.badInterval);
    }
}

void prompt_part_scene::play(std::chrono::milliseconds alone, std::chrono::milliseconds together, const std::function<void()> &disturb)
{
    m_badFrom = clock::now() + alone;
    m_badUntil = m_badFrom + together;
    std::vector<std::thread> callers;
    for (const std::string &vm : m_vms) {
        for (std::size_t caller = 0; caller < soundCallersOfVm; ++caller) {
            callers.emplace_back([this, vm, seed = m_random()] {
                callSoundly(vm, seed, m_badUntil);
            });
        }
    }
    for (std::size_t caller = 0; caller < badCallers; ++caller) {
        callers.emplace_back([this, seed = m_random()] {
            std::this_thread::sleep_until(m_badFrom);
            callBadly(seed, m_badUntil);
        });
    }
    while (clock::now() < m_badUntil) {
        replaceEnded();
        if (disturb && clock::now() >= m_badFrom) {
            disturb();
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    for (std::thread &one : callers) {
        one.join();
    }
    replaceEnded();
}

std::size_t prompt_part_scene::lateSends()
{
    if (m_ends.size() < endsToContain) {
        return 0;
    }
    const clock::time_point contained = m_ends[endsToContain - 1] + containmentTime;
    std::vector<crashing_arrival> arrivals;
    m_world.call([&] {
        for (const std::string &id : m_targets) {
            const auto &those = m_world.target(id).crashingArrivals();
            arrivals.insert(arrivals.end(), those.begin(), those.end());
        }
    });
    return static_cast<std::size_t>(std::ranges::count_if(arrivals, [&](const crashing_arrival &one) {
        return one.at > contained && !isExempt(one.requestId.substr(0, one.requestId.rfind('-')), one.at);
    }));
}

prompt_part_scene::clock::time_point prompt_part_scene::containedFrom() const
{
    const clock::time_point end = m_ends.empty() ? m_badFrom : m_ends[std::min(endsToContain, m_ends.size()) - 1];
    return end + 2 * containmentTime;
}

first_tries prompt_part_scene::triesIn(clock::time_point from, clock::time_point until) const
{
    first_tries tries;
    for (const sound_try &one : m_sound) {
        if (one.isCounted && one.at >= from && one.at < until) {
            tries.sent += 1;
            tries.served += one.isServed ? 1 : 0;
        }
    }
    return tries;
}

first_tries prompt_part_scene::triesBefore() const
{
    return triesIn({}, m_badFrom);
}

first_tries prompt_part_scene::triesAfterContainment() const
{
    return triesIn(containedFrom(), m_badUntil);
}

} // namespace fuchsialoom
