/// \file
/// Weighs reports of requests at targets that died.
#include "fuchsialoom/gateway/crash_evidence.h"

#include <algorithm>

namespace fuchsialoom
{

/// Messages repeat a report for a shorter time.
static constexpr milliseconds retractionMemory{5000};
static constexpr std::size_t deathsToQuarantine = 3;
/// Deaths after which a request is held back. One may be chance; the retry of a request that died with its target meets a
/// second only in a wave of crashes, or if it is the cause.
static constexpr std::size_t deathsToSuspect = 2;
/// The same for a request that was suspected before and has completed since, but seldom: it may crash targets only at times.
static constexpr std::size_t deathsToSuspectAgain = 1;
/// Time after a death for which a suspected request isn't sent. Covers the reports and their settling, so that a trial
/// never overtakes the verdict, and fits into the time that callers have for another try.
static constexpr milliseconds holdTime{1000};
/// Hold time after a trial that broke off amid other deaths: longer than most waves of crashes.
static constexpr milliseconds holdTimeAfterTrial{8000};
/// Trials that broke off after which a request is quarantined, however likely chance is.
static constexpr std::size_t brokenTrialsToQuarantine = 2;
/// Accepted probability that a request was at all of its deaths by chance.
static constexpr double maxChance = 1e-5;
/// Lower bound of the chance at one death, however lonely: one target in twenty dies, and one in five of the requests there
/// is about to begin.
static constexpr double minChance = 0.01;
/// Deaths at most this far before count as one wave with a death. A wave is reported within tens of milliseconds, but a
/// rolling restart takes a second for each target.
static constexpr milliseconds waveBefore{1000};
/// Time after a death in which the reports of its wave arrive from all VMs.
static constexpr milliseconds settleTime{500};
/// A trial runs for a moment, so only a death found within this time of its end, before or after, may explain that end.
static constexpr milliseconds trialWave{250};
/// Quarantine after a trial that ended beside other deaths, but not at the same moment. Longer than waves of crashes that follow
/// each other.
static constexpr milliseconds shortQuarantine{60 * 1000};
/// A request that comes again does so within this time, or is judged anew. Six times the longest quarantine in use, so
/// that one death after a quarantine is enough for the next.
static constexpr milliseconds chargeMemory{3600 * 1000};
static constexpr milliseconds reportMemory{600 * 1000};
static constexpr std::size_t maxReports = 4096;
static constexpr std::size_t maxDeaths = 4096;
/// Reports weighed in one call, so that the event loop isn't held up where very many targets die at once.
static constexpr std::size_t maxWeighedAtOnce = 256;
/// In news: a death of which no request is suspected. It only counts against the suspicion of others.
static constexpr content_hash noRequest{0};

crash_evidence::crash_evidence(milliseconds quarantineLength)
    : m_quarantineLength(quarantineLength)
    , m_quarantine({quarantineLength, chargeMemory, deathsToQuarantine, maxChance})
{
}

template<typename Map, typename Visit>
void crash_evidence::forReportsOf(Map &reports, content_hash fingerprint, Visit visit)
{
    auto one = reports.lower_bound({fingerprint, target_id()});
    for (; one != reports.end() && one->first.first == fingerprint; ++one) {
        visit(one->first.second, one->second);
    }
}

crash_evidence::report_tally crash_evidence::tallyOf(content_hash fingerprint) const
{
    report_tally tally;
    const auto completed = m_completed.find(fingerprint);
    tally.completed = completed == m_completed.end() ? 0 : completed->second;
    forReportsOf(m_reports, fingerprint, [&tally](const target_id &, const report_state &state) {
        tally.hasOwn = tally.hasOwn || state.isOwn;
        if (state.isAcquitted) {
            tally.acquitted += 1;
            return;
        }
        tally.deaths += 1;
        tally.trials += state.isTrial ? 1 : 0;
        tally.latestAt = std::max(tally.latestAt, state.diedAt);
    });
    return tally;
}

bool crash_evidence::report_tally::isDoubtful() const
{
    return acquitted >= deathsToSuspect && completed < reports();
}

void crash_evidence::updateSuspect(content_hash fingerprint)
{
    const report_tally tally = tallyOf(fingerprint);
    if (tally.deaths >= (tally.isDoubtful() ? deathsToSuspectAgain : deathsToSuspect)) {
        m_suspects.insert_or_assign(fingerprint, tally.latestAt + (tally.trials > 0 ? holdTimeAfterTrial : holdTime));
    } else {
        m_suspects.erase(fingerprint);
    }
    if (tally.reports() == 0) {
        m_completed.erase(fingerprint);
    }
}

std::optional<instant> crash_evidence::heldUntil(content_hash fingerprint) const
{
    const auto found = m_suspects.find(fingerprint);
    return found == m_suspects.end() ? std::nullopt : std::optional(found->second);
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

crash_evidence::report_state *crash_evidence::addReport(instant now, const crash_report &report)
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
    if (m_reports.size() >= maxReports) {
        const auto oldest = std::ranges::min_element(m_reports, {}, [](const auto &entry) {
            return entry.second.forgetAt;
        });
        const content_hash forgotten = oldest->first.first;
        m_reports.erase(oldest);
        updateSuspect(forgotten);
    }
    report_state &state = m_reports[key];
    state.diedAt = now - report.age;
    state.forgetAt = state.diedAt + reportMemory;
    state.isAcquitted = report.isAcquitted;
    state.isTrial = report.isTrial;
    noteDeath(report.target, state.diedAt);
    updateSuspect(report.fingerprint);
    return &state;
}

void crash_evidence::attemptBroke(instant now, const request_id &request, content_hash fingerprint, const target_id &target)
{
    m_quarantine.remember(now, broken_attempt{request, fingerprint, target, {}, {}});
}

crash_news crash_evidence::trialBroke(instant now, content_hash fingerprint, const target_id &target)
{
    const crash_report report{fingerprint, target, false, milliseconds(0), true};
    crash_news news;
    if (report_state *state = addReport(now, report)) {
        state->isOwn = true;
        news.reports.push_back(report);
    }
    return news;
}

void crash_evidence::targetAnswered(const target_id &target)
{
    m_quarantine.takeBroken(target, {});
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
    for (const broken_attempt &broken : m_quarantine.takeBroken(target, {})) {
        const crash_report report{broken.fingerprint, target};
        if (report_state *state = addReport(now, report)) {
            state->isOwn = true;
            news.reports.push_back(report);
        }
        m_reports.at({broken.fingerprint, target}).isDeathSeen = true;
    }
    return news;
}

crash_news crash_evidence::completed(instant now, content_hash fingerprint)
{
    crash_news news;
    if (tallyOf(fingerprint).reports() == 0) {
        return news;
    }
    m_completed[fingerprint] += 1;
    if (tallyOf(fingerprint).isDoubtful()) {
        return news;
    }
    forReportsOf(m_reports, fingerprint, [&](const target_id &target, report_state &state) {
        if (!state.isAcquitted) {
            state.isAcquitted = true;
            const auto age = std::chrono::duration_cast<milliseconds>(now - state.diedAt);
            news.reports.push_back({fingerprint, target, true, age, state.isTrial});
        }
    });
    if (!news.isEmpty()) {
        m_quarantine.clear(fingerprint);
        updateSuspect(fingerprint);
    }
    return news;
}

crash_news crash_evidence::learn(instant now, const crash_news &news)
{
    crash_news unknown;
    for (const crash_report &report : news.reports) {
        const auto retracted = m_retracted.find(report.target);
        if (retracted != m_retracted.end() && now < retracted->second) {
            continue;
        }
        if (report.fingerprint == noRequest) {
            if (noteDeath(report.target, now - report.age)) {
                unknown.reports.push_back(report);
            }
            continue;
        }
        if (addReport(now, report)) {
            unknown.reports.push_back(report);
            continue;
        }
        report_state &state = m_reports.at({report.fingerprint, report.target});
        if (report.isAcquitted && !state.isAcquitted) {
            state.isAcquitted = true;
            m_quarantine.clear(report.fingerprint);
            updateSuspect(report.fingerprint);
            unknown.reports.push_back(report);
        }
    }
    for (const quarantine_report &one : news.quarantines) {
        const std::optional<instant> before = m_quarantine.until(now, one.fingerprint);
        // Ends that differ by a message's way are the same end; without this, VMs would repeat it to each other for ever.
        const bool isLater = !before || now + one.left > *before + settleTime;
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
        news.reports.push_back({fingerprint, target, state.isAcquitted, age, state.isTrial});
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

crash_evidence::cause_map crash_evidence::knownCauses() const
{
    cause_map causes;
    for (const auto &[key, state] : m_reports) {
        const auto &[fingerprint, target] = key;
        if (m_quarantine.ends().contains(fingerprint) || (state.isTrial && !state.isAcquitted)) {
            causes[target].insert(fingerprint);
        }
    }
    return causes;
}

/// Whether a likely cause other than \p except was at \p target.
static bool isExplained(const std::map<target_id, std::set<content_hash>> &causes, const target_id &target, content_hash except)
{
    const auto found = causes.find(target);
    return found != causes.end() && (found->second.size() > 1 || !found->second.contains(except));
}

double crash_evidence::chanceOf(const report_key &key, const wave_span &span, const death_context &context) const
{
    const auto &[fingerprint, target] = key;
    const instant diedAt = m_reports.at(key).diedAt;
    const auto factsOf = [&context](const target_id &one) {
        return context.lookup ? context.lookup(one) : service_facts();
    };
    const service_facts facts = factsOf(target);
    std::size_t others = 0;
    for (const auto &[other, at] : m_deaths) {
        const bool isNear = at >= diedAt - span.before && at <= diedAt + span.after;
        if (!isNear || m_reports.contains({fingerprint, other}) || isExplained(context.causes, other, fingerprint)) {
            continue;
        }
        const service_facts otherFacts = factsOf(other);
        others += facts.targets == 0 || otherFacts.targets == 0 || otherFacts.service == facts.service ? 1 : 0;
    }
    const std::size_t targets = std::max<std::size_t>(facts.targets > 0 ? facts.targets : context.targets, 1);
    return std::clamp(static_cast<double>(others) / static_cast<double>(targets), minChance, 1.0);
}

quarantine_verdict crash_evidence::verdictOn(content_hash fingerprint, instant until) const
{
    const report_tally tally = tallyOf(fingerprint);
    return {fingerprint, until, tally.deaths, tally.trials, tally.hasOwn};
}

std::optional<instant> crash_evidence::convict(instant now, content_hash fingerprint, milliseconds length)
{
    const instant until = now + length;
    return m_quarantine.learn(now, fingerprint, until) ? std::optional(until) : std::nullopt;
}

std::optional<instant> crash_evidence::weighReport(instant now, const report_key &key, const death_context &context)
{
    const auto &[fingerprint, target] = key;
    const report_state &state = m_reports.at(key);
    const bool hasOtherCause = isExplained(context.causes, target, fingerprint);
    const double chance = chanceOf(key, {waveBefore, settleTime}, context);
    if (state.isTrial) {
        const bool isOnlyCause = state.isDeathSeen && !hasOtherCause;
        if ((isOnlyCause && chance <= minChance) || tallyOf(fingerprint).trials >= brokenTrialsToQuarantine) {
            return convict(now, fingerprint, m_quarantineLength);
        }
        if (isOnlyCause && chanceOf(key, {trialWave, trialWave}, context) <= minChance) {
            return convict(now, fingerprint, std::min(shortQuarantine, m_quarantineLength));
        }
    }
    if (hasOtherCause) {
        return std::nullopt;
    }
    const double atLeast = context.lookup ? context.lookup(target).loneChance : 0;
    const auto until = m_quarantine.accuse(now, fingerprint, target, {}, false, std::max(chance, atLeast));
    m_weighed.push_back({fingerprint, target, m_quarantine.accusationsOf(fingerprint).size(), std::max(chance, atLeast)});
    return until;
}

std::vector<quarantine_verdict> crash_evidence::weigh(instant now, std::size_t targets, const service_lookup &lookup)
{
    std::vector<quarantine_verdict> verdicts;
    std::optional<cause_map> causes;
    std::size_t weighed = 0;
    m_weighed.clear();
    for (auto &[key, state] : m_reports) {
        if (weighed >= maxWeighedAtOnce) {
            break;
        }
        if (state.isWeighed || state.isAcquitted || now < state.diedAt + settleTime) {
            continue;
        }
        state.isWeighed = true;
        weighed += 1;
        if (!causes) {
            causes = knownCauses();
        }
        if (const std::optional<instant> until = weighReport(now, key, {targets, lookup, *causes})) {
            verdicts.push_back(verdictOn(key.first, *until));
            causes.reset();
        }
    }
    return verdicts;
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
    return m_quarantine.expire(now);
}

} // namespace fuchsialoom
