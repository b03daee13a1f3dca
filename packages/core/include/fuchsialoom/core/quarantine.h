/// \file
/// Which requests may have killed targets, by fingerprint. Accused by two target processes, a
/// fingerprint is quarantined: refused everywhere for a time.
#pragma once

#include "fuchsialoom/core/requests.h"

#include <map>
#include <optional>
#include <vector>

namespace fuchsialoom
{

/// An attempt whose connection broke while its target was not known to be dead.
struct broken_attempt
{
    request_id request;
    content_hash fingerprint;
    target_id target;
    incarnation_number incarnation;
    instant forgetAt;
    bool unjudged = false; ///< counts among the unjudged attempts of its request
};

/// When a fingerprint is quarantined, and what is remembered.
struct quarantine_rules
{
    milliseconds length{0}; ///< of a quarantine
    milliseconds memory{0}; ///< how long an accusation counts after the latest one
    std::size_t deaths = 2; ///< target processes that died with the fingerprint on them
    /// Upper bound of the probability that all of these deaths had the fingerprint on them by chance.
    double maxChance = 1;
};

class quarantine
{
public:
    explicit quarantine(quarantine_rules rules);
    /// Two deaths suffice, and count for as long as a quarantine lasts.
    explicit quarantine(milliseconds length);

    /// Holds for what is quarantined from now on.
    void setLength(milliseconds length)
    {
        m_rules.length = length;
        m_rules.memory = length;
    }

    /// The target process died with \p fingerprint on it. Each process counts once. Those that were
    /// \p leaving count as one together: an exit that cuts off what still runs there looks like a crash, and
    /// targets leave in numbers. \p chance: probability that a request which is no cause of this death was on the process.
    /// \return the end of the quarantine when this accusation starts or prolongs one.
    std::optional<instant> accuse(instant now,
                                  content_hash fingerprint,
                                  const target_id &target,
                                  incarnation_number incarnation,
                                  bool leaving = false,
                                  double chance = 1);

    /// As many dead targets quarantine a fingerprint.
    std::size_t deathsAllowed() const
    {
        return m_rules.deaths;
    }

    /// Merges a quarantine that another VM started: the later end holds. \return whether it was news.
    bool learn(instant now, content_hash fingerprint, instant until);

    /// A run of \p fingerprint completed, so it kills no target. Ends no quarantine: that is
    /// monotone, or VMs would disagree.
    void clear(content_hash fingerprint);

    /// Every accusation of \p fingerprint that counts, ours and the peers', oldest first.
    std::vector<accusation> accusationsOf(content_hash fingerprint) const;

    /// Accused or quarantined.
    bool isAccused(content_hash fingerprint) const;

    /// The end of the quarantine, or nothing.
    std::optional<instant> until(instant now, content_hash fingerprint) const;

    /// The ends of all quarantines.
    const std::map<content_hash, instant> &ends() const
    {
        return m_until;
    }

    /// Remembers an attempt, in case its target turns out to be dead.
    void remember(instant now, broken_attempt attempt);

    /// The request goes on elsewhere without a verdict on this target process.
    void markUnjudged(const request_id &request, const target_id &target, incarnation_number incarnation);

    /// The request's attempt is taken up again: what is remembered of it is over.
    void forget(const request_id &request);

    /// Takes out what is remembered of a dead target process.
    std::vector<broken_attempt> takeBroken(const target_id &target, incarnation_number incarnation);

    /// Forgets what is over. \return the fingerprints whose quarantine ended.
    std::vector<content_hash> expire(instant now);

private:
    struct target_process
    {
        target_id target;
        incarnation_number incarnation;
        bool leaving = false; ///< as any of its accusers saw it
        double chance = 1; ///< as its first accuser estimated it
    };

    struct charge
    {
        std::vector<target_process>
            died; ///< distinct by target and incarnation; kept during a quarantine, so that repeats don't prolong it
        instant forgetAt;

        std::size_t count() const;
        double chance() const;
    };

    quarantine_rules m_rules;
    std::map<content_hash, charge> m_charges; ///< bounded: the one that is forgotten first makes room
    std::map<content_hash, instant> m_until; ///< bounded: the one that ends first makes room
    std::vector<broken_attempt> m_broken; ///< oldest first; bounded
};

} // namespace fuchsialoom
