/// \file
/// Which VMs there are, as one of them sees it: from the platform's list, which lags and may be out, and
/// from heartbeats. A hint that needs no agreement; whoever must be sure asks the log.
///
/// Inside a domain every VM greets every other. Into each other domain it greets a few contacts.
#pragma once

#include "fuchsialoom/core/targets.h"
#include "fuchsialoom/support/timeline_event.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace fuchsialoom
{

enum class peer_state {
#define FUCHSIALOOM_PEER_STATE(Enumerator, Name) Enumerator,
#include "fuchsialoom/core/peer_states.def"
};

template<>
struct name_table<peer_state>
{
    static constexpr auto entries = std::to_array<enum_name<peer_state>>({
#define FUCHSIALOOM_PEER_STATE(Enumerator, Name) {peer_state::Enumerator, Name},
#include "fuchsialoom/core/peer_states.def"
    });
};

/// A VM's account of itself.
struct vm_contact
{
    vm_id vm;
    incarnation_number incarnation; ///< none where it is known only by the platform's list
    domain_id domain;
    endpoint peer;
    endpoint admin;
    bool draining = false;

    friend bool operator==(const vm_contact &, const vm_contact &) = default;
};

struct membership_rules
{
    milliseconds heartbeat{500};
    milliseconds suspectAfter{2000}; ///< silence inside the domain; longer to other domains, as greeted less

    friend bool operator==(const membership_rules &, const membership_rules &) = default;
};

// Events.

/// The platform's list was read.
struct vms_listed
{
    std::vector<listed_vm> vms;
};

/// A peer's own digest arrived: with a heartbeat of its own, or as the answer to ours.
struct peer_heard
{
    vm_contact contact;
    bool hearsUs = false; ///< it says that it heard of us lately
    bool answers = false; ///< this is its answer to our heartbeat, so calls pass from here to it
    bool knowsUs = false; ///< it says that it heard of our present incarnation lately
};

/// A peer told of another VM that it heard of itself.
struct peer_mentioned
{
    vm_contact contact;
};

struct rules_changed
{
    membership_rules rules;
};

/// Posted once every heartbeat interval: asks for the heartbeats to send and judges silence.
struct heartbeat_due
{
};

using membership_event = std::variant<vms_listed, peer_heard, peer_mentioned, rules_changed, heartbeat_due>;

// Actions.

struct send_heartbeat
{
    endpoint to;
    vm_id vm; ///< who is expected there
    bool sameDomain = true; ///< false: a summary only

    friend bool operator==(const send_heartbeat &, const send_heartbeat &) = default;
};

struct membership_actions
{
    std::vector<send_heartbeat> heartbeats;
    std::vector<timeline_event> events;
};

/// A peer as the membership knows it.
struct known_peer
{
    vm_contact contact; ///< of the highest incarnation heard of
    peer_state state = peer_state::Listed;
    std::optional<instant> heardAt;
    bool hearsUs = false;
    bool reachable = false; ///< it answered us lately and hears us: calls can be forwarded to it
};

class membership
{
public:
    membership(vm_contact self, membership_rules rules);

    membership_actions step(instant now, const membership_event &event);

    /// Every other VM known, ordered by name.
    std::vector<known_peer> peers() const;

    /// The VMs of the own domain that take duties: alive, not draining, with self unless it drains.
    std::vector<vm_id> dutyHolders() const;

    /// Whether \p vm in this incarnation was heard of lately, so that its digest's `heard_vms` may say so.
    bool hears(const vm_id &vm) const;

    /// The incarnation of \p vm that was heard of lately; none where it was not.
    incarnation_number heardIncarnation(const vm_id &vm) const;

    /// Whether \p vm was told all of this VM's contact and remembers it.
    bool isKnownTo(const vm_id &vm) const;

    /// What \p vm said of itself in that incarnation, which stays as it is while it runs.
    std::optional<vm_contact> contactOf(const vm_id &vm, incarnation_number incarnation) const;

    /// The own process was paused, and nothing was heard since: what it knows of others is old.
    bool isStale() const
    {
        return m_stale;
    }

    /// A process with a later incarnation runs under the own name.
    bool isSuperseded() const
    {
        return m_superseded;
    }

    void setDraining()
    {
        m_self.draining = true;
    }

    const vm_contact &self() const
    {
        return m_self;
    }

private:
    struct peer_record
    {
        vm_contact contact; ///< its incarnation never decreases
        peer_state state = peer_state::Listed;
        bool listed = false;
        std::optional<endpoint> listedAddress; ///< set while listed elsewhere than `contact.peer`
        std::optional<instant> heardAt;
        std::optional<instant> answeredAt;
        std::optional<instant> judgedFrom; ///< silence before this says nothing; none while it isn't greeted
        std::optional<instant> goneAt; ///< set while Gone
        bool hearsUs = false;
        bool knowsUs = false;
    };

    void handle(instant now, const vms_listed &event, membership_actions &actions);
    void handle(instant now, const peer_heard &event, membership_actions &actions);
    void handle(instant now, const peer_mentioned &event, membership_actions &actions);
    void handle(instant now, const rules_changed &event, membership_actions &actions);
    void handle(instant now, const heartbeat_due &event, membership_actions &actions);

    bool isOwnDomain(const peer_record &peer) const;
    bool mayBelieve(const vm_contact &contact) const;
    static void adopt(peer_record &peer, const vm_contact &contact, membership_actions &actions);
    void retireFormerHolders(instant now, const vm_contact &holder, membership_actions &actions);
    void noticePause(instant now);
    void judge(instant now, peer_record &peer, membership_actions &actions) const;
    bool isReachable(const peer_record &peer) const;
    static void setState(instant now, peer_record &peer, peer_state state, membership_actions &actions);
    std::set<vm_id> foreignContacts() const;
    void greet(instant now, peer_record &peer, membership_actions &actions) const;
    void forgetOldest();

    vm_contact m_self;
    membership_rules m_rules;
    std::map<vm_id, peer_record> m_peers; ///< never holds self; Gone ones stay, so that their incarnation is known
    std::optional<instant> m_lastRound;
    std::optional<instant> m_resumedAt; ///< end of the last pause of the own process
    std::uint64_t m_round = 0;
    bool m_stale = false;
    bool m_superseded = false;
};

} // namespace fuchsialoom
