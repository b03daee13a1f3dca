/// \file
/// A small service in virtual time, over several VMs that hear of each other after a while: requests, or parts of prompts, that crash
/// its targets, targets that end for other reasons, and innocent requests. Fixed seeds.
#pragma once

#include "fuchsialoom/gateway/crash_evidence.h"
#include "fuchsialoom/gateway/suspect_trials.h"

#include <algorithm>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace fuchsialoom
{

inline const instant playStart{seconds(100)};
inline const service_id pool{"pool"};
inline constexpr milliseconds step{10};
inline constexpr std::size_t vmCount = 5;
inline constexpr std::size_t targetCount = 4;
inline constexpr std::size_t slots = 6;
inline constexpr int attemptsOfVm = 2;
inline constexpr int triesOfCaller = 2;
inline constexpr milliseconds queueTime{2000};
inline constexpr milliseconds runTime{60};
inline constexpr milliseconds restartTime{1200};
inline constexpr milliseconds maxMessageDelay{80};
inline constexpr milliseconds playTime{30000};
/// After so many targets have ended, the fleet has this long to stop sending the request, or those with the part, and three sends
/// more.
inline constexpr milliseconds containmentTime{3000};
inline constexpr std::size_t endsToContain = 3;
inline constexpr std::size_t endsToContainPart = 5;
inline constexpr std::size_t maxSendsAfterwards = 3;

inline constexpr content_hash firstPart{500000};
inline constexpr std::uint64_t firstSharedPart = 500001;
inline constexpr std::uint64_t firstBadPart = 600000;
inline constexpr std::uint64_t firstBadRequest = 1000000;

struct containment_load
{
    int crashers = 0; ///< requests that crash each target, repeated all the time
    milliseconds waveInterval{0}; ///< between crashes for other reasons; 0: none
    double waveShare = 0.5; ///< of the targets, each time
    double crashShare = 1; ///< of the runs of a crashing request; the others run to their end
    int regulars = 0; ///< innocents that are sent again and again; 0: each is sent by one caller
    int badParts = 0; ///< parts that crash each target, in requests no two of which are alike
    int sharedParts = 0; ///< parts that innocents share with those, besides the one that all have
};

struct containment_result
{
    std::size_t mostLateSends = 0; ///< of one crashing request
    std::size_t lateSendsTogether = 0; ///< of all, after the third target that any of them ended
    std::size_t mostEnds = 0; ///< sends of one crashing request that ended with a target
    std::size_t innocents = 0;
    std::size_t suspected = 0; ///< innocents that were refused or failed as suspected
    std::size_t quarantined = 0; ///< innocents
};

class containment_play
{
public:
    containment_play(std::uint64_t seed, containment_load load)
        : m_random(seed)
        , m_load(load)
        , m_targets(targetCount)
    {
        for (std::size_t vm = 0; vm < vmCount; ++vm) {
            m_vms.push_back({crash_evidence(milliseconds(600000)), suspect_trials(seed * vmCount + vm)});
        }
    }

    containment_result play()
    {
        for (m_now = playStart; m_now < playStart + playTime; m_now += step) {
            deliver();
            arrive();
            wave();
            runTargets();
            for (std::size_t vm = 0; vm < vmCount; ++vm) {
                weigh(vm);
                dispatch(vm);
            }
        }
        for (const auto &[fingerprint, sends] : m_crashSends) {
            m_result.mostEnds = std::max(m_result.mostEnds, sends.size());
            const std::size_t allowedEnds = fingerprint.value() >= firstBadPart ? endsToContainPart : endsToContain;
            m_result.mostLateSends = std::max(m_result.mostLateSends, lateSends(sends, allowedEnds));
        }
        m_result.lateSendsTogether = lateSends(allSends(), endsToContain);
        return m_result;
    }

private:
    struct open_request
    {
        crash_subjects subjects;
        std::size_t vm = 0;
        instant arrivedAt{};
        int attempts = 0;
        int tries = 1; ///< of its caller
        instant sentAt{};
        bool crashes = false; ///< its target, this time
        std::optional<trial_claim> trial{};
    };
    struct target_state
    {
        int incarnation = 0;
        instant upAt{};
        std::vector<open_request> running{};
    };
    struct vm_state
    {
        crash_evidence evidence;
        suspect_trials trials;
        std::vector<open_request> queue{};
    };
    struct message
    {
        instant at{};
        std::size_t to = 0;
        crash_news news;
    };
    struct crash_send
    {
        instant sentAt;
        instant endedAt;
    };

    std::vector<crash_send> allSends() const
    {
        std::vector<crash_send> all;
        for (const auto &[fingerprint, sends] : m_crashSends) {
            all.insert(all.end(), sends.begin(), sends.end());
        }
        std::ranges::sort(all, {}, &crash_send::endedAt);
        return all;
    }

    /// \p sends: by their ends.
    static std::size_t lateSends(const std::vector<crash_send> &sends, std::size_t allowedEnds)
    {
        if (sends.size() <= allowedEnds) {
            return 0;
        }
        const instant contained = sends[allowedEnds - 1].endedAt + containmentTime;
        return static_cast<std::size_t>(std::ranges::count_if(sends, [contained](const crash_send &one) {
            return one.sentAt > contained;
        }));
    }

    /// What crashes targets: a whole request, or the part of its prompt.
    bool isCrasher(content_hash subject) const
    {
        const auto isBelow = [subject](std::uint64_t first, int count) {
            return subject.value() >= first && subject.value() < first + static_cast<std::uint64_t>(count);
        };
        return isBelow(1, m_load.crashers) || isBelow(firstBadPart, m_load.badParts);
    }
    std::optional<content_hash> crasherIn(const open_request &request) const
    {
        for (const content_hash subject : request.subjects.all()) {
            if (isCrasher(subject)) {
                return subject;
            }
        }
        return std::nullopt;
    }
    /// The part that all have, and one that some share.
    std::vector<content_hash> soundParts()
    {
        if (m_load.sharedParts == 0) {
            return {};
        }
        return {firstPart, content_hash(firstSharedPart + m_random() % static_cast<std::uint64_t>(m_load.sharedParts))};
    }
    bool chance(double probability)
    {
        return std::uniform_real_distribution<double>(0, 1)(m_random) < probability;
    }
    target_id idOf(std::size_t target) const
    {
        return target_id("e" + std::to_string(target) + "@" + std::to_string(m_targets[target].incarnation));
    }

    void tell(std::size_t from, const crash_news &news)
    {
        for (std::size_t vm = 0; vm < vmCount && !news.isEmpty(); ++vm) {
            if (vm != from) {
                m_messages.push_back({m_now + milliseconds(10 + m_random() % maxMessageDelay.count()), vm, news});
            }
        }
    }

    void deliver()
    {
        std::vector<message> due;
        std::erase_if(m_messages, [&](const message &one) {
            if (one.at <= m_now) {
                due.push_back(one);
            }
            return one.at <= m_now;
        });
        for (message &one : due) {
            // Ages are taken when a message is sent, so its way isn't in them.
            m_vms[one.to].evidence.learn(m_now, one.news);
            tell(one.to, m_vms[one.to].evidence.takeExcuses());
            for (const trial_claim &claim : one.news.trials) {
                m_vms[one.to].trials.learn(m_now, claim);
            }
        }
    }

    void arrive()
    {
        for (int crasher = 1; crasher <= m_load.crashers; ++crasher) {
            if (chance(0.04)) {
                submit({content_hash(static_cast<std::uint64_t>(crasher)), m_random() % vmCount, m_now});
            }
        }
        for (int part = 0; part < m_load.badParts; ++part) {
            if (chance(0.04)) {
                std::vector<content_hash> parts = soundParts();
                parts.insert(parts.begin() + static_cast<std::ptrdiff_t>(m_random() % (parts.size() + 1)),
                             content_hash(firstBadPart + static_cast<std::uint64_t>(part)));
                submit({crash_subjects(content_hash(firstBadRequest + ++m_badRequests), parts), m_random() % vmCount, m_now});
            }
        }
        if (chance(0.4)) {
            m_result.innocents += 1;
            const std::uint64_t number =
                m_load.regulars > 0 ? m_random() % static_cast<std::uint64_t>(m_load.regulars) : m_result.innocents;
            submit({crash_subjects(content_hash(1000 + number), soundParts()), m_random() % vmCount, m_now});
        }
    }

    void submit(open_request request)
    {
        m_vms[request.vm].queue.push_back(std::move(request));
    }

    /// The caller gets a failure or a refusal, and may come again at another VM.
    void fail(const open_request &request)
    {
        release(request);
        if (request.tries < triesOfCaller && !crasherIn(request)) {
            submit({request.subjects, m_random() % vmCount, m_now, 0, request.tries + 1});
        }
    }

    void release(const open_request &request)
    {
        vm_state &vm = m_vms[request.vm];
        if (request.trial && vm.trials.holds(m_now, *request.trial)) {
            tell(request.vm, {.trials = {vm.trials.release(m_now, *request.trial)}});
        }
    }

    void wave()
    {
        if (m_load.waveInterval == milliseconds(0) || (m_now - playStart) % m_load.waveInterval != milliseconds(0)) {
            return;
        }
        for (std::size_t target = 0; target < targetCount; ++target) {
            if (chance(m_load.waveShare)) {
                die(target);
            }
        }
    }

    void die(std::size_t target)
    {
        target_state &dead = m_targets[target];
        if (m_now < dead.upAt) {
            return;
        }
        const target_id id = idOf(target);
        const std::vector<open_request> broken = std::exchange(dead.running, {});
        dead.incarnation += 1;
        dead.upAt = m_now + restartTime;
        for (const open_request &one : broken) {
            vm_state &vm = m_vms[one.vm];
            if (const std::optional<content_hash> cause = crasherIn(one)) {
                m_crashSends[*cause].push_back({one.sentAt, m_now});
            }
            if (one.trial) {
                tell(one.vm, vm.evidence.trialBroke(m_now, one.subjects, id));
            }
            vm.evidence.attemptBroke(m_now, one.subjects, id);
        }
        for (std::size_t vm = 0; vm < vmCount; ++vm) {
            tell(vm, m_vms[vm].evidence.targetDied(m_now, id));
        }
        for (const open_request &one : broken) {
            if (one.attempts < attemptsOfVm) {
                submit(one);
            } else {
                fail(one);
            }
        }
    }

    void runTargets()
    {
        for (std::size_t target = 0; target < targetCount; ++target) {
            const bool crashes = std::ranges::any_of(m_targets[target].running, [&](const open_request &one) {
                return one.crashes && m_now >= one.sentAt + runTime;
            });
            if (crashes) {
                die(target);
            }
            std::erase_if(m_targets[target].running, [&](const open_request &one) {
                if (m_now < one.sentAt + runTime) {
                    return false;
                }
                tell(one.vm, m_vms[one.vm].evidence.completed(m_now, one.subjects.request));
                tell(one.vm, m_vms[one.vm].evidence.partsRan(m_now, one.subjects.parts));
                release(one);
                return true;
            });
        }
    }

    void weigh(std::size_t vm)
    {
        crash_news news;
        const auto lookup = [](const target_id &) {
            return service_facts{pool, targetCount, 1.0 / targetCount};
        };
        for (const quarantine_verdict &verdict : m_vms[vm].evidence.weigh(m_now, targetCount, lookup)) {
            const bool isInnocent = !isCrasher(verdict.fingerprint) && verdict.fingerprint.value() < firstBadRequest;
            if (isInnocent && m_quarantinedInnocents.insert(verdict.fingerprint).second) {
                m_result.quarantined += 1;
            }
            if (verdict.isOwn) {
                news.quarantines.push_back({verdict.fingerprint, std::chrono::ceil<milliseconds>(verdict.until - m_now)});
            }
        }
        tell(vm, news);
    }

    /// Whether \p request may be sent now, later, or not at all, as at the gateway.
    enum class send_verdict {
        Now,
        Later,
        Never,
    };
    send_verdict judge(vm_state &vm, open_request &request)
    {
        if (vm.evidence.quarantineOf(m_now, request.subjects) || m_now > request.arrivedAt + queueTime) {
            return send_verdict::Never;
        }
        const std::optional<instant> heldUntil = vm.evidence.heldUntil(request.subjects);
        if (!heldUntil) {
            return send_verdict::Now;
        }
        const bool holds = request.trial && vm.trials.holds(m_now, *request.trial);
        if (request.attempts == 0 && m_now >= *heldUntil && !holds) {
            request.trial = vm.trials.claim(m_now, pool, request.subjects.request);
            if (request.trial) {
                tell(request.vm, {.trials = {*request.trial}});
            }
        }
        if (request.attempts > 0 || m_now < *heldUntil || !request.trial) {
            m_result.suspected += crasherIn(request) ? 0 : 1;
            return send_verdict::Never;
        }
        return vm.trials.isSettled(m_now, *request.trial) ? send_verdict::Now : send_verdict::Later;
    }

    void dispatch(std::size_t index)
    {
        vm_state &vm = m_vms[index];
        std::vector<open_request> queued = std::exchange(vm.queue, {});
        for (open_request &one : queued) {
            const send_verdict verdict = judge(vm, one);
            if (verdict == send_verdict::Never) {
                fail(one);
                continue;
            }
            std::vector<std::size_t> open;
            for (std::size_t target = 0; target < targetCount && verdict == send_verdict::Now; ++target) {
                const target_state &state = m_targets[target];
                if (m_now >= state.upAt && state.running.size() < slots) {
                    open.push_back(target);
                }
            }
            if (open.empty()) {
                vm.queue.push_back(std::move(one));
                continue;
            }
            one.attempts += 1;
            one.sentAt = m_now;
            one.crashes = crasherIn(one) && chance(m_load.crashShare);
            m_targets[open[m_random() % open.size()]].running.push_back(std::move(one));
        }
    }

    std::mt19937_64 m_random;
    const containment_load m_load;
    instant m_now = playStart;
    std::vector<vm_state> m_vms;
    std::vector<target_state> m_targets;
    std::vector<message> m_messages;
    std::map<content_hash, std::vector<crash_send>> m_crashSends;
    std::set<content_hash> m_quarantinedInnocents;
    std::uint64_t m_badRequests = 0;
    containment_result m_result;
};

} // namespace fuchsialoom
