/// \file
/// Decides from the reports of deaths which requests, and which parts of prompts, are quarantined.
#include "fuchsialoom/gateway/crash_evidence.h"

#include "crash_rules.h"

#include <algorithm>

namespace fuchsialoom
{

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
/// Reports weighed in one call, so that the event loop isn't held up where very many targets die at once.
static constexpr std::size_t maxWeighedAtOnce = 256;

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

bool crash_evidence::isExplained(const cause_map &causes, const report_key &key) const
{
    const auto found = causes.find(key.second);
    const auto own = m_reports.find(key);
    return found != causes.end() && std::ranges::any_of(found->second, [&](content_hash cause) {
               if (cause == key.first) {
                   return false;
               }
               const auto other = m_reports.find({cause, key.second});
               const bool isQuarantinedPart = other != m_reports.end() && other->second.isPart && m_quarantine.ends().contains(cause);
               const bool isBeside = own != m_reports.end() && std::ranges::find(own->second.beside, cause) != own->second.beside.end();
               return isQuarantinedPart || !isBeside;
           });
}

double crash_evidence::chanceOf(const report_key &key, const wave_span &span, const death_context &context) const
{
    const auto &[fingerprint, target] = key;
    const report_state &state = m_reports.at(key);
    const instant diedAt = state.diedAt;
    const auto factsOf = [&context](const target_id &one) {
        return context.lookup ? context.lookup(one) : service_facts();
    };
    const service_facts facts = factsOf(target);
    std::size_t others = 0;
    for (const auto &[other, at] : m_deaths) {
        const bool isNear = at >= diedAt - span.before && at <= diedAt + span.after;
        // A part may have been in several requests that a wave ended.
        const bool isOwn = other == target || (!state.isPart && m_reports.contains({fingerprint, other}));
        if (!isNear || isOwn || context.causes.contains(other)) {
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
    return {fingerprint, tally.isPart, until, tally.deaths, tally.trials, tally.hasOwn};
}

std::optional<instant> crash_evidence::convict(instant now, content_hash fingerprint, milliseconds length)
{
    const instant until = now + length;
    return m_quarantine.learn(now, fingerprint, until) ? std::optional(until) : std::nullopt;
}

std::size_t crash_evidence::conclusiveTrials(content_hash subject) const
{
    std::size_t trials = 0;
    forReportsOf(m_reports, subject, [&](const target_id &target, const report_state &state) {
        const bool hasRivals = state.isPart && !rivalsOf({subject, target}).empty();
        trials += state.isTrial && !state.isAcquitted && !hasRivals ? 1 : 0;
    });
    return trials;
}

std::optional<instant> crash_evidence::weighTrial(instant now, const report_key &key, const death_context &context, double chance)
{
    const content_hash subject = key.first;
    const report_state &state = m_reports.at(key);
    const bool isOnlyCause = state.isDeathSeen && !isExplained(context.causes, key);
    if ((isOnlyCause && chance <= minChance) || conclusiveTrials(subject) >= brokenTrialsToQuarantine) {
        return convict(now, subject, m_quarantineLength);
    }
    // A sound part that is refused costs more than a second trial: other requests have it too.
    if (isOnlyCause && !state.isPart && chanceOf(key, {trialWave, trialWave}, context) <= minChance) {
        return convict(now, subject, std::min(shortQuarantine, m_quarantineLength));
    }
    return std::nullopt;
}

std::optional<instant> crash_evidence::weighReport(instant now, const report_key &key, const death_context &context)
{
    const auto &[subject, target] = key;
    report_state &state = m_reports.at(key);
    const double chance = chanceOf(key, {waveBefore, settleTime}, context);
    // A request may run as a trial of its part, without being suspected itself.
    const bool isOnTrial = state.isTrial && tallyOf(subject).reports() > deathsToSuspect;
    if (state.isPart) {
        state.isWeighed = !isOnTrial || rivalsOf(key).empty();
        return isOnTrial && state.isWeighed ? weighTrial(now, key, context, chance) : std::nullopt;
    }
    if (isOnTrial) {
        if (const std::optional<instant> until = weighTrial(now, key, context, chance)) {
            return until;
        }
    }
    if (isExplained(context.causes, key)) {
        return std::nullopt;
    }
    const double atLeast = context.lookup ? context.lookup(target).loneChance : 0;
    const auto until = m_quarantine.accuse(now, subject, target, {}, false, std::max(chance, atLeast));
    m_weighed.push_back({subject, target, m_quarantine.accusationsOf(subject).size(), std::max(chance, atLeast)});
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

} // namespace fuchsialoom
