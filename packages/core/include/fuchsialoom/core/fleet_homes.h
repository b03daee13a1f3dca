/// \file
/// Which models a domain keeps, as its VMs see it from the fleet's stream. Each domain's leader publishes
/// the domain's capacity there, at once when it changes and anew every `repeatEvery`, so that the same
/// records also show that the domain is led. From them and the settings every VM computes the homes
/// (homes.h). Sans-I/O: records, settings and what targets hold come in; capacities to append and events
/// go out.
///
/// The last copy here of a model that is homed elsewhere may go only where no other domain can be about
/// to rely on it: this VM has watched the fleet for as long as silence takes to show, its reads are
/// recent, the model's homes have been the same for `steadyFor`, and every home shows a copy in a recent
/// report. A home whose leader reads the log as recently knows of its duty by then.
#pragma once

#include "fuchsialoom/core/domain_watch.h"
#include "fuchsialoom/core/homes.h"
#include "fuchsialoom/core/records.h"

#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace fuchsialoom
{

/// \name Events.
/// @{

/// Records of the fleet's stream, in order. `reachedEnd`: there were no more when it was read.
struct fleet_records_read
{
    std::vector<log_entry> entries;
    bool reachedEnd = false;
};
struct fleet_settings_changed
{
    std::vector<model_need> models; ///< in service, with memory that is managed; each once
    std::set<domain_id> domains; ///< that the platform lists with engines
    milliseconds silentAfter{60000};
};
/// What this VM leads now; nothing while another VM leads.
struct capacity_seen
{
    std::optional<domain_capacity> capacity;
};
/// The domains, other than the own, where a target that answered lately reported a copy.
struct copies_seen
{
    std::map<model_id, std::set<domain_id>> domains;
};
struct fleet_time_passed
{
};
/// @}

using fleet_event = std::variant<fleet_records_read, fleet_settings_changed, capacity_seen, copies_seen, fleet_time_passed>;

/// \name Actions.
/// @{

/// Append to the fleet's stream. A lost append needs no answer: it is made anew.
struct append_capacity
{
    domain_capacity capacity;
};
struct fleet_report
{
    timeline_event event;
};
/// @}

using fleet_action = std::variant<append_capacity, fleet_report>;

struct fleet_homes_options
{
    milliseconds repeatEvery{10000}; ///< between two records of a capacity that doesn't change
    milliseconds settleFor{3000}; ///< a capacity that grew has to last this long; one that fell, `silentAfter`
    milliseconds steadyFor{30000}; ///< homes have to last this long before others' copies give way to them
    milliseconds readWithin{10000}; ///< an older read of the stream's end is no ground to let a copy go
};

/// What a domain owes to a model.
struct model_duty
{
    bool homed = true; ///< to be kept here
    std::uint32_t copies = 1; ///< to be kept here while homed
    bool mayGo = false; ///< the last copy here isn't needed: every home has one

    friend bool operator==(const model_duty &, const model_duty &) = default;
};

class fleet_homes
{
public:
    explicit fleet_homes(domain_id domain, fleet_homes_options options = {});

    std::vector<fleet_action> step(instant now, const fleet_event &event);

    /// Whether the end of the stream was read. Before that, what others published isn't known, and there
    /// is no ground to plan.
    bool hasRead() const
    {
        return m_firstRead.has_value();
    }

    /// Whether homes can be told: every listed domain has published its capacity, or had the time to.
    /// Before that a domain keeps every model.
    bool isKnown() const
    {
        return m_known;
    }

    /// What this domain owes to \p model with \p replicas copies over all domains. Where homes aren't
    /// known, or no domain has memory for the model, every domain keeps what it can of it.
    model_duty dutyOf(const model_id &model, std::uint32_t replicas, instant now) const;

    const homes_plan &homes() const
    {
        return m_homes;
    }

private:
    void handle(const fleet_records_read &event);
    void handle(const fleet_settings_changed &event);
    void handle(const capacity_seen &event);
    void handle(const copies_seen &event);
    void handle(const fleet_time_passed &event);

    void fold(const domain_capacity &capacity);
    void replan();
    bool mayKnow() const;
    void noteChanges(const homes_plan &before);
    void publish();
    domain_capacity settled();
    bool watchedLongEnough(instant now) const;
    bool mayGo(const model_homes &homes, instant now) const;
    milliseconds leaseShown() const;

    const domain_id m_domain;
    const fleet_homes_options m_options;
    fleet_settings_changed m_settings;
    domain_watch m_watch;
    std::map<domain_id, domain_capacity> m_capacities; ///< the last valid record of each domain; fences never decrease
    homes_input m_input; ///< for which `m_homes` was computed
    homes_plan m_homes;
    std::map<model_id, instant> m_changedAt; ///< when the homes of a model last changed
    std::map<model_id, std::set<domain_id>> m_copies; ///< in other domains
    std::optional<domain_capacity> m_own; ///< what this VM leads now
    std::optional<domain_capacity> m_candidate; ///< seen to differ from the published one
    instant m_candidateSince{};
    std::optional<instant> m_publishedAt; ///< by this VM
    std::optional<instant> m_firstRead; ///< when the end of the stream was first read
    std::optional<instant> m_lastRead; ///< when it was last read
    bool m_known = false; ///< once true it stays true

    /// \name Valid during step() alone.
    /// @{
    instant m_now{};
    std::vector<fleet_action> m_actions;
    /// @}
};

} // namespace fuchsialoom
