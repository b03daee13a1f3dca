/// \file
/// Several VMs' claim machines over one fake log and one fake target, under virtual time. Whatever can
/// be lost, late or twice is, by rates that the test sets; the target lists what it ran.
#pragma once

#include "fuchsialoom/core/claim_machine.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace fuchsialoom
{

/// Chances in a hundred.
struct world_faults
{
    int appendAnswerLost = 0; ///< it lands, at once or late
    int appendNeverLands = 0; ///< and the answer is lost
    int appendRefused = 0;
    int readLags = 0;
    int callLost = 0; ///< a call between VMs: the way there or the way back
    int targetRefuses = 0;
    int targetAnswerLost = 0;
    bool logDown = false;
};

struct target_run
{
    std::string key;
    std::uint64_t body = 0;
    std::string attempt; ///< which submission it was
    std::string answer;
};

/// One submission of a caller and what it was told.
struct submission
{
    std::string attempt;
    std::string key;
    std::uint64_t body = 0;
    std::size_t vm = 0;
    claim_number number;
    instant deadline;
    bool told = false;
    claim_verdict verdict = claim_verdict::Won; ///< set when told
    outcome known = outcome::Unknown; ///< set when told
    std::string answer; ///< set when told of a run
};

class claim_world
{
public:
    claim_world(std::size_t vms, std::uint64_t seed);

    world_faults faults;

    /// \return the index of the submission.
    std::size_t submit(std::size_t vm, const std::string &key, std::uint64_t body, milliseconds deadline);
    /// The caller leaves; the VM gives up unless the request was dispatched.
    void callerLeaves(std::size_t submission);
    /// The VM dies with all it knows, and a new incarnation starts.
    void restart(std::size_t vm);
    void pause(std::size_t vm, milliseconds length);
    void setMembers(std::size_t vm, const std::vector<std::size_t> &alive);
    /// Everybody knows of everybody.
    void setAllMembers();
    void advance(milliseconds length);

    const std::vector<target_run> &runs() const
    {
        return m_runs;
    }
    const std::vector<submission> &submissions() const
    {
        return m_submissions;
    }
    std::size_t vmCount() const
    {
        return m_vms.size();
    }
    /// Keys of which a request was sent towards the target, whether it arrived or not.
    const std::set<std::string> &dispatched() const
    {
        return m_dispatched;
    }
    std::size_t lateDispatches() const
    {
        return m_lateDispatches;
    }
    std::size_t ownerAnswers() const
    {
        return m_ownerAnswers;
    }
    std::size_t steps() const
    {
        return m_steps;
    }
    std::size_t loadOf(std::size_t vm) const
    {
        return m_vms[vm].machine->load();
    }

private:
    using task = std::function<void()>;

    struct fake_vm
    {
        std::unique_ptr<claim_machine> machine;
        std::uint64_t incarnation = 0;
        instant pausedUntil{};
        std::vector<task> backlog; ///< due while paused
        microseconds skew{0};
        std::map<std::uint64_t, std::size_t> undecided; ///< submissions by claim number
    };

    struct fake_stream
    {
        std::vector<log_entry> entries; ///< offset i + 1 at i
    };

    bool chance(int percent);
    milliseconds delay(int most);
    void at(milliseconds later, task what);
    /// Runs on the VM: dropped when it died meanwhile, late when it is paused.
    void onVm(std::size_t vm, milliseconds later, task what);
    void runOnVm(std::size_t vm, std::uint64_t incarnation, const task &what);
    void boot(std::size_t vm);
    void tick(std::size_t vm);
    void step(std::size_t vm, const claim_event &event);

    void carryOut(std::size_t vm, const append_claims &action);
    void carryOut(std::size_t vm, const read_claims &action);
    void carryOut(std::size_t vm, const ask_claim_owner &action);
    void carryOut(std::size_t vm, const send_claim_ends &action);
    void carryOut(std::size_t vm, const answer_claim_peer &action);
    void carryOut(std::size_t vm, const answer_ends_peer &action);
    void carryOut(std::size_t vm, const unknown_claims_listed &action);
    void carryOut(std::size_t vm, const claim_decided &action);
    void carryOut(std::size_t vm, const emit_event &action);

    void land(std::uint32_t partition, const record_body &body);
    void dispatch(std::size_t vm, std::size_t submission);
    void settle(std::size_t vm, std::size_t submission, outcome known, const std::string &answer);
    void tell(std::size_t submission, claim_verdict verdict, outcome known, const std::string &answer);
    std::optional<std::size_t> indexOf(const vm_id &vm) const;

    std::mt19937_64 m_random;
    instant m_now{seconds(1000)};
    std::multimap<instant, task> m_tasks;
    std::vector<fake_vm> m_vms;
    std::vector<fake_stream> m_streams;
    std::vector<submission> m_submissions;
    std::vector<target_run> m_runs;
    std::map<std::uint64_t, std::function<void(const claim_reply &)>> m_claimAsks;
    std::map<std::uint64_t, std::function<void(bool)>> m_endsAsks;
    std::uint64_t m_lastNumber = 0;
    std::set<std::string> m_dispatched;
    std::size_t m_lateDispatches = 0;
    std::size_t m_ownerAnswers = 0;
    std::size_t m_steps = 0;
};

} // namespace fuchsialoom
