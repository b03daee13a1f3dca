/// \file
/// Several VMs' membership and watch plans over a fake network under virtual time, with the truth beside
/// them: which VMs and targets run, and which of them can reach each other.
#pragma once

#include "fuchsialoom/core/membership.h"
#include "fuchsialoom/core/watch_plan.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace fuchsialoom
{

inline constexpr milliseconds fleetHeartbeat{500};
inline constexpr milliseconds fleetSuspectAfter{2000};

/// One VM's process. Its clock differs from every other's.
struct fleet_vm
{
    fleet_vm(const vm_contact &self, seconds clockOffset);

    instant clock(instant global) const
    {
        return global + offset;
    }

    membership members;
    watch_plan watch;
    seconds offset;
    bool frozen = false;
    std::map<vm_id, incarnation_number> highest; ///< ever known here; what must never go down
    std::map<target_id, std::size_t> reachableFor; ///< rounds in a row that the target could be reached
};

struct fleet_target
{
    listed_target listed;
    std::uint64_t incarnation = 1;
    bool running = true;
};

/// A digest kept back, to be delivered late.
struct late_digest
{
    vm_contact contact;
};

class fleet
{
public:
    fleet(std::size_t vmsPerDomain, std::size_t targetsPerDomain);

    std::size_t slots() const
    {
        return m_slots.size();
    }
    std::size_t targetCount() const
    {
        return m_targets.size();
    }

    // Faults. Indices wrap round.
    void cut(std::size_t from, std::size_t to);
    void cutTarget(std::size_t vm, std::size_t target);
    void freeze(std::size_t vm);
    void thaw(std::size_t vm);
    void kill(std::size_t vm);
    /// Starts a process in the slot: under the same name, or at the same address under a new one.
    void replace(std::size_t vm, bool sameName);
    void killTarget(std::size_t target);
    void restartTarget(std::size_t target);
    void freezeList(bool frozen);
    void keepDigest(std::size_t vm);
    void deliverKept(std::size_t to);
    void heal();

    /// One heartbeat interval at every VM.
    void round();

    /// What is broken right now, or "": things that hold under every fault.
    std::string brokenInvariant() const;
    /// How the views differ from the truth, or "": for a network healed long enough.
    std::string difference() const;

private:
    struct slot
    {
        std::optional<fleet_vm> vm; ///< nothing while no process runs there
        vm_contact contact; ///< of the last process
    };

    void start(slot &where, vm_contact contact);
    void publishList();
    void beat(std::size_t sender);
    void deliver(const vm_contact &from, const fleet_vm &sender, bool hears, bool answers, fleet_vm &receiver);
    void probe(std::size_t prober, const watch_actions &actions);
    void noteIncarnations(fleet_vm &vm);
    void noteReachability();
    bool reaches(std::size_t vm, std::size_t target) const;
    std::optional<std::size_t> slotAt(const endpoint &address) const;
    std::string differenceAt(const fleet_vm &vm) const;
    std::string targetDifferenceAt(const fleet_vm &vm) const;

    std::vector<slot> m_slots;
    std::vector<fleet_target> m_targets;
    std::set<std::pair<std::size_t, std::size_t>> m_cuts; ///< from, to
    std::set<std::pair<std::size_t, std::size_t>> m_targetCuts; ///< VM, target
    std::vector<late_digest> m_kept;
    vm_listing m_list; ///< as the platform shows it
    bool m_listFrozen = false;
    instant m_now{seconds(1000)};
    std::uint64_t m_nextIncarnation = 1;
    std::uint64_t m_nextName = 1;
    std::string m_wentDown; ///< the first incarnation seen to go down, or ""
};

} // namespace fuchsialoom
