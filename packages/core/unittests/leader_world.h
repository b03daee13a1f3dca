/// \file
/// A failure domain in virtual time for tests of the domain's leader: VMs that pause and die, a log that
/// loses answers and goes down, targets that get orders late, out of order, twice or never; and the
/// oracle that watches the targets' memory.
#pragma once

#include "fuchsialoom/core/domain_leader.h"

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace fuchsialoom::test
{

enum class target_manner {
    Plain, ///< neither checks fencing nor honours an expiry
    HonoursExpiry,
    ChecksFencing,
};

/// A target as it is, not as anyone believes it to be.
struct fake_target
{
    target_id id;
    target_manner manner = target_manner::Plain;
    std::uint64_t capacity = 0;
    std::uint64_t incarnation = 1;
    std::uint64_t fence = 0; ///< kept over a restart, as the ledger asks of such targets
    std::vector<resident_model> models;
    std::vector<resident_model> loading;
    std::vector<resident_adapter> adapters;

    std::uint64_t usedBytes() const;
};

struct sent_order
{
    target_order order;
    std::size_t vm = 0;
    std::uint64_t vmIncarnation = 0;
};

struct fake_vm
{
    std::unique_ptr<domain_leader> leader;
    std::uint64_t incarnation = 1;
    milliseconds clockOffset{0};
    bool paused = false;
    std::deque<send_order> outbox; ///< checked against the lease, not yet on the wire
    std::deque<append_record> appends;
    std::deque<target_id> reads;
    std::deque<order_answered> answers; ///< that came while it was paused
};

struct world_options
{
    std::vector<target_manner> manners;
    std::uint64_t capacity = 4;
    bool losesMessages = false; ///< orders and their answers
    bool kills = true; ///< of VMs, with the orders that they haven't sent
    bool restarts = false; ///< of targets; then a lost last copy can't be laid to an order
};

class leader_world
{
public:
    explicit leader_world(const world_options &options);

    void want(const residency_goal &wanted);
    void hold(std::size_t target, const resident_model &model);

    /// One adversarial step; \p choice picks what, \p pick picks which.
    void act(unsigned choice, unsigned pick);

    /// Everything heals; then \p span of virtual time passes with every message delivered in order.
    void settle(milliseconds span);

    /// What the oracle has seen go wrong, or nothing.
    const std::string &fault() const
    {
        return m_fault;
    }
    bool reached() const;
    std::string describe() const;

    std::size_t ordersLanded() const
    {
        return m_landed;
    }
    std::size_t claims() const;

private:
    void advance(milliseconds span);
    void tick(std::size_t vm);
    void workAll(unsigned pick);
    void feed(std::size_t vm, const leader_event &event);
    void readLog(std::size_t vm);
    void appendOne(std::size_t vm, unsigned pick);
    void sendOne(std::size_t vm, bool checked);
    void readOne(std::size_t vm);
    void takeAnswers(std::size_t vm);
    void landOne(unsigned pick);
    void land(const sent_order &sent, bool answer);
    order_answer carryOut(fake_target &target, const target_order &order);
    void finishLoads(unsigned pick);
    void restartTarget(fake_target &target);
    void replaceVm(std::size_t vm);
    void checkCapacity(const fake_target &target);
    void checkLastCopy(const target_order &order);
    void introduce(std::size_t vm);
    instant clockOf(const fake_vm &vm) const;
    fake_target &targetOf(const target_id &id);

    world_options m_options;
    milliseconds m_now{100000};
    std::vector<fake_vm> m_vms;
    std::vector<fake_target> m_targets;
    std::vector<log_entry> m_log;
    std::vector<append_record> m_lateAppends; ///< taken by the log some time later
    std::vector<std::pair<std::size_t, std::uint64_t>> m_lateAuthors;
    std::vector<sent_order> m_wire;
    std::set<order_id> m_carriedOut;
    residency_goal m_wanted;
    bool m_logDown = false;
    bool m_anyCopyLostOtherwise = false; ///< a restart took copies, so a lost last one may be its doing
    std::size_t m_landed = 0;
    std::string m_fault;
};

} // namespace fuchsialoom::test
