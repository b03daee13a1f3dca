/// \file
/// Hosts the claim machine: one duty thread for its decisions, others for the log and the calls to owners,
/// so that nothing slow stands between a request and its decision.
#pragma once

#include "fuchsialoom/core/claim_machine.h"
#include "fuchsialoom/node/decision_service.h"
#include "fuchsialoom/node/log_service.h"
#include "fuchsialoom/node/peer_service.h"
#include "fuchsialoom/node/settings_service.h"
#include "fuchsialoom/support/bounded_ring.h"

#include <atomic>
#include <future>
#include <map>
#include <mutex>
#include <thread>
#include <variant>
#include <vector>

namespace fuchsialoom
{

/// The services that claims need.
struct claim_surroundings
{
    log_service &log;
    decision_service &decisions;
    settings_service &settings;
    event_service &events;
    peer_service *peers = nullptr; ///< nothing: this VM alone serves, and owns every partition
};

/// Thread-safe.
class claims_service : public service
{
public:
    /// Takes the handlers of claims at the decisions and, where there are peers, of their calls.
    claims_service(const claim_options &options, claim_surroundings around);

    void start() override;
    /// Waits a little for outcomes and abandons to reach the log.
    void stop() override;

    /// How long callers may count on a key being remembered.
    milliseconds window() const
    {
        return milliseconds(m_window.load());
    }

    /// The claims of \p scope, a beginning of their keys, whose outcome is unknown, in the partitions that
    /// this VM follows; \p most of them are listed. \throws error(AppendUncertain) when
    /// the duty thread gives no answer in time.
    unknown_claims_listed unknownClaims(const std::string &scope, std::size_t most);

private:
    using unknown_promise = std::promise<unknown_claims_listed>;
    using claim_call = std::variant<ask_claim_owner, send_claim_ends>;

    void post(claim_event event);
    void run();
    void step(const claim_event &event);
    void carryOut(append_claims &action);
    void carryOut(read_claims &action);
    void carryOut(ask_claim_owner &action);
    void carryOut(send_claim_ends &action);
    void carryOut(answer_claim_peer &action);
    void carryOut(answer_ends_peer &action);
    void carryOut(unknown_claims_listed &action);
    void carryOut(claim_decided &action);
    void carryOut(emit_event &action);

    void appendAll();
    void readAll();
    void callAll();
    claim_event call(const ask_claim_owner &action);
    claim_event call(const send_claim_ends &action);
    void readSettings();
    void readLogState();
    void readMembers();

    proto::claim_reply serveClaim(const proto::claim_request &request);
    void serveEnds(const proto::settle_request &request);

    const vm_id m_vm;
    const milliseconds m_peerWait; ///< longest wait of a peer's call here
    claim_surroundings m_around;
    claim_machine m_machine; ///< used by the duty thread alone
    bounded_ring<claim_event> m_ring;
    bounded_ring<append_claims> m_appends; ///< has room for all that can be under way
    bounded_ring<read_claims> m_reads; ///< has room for all that can be under way
    bounded_ring<claim_call> m_calls;
    std::vector<claim_member> m_members; ///< used by the duty thread alone; as last told to the machine
    bool m_logAvailable = true; ///< used by the duty thread alone; as last told to the machine
    instant m_nextLook{}; ///< of the duty thread at settings and peers
    std::atomic<milliseconds::rep> m_window;
    std::atomic<std::size_t> m_load{0};

    mutable std::mutex m_mutex;
    std::uint64_t m_lastAsk = 0; ///< guarded by m_mutex
    std::map<ask_number, std::promise<claim_reply>> m_claimAsks; ///< guarded by m_mutex
    std::map<ask_number, std::promise<bool>> m_endsAsks; ///< guarded by m_mutex
    std::map<ask_number, unknown_promise> m_unknownAsks; ///< guarded by m_mutex

    std::vector<std::jthread> m_threads;
};

} // namespace fuchsialoom
