/// \file
/// Keeps the reports of requests, and of parts of their prompts, at targets that died.
#include "fuchsialoom/gateway/crash_evidence.h"

#include <algorithm>
#include <utility>

namespace fuchsialoom
{

/// Messages repeat a report for a shorter time.
static constexpr milliseconds retractionMemory{5000};
static constexpr std::size_t deathsToQuarantine = 3;
/// Accepted probability that a request was at all of its deaths by chance.
static constexpr double maxChance = 1e-5;
/// Ends that differ by less are the same end, told by different ways.
static constexpr milliseconds sameEnd{500};
/// A request that comes again does so within this time, or is judged anew. Six times the longest quarantine in use, so
/// that one death after a quarantine is enough for the next.
static constexpr milliseconds chargeMemory{3600 * 1000};
static constexpr milliseconds reportMemory{600 * 1000};
static constexpr std::size_t maxReports = 4096;
static constexpr std::size_t maxDeaths = 4096;
/// A target that died is found dead within this time after its connections broke.
static constexpr seconds brokenMemory{30};
static constexpr std::size_t maxBroken = 4096;
/// In news: a death of which no request is suspected. It only counts against the suspicion of others.
static constexpr content_hash noRequest{0};

crash_evidence::crash_evidence(milliseconds quarantineLength)
    : m_quarantineLength(quarantineLength)
    , m_quarantine({quarantineLength, chargeMemory, deathsToQuarantine, maxChance})
{
}

bool crash_evidence::noteDeath(const target_id &target, instant diedAt)
{
    if (m_deaths.size() >= maxDeaths && !m_deaths.contains(target)) {
        m_deaths.erase(std::ranges::min_element(m_deaths, {}, [](const auto &entry) {
            return entry.second;
        }));
    }
    return m_deaths.try_emplace(target, diedAt).second;
}

void crash_evidence::makeRoomForReport()
{
    if (m_reports.size() < maxReports) {
        return;
    }
    const auto oldest = std::ranges::min_element(m_reports, {}, [](const auto &entry) {
        return entry.second.forgetAt;
    });
    const content_hash forgotten = oldest->first.first;
    m_reports.erase(oldest);
    updateSuspect(forgotten);
}

crash_evidence::report_state *crash_evidence::addOneReport(instant now, const crash_report &report, bool isPart)
{
    const report_key key{report.fingerprint, report.target};
    const auto known = m_reports.find(key);
    if (known != m_reports.end()) {
        if (!report.isTrial || known->second.isTrial) {
            return nullptr;
        }
        known->second.isTrial = true;
        known->second.isWeighed = false;
        updateSuspect(report.fingerprint);
        return &known->second;
    }
    makeRoomForReport();
    report_state &state = m_reports[key];
    state.diedAt = now - report.age;
    state.forgetAt = state.diedAt + reportMemory;
    state.isPart = isPart;
    state.isAcquitted = report.isAcquitted;
    state.isTrial = report.isTrial;
    state.beside = report.parts;
    noteDeath(report.target, state.diedAt);
    updateSuspect(report.fingerprint);
    return &state;
}

crash_evidence::report_state *crash_evidence::addReport(instant now, const crash_report &report, crash_news &excuses)
{
    if (!addOneReport(now, report, false)) {
        return nullptr;
    }
    if (!report.isAcquitted) {
        for (const content_hash part : report.parts) {
            addPartReport(now, report, part, excuses);
        }
    }
    // Its parts may have taken the room of a report that is old already.
    const auto added = m_reports.find({report.fingerprint, report.target});
    return added == m_reports.end() ? nullptr : &added->second;
}

void crash_evidence::addPartReport(instant now, const crash_report &report, content_hash part, crash_news &excuses)
{
    std::vector<content_hash> beside = crash_subjects{report.fingerprint, report.parts}.all();
    std::erase(beside, part);
    const bool isNew = !m_reports.contains({part, report.target});
    addOneReport(now, {part, report.target, false, report.age, report.isTrial, beside}, true);
    report_state &state = m_reports.at({part, report.target});
    std::erase_if(state.beside, [&beside](content_hash other) {
        return std::ranges::find(beside, other) == beside.end();
    });
    if (isNew && m_soundParts.excusesDeath(now, part)) {
        state.isAcquitted = true;
        updateSuspect(part);
        excuses.reports.push_back({part, report.target, true, report.age, report.isTrial, {}, true});
    }
}

bool crash_evidence::addPartAcquittal(instant now, const crash_report &report)
{
    const auto known = m_reports.find({report.fingerprint, report.target});
    if (known != m_reports.end()) {
        const bool isNews = !known->second.isAcquitted;
        known->second.isAcquitted = true;
        updateSuspect(report.fingerprint);
        return isNews;
    }
    addOneReport(now, report, true);
    m_soundParts.excusesDeath(now, report.fingerprint); // counts it
    return true;
}

void crash_evidence::attemptBroke(instant now, const crash_subjects &subjects, const target_id &target)
{
    if (m_broken.size() >= maxBroken) {
        m_broken.erase(m_broken.begin());
    }
    m_broken.push_back({subjects, target, now + brokenMemory});
}

std::vector<crash_evidence::broken_request> crash_evidence::takeBroken(const target_id &target)
{
    const auto kept = std::stable_partition(m_broken.begin(), m_broken.end(), [&target](const broken_request &one) {
        return one.target != target;
    });
    std::vector<broken_request> taken(kept, m_broken.end());
    m_broken.erase(kept, m_broken.end());
    return taken;
}

crash_news crash_evidence::trialBroke(instant now, const crash_subjects &subjects, const target_id &target)
{
    const crash_report report{subjects.request, target, false, milliseconds(0), true, subjects.parts};
    crash_news news;
    if (report_state *state = addReport(now, report, news)) {
        state->isOwn = true;
        news.reports.insert(news.reports.begin(), report);
    }
    return news;
}

void crash_evidence::targetAnswered(const target_id &target)
{
    takeBroken(target);
}

void crash_evidence::retract(instant now, const target_id &target)
{
    std::erase_if(m_retracted, [now](const auto &entry) {
        return entry.second <= now;
    });
    m_retracted[target] = now + retractionMemory;
    targetAnswered(target);
    m_deaths.erase(target);
    std::set<content_hash> cleared;
    std::erase_if(m_reports, [&](const auto &entry) {
        const bool isCleared = entry.first.second == target;
        if (isCleared) {
            cleared.insert(entry.first.first);
        }
        return isCleared;
    });
    for (const content_hash fingerprint : cleared) {
        updateSuspect(fingerprint);
    }
}

crash_news crash_evidence::targetDied(instant now, const target_id &target)
{
    noteDeath(target, now);
    crash_news news;
    for (const broken_request &broken : takeBroken(target)) {
        const crash_report report{broken.subjects.request, target, false, milliseconds(0), false, broken.subjects.parts};
        crash_news excuses;
        if (report_state *state = addReport(now, report, excuses)) {
            state->isOwn = true;
            news.reports.push_back(report);
            news.reports.insert(news.reports.end(), excuses.reports.begin(), excuses.reports.end());
        }
        for (const content_hash subject : broken.subjects.all()) {
            const auto found = m_reports.find({subject, target});
            if (found != m_reports.end()) {
                found->second.isDeathSeen = true;
                found->second.isOwn = true;
            }
        }
    }
    return news;
}

std::vector<crash_report> crash_evidence::acquit(instant now, content_hash subject)
{
    std::vector<crash_report> acquittals;
    forReportsOf(m_reports, subject, [&](const target_id &target, report_state &state) {
        if (!state.isAcquitted) {
            state.isAcquitted = true;
            const auto age = std::chrono::duration_cast<milliseconds>(now - state.diedAt);
            acquittals.push_back({subject, target, true, age, state.isTrial, {}, state.isPart});
        }
    });
    if (!acquittals.empty()) {
        m_quarantine.clear(subject);
        updateSuspect(subject);
    }
    return acquittals;
}

crash_news crash_evidence::completed(instant now, content_hash fingerprint)
{
    std::erase_if(m_broken, [fingerprint](const broken_request &one) {
        return one.subjects.request == fingerprint;
    });
    if (tallyOf(fingerprint).reports() == 0) {
        return {};
    }
    m_completed[fingerprint] += 1;
    if (tallyOf(fingerprint).isDoubtful()) {
        return {};
    }
    return {.reports = acquit(now, fingerprint)};
}

crash_news crash_evidence::partsRan(instant now, const std::vector<content_hash> &parts)
{
    crash_news news;
    for (const content_hash part : parts) {
        m_soundParts.noteRun(now, part);
        const std::vector<crash_report> acquittals = acquit(now, part);
        news.reports.insert(news.reports.end(), acquittals.begin(), acquittals.end());
    }
    return news;
}

bool crash_evidence::acquitRequest(const crash_report &report)
{
    const auto known = m_reports.find({report.fingerprint, report.target});
    if (known == m_reports.end() || !report.isAcquitted || known->second.isAcquitted) {
        return false;
    }
    known->second.isAcquitted = true;
    m_quarantine.clear(report.fingerprint);
    updateSuspect(report.fingerprint);
    return true;
}

crash_news crash_evidence::learn(instant now, const crash_news &news)
{
    crash_news unknown;
    for (const crash_report &report : news.reports) {
        const auto retracted = m_retracted.find(report.target);
        if (retracted != m_retracted.end() && now < retracted->second) {
            continue;
        }
        bool isNews = false;
        if (report.fingerprint == noRequest) {
            isNews = noteDeath(report.target, now - report.age);
        } else if (report.isPart) {
            isNews = addPartAcquittal(now, report);
        } else {
            isNews = addReport(now, report, m_excuses) || acquitRequest(report);
        }
        if (isNews) {
            unknown.reports.push_back(report);
        }
    }
    for (const quarantine_report &one : news.quarantines) {
        const std::optional<instant> before = m_quarantine.until(now, one.fingerprint);
        // Without this, VMs would repeat an end to each other for ever.
        const bool isLater = !before || now + one.left > *before + sameEnd;
        if (isLater && m_quarantine.learn(now, one.fingerprint, now + one.left)) {
            unknown.quarantines.push_back(one);
        }
    }
    return unknown;
}

crash_news crash_evidence::known(instant now) const
{
    crash_news news;
    std::set<target_id> reported;
    for (const auto &[key, state] : m_reports) {
        const auto &[fingerprint, target] = key;
        reported.insert(target);
        const auto age = std::chrono::duration_cast<milliseconds>(now - state.diedAt);
        if (!state.isPart) {
            news.reports.push_back({fingerprint, target, state.isAcquitted, age, state.isTrial, state.beside});
        } else if (state.isAcquitted) {
            news.reports.push_back({fingerprint, target, true, age, state.isTrial, {}, true});
        }
    }
    for (const auto &[target, diedAt] : m_deaths) {
        if (!reported.contains(target)) {
            news.reports.push_back({noRequest, target, false, std::chrono::duration_cast<milliseconds>(now - diedAt)});
        }
    }
    for (const auto &[fingerprint, until] : m_quarantine.ends()) {
        if (until > now) {
            news.quarantines.push_back({fingerprint, std::chrono::ceil<milliseconds>(until - now)});
        }
    }
    return news;
}

std::vector<content_hash> crash_evidence::expire(instant now)
{
    std::set<content_hash> forgotten;
    std::erase_if(m_reports, [now, &forgotten](const auto &entry) {
        const bool isOver = entry.second.forgetAt <= now;
        if (isOver) {
            forgotten.insert(entry.first.first);
        }
        return isOver;
    });
    for (const content_hash fingerprint : forgotten) {
        updateSuspect(fingerprint);
    }
    std::erase_if(m_deaths, [now](const auto &entry) {
        return entry.second + reportMemory <= now;
    });
    std::erase_if(m_broken, [now](const broken_request &one) {
        return one.forgetAt <= now;
    });
    return m_quarantine.expire(now);
}

} // namespace fuchsialoom
