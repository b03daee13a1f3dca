/// \file
/// Who watches which target, and what is known of each from all watchers together. A target of the own
/// domain is watched by two of its VMs. Whoever misses reports of a target tries it itself before it
/// counts it as lost, so that a target which answers one VM stays known to all.
#pragma once

#include "fuchsialoom/core/targets.h"
#include "fuchsialoom/support/timeline_event.h"

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace fuchsialoom
{

// Events.

/// The targets of the own domain by the platform's list, or by the process options.
struct targets_listed
{
    std::vector<listed_target> targets;
};

/// The VMs that share the watch, see membership::dutyHolders().
struct watchers_known
{
    std::vector<vm_id> watchers; ///< ordered
    bool stale = false; ///< the own process was paused and has heard nothing since
};

/// A probe of this VM was answered.
struct probe_answered
{
    load_report report;
};

struct probe_failed
{
    target_id target;
};

/// A peer's digest carried this.
struct report_learned
{
    load_report report;
    instant answeredAt; ///< when the target last answered that peer
};

struct watch_rules_changed
{
    milliseconds suspectAfter{2000};
};

/// Posted once every heartbeat interval: asks for the probes to make and judges silence.
struct watch_due
{
};

using watch_event =
    std::variant<targets_listed, watchers_known, probe_answered, probe_failed, report_learned, watch_rules_changed, watch_due>;

// Actions.

struct watch_actions
{
    std::vector<listed_target> probes; ///< targets to ask now, the surest to answer first
    std::vector<listed_target> listed; ///< new, changed or found again
    std::vector<target_id> lost; ///< not listed any more
    std::vector<target_id> silent;
    std::vector<load_report> reports; ///< newer than what was known
    std::vector<timeline_event> events;
};

/// A target as this VM knows it.
struct watched_target
{
    listed_target target;
    std::vector<vm_id> watchers;
    std::optional<load_report> report;
    std::optional<instant> answeredAt; ///< by any VM
    std::optional<instant> answeredHereAt; ///< by this VM
    bool lost = false; ///< silent
};

class watch_plan
{
public:
    watch_plan(vm_id self, milliseconds suspectAfter);

    watch_actions step(instant now, const watch_event &event);

    /// Every target listed, ordered by name.
    std::vector<watched_target> targets() const;

    /// What this VM found out itself and lately, and the target's first watcher has not just told: its part
    /// of what the digests share.
    std::vector<watched_target> foundHere(instant now) const;

private:
    struct target_record
    {
        watched_target known; ///< the report's incarnation never decreases
        instant judgedFrom; ///< silence before this says nothing
        instant toldUntil{}; ///< deadline of a peer's word on the target, while which others may keep silent
        bool triedInVain = false; ///< the last probe from here failed
    };

    void handle(instant now, const targets_listed &event, watch_actions &actions);
    void handle(instant now, const watchers_known &event, watch_actions &actions);
    void handle(instant now, const probe_answered &event, watch_actions &actions);
    void handle(instant now, const probe_failed &event, watch_actions &actions);
    void handle(instant now, const report_learned &event, watch_actions &actions);
    void handle(instant now, const watch_rules_changed &event, watch_actions &actions);
    void handle(instant now, const watch_due &event, watch_actions &actions);

    void addListed(instant now, const listed_target &target, watch_actions &actions);
    void assignWatchers(target_record &record) const;
    bool merge(target_record &record, const load_report &report, instant answeredAt, watch_actions &actions) const;
    instant lastSignOf(const target_record &record) const;
    bool isLeftToOthers(instant now, const target_record &record) const;
    bool isProbedHere(instant now, const target_record &record) const;
    void judge(instant now, target_record &record, watch_actions &actions) const;

    const vm_id m_self;
    milliseconds m_suspectAfter;
    std::vector<std::string> m_watchers; ///< ordered; never empty
    bool m_stale = false;
    std::map<target_id, target_record> m_targets;
    std::optional<instant> m_lastRound;
    std::uint64_t m_round = 0;
};

} // namespace fuchsialoom
