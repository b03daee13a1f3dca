/// \file
/// Who watches which target, and what is known of each.
#include "fuchsialoom/core/watch_plan.h"

#include "fuchsialoom/support/hash.h"

#include <algorithm>
#include <set>
#include <utility>

namespace fuchsialoom
{

static constexpr std::size_t watchersPerTarget = 2;
/// A lost target is tried once in so many rounds by its watchers, and less often by everyone else: it may
/// answer one of those alone.
static constexpr std::uint64_t lostEvery = 2;
static constexpr std::uint64_t lostElsewhereEvery = 8;
/// A peer's word on a target spares others theirs for this part of the span after which it is suspected.
static constexpr int toldPart = 3;

watch_plan::watch_plan(vm_id self, milliseconds suspectAfter)
    : m_self(std::move(self))
    , m_suspectAfter(suspectAfter)
    , m_watchers{m_self.text()}
{
}

watch_actions watch_plan::step(instant now, const watch_event &event)
{
    watch_actions actions;
    std::visit(
        [&](const auto &what) {
            handle(now, what, actions);
        },
        event);
    return actions;
}

void watch_plan::handle(instant now, const targets_listed &event, watch_actions &actions)
{
    std::set<target_id> present;
    for (const listed_target &target : event.targets) {
        present.insert(target.id);
        addListed(now, target, actions);
    }
    for (auto place = m_targets.begin(); place != m_targets.end();) {
        if (present.contains(place->first)) {
            ++place;
            continue;
        }
        actions.lost.push_back(place->first);
        actions.events.push_back(timeline_event(event_kind::TargetGone, place->first.text()).with(event_field::Cause, "not listed"));
        place = m_targets.erase(place);
    }
}

void watch_plan::addListed(instant now, const listed_target &target, watch_actions &actions)
{
    const auto [place, isNew] = m_targets.try_emplace(target.id);
    target_record &record = place->second;
    if (isNew) {
        record.judgedFrom = now;
        record.known.target.id = target.id;
        assignWatchers(record);
    } else if (record.known.target == target) {
        return;
    }
    record.known.target = target;
    if (!record.known.lost) {
        actions.listed.push_back(target);
    }
}

void watch_plan::assignWatchers(target_record &record) const
{
    record.known.watchers.clear();
    for (const std::size_t index : rendezvous(record.known.target.id.text(), m_watchers, watchersPerTarget)) {
        record.known.watchers.emplace_back(m_watchers[index]);
    }
}

void watch_plan::handle(instant now, const watchers_known &event, watch_actions &)
{
    m_stale = event.stale;
    std::vector<std::string> watchers;
    for (const vm_id &vm : event.watchers) {
        watchers.push_back(vm.text());
    }
    if (watchers.empty()) {
        watchers.push_back(m_self.text());
    }
    if (watchers == m_watchers) {
        return;
    }
    m_watchers = std::move(watchers);
    for (auto &[id, record] : m_targets) {
        const std::vector<vm_id> before = record.known.watchers;
        assignWatchers(record);
        if (record.known.watchers != before) {
            record.judgedFrom = now;
        }
    }
}

/// Takes in \p report if it is newer. \return whether the target counts as answering by it.
bool watch_plan::merge(target_record &record, const load_report &report, instant answeredAt, watch_actions &actions) const
{
    std::optional<load_report> &known = record.known.report;
    if (known && report.incarnation < known->incarnation) {
        return false;
    }
    const bool restarted = known && known->incarnation < report.incarnation;
    if (restarted) {
        actions.events.push_back(
            timeline_event(event_kind::TargetRestarted, report.target.text()).with(event_field::Incarnation, report.incarnation));
    }
    if (!known || restarted || known->takenAt < report.takenAt) {
        known = report;
        actions.reports.push_back(report);
    }
    record.known.answeredAt = std::max(record.known.answeredAt, std::optional(answeredAt));
    return true;
}

void watch_plan::handle(instant now, const probe_answered &event, watch_actions &actions)
{
    const auto found = m_targets.find(event.report.target);
    if (found == m_targets.end()) {
        return;
    }
    target_record &record = found->second;
    record.triedInVain = false;
    if (merge(record, event.report, now, actions)) {
        record.known.answeredHereAt = now;
        judge(now, record, actions);
    }
}

void watch_plan::handle(instant now, const probe_failed &event, watch_actions &actions)
{
    const auto found = m_targets.find(event.target);
    if (found != m_targets.end()) {
        found->second.triedInVain = true;
        judge(now, found->second, actions);
    }
}

void watch_plan::handle(instant now, const report_learned &event, watch_actions &actions)
{
    const auto found = m_targets.find(event.report.target);
    if (found == m_targets.end()) {
        return;
    }
    if (merge(found->second, event.report, std::min(event.answeredAt, now), actions)) {
        found->second.toldUntil = std::max(found->second.toldUntil, std::min(event.answeredAt, now) + m_suspectAfter / toldPart);
        judge(now, found->second, actions);
    }
}

void watch_plan::handle(instant, const watch_rules_changed &event, watch_actions &)
{
    m_suspectAfter = event.suspectAfter;
}

instant watch_plan::lastSignOf(const target_record &record) const
{
    return std::max(record.known.answeredAt.value_or(instant::min()), record.judgedFrom);
}

/// Its watchers probe a target, and everyone who has missed its reports for half the span.
bool watch_plan::isProbedHere(instant now, const target_record &record) const
{
    const watched_target &known = record.known;
    if (known.target.kind != target_kind::Engine) {
        return false;
    }
    const bool isWatcher = std::find(known.watchers.begin(), known.watchers.end(), m_self) != known.watchers.end();
    if (known.lost) {
        return m_round % (isWatcher ? lostEvery : lostElsewhereEvery) == 0;
    }
    return isWatcher || now - lastSignOf(record) >= m_suspectAfter / 2;
}

void watch_plan::judge(instant now, target_record &record, watch_actions &actions) const
{
    watched_target &known = record.known;
    if (known.target.kind != target_kind::Engine) {
        return;
    }
    const bool silent = now - lastSignOf(record) >= m_suspectAfter;
    if (known.lost) {
        const bool answers = known.answeredAt && now - *known.answeredAt < m_suspectAfter;
        if (answers) {
            known.lost = false;
            actions.listed.push_back(known.target);
            actions.events.push_back(
                timeline_event(event_kind::TargetJoined, known.target.id.text()).with(event_field::Cause, "answers again"));
            if (known.report) {
                actions.reports.push_back(*known.report);
            }
        }
        return;
    }
    if (silent && record.triedInVain && !m_stale) {
        known.lost = true;
        actions.silent.push_back(known.target.id);
        actions.events.push_back(timeline_event(event_kind::TargetGone, known.target.id.text()).with(event_field::Cause, "silent"));
    }
}

void watch_plan::handle(instant now, const watch_due &, watch_actions &actions)
{
    if (m_lastRound && now - *m_lastRound > m_suspectAfter) {
        // The own process was paused: that nothing came in meanwhile says nothing of the targets.
        for (auto &[id, record] : m_targets) {
            record.judgedFrom = now;
            record.triedInVain = false;
        }
    }
    m_lastRound = now;
    std::vector<listed_target> doubtful;
    for (auto &[id, record] : m_targets) {
        judge(now, record, actions);
        if (isProbedHere(now, record)) {
            (record.triedInVain ? doubtful : actions.probes).push_back(record.known.target);
        }
    }
    actions.probes.insert(actions.probes.end(), doubtful.begin(), doubtful.end());
    ++m_round;
}

std::vector<watched_target> watch_plan::targets() const
{
    std::vector<watched_target> all;
    for (const auto &[id, record] : m_targets) {
        all.push_back(record.known);
    }
    return all;
}

/// Whether peers have heard of the target from another VM just now; its first watcher speaks always.
bool watch_plan::isLeftToOthers(instant now, const target_record &record) const
{
    const std::vector<vm_id> &watchers = record.known.watchers;
    const bool isFirst = !watchers.empty() && watchers.front() == m_self;
    return !isFirst && now < record.toldUntil;
}

std::vector<watched_target> watch_plan::foundHere(instant now) const
{
    std::vector<watched_target> found;
    for (const auto &[id, record] : m_targets) {
        const watched_target &known = record.known;
        const bool isFoundHere = known.report && known.answeredHereAt && now - *known.answeredHereAt < m_suspectAfter;
        if (isFoundHere && !isLeftToOthers(now, record)) {
            found.push_back(known);
        }
    }
    return found;
}

} // namespace fuchsialoom
