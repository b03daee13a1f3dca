/// \file
/// Requests that crash targets: how the gateway finds them and tells others. crash_evidence decides.
#include "fuchsialoom/gateway/gateway.h"

#include "exchange.h"
#include "fuchsialoom/gateway/request_fingerprint.h"
#include "listener_probe.h"

#include <algorithm>
#include <iterator>

namespace fuchsialoom
{

/// As long as an attempt may take to connect.
static constexpr milliseconds probeTimeout{250};
/// About as many VMs look for themselves when one of them was refused by a target.
static constexpr std::size_t verifyingVms = 4;
/// Share of the requests at an engine that are about to begin; the streams of all others have shown that they run.
static constexpr double beginningShare = 0.2;

void gateway::attemptBroke(const exchange &ex, const target_id &target)
{
    const pool_target *known = m_pool.find(target);
    if (!known || known->listed.leaving) {
        return; // it exits in order, and cuts off what still runs there
    }
    const crash_subjects subjects = ex.subjects();
    m_crashes.attemptBroke(loopNow(), subjects, target);
    if (known->unreachable) {
        if (ex.m_trial) {
            trialBroke(subjects, target);
        }
        reportDeath(target, death_source::Own);
        return;
    }
    const auto [probed, isNew] = m_probed.try_emplace(target);
    if (ex.m_trial) {
        probed->second.insert(subjects);
    }
    if (isNew) {
        probeListener(m_loop, tcpEndpointOf(known->listed.address), probeTimeout, [this, target](probe_result result) {
            onProbed(target, result);
        });
    }
}

void gateway::onProbed(const target_id &target, probe_result result)
{
    const auto trials = m_probed.extract(target);
    if (result == probe_result::Listening) {
        m_crashes.targetAnswered(target);
        noteConnect(target, connect_result::Connected);
        return;
    }
    if (!m_paths.isLost()) {
        m_unconfirmed[target].trials.merge(trials.mapped());
    }
    // Without an answer the target may be cut off: a death that is found later still counts.
    noteConnect(target, result == probe_result::Refused ? connect_result::Refused : connect_result::NoAnswer);
}

void gateway::noteHeard(const target_id &target)
{
    m_paths.onHeard(loopNow());
    if (m_pool.isHeardDespiteWord(loopNow(), target)) {
        contradict(target);
    }
    // While a probe is open, the bytes may have been sent before the target died.
    if (m_pool.noteHeard(loopNow(), target) && !m_probed.contains(target)) {
        m_crashes.targetAnswered(target);
    }
}

void gateway::noteUnreachableElsewhere(const target_id &target)
{
    const pool_target *known = m_pool.find(target);
    const bool isNew = known && !known->unreachable;
    m_pool.addResidencyChange(loopNow(), {target, {}, {}, false});
    reportDeath(target, death_source::Peer);
    if (!isNew || m_paths.isLost() || m_random() % m_liveVms >= verifyingVms) {
        return;
    }
    probeListener(m_loop, tcpEndpointOf(known->listed.address), probeTimeout, [this, target](probe_result result) {
        if (result == probe_result::Listening) {
            contradict(target);
        }
    });
}

void gateway::noteAliveElsewhere(const target_id &target)
{
    if (m_pool.noteAlive(loopNow(), target)) {
        m_log.write(loopNow(), log_line("target-alive").with("target", target).with("by", death_source::Peer));
    }
    m_crashes.retract(loopNow(), target);
}

void gateway::contradict(const target_id &target)
{
    const pool_target *known = m_pool.find(target);
    if (!known || !known->unreachable || known->refusedHere) {
        return;
    }
    m_pool.noteAlive(loopNow(), target);
    m_crashes.retract(loopNow(), target);
    m_log.write(loopNow(), log_line("target-alive").with("target", target).with("by", death_source::Own));
    if (m_onReachability) {
        m_onReachability(target, true);
    }
}

void gateway::reportDeath(const target_id &target, death_source source)
{
    const bool isNew = !m_crashes.isKnownDead(target);
    const crash_news news = m_crashes.targetDied(loopNow(), target);
    if (isNew) {
        m_log.write(loopNow(), log_line("target-died").with("target", target).with("by", source).with("accused", news.reports.size()));
    }
    for (const crash_report &report : news.reports) {
        m_log.write(loopNow(),
                    log_line(report.isAcquitted ? "part-excused" : "request-accused")
                        .with("fingerprint", textOf(report.fingerprint))
                        .with("parts", textOf(report.parts))
                        .with("target", report.target));
    }
    tellCrashNews(news);
    if (!news.isEmpty()) {
        endQueuedSuspects();
    }
}

void gateway::tellCrashNews(const crash_news &news)
{
    if (!news.isEmpty() && m_onCrashNews) {
        m_onCrashNews(news);
    }
}

std::optional<trial_claim> gateway::claimTrial(const exchange &ex)
{
    const instant now = loopNow();
    std::optional<trial_claim> made = m_trials.claim(now, ex.m_service, ex.fingerprint());
    if (made) {
        m_log.write(now,
                    log_line("trial-claimed", ex.facts().id).with("fingerprint", textOf(ex.fingerprint())).with("service", ex.m_service));
        tellCrashNews({.trials = {*made}});
    }
    return made;
}

void gateway::releaseTrial(const trial_claim &claim)
{
    if (m_trials.holds(loopNow(), claim)) {
        tellCrashNews({.trials = {m_trials.release(loopNow(), claim)}});
    }
}

void gateway::trialBroke(const crash_subjects &subjects, const target_id &target)
{
    const crash_news news = m_crashes.trialBroke(loopNow(), subjects, target);
    if (!news.isEmpty()) {
        m_log.write(loopNow(),
                    log_line("trial-broke")
                        .with("fingerprint", textOf(subjects.request))
                        .with("parts", textOf(subjects.parts))
                        .with("target", target));
        tellCrashNews(news);
        endQueuedSuspects();
    }
}

void gateway::endQueuedSuspects()
{
    if (!m_crashes.hasSuspects()) {
        return;
    }
    const std::map<request_id, std::shared_ptr<exchange>> queued = m_queued;
    for (const auto &[serial, ex] : queued) {
        if (!ex->isDone() && m_queued.contains(serial)) {
            ex->endIfSuspected();
        }
    }
}

crash_news gateway::learnCrashNews(const crash_news &news, crash_news_source source)
{
    const instant now = loopNow();
    crash_news unknown = m_crashes.learn(now, news);
    std::ranges::copy_if(news.trials, std::back_inserter(unknown.trials), [&](const trial_claim &one) {
        return m_trials.learn(now, one);
    });
    for (const crash_report &one : unknown.reports) {
        if (one.isAcquitted) {
            m_log.write(
                now,
                log_line("request-acquitted").with("fingerprint", textOf(one.fingerprint)).with("target", one.target).with("by", source));
        }
    }
    for (const quarantine_report &one : unknown.quarantines) {
        m_log.write(now,
                    log_line("request-quarantined")
                        .with("fingerprint", textOf(one.fingerprint))
                        .with("by", source)
                        .with("retry-after-ms", one.left));
    }
    tellCrashNews(m_crashes.takeExcuses());
    if (!unknown.reports.empty()) {
        endQueuedSuspects();
    }
    return unknown;
}

void gateway::acquit(const exchange &ex)
{
    if (m_crashes.hasReports()) {
        logAcquittals(ex, m_crashes.completed(loopNow(), ex.fingerprint()));
    }
}

void gateway::acquitParts(const exchange &ex)
{
    if (!ex.promptParts().empty()) {
        logAcquittals(ex, m_crashes.partsRan(loopNow(), ex.promptParts()));
    }
}

void gateway::logAcquittals(const exchange &ex, const crash_news &news)
{
    for (const crash_report &report : news.reports) {
        m_log.write(loopNow(),
                    log_line("request-acquitted", ex.facts().id)
                        .with("fingerprint", textOf(report.fingerprint))
                        .with("target", report.target)
                        .with("by", "run"));
    }
    tellCrashNews(news);
}

service_facts gateway::serviceFactsOf(const target_id &target) const
{
    const pool_target *known = m_pool.find(target);
    if (!known) {
        return {};
    }
    const auto targets = std::ranges::count_if(m_pool.targets(), [&](const auto &entry) {
        return entry.second.listed.service == known->listed.service;
    });
    const double beginning = known->listed.isEngine ? beginningShare : 1;
    return {known->listed.service, static_cast<std::size_t>(targets), beginning / static_cast<double>(targets)};
}

void gateway::updateQuarantines()
{
    const instant now = loopNow();
    crash_news news;
    const auto lookup = [this](const target_id &target) {
        return serviceFactsOf(target);
    };
    const std::vector<quarantine_verdict> verdicts = m_crashes.weigh(now, m_pool.targets().size(), lookup);
    for (const weighed_death &one : m_crashes.takeWeighed()) {
        m_log.write(now,
                    log_line("death-weighed")
                        .with("fingerprint", textOf(one.fingerprint))
                        .with("target", one.target)
                        .with("deaths", one.deaths)
                        .with("chance", std::to_string(one.chance)));
    }
    for (const quarantine_verdict &verdict : verdicts) {
        const auto left = std::chrono::ceil<milliseconds>(verdict.until - now);
        m_log.write(now,
                    log_line("request-quarantined")
                        .with("fingerprint", textOf(verdict.fingerprint))
                        .with("of", verdict.isPart ? "part" : "request")
                        .with("by", "reports")
                        .with("deaths", verdict.deaths)
                        .with("trials", verdict.trials)
                        .with("retry-after-ms", left));
        if (verdict.isOwn) {
            news.quarantines.push_back({verdict.fingerprint, left});
        }
    }
    tellCrashNews(news);
    for (const content_hash fingerprint : m_crashes.expire(now)) {
        m_log.write(now, log_line("quarantine-expired").with("fingerprint", textOf(fingerprint)));
    }
}

std::string gateway::quarantineMetrics() const
{
    const instant now = loopNow();
    std::string text = "# HELP fuchsialoom_quarantine_refusals_total requests refused because they crashed targets\n"
                       "# TYPE fuchsialoom_quarantine_refusals_total counter\n"
                       "fuchsialoom_quarantine_refusals_total "
        + std::to_string(m_quarantineRefusals)
        + "\n# HELP fuchsialoom_part_refusals_total of these, requests with a part in their prompts that crashed targets\n"
          "# TYPE fuchsialoom_part_refusals_total counter\n"
          "fuchsialoom_part_refusals_total "
        + std::to_string(m_partRefusals)
        + "\n# HELP fuchsialoom_suspect_refusals_total requests refused because they were at several deaths of targets\n"
          "# TYPE fuchsialoom_suspect_refusals_total counter\n"
          "fuchsialoom_suspect_refusals_total "
        + std::to_string(m_suspectRefusals)
        + "\n# HELP fuchsialoom_trials_total suspected requests sent to a target, one at a time\n"
          "# TYPE fuchsialoom_trials_total counter\n"
          "fuchsialoom_trials_total "
        + std::to_string(m_trialCount)
        + "\n# HELP fuchsialoom_suspects requests that are refused or run one at a time because they were at several deaths\n"
          "# TYPE fuchsialoom_suspects gauge\n"
          "fuchsialoom_suspects "
        + std::to_string(m_crashes.suspectCount())
        + "\n"
          "# HELP fuchsialoom_crash_reports requests and parts that were about to run at targets that died, one for each target\n"
          "# TYPE fuchsialoom_crash_reports gauge\n"
          "fuchsialoom_crash_reports "
        + std::to_string(m_crashes.reportCount())
        + "\n"
          "# HELP fuchsialoom_quarantine_seconds_left time until a quarantine ends, by the fingerprint of the request or part\n"
          "# TYPE fuchsialoom_quarantine_seconds_left gauge\n";
    for (const auto &[fingerprint, until] : m_crashes.quarantines()) {
        const auto left = std::chrono::ceil<seconds>(until - now).count();
        text.append("fuchsialoom_quarantine_seconds_left{fingerprint=\"").append(textOf(fingerprint)).append("\"} ");
        text.append(std::to_string(left)).append("\n");
    }
    return text;
}

} // namespace fuchsialoom
