/// \file
/// Leases of targets for accused requests: those that this VM keeps, and those that it asks other VMs for.
#pragma once

#include "fuchsialoom/core/target_leases.h"
#include "fuchsialoom/node/decision_service.h"
#include "fuchsialoom/node/peer_service.h"
#include "fuchsialoom/support/bounded_ring.h"

#include <map>
#include <mutex>
#include <thread>
#include <utility>
#include <variant>

namespace fuchsialoom
{

/// Thread-safe.
class lease_service : public service
{
public:
    /// Registers itself with \p decisions and \p peers.
    lease_service(decision_service &decisions, peer_service &peers);

    void start() override;
    void stop() override;

private:
    using wish = std::variant<ask_lease, end_lease>;
    using lease_key = std::pair<target_id, request_id>;

    void run();
    void carryOut(const ask_lease &action);
    void carryOut(const end_lease &action);
    void answer(const ask_lease &action, const vm_id &keeper, bool granted);
    bool keep(const target_lease &lease);
    vm_id takeKeeper(const end_lease &action);
    vm_id presentKeeper(const target_id &target) const;

    decision_service &m_decisions;
    peer_service &m_peers;
    bounded_ring<wish> m_wishes;
    mutable std::mutex m_mutex;
    target_leases m_leases; ///< guarded by m_mutex; those kept here
    std::map<lease_key, vm_id> m_keepers; ///< guarded by m_mutex; who granted the leases held here
    std::jthread m_thread;
};

} // namespace fuchsialoom
