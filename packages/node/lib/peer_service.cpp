/// \file
/// The other VMs of the system.
#include "fuchsialoom/node/peer_service.h"

#include "fuchsialoom/node/node_clock.h"
#include "fuchsialoom/support/hash.h"
#include "fuchsialoom/wire/peer_codec.h"

#include <algorithm>
#include <utility>

namespace fuchsialoom
{

/// A heartbeat that was not answered by then is counted as lost; the next interval brings another.
static constexpr milliseconds heartbeatTimeout{400};

static vm_contact contactOf(const peer_identity &self)
{
    return vm_contact{self.vm, self.incarnation, self.domain, self.peer, self.admin, false};
}

peer_service::peer_service(peer_identity self, std::vector<endpoint> join, const settings_service &settings, event_service &events)
    : m_self(std::move(self))
    , m_join(std::move(join))
    , m_settings(settings)
    , m_events(events)
    , m_members(contactOf(m_self), membership_rules())
{
    m_handlers.exchange = [this](const proto::peer_digest &digest) {
        return answer(digest);
    };
}

peer_service::~peer_service() = default;

void peer_service::start()
{
    m_server = std::make_unique<peer_server>(m_self.peer, m_handlers);
    m_thread = std::jthread([this](const std::stop_token &stop) {
        run(stop);
    });
}

void peer_service::stop()
{
    m_thread.request_stop();
    m_thread.join();
    std::unique_lock lock(m_mutex);
    m_callEnded.wait(lock, [this] {
        return m_openCalls == 0;
    });
    lock.unlock();
    m_server.reset();
}

membership_rules peer_service::currentRules() const
{
    const std::shared_ptr<const settings_tree> tree = m_settings.tree();
    return membership_rules{milliseconds(tree->integerAt(setting_path(), setting_key::HeartbeatMs)),
                            milliseconds(tree->integerAt(setting_path(), setting_key::SuspectAfterMs))};
}

void peer_service::run(const std::stop_token &stop)
{
    while (!stop.stop_requested()) {
        const real_deadline nextRound = std::chrono::steady_clock::now() + currentRules().heartbeat;
        sendHeartbeats();
        std::unique_lock lock(m_mutex);
        m_callEnded.wait_until(lock, stop, nextRound, [] {
            return false;
        });
    }
}

void peer_service::sendHeartbeats()
{
    const membership_rules rules = currentRules();
    membership_actions actions;
    {
        const std::lock_guard lock(m_mutex);
        m_members.step(monotonicNow(), rules_changed{rules});
        actions = m_members.step(monotonicNow(), heartbeat_due{});
        dropUnusedClients();
    }
    emitAll(actions);
    for (const send_heartbeat &heartbeat : actions.heartbeats) {
        sendHeartbeat(heartbeat);
    }
    greetJoined(actions.heartbeats);
}

void peer_service::sendHeartbeat(const send_heartbeat &to)
{
    proto::peer_digest digest = makeDigest(to.vm);
    for (const digest_part &part : m_parts) {
        part.fill(to.vm, to.sameDomain, digest);
    }
    callOut(to.to, to.vm, digest);
}

/// Peers of --join are greeted until they are known by name, whoever else is known.
void peer_service::greetJoined(const std::vector<send_heartbeat> &greeted)
{
    const std::vector<peer_view> known = peers();
    for (const endpoint &address : m_join) {
        const bool isGreeted = std::any_of(greeted.begin(), greeted.end(), [&](const send_heartbeat &heartbeat) {
            return heartbeat.to == address;
        });
        const bool isKnown = std::any_of(known.begin(), known.end(), [&](const peer_view &peer) {
            return peer.peer == address && peer.state == peer_state::Alive;
        });
        if (!isGreeted && !isKnown && address != m_self.peer) {
            callOut(address, vm_id(), makeDigest(vm_id()));
        }
    }
}

void peer_service::callOut(const endpoint &address, const vm_id &expected, const proto::peer_digest &digest)
{
    std::shared_ptr<peer_client> client;
    {
        const std::lock_guard lock(m_mutex);
        client = clientAt(address);
        ++m_openCalls;
    }
    const real_deadline deadline = std::chrono::steady_clock::now() + heartbeatTimeout;
    client->exchange(digest, deadline, [this, expected](const std::optional<proto::peer_digest> &reply) {
        if (reply) {
            learn(*reply, true);
        }
        for (const digest_part &part : m_parts) {
            if (!reply && part.failed) {
                part.failed(expected);
            }
        }
        const std::lock_guard lock(m_mutex);
        --m_openCalls;
        m_callEnded.notify_all();
    });
}

/// A peer greets us. It gets who we are, and the rest only where we can't greet it ourselves.
proto::peer_digest peer_service::answer(const proto::peer_digest &digest)
{
    const std::optional<vm_contact> contact = learn(digest, false);
    const vm_id sender(digest.vm());
    proto::peer_digest reply = makeDigest(sender);
    if (digest.members() != reply.members()) {
        addMentions(sender, reply);
    }
    if (!isReachable(sender)) {
        for (const digest_part &part : m_parts) {
            part.fill(sender, contact && contact->domain == m_self.domain, reply);
        }
    }
    return reply;
}

proto::peer_digest peer_service::makeDigest(const vm_id &receiver)
{
    proto::peer_digest digest;
    encodeStamp(m_events.stamp(), *digest.mutable_stamp());
    const std::lock_guard lock(m_mutex);
    digest.set_members(membersHash());
    digest.set_heard_incarnation(m_members.heardIncarnation(receiver).value());
    if (m_members.isKnownTo(receiver)) {
        encodeIdentity(m_members.self(), digest);
        return digest;
    }
    encodeContact(m_members.self(), digest);
    if (m_members.hears(receiver)) {
        digest.add_heard_vms(receiver.text());
    }
    return digest;
}

/// Equal at all VMs of a domain that know the same VMs of it.
std::uint64_t peer_service::membersHash() const
{
    std::map<vm_id, incarnation_number> members{{m_self.vm, m_self.incarnation}};
    for (const known_peer &peer : m_members.peers()) {
        if (peer.contact.domain == m_self.domain && peer.state == peer_state::Alive) {
            members[peer.contact.vm] = peer.contact.incarnation;
        }
    }
    std::string text;
    for (const auto &[vm, incarnation] : members) {
        text += vm.text() + ':' + std::to_string(incarnation.value()) + '\n';
    }
    return hashOf(text).value();
}

void peer_service::addMentions(const vm_id &receiver, proto::peer_digest &digest) const
{
    const std::lock_guard lock(m_mutex);
    for (const known_peer &peer : m_members.peers()) {
        if (peer.state == peer_state::Alive && peer.contact.vm != receiver) {
            encodeMention(peer.contact, digest);
        }
    }
}

/// Who sent the digest: by its own words, or by what it said before in the same incarnation.
std::optional<vm_contact> peer_service::senderOf(const proto::peer_digest &digest) const
{
    std::optional<vm_contact> contact = decodeContact(digest);
    const bool isShort = digest.domain().empty() && digest.peer_address().empty();
    if (!isShort) {
        return contact;
    }
    const std::lock_guard lock(m_mutex);
    contact = m_members.contactOf(vm_id(digest.vm()), incarnation_number(digest.incarnation()));
    if (contact) {
        contact->draining = digest.draining();
    }
    return contact;
}

/// \return the sender; nothing where it is not known who it is: then it is told so by what we say that we heard.
std::optional<vm_contact> peer_service::learn(const proto::peer_digest &digest, bool answers)
{
    std::optional<vm_contact> contact = senderOf(digest);
    if (!contact) {
        return std::nullopt;
    }
    if (const std::optional<hlc_stamp> stamp = decodeStamp(digest.stamp(), wallNow())) {
        m_events.observe(*stamp);
    }
    const auto &heard = digest.heard_vms();
    const bool knowsUs = digest.heard_incarnation() == m_self.incarnation.value();
    const bool hearsUs = answers || knowsUs || std::find(heard.begin(), heard.end(), m_self.vm.text()) != heard.end();
    membership_actions actions;
    {
        const std::lock_guard lock(m_mutex);
        actions = m_members.step(monotonicNow(), peer_heard{*contact, hearsUs, answers, knowsUs});
        for (const vm_contact &mentioned : decodeMentions(digest)) {
            m_members.step(monotonicNow(), peer_mentioned{mentioned});
        }
    }
    emitAll(actions);
    for (const digest_part &part : m_parts) {
        part.read(*contact, contact->domain == m_self.domain, digest);
    }
    return contact;
}

void peer_service::emitAll(membership_actions &actions)
{
    for (timeline_event &event : actions.events) {
        m_events.emit(std::move(event));
    }
}

void peer_service::observe(const vm_listing &listing)
{
    const std::lock_guard lock(m_mutex);
    m_members.step(monotonicNow(), vms_listed{listing.vms});
}

std::vector<peer_view> peer_service::peers() const
{
    std::vector<peer_view> found;
    const std::lock_guard lock(m_mutex);
    for (const known_peer &peer : m_members.peers()) {
        const vm_contact &contact = peer.contact;
        found.push_back(peer_view{contact.vm,
                                  contact.incarnation,
                                  contact.domain,
                                  contact.peer,
                                  contact.admin,
                                  peer.reachable,
                                  contact.draining,
                                  peer.state,
                                  peer.heardAt});
    }
    return found;
}

std::vector<vm_id> peer_service::dutyHolders() const
{
    const std::lock_guard lock(m_mutex);
    return m_members.dutyHolders();
}

bool peer_service::isStale() const
{
    const std::lock_guard lock(m_mutex);
    return m_members.isStale();
}

void peer_service::startDraining()
{
    const std::lock_guard lock(m_mutex);
    m_members.setDraining();
}

bool peer_service::isReachable(const vm_id &peer) const
{
    const std::vector<peer_view> all = peers();
    return std::any_of(all.begin(), all.end(), [&](const peer_view &view) {
        return view.vm == peer && view.reachable;
    });
}

/// Needs m_mutex.
std::shared_ptr<peer_client> peer_service::clientAt(const endpoint &address)
{
    std::shared_ptr<peer_client> &client = m_clients[address];
    if (!client) {
        client = std::make_shared<peer_client>(address);
    }
    return client;
}

std::shared_ptr<peer_client> peer_service::clientOf(const vm_id &peer)
{
    const std::lock_guard lock(m_mutex);
    for (const known_peer &known : m_members.peers()) {
        if (known.contact.vm == peer) {
            return clientAt(known.contact.peer);
        }
    }
    return nullptr;
}

/// Connections to VMs that are gone are closed. Needs m_mutex.
void peer_service::dropUnusedClients()
{
    std::map<endpoint, std::shared_ptr<peer_client>> used;
    const auto keep = [&](const endpoint &address) {
        const auto found = m_clients.find(address);
        if (found != m_clients.end()) {
            used.insert(*found);
        }
    };
    for (const known_peer &peer : m_members.peers()) {
        if (peer.state != peer_state::Gone) {
            keep(peer.contact.peer);
        }
    }
    std::for_each(m_join.begin(), m_join.end(), keep);
    m_clients = std::move(used);
}

namespace
{

/// How many of the calls sent together have ended.
struct call_group
{
    std::mutex mutex;
    std::condition_variable ended;
    std::size_t open = 0;
    std::size_t reached = 0;
};

} // namespace

std::size_t peer_service::accuseAll(const proto::accusation_notice &notice, real_deadline deadline)
{
    auto group = std::make_shared<call_group>();
    for (const peer_view &peer : peers()) {
        if (!peer.reachable || peer.domain != m_self.domain) {
            continue;
        }
        const std::shared_ptr<peer_client> client = clientOf(peer.vm);
        {
            const std::lock_guard lock(group->mutex);
            ++group->open;
        }
        client->accuse(notice, deadline, [group](bool reached) {
            const std::lock_guard lock(group->mutex);
            --group->open;
            group->reached += reached ? 1 : 0;
            group->ended.notify_all();
        });
    }
    std::unique_lock lock(group->mutex);
    group->ended.wait_until(lock, deadline, [&] {
        return group->open == 0;
    });
    return group->reached;
}

void peer_service::leaseTarget(const vm_id &peer, const proto::target_lease &lease, real_deadline deadline, peer_client::lease_done done)
{
    const std::shared_ptr<peer_client> client = clientOf(peer);
    if (!client) {
        done(std::nullopt);
        return;
    }
    {
        const std::lock_guard lock(m_mutex);
        ++m_openCalls;
    }
    client->leaseTarget(lease, deadline, [this, done = std::move(done)](std::optional<bool> granted) {
        done(granted);
        const std::lock_guard lock(m_mutex);
        --m_openCalls;
        m_callEnded.notify_all();
    });
}

std::optional<proto::claim_reply> peer_service::claim(const vm_id &peer, const proto::claim_request &request, real_deadline deadline)
{
    const std::shared_ptr<peer_client> client = clientOf(peer);
    return client ? client->claim(request, deadline) : std::nullopt;
}

bool peer_service::settle(const vm_id &peer, const proto::settle_request &request, real_deadline deadline)
{
    const std::shared_ptr<peer_client> client = clientOf(peer);
    return client && client->settle(request, deadline);
}

std::optional<proto::read_reply> peer_service::readTail(const vm_id &peer, const proto::tail_request &request, real_deadline deadline)
{
    const std::shared_ptr<peer_client> client = clientOf(peer);
    return client ? client->readTail(request, deadline) : std::nullopt;
}

std::optional<proto::events_reply> peer_service::events(const vm_id &peer, const proto::events_request &request, real_deadline deadline)
{
    const std::shared_ptr<peer_client> client = clientOf(peer);
    return client ? client->events(request, deadline) : std::nullopt;
}

std::optional<proto::listing_reply>
peer_service::readListing(const vm_id &peer, const proto::listing_request &request, real_deadline deadline)
{
    const std::shared_ptr<peer_client> client = clientOf(peer);
    return client ? client->readListing(request, deadline) : std::nullopt;
}

} // namespace fuchsialoom
