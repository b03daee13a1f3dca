/// \file
/// Decides from the reports of deaths which requests are held back, and how long.
#include "fuchsialoom/gateway/crash_evidence.h"

#include "crash_rules.h"

#include <algorithm>
#include <utility>

namespace fuchsialoom
{

/// In place of deathsToSuspect for a request that was suspected before and has completed since, but seldom: it may crash targets
/// only at times.
static constexpr std::size_t deathsToSuspectAgain = 1;
/// Time after a death for which a suspected request isn't sent. Covers the reports and their settling, so that a trial
/// never overtakes the verdict, and fits into the time that callers have for another try.
static constexpr milliseconds holdTime{1000};
/// Hold time after a trial that broke off amid other deaths: longer than most waves of crashes.
static constexpr milliseconds holdTimeAfterTrial{8000};

crash_evidence::report_tally crash_evidence::tallyOf(content_hash fingerprint) const
{
    report_tally tally;
    const auto completed = m_completed.find(fingerprint);
    tally.completed = completed == m_completed.end() ? 0 : completed->second;
    forReportsOf(m_reports, fingerprint, [&tally](const target_id &, const report_state &state) {
        tally.hasOwn = tally.hasOwn || state.isOwn;
        tally.isPart = tally.isPart || state.isPart;
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
    return !isPart && acquitted >= deathsToSuspect && completed < reports();
}

void crash_evidence::updateSuspect(content_hash fingerprint)
{
    const report_tally tally = tallyOf(fingerprint);
    if (tally.deaths >= (tally.isDoubtful() ? deathsToSuspectAgain : deathsToSuspect)) {
        m_suspects.insert_or_assign(fingerprint, suspicion{tally.latestAt, tally.trials, tally.isPart});
    } else {
        m_suspects.erase(fingerprint);
    }
    if (tally.reports() == 0) {
        m_completed.erase(fingerprint);
    }
}

std::vector<content_hash> crash_evidence::rivalsOf(const report_key &key) const
{
    std::vector<content_hash> rivals = m_reports.at(key).beside;
    std::erase_if(rivals, [&](content_hash other) {
        const auto found = m_reports.find({other, key.second});
        return found == m_reports.end() || found->second.isAcquitted || !m_suspects.contains(other);
    });
    return rivals;
}

bool crash_evidence::repeatsATrial(content_hash part, const crash_subjects &subjects) const
{
    bool repeats = false;
    forReportsOf(m_reports, part, [&](const target_id &target, const report_state &state) {
        const bool isBrokenTrial = state.isTrial && !state.isAcquitted;
        repeats = repeats || (isBrokenTrial && std::ranges::all_of(rivalsOf({part, target}), [&subjects](content_hash rival) {
                                  return subjects.contains(rival);
                              }));
    });
    return repeats;
}

instant crash_evidence::holdEnd(content_hash subject, const suspicion &held, const crash_subjects &subjects) const
{
    // A request with only some of the suspects of a broken trial tells them apart.
    if (held.trials == 0 || (held.isPart && !repeatsATrial(subject, subjects))) {
        return held.latestDeathAt + holdTime;
    }
    const bool isTriedOut = held.isPart && held.trials >= brokenTrialsToQuarantine;
    return held.latestDeathAt + (isTriedOut ? m_quarantineLength : holdTimeAfterTrial);
}

std::optional<instant> crash_evidence::heldUntil(const crash_subjects &subjects) const
{
    std::optional<instant> latest;
    for (const content_hash subject : subjects.all()) {
        const auto found = m_suspects.find(subject);
        if (found != m_suspects.end()) {
            const instant end = holdEnd(subject, found->second, subjects);
            latest = latest ? std::max(*latest, end) : end;
        }
    }
    return latest;
}

std::optional<quarantine_match> crash_evidence::quarantineOf(instant now, const crash_subjects &subjects) const
{
    std::optional<quarantine_match> latest;
    for (const content_hash subject : subjects.all()) {
        const std::optional<instant> until = m_quarantine.until(now, subject);
        if (until && (!latest || *until > latest->until)) {
            latest = {subject, *until};
        }
    }
    return latest;
}

} // namespace fuchsialoom
