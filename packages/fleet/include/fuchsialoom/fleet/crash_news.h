/// \file
/// What VMs tell each other about requests that crash targets, and the queue of what is still to be told.
#pragma once

#include "fuchsialoom/support/ids.h"
#include "fuchsialoom/support/time.h"

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace fuchsialoom
{

/// A target's process died while a request was about to run there.
struct crash_report
{
    content_hash fingerprint; ///< of the request; in an acquittal, also of a part of prompts
    target_id target; ///< of one incarnation
    bool isAcquitted = false; ///< the request has completed elsewhere since
    milliseconds age{0}; ///< time since the death
    bool isTrial = false; ///< the request was known to be suspected, and no other suspected one ran at the service
    std::vector<content_hash> parts{}; ///< of the request's prompt; see crash_subjects
    bool isPart = false; ///< an acquittal of a part

    friend bool operator==(const crash_report &, const crash_report &) = default;
};

/// A request is refused by the whole fleet.
struct quarantine_report
{
    content_hash fingerprint;
    milliseconds left{0}; ///< time until its end

    friend bool operator==(const quarantine_report &, const quarantine_report &) = default;
};

/// A VM's turn to send a suspected request to a service; see suspect_trials.
struct trial_claim
{
    service_id service;
    content_hash fingerprint;
    std::uint64_t claimant = 0; ///< random, and another one for each claim
    bool isOver = false;
    milliseconds age{0}; ///< time since it was claimed

    friend bool operator==(const trial_claim &, const trial_claim &) = default;
};

struct crash_news
{
    std::vector<crash_report> reports{};
    std::vector<quarantine_report> quarantines{};
    std::vector<trial_claim> trials{};

    bool isEmpty() const
    {
        return reports.empty() && quarantines.empty() && trials.empty();
    }
    friend bool operator==(const crash_news &, const crash_news &) = default;
};

/// Crash news that a VM has still to send. Datagrams may be lost, so each item goes into several messages.
class crash_outbox
{
public:
    /// Other relays (or this VM's relay, if it is a member), and the members of this VM.
    enum class channel {
        Relays,
        Members,
    };

    /// \p toRelays: relays haven't got the news from somebody else.
    void add(instant now, const crash_news &news, bool toRelays);

    /// News for the next message on \p on. \p onlyNew: that no message on it has contained yet.
    crash_news take(instant now, channel on, bool onlyNew);

    /// Nobody is there to receive on \p on.
    void discard(channel on);

    bool isEmpty() const
    {
        return m_items.empty() && m_trials.empty();
    }

private:
    struct item
    {
        instant at{}; ///< of the death or the claim, or the end of the quarantine
        bool isAcquitted = false;
        bool isTrial = false;
        std::vector<content_hash> parts{};
        bool isPart = false;
        std::uint32_t forRelays = 0; ///< messages that are still to contain it
        std::uint32_t forMembers = 0;

        std::uint32_t &left(channel on)
        {
            return on == channel::Relays ? forRelays : forMembers;
        }
    };
    using item_key = std::pair<content_hash, target_id>; ///< without a target: a quarantine

    struct trial_item : item
    {
        trial_claim claim;
    };

    void put(const item_key &key, const item &news, bool toRelays);
    void dropSent();

    std::map<item_key, item> m_items; ///< bounded
    std::map<service_id, trial_item> m_trials; ///< the latest claim of each service; bounded
};

} // namespace fuchsialoom
