/// \file
/// The targets as one VM knows them: what is listed, what they hold, what all VMs have in flight there,
/// and which of them failed lately. Chooses the target of a request. Sans-I/O.
#pragma once

#include "fuchsialoom/core/targets.h"
#include "fuchsialoom/fleet/in_flight_tracker.h"
#include "fuchsialoom/fleet/messages.h"
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

/// A target as the platform lists it. Each start of its process has an id of its own, so whatever was said of one
/// life of a target can't be taken for another.
struct target_listing
{
    target_id id;
    service_id service;
    endpoint address;
    domain_id domain;
    std::uint32_t slots = 1; ///< requests that it works on at once
    bool leaving = false; ///< gets nothing new
    bool isEngine = false; ///< what it holds is managed
    std::vector<held_model> models;

    friend bool operator==(const target_listing &, const target_listing &) = default;
};

struct pool_target
{
    target_listing listed; ///< with what is news
    std::vector<held_model> listedModels; ///< without
    target_key key; ///< of the listed id
    target_in_flight own;
    target_in_flight peers; ///< the sum of their latest words
    double failureShare = 0; ///< share of late attempts that failed, decaying; 0 to 1
    instant failureShareAt{}; ///< up to when `trouble` has decayed
    instant avoidUntil{}; ///< after a connection that couldn't be made, or silence
    instant displacedUntil{}; ///< another process answered at its address: it is gone, whatever is still listed
    bool displaced = false; ///< `displacedUntil` is ahead, as far as housekeeping has looked
    instant unreachableUntil{}; ///< its host refused a connection, here or at another VM
    bool unreachable = false; ///< `unreachableUntil` is ahead, as far as housekeeping has looked
    std::uint32_t consecutiveRefusals = 0; ///< times that it became unreachable since it last answered

    /// Whether it may get requests and orders.
    bool takesNew() const
    {
        return !listed.leaving && !displaced && !unreachable;
    }

    std::uint32_t inFlight() const
    {
        return own.requests + peers.requests;
    }
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
    adapter_id adapter; ///< empty when none is used
    std::uint32_t promptTokens = 0;
    const std::set<target_id> *tried = nullptr; ///< not there again
};

/// Why no target was chosen.
enum class pool_verdict {
    Chosen,
    NoTarget, ///< none of the service is listed
    NotResident, ///< none holds the model or adapter
    NoRoom, ///< those that hold it are full, or have prompts enough to read
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
    pool_target *target = nullptr; ///< valid until the pool's next change of targets
    pool_verdict verdict = pool_verdict::NoTarget;
    std::size_t candidates = 0; ///< targets that could serve the request once they have room
};

class target_pool
{
public:
    explicit target_pool(domain_id ownDomain);
    target_pool(const target_pool &) = delete;
    target_pool &operator=(const target_pool &) = delete;

    /// \name What the platform lists.
    /// @{
    /// Adds or changes a target. \return whether anything but lapsed news changed.
    bool list(instant now, target_listing target);
    void unlist(const target_id &id);
    /// @}

    /// \p news holds against the list's older word for a time.
    void addNews(instant now, const residency_change &news);

    /// A target said that it doesn't hold this.
    void noteAbsent(instant now, const target_id &id, const model_id &model, const adapter_id &adapter);

    /// \p vm's counts, in place of its earlier ones; they lapse when it stays silent.
    void setPeerFlights(instant now, const vm_id &vm, const in_flight_counts &counts);
    /// Those that changed, zeros among them.
    void changePeerFlights(instant now, const vm_id &vm, const in_flight_counts &changed);
    void forgetPeerFlights(const vm_id &vm);
    void expirePeers(instant now);
    /// News that lapsed gives way to the list's word. \return whether any did.
    bool expireNews(instant now);

    target_choice choose(instant now, const target_query &query, std::uint64_t draw);

    /// \name Attempts of this VM.
    /// @{
    void begin(const target_id &id, std::uint32_t promptTokens);
    /// The first event came: the prompt is read.
    void read(const target_id &id, std::uint32_t promptTokens);
    /// \p unreadTokens: of a prompt whose first event never came.
    void end(const target_id &id, std::uint32_t unreadTokens);
    void succeeded(instant now, const target_id &id);
    /// A request ran for \p length at a target of \p service.
    void noteRun(const service_id &service, milliseconds length);
    void failed(instant now, const target_id &id);
    /// No connection, or no sign of life: avoided for a while.
    void avoid(instant now, const target_id &id, milliseconds length);
    /// Another process answered at its address. \return whether that is news.
    bool displace(instant now, const target_id &id);
    /// Its host refused a connection: no process is there, until it has had time to start again. \return whether that
    /// is news.
    bool noteUnreachable(instant now, const target_id &id);
    /// @}

    /// What this VM has in flight, for a whole digest.
    in_flight_counts ownFlights() const;
    /// What changed of it since the last call, zeros among them.
    in_flight_counts takeChangedFlights();

    const pool_target *find(const target_id &id) const;
    const std::map<target_id, pool_target> &targets() const
    {
        return m_targets;
    }
    /// Whether the targets that started together are all listed, as far as can be told. Once true it stays
    /// so: later targets come one by one.
    bool isSettled(instant now);

    /// A free place at a target of \p service, and of \p model where that is set.
    bool hasRoom(const service_id &service, const model_id &model) const;

private:
    struct held_news
    {
        residency_change news;
        instant until{};
    };

    void applyNews(instant now, pool_target &target);
    void setHeld(pool_target &target, const residency_change &news);
    double scoreOf(instant now, const pool_target &target, std::uint64_t draw) const;
    static std::uint32_t slotsOf(const pool_target &target);
    /// Requests at \p target, as far as they can still be there.
    std::uint32_t inFlightAt(instant now, const pool_target &target) const;

    const domain_id m_ownDomain;
    std::map<target_id, pool_target> m_targets;
    instant m_lastNewTargetAt{}; ///< when a target was last listed that wasn't known before
    bool m_settled = false;
    std::map<target_key, target_id> m_keys; ///< of the targets listed
    in_flight_tracker m_peers;
    std::map<service_id, microseconds> m_runs; ///< of plain services: mean of the latest runs
    std::set<target_id> m_changedFlights; ///< own, not told yet
    std::map<target_id, std::vector<held_news>> m_news; ///< not yet certain to be in the list; bounded by time
};

} // namespace fuchsialoom
