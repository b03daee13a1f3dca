/// \file
/// What this VM knows of each target: how it is listed, the newest load report, and what this VM sent
/// there since. Nothing here decides; the router reads it.
#pragma once

#include "fuchsialoom/core/targets.h"

#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace fuchsialoom
{

/// An attempt of this VM that is in progress at a target.
struct sent_attempt
{
    request_id request;
    content_hash fingerprint;
    instant sentAt;
};

/// One target. Read-only outside target_table.
struct target_entry
{
    listed_target listed;
    std::optional<load_report> report; ///< `adapters` and `streams` are sorted; none until the first report
    std::vector<sent_attempt> inFlight; ///< attempts of this VM, oldest first
    std::uint32_t endedSinceReport = 0; ///< attempts that the report counts and that ended after it
    std::uint32_t load = 0; ///< the report's load corrected by our sends and ends; never below inFlight
    std::uint32_t accusedInFlight = 0; ///< attempts in progress whose request is accused
    content_hash spread; ///< hash of the id, for ties
    /// It took no connection; until then, or until a newer report, others are preferred.
    std::optional<instant> avoidUntil;
    /// Its lease is asked for, or was not granted: until then no other accused request asks for it.
    std::optional<instant> leasedUntil;
    bool inOwnDomain = false;
    bool silent = false; ///< answers none of its watchers: what runs there goes on, nothing new is sent

    bool takesNew() const
    {
        return listed.state == listed_state::Live && !silent;
    }

    incarnation_number incarnation() const
    {
        return report ? report->incarnation : incarnation_number();
    }

    /// Streams that run together; a guess before the first report.
    std::uint32_t capacity() const;

    /// A leaving target takes nothing new from the moment that we see it leave; `leaving-grace-ms` is
    /// only the upper limit for that.
    bool hasRoom() const
    {
        return takesNew() && load < capacity();
    }
};

enum class listing_effect {
    Joined,
    Leaving, ///< from now on
    Unchanged,
};

enum class report_effect {
    Ignored, ///< of an unlisted target, or older than what is known
    Taken,
    Restarted, ///< taken; the streams of the incarnation before it are lost
};

class target_table
{
public:
    explicit target_table(domain_id ownDomain);

    listing_effect list(const listed_target &target);
    void remove(const target_id &target);

    /// Takes in \p report unless an equally new or newer one of the target is known.
    report_effect report(const load_report &report);

    void start(const target_id &target, sent_attempt attempt);

    /// The attempt that \p request had in progress at \p target is over. Does nothing when there is none.
    void end(const target_id &target, const request_id &request);

    /// \p target answers none of its watchers, until it is listed again.
    void setSilent(const target_id &target);

    /// \p target took no connection at \p now.
    void avoid(instant now, const target_id &target);

    /// Another accused request has the lease of \p target until then, as far as known; nothing: none has.
    void setLeased(const target_id &target, std::optional<instant> until);

    /// Ends what is over of avoid() and setLeased().
    void forgive(instant now);

    void setAccusedInFlight(const target_id &target, std::uint32_t count);

    const target_entry *find(const target_id &target) const;

    /// Engines that hold exactly this version of the model, as far as reported.
    const std::vector<const target_entry *> &engineHolders(const model_id &model, const version_id &version) const;

    /// Engines of which no report is known.
    const std::vector<const target_entry *> &unknownEngines() const
    {
        return m_unknownEngines;
    }

    const std::vector<const target_entry *> &plainTargets() const
    {
        return m_plainTargets;
    }

    const std::map<target_id, target_entry> &all() const
    {
        return m_targets;
    }

private:
    using model_key = std::pair<model_id, version_id>;

    void index(const target_entry &entry);
    void unindex(const target_entry &entry);

    domain_id m_ownDomain;
    std::map<target_id, target_entry> m_targets; ///< nodes don't move, so the indices below point into it
    /// Each target is in exactly one of: holders of its models (engine with a report), unknown engines, plain.
    std::map<model_key, std::vector<const target_entry *>> m_holders;
    std::vector<const target_entry *> m_unknownEngines;
    std::vector<const target_entry *> m_plainTargets;
};

} // namespace fuchsialoom
