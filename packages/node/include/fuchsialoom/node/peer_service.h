/// \file
/// The other VMs: heartbeats to each, and calls that services make and serve. It knows no logic of these
/// calls: a service registers its handler here, and calls a peer by its name.
#pragma once

#include "fuchsialoom/core/membership.h"
#include "fuchsialoom/node/event_service.h"
#include "fuchsialoom/node/settings_service.h"
#include "fuchsialoom/wire/peer_client.h"
#include "fuchsialoom/wire/peer_server.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

namespace fuchsialoom
{

/// This VM as its peers see it.
struct peer_identity
{
    vm_id vm;
    incarnation_number incarnation;
    domain_id domain;
    endpoint peer;
    endpoint admin;
};

/// Another VM as known here: a hint, never proof.
struct peer_view
{
    vm_id vm;
    incarnation_number incarnation;
    domain_id domain;
    endpoint peer;
    endpoint admin;
    bool reachable = false; ///< it answered us lately and hears us: calls can be forwarded to it
    bool draining = false;
    peer_state state = peer_state::Listed;
    std::optional<instant> heardAt;
};

/// What a service adds to the digests between VMs. Called on duty threads and threads of gRPC, several at
/// once, without a lock of the peer service.
struct digest_part
{
    std::function<void(const vm_id &receiver, bool sameDomain, proto::peer_digest &)> fill;
    std::function<void(const vm_contact &sender, bool sameDomain, const proto::peer_digest &)> read;
    std::function<void(const vm_id &receiver)> failed; ///< whether the last digest arrived is unknown; may be unset
};

/// Thread-safe.
class peer_service : public service
{
public:
    /// \p join are peers to greet whatever the platform's list says.
    peer_service(peer_identity self, std::vector<endpoint> join, const settings_service &settings, event_service &events);
    ~peer_service() override;

    /// \throws error(InvalidOption) where the address can't be bound.
    void start() override;
    void stop() override;

    /// Where other services put the handlers of their calls, before start(). `exchange` is this service's.
    peer_handlers &handlers()
    {
        return m_handlers;
    }

    /// Adds to the digests, before start().
    void addPart(digest_part part)
    {
        m_parts.push_back(std::move(part));
    }

    /// Takes in what the platform lists.
    void observe(const vm_listing &listing);

    /// Every other VM known, ordered by name.
    std::vector<peer_view> peers() const;

    /// The VMs of the own domain that share its duties, see membership.
    std::vector<vm_id> dutyHolders() const;
    /// The own process was paused and has heard of nobody since.
    bool isStale() const;

    /// Tells the peers from now on that this VM takes no new duties.
    void startDraining();

    /// Tells every reachable VM of the own domain, at once. \return how many took it by \p deadline.
    std::size_t accuseAll(const proto::accusation_notice &notice, real_deadline deadline);

    /// Asks \p peer for a lease that it keeps, or tells it when one ends. Calls \p done once, on any thread,
    /// with nothing where it is unknown or doesn't answer by \p deadline.
    void leaseTarget(const vm_id &peer, const proto::target_lease &lease, real_deadline deadline, peer_client::lease_done done);

    const peer_identity &self() const
    {
        return m_self;
    }

    // Calls of one peer. \return nothing where it is unknown or doesn't answer by the deadline.
    std::optional<proto::claim_reply> claim(const vm_id &peer, const proto::claim_request &request, real_deadline deadline);
    bool settle(const vm_id &peer, const proto::settle_request &request, real_deadline deadline);
    std::optional<proto::read_reply> readTail(const vm_id &peer, const proto::tail_request &request, real_deadline deadline);
    std::optional<proto::events_reply> events(const vm_id &peer, const proto::events_request &request, real_deadline deadline);
    std::optional<proto::listing_reply> readListing(const vm_id &peer, const proto::listing_request &request, real_deadline deadline);

private:
    void run(const std::stop_token &stop);
    membership_rules currentRules() const;
    void sendHeartbeats();
    void sendHeartbeat(const send_heartbeat &to);
    void greetJoined(const std::vector<send_heartbeat> &greeted);
    void callOut(const endpoint &address, const vm_id &expected, const proto::peer_digest &digest);
    proto::peer_digest answer(const proto::peer_digest &digest);
    proto::peer_digest makeDigest(const vm_id &receiver);
    void addMentions(const vm_id &receiver, proto::peer_digest &digest) const;
    std::uint64_t membersHash() const;
    std::optional<vm_contact> senderOf(const proto::peer_digest &digest) const;
    std::optional<vm_contact> learn(const proto::peer_digest &digest, bool answers);
    void emitAll(membership_actions &actions);
    bool isReachable(const vm_id &peer) const;
    std::shared_ptr<peer_client> clientAt(const endpoint &address);
    std::shared_ptr<peer_client> clientOf(const vm_id &peer);
    void dropUnusedClients();

    const peer_identity m_self;
    const std::vector<endpoint> m_join;
    const settings_service &m_settings;
    event_service &m_events;
    peer_handlers m_handlers; ///< fixed once the server runs
    std::vector<digest_part> m_parts; ///< fixed once the server runs
    mutable std::mutex m_mutex;
    membership m_members; ///< guarded by m_mutex
    std::map<endpoint, std::shared_ptr<peer_client>> m_clients; ///< guarded by m_mutex
    std::size_t m_openCalls = 0; ///< guarded by m_mutex; heartbeats not yet answered
    std::condition_variable_any m_callEnded;
    std::unique_ptr<peer_server> m_server; ///< set while started
    std::jthread m_thread;
};

} // namespace fuchsialoom
