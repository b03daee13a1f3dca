/// \file
/// What this VM knows of each target.
#include "fuchsialoom/core/target_table.h"

#include "fuchsialoom/support/hash.h"

#include <algorithm>
#include <cassert>

namespace fuchsialoom
{

/// Long enough for the watchers to find a dead target, short enough for one that restarts.
static constexpr seconds avoidLength{2};

// Requests given to a target before its first report. Plain services may never report.
static constexpr std::uint32_t unknownEngineCapacity = 16;
static constexpr std::uint32_t unknownPlainCapacity = 64;

std::uint32_t target_entry::capacity() const
{
    if (report) {
        return report->capacity;
    }
    return listed.kind == target_kind::Engine ? unknownEngineCapacity : unknownPlainCapacity;
}

/// The report counts what was sent before it was taken; ours since then come on top. What we have in
/// flight is certain, whatever the report says.
static void correctLoad(target_entry &entry)
{
    const auto own = static_cast<std::uint32_t>(entry.inFlight.size());
    entry.load = own;
    if (!entry.report) {
        return;
    }
    const instant takenAt = entry.report->takenAt;
    const auto sentSince = static_cast<std::uint32_t>(std::count_if(entry.inFlight.begin(), entry.inFlight.end(), [&](const auto &one) {
        return one.sentAt > takenAt;
    }));
    const std::uint32_t reported = entry.report->running + entry.report->queued;
    const std::uint32_t stillThere = reported - std::min(reported, entry.endedSinceReport);
    entry.load = std::max(own, stillThere + sentSince);
}

target_table::target_table(domain_id ownDomain)
    : m_ownDomain(std::move(ownDomain))
{
}

listing_effect target_table::list(const listed_target &target)
{
    const auto found = m_targets.find(target.id);
    if (found == m_targets.end()) {
        target_entry &entry = m_targets[target.id];
        entry.listed = target;
        entry.spread = hashOf(target.id.text());
        entry.inOwnDomain = target.domain == m_ownDomain;
        index(entry);
        return listing_effect::Joined;
    }
    target_entry &entry = found->second;
    entry.silent = false;
    const bool leaves = target.state == listed_state::Leaving && entry.listed.state == listed_state::Live;
    if (entry.listed != target) {
        unindex(entry);
        entry.listed = target;
        entry.inOwnDomain = target.domain == m_ownDomain;
        index(entry);
    }
    return leaves ? listing_effect::Leaving : listing_effect::Unchanged;
}

void target_table::remove(const target_id &target)
{
    const auto found = m_targets.find(target);
    if (found != m_targets.end()) {
        unindex(found->second);
        m_targets.erase(found);
    }
}

report_effect target_table::report(const load_report &report)
{
    const auto found = m_targets.find(report.target);
    if (found == m_targets.end()) {
        return report_effect::Ignored;
    }
    target_entry &entry = found->second;
    const bool older = entry.report && (report.takenAt <= entry.report->takenAt || report.incarnation < entry.report->incarnation);
    if (older) {
        return report_effect::Ignored;
    }
    const bool restarted = entry.report && report.incarnation > entry.report->incarnation;
    unindex(entry);
    entry.report = report;
    std::sort(entry.report->adapters.begin(), entry.report->adapters.end());
    std::sort(entry.report->streams.begin(), entry.report->streams.end());
    entry.endedSinceReport = 0;
    if (entry.avoidUntil && report.takenAt + avoidLength > *entry.avoidUntil) {
        entry.avoidUntil.reset();
    }
    if (restarted) {
        entry.inFlight.clear();
        entry.accusedInFlight = 0;
    }
    correctLoad(entry);
    index(entry);
    return restarted ? report_effect::Restarted : report_effect::Taken;
}

void target_table::avoid(instant now, const target_id &target)
{
    const auto found = m_targets.find(target);
    if (found != m_targets.end()) {
        found->second.avoidUntil = now + avoidLength;
    }
}

void target_table::setSilent(const target_id &target)
{
    const auto found = m_targets.find(target);
    if (found != m_targets.end()) {
        found->second.silent = true;
    }
}

void target_table::forgive(instant now)
{
    for (auto &[id, entry] : m_targets) {
        if (entry.avoidUntil && *entry.avoidUntil <= now) {
            entry.avoidUntil.reset();
        }
        if (entry.leasedUntil && *entry.leasedUntil <= now) {
            entry.leasedUntil.reset();
        }
    }
}

void target_table::setLeased(const target_id &target, std::optional<instant> until)
{
    const auto found = m_targets.find(target);
    if (found != m_targets.end()) {
        found->second.leasedUntil = until;
    }
}

void target_table::start(const target_id &target, sent_attempt attempt)
{
    const auto found = m_targets.find(target);
    assert(found != m_targets.end() && "attempts start at listed targets only");
    found->second.inFlight.push_back(std::move(attempt));
    correctLoad(found->second);
}

void target_table::end(const target_id &target, const request_id &request)
{
    const auto found = m_targets.find(target);
    if (found == m_targets.end()) {
        return;
    }
    target_entry &entry = found->second;
    const auto attempt = std::find_if(entry.inFlight.begin(), entry.inFlight.end(), [&](const sent_attempt &one) {
        return one.request == request;
    });
    if (attempt == entry.inFlight.end()) {
        return;
    }
    if (entry.report && attempt->sentAt <= entry.report->takenAt) {
        ++entry.endedSinceReport;
    }
    entry.inFlight.erase(attempt);
    correctLoad(entry);
}

void target_table::setAccusedInFlight(const target_id &target, std::uint32_t count)
{
    const auto found = m_targets.find(target);
    if (found != m_targets.end()) {
        found->second.accusedInFlight = count;
    }
}

const target_entry *target_table::find(const target_id &target) const
{
    const auto found = m_targets.find(target);
    return found == m_targets.end() ? nullptr : &found->second;
}

const std::vector<const target_entry *> &target_table::engineHolders(const model_id &model, const version_id &version) const
{
    static const std::vector<const target_entry *> none;
    const auto found = m_holders.find(model_key(model, version));
    return found == m_holders.end() ? none : found->second;
}

void target_table::index(const target_entry &entry)
{
    if (entry.listed.kind == target_kind::Plain) {
        m_plainTargets.push_back(&entry);
        return;
    }
    if (!entry.report) {
        m_unknownEngines.push_back(&entry);
        return;
    }
    for (const resident_model &one : entry.report->models) {
        std::vector<const target_entry *> &holders = m_holders[model_key(one.model, one.version)];
        if (std::find(holders.begin(), holders.end(), &entry) == holders.end()) {
            holders.push_back(&entry);
        }
    }
}

void target_table::unindex(const target_entry &entry)
{
    std::erase(m_plainTargets, &entry);
    std::erase(m_unknownEngines, &entry);
    if (!entry.report) {
        return;
    }
    for (const resident_model &one : entry.report->models) {
        const auto found = m_holders.find(model_key(one.model, one.version));
        if (found == m_holders.end()) {
            continue;
        }
        std::erase(found->second, &entry);
        if (found->second.empty()) {
            m_holders.erase(found);
        }
    }
}

} // namespace fuchsialoom
