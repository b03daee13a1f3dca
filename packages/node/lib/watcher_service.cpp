/// \file
/// Watches the listed targets' load and caches.
#include "fuchsialoom/node/watcher_service.h"

#include "duty_wait.h"
#include "fuchsialoom/node/node_clock.h"
#include "fuchsialoom/wire/watch_client.h"

#include <algorithm>
#include <utility>

namespace fuchsialoom
{

static constexpr std::size_t proberCount = 8;
/// Targets that did not answer last time may hold up this many probers, never all.
static constexpr std::size_t mostSilentAsked = proberCount / 2;
static constexpr std::size_t jobCapacity = 1024;
static constexpr milliseconds loadTimeout{500};
static constexpr milliseconds cacheTimeout{500};
/// The caches of targets that this VM doesn't watch are asked once in so many rounds.
static constexpr std::uint64_t cacheEvery = 2;
/// A VM that starts waits at most so long for its targets before it says that it is ready.
static constexpr seconds readyWithin{5};

static milliseconds settingOf(const settings_service &settings, setting_key key)
{
    return milliseconds(settings.tree()->integerAt(setting_path(), key));
}

watcher_service::watcher_service(const settings_service &settings, event_service &events, decision_service &decisions, peer_service &peers)
    : m_settings(settings)
    , m_events(events)
    , m_decisions(decisions)
    , m_peers(peers)
    , m_plan(peers.self().vm, settingOf(settings, setting_key::SuspectAfterMs))
    , m_gate(monotonicNow() + readyWithin)
    , m_jobs(jobCapacity)
{
    peers.addPart(digest_part{[this](const vm_id &receiver, bool sameDomain, proto::peer_digest &digest) {
                                  fillDigest(receiver, sameDomain, digest);
                              },
                              [this](const vm_contact &sender, bool sameDomain, const proto::peer_digest &digest) {
                                  readDigest(sender, sameDomain, digest);
                              },
                              [this](const vm_id &receiver) {
                                  const std::lock_guard lock(m_mutex);
                                  m_exchange.forget(receiver);
                              }});
}

void watcher_service::start()
{
    for (std::size_t index = 0; index < proberCount; ++index) {
        m_probers.emplace_back([this] {
            probe();
        });
    }
    m_watchThread = std::jthread([this](const std::stop_token &stop) {
        watch(stop);
    });
}

void watcher_service::stop()
{
    m_jobs.close();
    m_watchThread.request_stop();
    m_watchThread.join();
    m_probers.clear();
}

void watcher_service::takeListing(const vm_listing &listing)
{
    // The own domain's targets come first wherever not all can be asked at once.
    std::vector<listed_target> targets = listing.targets;
    const auto ownEnd = std::stable_partition(targets.begin(), targets.end(), [this](const listed_target &target) {
        return isOwn(target);
    });
    step(targets_listed{std::vector<listed_target>(targets.begin(), ownEnd)});
    takeForeign(listing);
    stepGate(gate_listed{std::move(targets)});
}

bool watcher_service::isOwn(const listed_target &target) const
{
    return target.domain == m_peers.self().domain;
}

/// Targets of other domains are not watched from here, only listed.
void watcher_service::takeForeign(const vm_listing &listing)
{
    std::vector<request_event> news;
    {
        const std::lock_guard lock(m_mutex);
        std::map<target_id, listed_target> foreign;
        for (const listed_target &target : listing.targets) {
            if (isOwn(target)) {
                continue;
            }
            const auto known = m_foreign.find(target.id);
            if (known == m_foreign.end() || known->second != target) {
                news.emplace_back(target_listed{target});
            }
            foreign.emplace(target.id, target);
        }
        for (const auto &[id, target] : m_foreign) {
            if (!foreign.contains(id)) {
                news.emplace_back(target_lost{id});
                m_foreignLoads.erase(id);
            }
        }
        m_foreign = std::move(foreign);
    }
    for (request_event &event : news) {
        m_decisions.post(std::move(event));
    }
}

void watcher_service::watch(const std::stop_token &stop)
{
    real_deadline next = std::chrono::steady_clock::now();
    for (std::uint64_t round = 0; waitUntil(stop, next); ++round) {
        next = std::chrono::steady_clock::now() + settingOf(m_settings, setting_key::HeartbeatMs);
        startRound(round);
    }
}

void watcher_service::startRound(std::uint64_t round)
{
    step(watch_rules_changed{settingOf(m_settings, setting_key::SuspectAfterMs)});
    request_policy policy;
    policy.quarantine = settingOf(m_settings, setting_key::QuarantineMs);
    m_decisions.post(policy_changed{policy});
    step(watchers_known{m_peers.dutyHolders(), m_peers.isStale()});
    step(watch_due{});
    stepGate(gate_time_passed{});
    if (round % cacheEvery == 0) {
        std::vector<listed_target> others;
        for (const watched_target &target : targets()) {
            if (!target.lost && target.target.kind == target_kind::Engine) {
                others.push_back(target.target);
            }
        }
        postProbes(others, false, true);
    }
}

/// Carries out what the plan decides.
void watcher_service::step(const watch_event &event)
{
    const std::lock_guard ordered(m_stepMutex);
    watch_actions actions;
    {
        const std::lock_guard lock(m_mutex);
        actions = m_plan.step(monotonicNow(), event);
    }
    for (timeline_event &happened : actions.events) {
        m_events.emit(std::move(happened));
    }
    for (const target_id &target : actions.lost) {
        m_decisions.post(target_lost{target});
    }
    for (const target_id &target : actions.silent) {
        m_decisions.post(target_silent{target});
    }
    for (listed_target &target : actions.listed) {
        m_decisions.post(target_listed{std::move(target)});
    }
    for (load_report &report : actions.reports) {
        m_decisions.post(load_reported{std::move(report)});
    }
    postProbes(actions.probes, true, true);
}

/// Carries out what the gate decides. What makes it open was posted to the decisions before.
void watcher_service::stepGate(const gate_event &event)
{
    gate_actions actions;
    bool isOpen = false;
    {
        const std::lock_guard lock(m_mutex);
        actions = m_gate.step(monotonicNow(), event);
        isOpen = m_gate.isOpen();
    }
    postProbes(actions.probes, true, false);
    if (isOpen) {
        m_decisions.targetsListed();
    }
}

/// Hands probes to the probers, each target once at a time.
void watcher_service::postProbes(const std::vector<listed_target> &probes, bool load, bool cache)
{
    for (const listed_target &target : probes) {
        probe_job job{target, load, cache, false};
        {
            const std::lock_guard lock(m_mutex);
            job.wasSilent = m_silent.contains(target.id);
            if (!takeSlot(job)) {
                continue;
            }
        }
        if (!m_jobs.tryPush(job)) {
            giveSlotBack(job);
        }
    }
}

/// Needs m_mutex. \return whether the target may be asked now.
bool watcher_service::takeSlot(const probe_job &job)
{
    const bool isTooMuch = job.wasSilent && (!job.load || m_silentAsked >= mostSilentAsked);
    if (isTooMuch || !m_asked.insert(job.target.id).second) {
        return false;
    }
    m_silentAsked += job.wasSilent ? 1 : 0;
    return true;
}

void watcher_service::giveSlotBack(const probe_job &job)
{
    const std::lock_guard lock(m_mutex);
    m_asked.erase(job.target.id);
    m_silentAsked -= job.wasSilent ? 1 : 0;
}

void watcher_service::probe()
{
    while (const std::optional<probe_job> job = m_jobs.pop()) {
        if (m_jobs.closed()) {
            return;
        }
        if (job->load) {
            askLoad(*job);
        }
        bool isSilent = false;
        {
            const std::lock_guard lock(m_mutex);
            isSilent = m_silent.contains(job->target.id);
        }
        if (job->cache && !isSilent) {
            askCache(*job);
        }
        giveSlotBack(*job);
    }
}

void watcher_service::askLoad(const probe_job &job)
{
    const target_id &id = job.target.id;
    const instant askedAt = monotonicNow();
    std::optional<aged_report> answer = watch_client(job.target.address).load(id, std::chrono::steady_clock::now() + loadTimeout);
    {
        const std::lock_guard lock(m_mutex);
        if (answer) {
            m_silent.erase(id);
        } else {
            m_silent.insert(id);
        }
    }
    if (!answer) {
        step(probe_failed{id});
        stepGate(gate_met{id});
        return;
    }
    answer->report.takenAt = askedAt - answer->age;
    takeAnswer(std::move(answer->report), isOwn(job.target));
}

void watcher_service::takeAnswer(load_report report, bool own)
{
    const target_id id = report.target;
    if (own) {
        step(probe_answered{std::move(report)});
    } else {
        learnForeign(report);
    }
    stepGate(gate_met{id});
}

void watcher_service::askCache(const probe_job &job)
{
    cache_follower *follower = nullptr;
    {
        const std::lock_guard lock(m_mutex);
        follower = &m_caches.try_emplace(job.target.id, job.target.id).first->second;
    }
    // One probe of a target runs at a time, so nobody else uses its follower.
    watch_client client(job.target.address);
    const real_deadline deadline = std::chrono::steady_clock::now() + cacheTimeout;
    std::optional<cache_batch> batch;
    if (follower->wantsContent()) {
        if (const std::optional<cache_content> content = client.cacheContent(deadline)) {
            batch = follower->take(*content);
        }
    } else if (const std::optional<cache_page> page = client.cacheEvents(follower->after(), deadline)) {
        batch = follower->take(*page);
    }
    if (batch) {
        m_decisions.post(cache_reported{std::move(*batch)});
    }
}

/// Inside the domain: what this VM found out. To other domains: what the whole domain knows.
void watcher_service::fillDigest(const vm_id &receiver, bool sameDomain, proto::peer_digest &digest)
{
    const instant now = monotonicNow();
    const std::lock_guard lock(m_mutex);
    std::vector<watched_target> shared = m_plan.foundHere(now);
    if (!sameDomain) {
        shared = m_plan.targets();
        std::erase_if(shared, [](const watched_target &target) {
            return target.lost || !target.report;
        });
    }
    m_exchange.fill(now, receiver, shared, digest);
}

void watcher_service::readDigest(const vm_contact &sender, bool sameDomain, const proto::peer_digest &digest)
{
    std::vector<received_load> loads;
    {
        const std::lock_guard lock(m_mutex);
        loads = m_exchange.read(monotonicNow(), sender.vm, digest);
    }
    for (received_load &load : loads) {
        const target_id id = load.report.target;
        if (sameDomain) {
            step(report_learned{std::move(load.report), load.answeredAt});
        } else {
            learnForeign(load.report);
        }
        stepGate(gate_met{id});
    }
}

void watcher_service::learnForeign(const load_report &report)
{
    {
        const std::lock_guard lock(m_mutex);
        if (!m_foreign.contains(report.target)) {
            return;
        }
        const auto [place, isNew] = m_foreignLoads.try_emplace(report.target, report);
        load_report &known = place->second;
        const bool isNewer =
            known.incarnation < report.incarnation || (known.incarnation == report.incarnation && known.takenAt < report.takenAt);
        if (!isNew && !isNewer) {
            return;
        }
        known = report;
    }
    m_decisions.post(load_reported{report});
}

std::vector<watched_target> watcher_service::targets() const
{
    const std::lock_guard lock(m_mutex);
    return m_plan.targets();
}

std::vector<foreign_load> watcher_service::foreignLoads() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<foreign_load> loads;
    for (const auto &[id, report] : m_foreignLoads) {
        const auto listed = m_foreign.find(id);
        if (listed != m_foreign.end()) {
            loads.push_back(foreign_load{listed->second.domain, report});
        }
    }
    return loads;
}

} // namespace fuchsialoom
