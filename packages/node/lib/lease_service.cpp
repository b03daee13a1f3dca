/// \file
/// Leases of targets for accused requests.
#include "fuchsialoom/node/lease_service.h"

#include "fuchsialoom/node/node_clock.h"
#include "fuchsialoom/wire/peer_codec.h"

namespace fuchsialoom
{

static constexpr std::size_t ringCapacity = 4096;
/// The decisions wait a little longer for the answer, then ask elsewhere.
static constexpr milliseconds leaseTimeout{200};

lease_service::lease_service(decision_service &decisions, peer_service &peers)
    : m_decisions(decisions)
    , m_peers(peers)
    , m_wishes(ringCapacity)
{
    // What a full ring doesn't take counts as not granted, and ends by its own time.
    decisions.handlers().askLease = [this](const ask_lease &action) {
        m_wishes.tryPush(action);
    };
    decisions.handlers().endLease = [this](const end_lease &action) {
        m_wishes.tryPush(action);
    };
    peers.handlers().leaseTarget = [this](const proto::target_lease &asked) {
        const std::optional<target_lease> lease = decodeLease(asked, monotonicNow());
        proto::target_lease_reply reply;
        reply.set_granted(lease && keep(*lease));
        return reply;
    };
}

void lease_service::start()
{
    m_thread = std::jthread([this] {
        run();
    });
}

void lease_service::stop()
{
    m_wishes.close();
    m_thread.join();
}

void lease_service::run()
{
    while (const std::optional<wish> next = m_wishes.pop()) {
        if (m_wishes.closed()) {
            return;
        }
        std::visit(
            [this](const auto &action) {
                carryOut(action);
            },
            *next);
    }
}

void lease_service::carryOut(const ask_lease &action)
{
    const vm_id self = m_peers.self().vm;
    const vm_id keeper = presentKeeper(action.target);
    const target_lease lease{action.target, self, action.request, action.until};
    if (keeper == self) {
        answer(action, keeper, keep(lease));
        return;
    }
    const real_deadline deadline = std::chrono::steady_clock::now() + leaseTimeout;
    m_peers.leaseTarget(keeper, encodeLease(lease, monotonicNow()), deadline, [this, action, keeper](std::optional<bool> granted) {
        if (!granted) {
            // It may have been granted all the same.
            m_wishes.tryPush(end_lease{action.request, action.target, monotonicNow()});
        }
        answer(action, keeper, granted.value_or(false));
    });
}

void lease_service::answer(const ask_lease &action, const vm_id &keeper, bool granted)
{
    if (granted) {
        const std::lock_guard lock(m_mutex);
        m_keepers[lease_key(action.target, action.request)] = keeper;
    }
    m_decisions.post(lease_answered{action.request, action.target, granted});
}

void lease_service::carryOut(const end_lease &action)
{
    const vm_id self = m_peers.self().vm;
    const vm_id keeper = takeKeeper(action);
    const target_lease lease{action.target, self, action.request, action.until};
    if (keeper == self) {
        keep(lease);
        return;
    }
    const real_deadline deadline = std::chrono::steady_clock::now() + leaseTimeout;
    m_peers.leaseTarget(keeper, encodeLease(lease, monotonicNow()), deadline, [](std::optional<bool>) {});
}

/// \return whether the lease is held now, of those that this VM keeps.
bool lease_service::keep(const target_lease &lease)
{
    const std::vector<peer_view> peers = m_peers.peers();
    const std::lock_guard lock(m_mutex);
    for (const peer_view &peer : peers) {
        if (peer.state == peer_state::Gone) {
            m_leases.forget(peer.vm);
        }
    }
    return m_leases.take(monotonicNow(), lease);
}

vm_id lease_service::takeKeeper(const end_lease &action)
{
    {
        const std::lock_guard lock(m_mutex);
        const auto granted = m_keepers.find(lease_key(action.target, action.request));
        if (granted != m_keepers.end()) {
            const vm_id keeper = granted->second;
            m_keepers.erase(granted);
            return keeper;
        }
    }
    return presentKeeper(action.target);
}

vm_id lease_service::presentKeeper(const target_id &target) const
{
    return keeperOf(target, m_peers.dutyHolders(), m_peers.self().vm);
}

} // namespace fuchsialoom
