/// \file
/// Finds the requests that crash the targets which run them, over all VMs. Every VM reports which requests were about to
/// run at a target when its process died, and weighs the reports of all VMs alike. A request that was at several deaths is
/// held back and then runs alone, as a trial. It is quarantined when chance doesn't explain its deaths, when its trial ends with
/// the only target that dies then (for a short time if others die a moment earlier or later), or when a second trial breaks off,
/// which bounds the deaths however many targets die for other reasons.
///
/// A part of the prompt that several requests share is a subject like a request. One run shows that it is sound. It is quarantined
/// by trials alone, of requests with no other suspect in them. Sans-I/O.
#pragma once

#include "fuchsialoom/core/quarantine.h"
#include "fuchsialoom/fleet/crash_news.h"
#include "fuchsialoom/gateway/crash_subjects.h"
#include "fuchsialoom/gateway/sound_parts.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace fuchsialoom
{

/// A quarantine that this VM's own weighing of the reports began or prolonged.
struct quarantine_verdict
{
    content_hash fingerprint; ///< of the request, or its part
    bool isPart = false;
    instant until{};
    std::size_t deaths = 0; ///< reported, acquittals left out
    std::size_t trials = 0; ///< of these, those at which it ran as a trial
    bool isOwn = false; ///< this VM made one of the reports, so it tells the others
};

/// Why a request is refused.
struct quarantine_match
{
    content_hash subject; ///< the request or one of its parts
    instant until{};
};

/// How a death counted against a request that was there.
struct weighed_death
{
    content_hash fingerprint;
    target_id target;
    std::size_t deaths = 0; ///< that count against the request, this one included
    double chance = 1; ///< that the request was at this one without causing it
};

/// What is known of the service of a target that died.
struct service_facts
{
    service_id service;
    std::size_t targets = 0; ///< 0: the service isn't known
    double loneChance = 0; ///< probability that a request in progress at the service is about to begin at one of its targets
};
using service_lookup = std::function<service_facts(const target_id &)>;

class crash_evidence
{
public:
    explicit crash_evidence(milliseconds quarantineLength);

    /// \name What this VM sees of its own attempts.
    /// @{
    /// The connection to \p target broke before a request was known to run there. Nothing follows unless the target's
    /// process turns out to be dead.
    void attemptBroke(instant now, const crash_subjects &subjects, const target_id &target);
    /// A trial of the request ended without an answer, and \p target is dead or out of reach. Counts like a death. \return the
    /// report.
    crash_news trialBroke(instant now, const crash_subjects &subjects, const target_id &target);
    /// The process answered, so only connections broke.
    void targetAnswered(const target_id &target);
    /// A VM reached the target after another one was refused by its host, so it didn't die: drops what was reported of it.
    void retract(instant now, const target_id &target);
    /// Nothing listens at the target's address any more. \return the reports of what broke there, for all VMs.
    crash_news targetDied(instant now, const target_id &target);
    /// A request ran to its end. \return the acquittals of what it was reported for, for all VMs; none if it is doubtful whether
    /// it crashes targets at times.
    crash_news completed(instant now, content_hash fingerprint);
    /// A request with \p parts in its prompt has begun to run well. \return their acquittals, for all VMs.
    crash_news partsRan(instant now, const std::vector<content_hash> &parts);
    /// @}

    /// Adds what another VM, or the store, knows. \return the part of it that wasn't known here.
    crash_news learn(instant now, const crash_news &news);
    /// Acquittals of parts that others reported and that ran here lately, for all VMs; since the last call.
    crash_news takeExcuses()
    {
        return std::exchange(m_excuses, {});
    }
    /// Everything that still holds.
    crash_news known(instant now) const;

    /// Weighs the reports of deaths that are old enough for those of other deaths to have arrived; to be called
    /// periodically. \p targets: number of targets in the deployment, for those whose service isn't known.
    std::vector<quarantine_verdict> weigh(instant now, std::size_t targets, const service_lookup &lookup = {});

    /// What weigh() counted since the last call.
    std::vector<weighed_death> takeWeighed()
    {
        return std::exchange(m_weighed, {});
    }

    /// Forgets what is over. \return the fingerprints whose quarantine ended.
    std::vector<content_hash> expire(instant now);

    /// Whether any request is quarantined; until() needn't be asked otherwise.
    bool hasQuarantines() const
    {
        return !m_quarantine.ends().empty();
    }
    /// The latest quarantine of the request or of one of its parts, or nothing.
    std::optional<quarantine_match> quarantineOf(instant now, const crash_subjects &subjects) const;
    /// Until when a request that was at several deaths, or one of whose parts was, may not be sent to any target. If that time has
    /// passed, it may be sent as a trial; see suspect_trials. Nothing if it isn't suspected.
    std::optional<instant> heldUntil(const crash_subjects &subjects) const;
    /// Whether any request is held back or on trial; heldUntil() needn't be asked otherwise.
    bool hasSuspects() const
    {
        return !m_suspects.empty();
    }
    std::size_t suspectCount() const
    {
        return m_suspects.size();
    }
    const std::map<content_hash, instant> &quarantines() const
    {
        return m_quarantine.ends();
    }
    bool isKnownDead(const target_id &target) const
    {
        return m_deaths.contains(target);
    }
    /// Whether any request is suspected; completed() needn't be told otherwise.
    bool hasReports() const
    {
        return !m_reports.empty();
    }
    std::size_t reportCount() const
    {
        return m_reports.size();
    }

private:
    struct broken_request
    {
        crash_subjects subjects;
        target_id target;
        instant forgetAt{};
    };
    struct report_state
    {
        instant diedAt{};
        instant forgetAt{};
        bool isPart = false;
        /// Of a request: its parts. Of a part: the subjects that were with it in every request that was about to run there.
        std::vector<content_hash> beside{};
        bool isOwn = false;
        bool isAcquitted = false;
        bool isWeighed = false;
        bool isTrial = false;
        bool isDeathSeen = false; ///< by this VM; the target of a trial may be out of reach instead
    };
    /// Reports of a request. Deaths with another known cause are counted too, since a request that isn't their cause passes
    /// its first trial.
    struct report_tally
    {
        std::size_t acquitted = 0; ///< deaths before its latest run to the end; counted nowhere else
        std::size_t deaths = 0;
        std::size_t trials = 0;
        std::size_t completed = 0; ///< its runs at this VM since the first report
        instant latestAt{};
        bool hasOwn = false;
        bool isPart = false;

        std::size_t reports() const
        {
            return acquitted + deaths;
        }
        /// Whether a request was suspected before and has completed less often than targets died with it. It may crash them only
        /// at times, so a run to the end proves nothing.
        bool isDoubtful() const;
    };
    using report_key = std::pair<content_hash, target_id>;
    using report_map = std::map<report_key, report_state>;

    using cause_map = std::map<target_id, std::set<content_hash>>; ///< subjects on trial or quarantined that were at each dead target

    struct suspicion
    {
        instant latestDeathAt{};
        std::size_t trials = 0;
        bool isPart = false;
    };

    /// Around a death: the others in it may have the same cause.
    struct wave_span
    {
        milliseconds before;
        milliseconds after;
    };

    /// What the weighing of one report depends on besides the report.
    struct death_context
    {
        std::size_t targets = 0;
        const service_lookup &lookup;
        const cause_map &causes;
    };

    template<typename Map, typename Visit>
    static void forReportsOf(Map &reports, content_hash subject, Visit visit)
    {
        auto one = reports.lower_bound({subject, target_id()});
        for (; one != reports.end() && one->first.first == subject; ++one) {
            visit(one->first.second, one->second);
        }
    }
    /// \return whether it wasn't known.
    bool noteDeath(const target_id &target, instant diedAt);
    std::vector<broken_request> takeBroken(const target_id &target);
    void makeRoomForReport();
    /// Adds the report of a request and of its parts. \p excuses: takes the acquittals of parts that ran lately.
    /// \return nothing if the report was known, also as one of a trial.
    report_state *addReport(instant now, const crash_report &report, crash_news &excuses);
    report_state *addOneReport(instant now, const crash_report &report, bool isPart);
    void addPartReport(instant now, const crash_report &report, content_hash part, crash_news &excuses);
    /// \return whether it is news that \p report acquits a part.
    bool addPartAcquittal(instant now, const crash_report &report);
    /// \return whether \p report, which was known, acquits its request and that is news.
    bool acquitRequest(const crash_report &report);
    /// \return the acquittals of the reports of \p subject that weren't acquitted.
    std::vector<crash_report> acquit(instant now, content_hash subject);
    /// Suspects that were with a part in the requests at the target of \p key, and that nothing acquits.
    std::vector<content_hash> rivalsOf(const report_key &key) const;
    /// Whether a request with \p subjects has all the suspects of a trial of \p part that broke off.
    bool repeatsATrial(content_hash part, const crash_subjects &subjects) const;
    instant holdEnd(content_hash subject, const suspicion &held, const crash_subjects &subjects) const;
    cause_map knownCauses() const;
    /// Whether a likely cause of the death of the target of \p key is another subject, and not one of the same request, unless that
    /// is a quarantined part.
    bool isExplained(const cause_map &causes, const report_key &key) const;
    /// Probability that a request which causes no deaths was at one of the service's targets that died within \p span of the
    /// reported death, this one included. Deaths that have a known cause don't count.
    double chanceOf(const report_key &key, const wave_span &span, const death_context &context) const;
    /// Quarantines a request whose trials broke off. \return the end, if that is news.
    std::optional<instant> convict(instant now, content_hash fingerprint, milliseconds length);
    report_tally tallyOf(content_hash fingerprint) const;
    /// To be called after each change of the reports of \p fingerprint.
    void updateSuspect(content_hash fingerprint);
    /// \return the end of the quarantine if the report begins or prolongs one.
    std::optional<instant> weighReport(instant now, const report_key &key, const death_context &context);
    /// Broken trials of \p subject; of a part, those in which nothing else was suspected.
    std::size_t conclusiveTrials(content_hash subject) const;
    /// \return the end of the quarantine if the trial that broke off begins one.
    std::optional<instant> weighTrial(instant now, const report_key &key, const death_context &context, double chance);
    quarantine_verdict verdictOn(content_hash fingerprint, instant until) const;

    milliseconds m_quarantineLength;
    quarantine m_quarantine;
    report_map m_reports; ///< bounded: the one that is forgotten first makes room
    std::map<target_id, instant> m_deaths; ///< bounded: the oldest makes room
    std::map<target_id, instant> m_retracted; ///< targets that didn't die, until reports of it that are under way have arrived
    std::map<content_hash, std::size_t> m_completed; ///< runs of requests that have reports
    std::map<content_hash, suspicion> m_suspects; ///< derived from m_reports
    std::vector<broken_request> m_broken; ///< whose targets aren't known to be dead; oldest first; bounded
    sound_parts m_soundParts;
    crash_news m_excuses; ///< since takeExcuses()
    std::vector<weighed_death> m_weighed; ///< bounded: cleared by each weigh()
};

} // namespace fuchsialoom
