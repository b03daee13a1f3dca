/// \file
/// One VM's view of the targets: their listings, the models they hold, the requests that all VMs have in flight there,
/// and recent failures. Chooses the target of a request. Sans-I/O.
#pragma once

#include "fuchsialoom/core/targets.h"
#include "fuchsialoom/fleet/in_flight_tracker.h"
#include "fuchsialoom/fleet/messages.h"
#include "fuchsialoom/gateway/room_turns.h"
#include "fuchsialoom/gateway/routes.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace fuchsialoom
{

struct held_model
{
    model_id model;
    std::set<adapter_id> adapters;

    friend bool operator==(const held_model &, const held_model &) = default;
};

/// A target as the platform lists it. Each start of its process has its own id, so that information about one
/// incarnation of a target is never applied to another.
struct target_listing
{
    target_id id;
    service_id service;
    endpoint address;
    domain_id domain;
    std::uint32_t slots = 1; ///< requests that it runs concurrently
    bool leaving = false; ///< gets no new requests
    bool isEngine = false; ///< whether its models are loaded and unloaded by orders
    std::vector<held_model> models;

    friend bool operator==(const target_listing &, const target_listing &) = default;
};

struct pool_target
{
    target_listing listed; ///< with unexpired residency changes applied
    std::vector<held_model> listedModels; ///< as listed, without later residency changes
    target_key key; ///< key of the listed id
    target_in_flight own; ///< attempts of this VM
    target_in_flight peers; ///< sum of the latest counts of all peers
    double failureShare = 0; ///< share of recent attempts that failed, 0 to 1; decays
    instant failureShareAt{}; ///< time up to which `failureShare` has decayed
    instant avoidUntil{}; ///< used only if no other target has room, after a failed connection or a refusal
    instant silentUntil{}; ///< used only if no other target has room, while an attempt here is silent
    instant heardAt{}; ///< latest byte of any attempt of this VM
    instant displacedUntil{}; ///< another process answered at its address: the target is gone, even if still listed
    bool displaced = false; ///< `displacedUntil` was in the future at the last expirePeers()
    instant unreachableUntil{}; ///< its host refused a connection from this VM or a peer
    bool unreachable = false; ///< `unreachableUntil` was in the future at the last expirePeers()
    instant unreachableSince{};
    bool refusedHere = false; ///< it is unreachable since it refused this VM, not only a peer
    instant saidAliveUntil{}; ///< a peer reached it after it had refused a VM, so a refusal is no sign of its death for a while
    instant outOfReachUntil{}; ///< a connection attempt of this VM got no answer
    std::uint32_t consecutiveRefusals = 0; ///< times it became unreachable since its last successful attempt
    std::uint32_t withheld = 0; ///< slots that aren't free though the counts say so, since it turned a request away
    instant withheldUntil{}; ///< when one of them is tried again
    std::uint64_t turn = 0; ///< latest turn in which a waiting request looked for room here; see room_turns
    std::uint32_t sentInTurn = 0; ///< attempts that this VM began since, in slots that weren't its own before
    std::uint32_t freed = 0; ///< slots that attempts of this VM have left and the others haven't heard of
    std::uint64_t crowdedIn = 0; ///< latest turn in which it had little room, or it wasn't known how much

    /// Whether it may get new requests and orders.
    bool takesNew() const
    {
        return !listed.leaving && !displaced && !unreachable;
    }

    /// Whether it may be that only this VM can't reach it.
    bool isOutOfReach(instant now) const
    {
        return now < outOfReachUntil || (unreachable && refusedHere && now < saidAliveUntil);
    }

    bool isAvoided(instant now) const
    {
        return now < avoidUntil || now < silentUntil;
    }
    std::uint32_t inFlight() const
    {
        return own.requests + peers.requests + withheld;
    }
    /// `failureShare` decayed up to \p now.
    double failureShareNow(instant now) const;
    std::uint32_t unreadTokens() const
    {
        return own.unreadTokens + peers.unreadTokens;
    }
    bool holds(const model_id &model, const adapter_id &adapter) const;
};

struct target_query
{
    service_id service;
    model_id model; ///< empty for plain services
    adapter_id adapter; ///< empty if none is used
    std::uint32_t promptTokens = 0;
    const std::set<target_id> *tried = nullptr; ///< targets to exclude, tried before; may be null
    const target_id *only = nullptr; ///< the one target that may be chosen; any if null
    bool isFresh = false; ///< it has just arrived, at another time than the requests of other VMs
};

/// Why no target was chosen.
enum class pool_verdict {
    Chosen,
    NoTarget, ///< no target of the service is available
    NotResident, ///< no target holds the model or adapter
    NoRoom, ///< all targets that hold it have no free slot or too many unread prompt tokens
};

template<>
struct name_table<pool_verdict>
{
    static constexpr auto entries = std::to_array<enum_name<pool_verdict>>({
        {pool_verdict::Chosen, "chosen"},
        {pool_verdict::NoTarget, "no-target"},
        {pool_verdict::NotResident, "not-resident"},
        {pool_verdict::NoRoom, "no-room"},
    });
};

struct target_choice
{
    pool_target *target = nullptr; ///< valid until a target is listed or unlisted
    pool_verdict verdict = pool_verdict::NoTarget;
    std::size_t candidates = 0; ///< targets that could serve the request, with room or without
    std::size_t outOfReach = 0; ///< further targets that other VMs reach and this one doesn't
};

class target_pool
{
public:
    explicit target_pool(domain_id ownDomain);
    target_pool(const target_pool &) = delete;
    target_pool &operator=(const target_pool &) = delete;

    /// \name Listings from the platform.
    /// @{
    /// Adds or updates a target. \return whether its listing changed, with unexpired residency changes applied.
    bool list(instant now, target_listing target);
    void unlist(const target_id &id);
    /// @}

    /// Applies a residency change from a peer. It overrides the listing for a short time, as the listing may be older.
    void addResidencyChange(instant now, const residency_change &residencyChange);

    /// The target itself answered that it doesn't hold the model or adapter.
    void noteAbsent(instant now, const target_id &id, const model_id &model, const adapter_id &adapter);

    /// Replaces all counts of \p vm. They expire if the VM stays silent.
    void setPeerInFlight(instant now, const vm_id &vm, const in_flight_counts &counts);
    /// Updates the counts of \p vm that changed; a count may be zero.
    void updatePeerInFlight(instant now, const vm_id &vm, const in_flight_counts &changed);
    void removePeerInFlight(const vm_id &vm);
    /// Drops the counts of silent peers and ends the time for which targets are displaced, unreachable or count as full.
    void expirePeers(instant now);
    /// Drops expired residency changes and restores the listed models. \return whether any expired.
    bool expireResidencyChanges(instant now);

    /// Chooses the available target with the lowest score. \p draw is a random number that breaks ties.
    target_choice choose(instant now, const target_query &query, std::uint64_t draw);

    /// \name Attempts of this VM.
    /// @{
    void begin(const target_id &id, std::uint32_t promptTokens);
    /// The first event arrived, so the target has read the prompt.
    void read(const target_id &id, std::uint32_t promptTokens);
    /// \p unreadTokens: tokens of the prompt if its first event never arrived, else 0.
    void end(const target_id &id, std::uint32_t unreadTokens);
    void succeeded(instant now, const target_id &id);
    /// Records that a request ran for \p length at a target of \p service.
    void noteRun(const service_id &service, milliseconds length);
    void failed(instant now, const target_id &id);
    /// Avoids the target for \p length, after a failed connection or a refusal.
    void avoid(instant now, const target_id &id, milliseconds length);
    /// An attempt there has got no byte since \p since. The target is avoided until it is heard or until a short time has
    /// passed, unless another attempt has heard it meanwhile.
    void noteSilent(instant now, const target_id &id, instant since);
    /// The target sent something. \return whether it was avoided for its silence.
    bool noteHeard(instant now, const target_id &id);
    /// Another process answered at the target's address. \return whether that wasn't known.
    bool displace(instant now, const target_id &id);
    /// The target's host refused a connection of this VM, so no process is listening. The target gets no requests until it has had
    /// time to restart. \return whether that wasn't known.
    bool noteUnreachable(instant now, const target_id &id);
    /// A connection attempt of this VM got no answer: it gets only requests that no other target can take for \p length.
    void noteNoAnswer(instant now, const target_id &id, milliseconds length);
    void noteConnected(const target_id &id);
    /// Some VM reached the target after its host had refused another one. \return whether it was unreachable.
    bool noteAlive(instant now, const target_id &id);
    /// The target said whether it and the others of its service are brittle: they end when they turn many requests away. \return whether
    /// that is news.
    bool setBrittle(instant now, const target_id &id, bool isBrittle);
    /// Other VMs were told so by targets of \p services, and of no others.
    void setBrittleElsewhere(const std::vector<service_id> &services);
    /// The services of which targets have told this VM that they are brittle.
    std::vector<service_id> brittleServices(instant now) const;
    /// The target didn't run a request. If it is brittle, it counts as full at all VMs for a while.
    void noteTurnedAway(instant now, const target_id &id);
    /// Whether the target is unreachable by the word of a peer alone, although this VM hears it.
    bool isHeardDespiteWord(instant now, const target_id &id) const;
    /// @}

    /// Sets this VM's place among those that send to targets; see room_turns.
    void setMembers(instant now, milliseconds wallTime, std::size_t position, std::size_t count)
    {
        m_turns.setMembers(now, wallTime, position, count);
    }

    /// All requests that this VM has in flight, for a full digest, and the slots that it withholds.
    in_flight_counts ownInFlight() const;
    /// Counts that changed since the last call, including those now zero.
    in_flight_counts takeChangedFlights();

    const pool_target *find(const target_id &id) const;
    const std::map<target_id, pool_target> &targets() const
    {
        return m_targets;
    }
    /// Whether all targets that started together are likely listed. Stays true once it is: later targets start one by
    /// one.
    bool isSettled(instant now);

    /// Whether a target of \p service that holds \p model, if set, has a free slot.
    bool hasRoom(const service_id &service, const model_id &model) const;

private:
    struct unexpired_change
    {
        residency_change residencyChange;
        instant until{};
    };

    void applyResidencyChanges(instant now, pool_target &target);
    bool markUnreachable(instant now, const target_id &id, bool isRefusedHere);
    void setHeld(pool_target &target, const residency_change &residencyChange);
    double scoreOf(instant now, const pool_target &target, std::uint64_t draw) const;
    static std::uint32_t slotsOf(const pool_target &target);
    /// Requests in flight at \p target. For plain targets, excludes counts of peers too old to be still valid.
    std::uint32_t inFlightAt(instant now, const pool_target &target) const;
    bool isBrittle(instant now, const service_id &service) const;
    /// Whether a request may use \p room at a brittle \p target, so that no VM's request is turned away.
    bool mayFill(instant now, pool_target &target, std::uint32_t room, bool isFresh);

    const domain_id m_ownDomain;
    std::map<target_id, pool_target> m_targets;
    instant m_lastNewTargetAt{}; ///< when a new target was last listed
    bool m_settled = false;
    std::map<target_key, target_id> m_keys; ///< ids of the listed targets
    in_flight_tracker m_peers;
    std::map<service_id, microseconds> m_runs; ///< moving average of run times by service; used for plain targets
    std::map<service_id, instant> m_brittleUntil; ///< services whose targets told this VM that they are brittle
    std::set<service_id> m_brittleElsewhere; ///< services whose targets told it to other VMs
    room_turns m_turns;
    std::set<target_id> m_changedFlights; ///< targets whose own counts changed and weren't taken yet
    std::map<target_id, std::vector<unexpired_change>> m_residencyChanges; ///< not yet in all listings; bounded by their expiry
};

} // namespace fuchsialoom
