/// \file
/// A fake fleet for the request machine: targets that run, refuse, die, fall silent and restart, workers
/// that report how attempts end, and an oracle that knows what really ran. Virtual time only.
#pragma once

#include "fuchsialoom/core/request_machine.h"

#include <map>
#include <optional>
#include <ostream>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace fuchsialoom
{

inline constexpr milliseconds quarantineLength{3000};
inline constexpr milliseconds spreadWait{100};

/// Fails the property with \p what unless \p holds.
void require(bool holds, const std::string &what);

/// One choice of the fuzzer, read by the fleet according to its state.
struct fuzz_step
{
    std::uint8_t kind = 0;
    std::uint8_t a = 0;
    std::uint8_t b = 0;

    friend std::ostream &operator<<(std::ostream &to, const fuzz_step &step)
    {
        return to << '{' << int{step.kind} << ',' << int{step.a} << ',' << int{step.b} << '}';
    }
};

class fake_fleet
{
public:
    fake_fleet();

    void take(const fuzz_step &step);

    /// Lets every deadline pass and every pending decision arrive, then checks that all is answered.
    void finish();

    std::size_t starts() const
    {
        return m_starts;
    }

private:
    void act(const fuzz_step &step);

    enum class worker_stage {
        Idle, ///< waits for an action
        Connecting,
        Resuming,
        Streaming,
    };

    enum class claim_stage {
        None,
        Pending,
        Won,
        Over, ///< settled, voided, or decided for another
    };

    /// One request and its worker.
    struct life
    {
        incoming_request request;
        worker_stage stage = worker_stage::Idle;
        claim_stage claim = claim_stage::None;
        std::optional<start_attempt> attempt; ///< the latest
        std::size_t listing = 0; ///< of the target, when the attempt started
        std::size_t runs = 0; ///< times that a target took it to run; the truth
        bool mayHaveRun = false; ///< as its worker's reports allow
        bool gone = false; ///< its caller
        bool voided = false;
        std::size_t finals = 0;
        std::optional<instant> spreadPending; ///< since when the peers are being told

        bool isOpen() const
        {
            return finals == 0 && !gone;
        }

        /// Whether the machine still follows its attempt: a claimed run is followed without its caller.
        bool isWatched() const
        {
            return finals == 0 && (!gone || claim == claim_stage::Won);
        }
    };

    struct fake_target
    {
        listed_target listed;
        std::uint64_t incarnation = 1;
        bool alive = true;
        bool refuses = false;
        std::uint32_t capacity = 2;
        std::set<request_id> streams; ///< that run there now
        // What the machine was told:
        bool known = false; ///< listed and not lost since
        bool silent = false; ///< and not listed since
        std::size_t listing = 0; ///< grows with each loss and restart
        std::optional<load_report> report; ///< the newest
    };

    void arrive(std::uint8_t a, std::uint8_t b);
    void arriveTwice(std::uint8_t a);
    void progress(std::uint8_t a, std::uint8_t b);
    void connect(life &one, fake_target &target);
    void breakAttempt(std::uint8_t a, std::uint8_t b);
    void report(std::uint8_t a, std::uint8_t b);
    void repeatReport(std::uint8_t a);
    void changeTarget(std::uint8_t a, std::uint8_t b);
    void list(std::uint8_t a, std::uint8_t b);
    void decideClaim(std::uint8_t a, std::uint8_t b);
    void loseCaller(std::uint8_t a);
    void tellPeers(std::uint8_t a);
    void answerLeases(std::uint8_t choice);
    void hearPeers(std::uint8_t a, std::uint8_t b);
    void repeatEnd(std::uint8_t a, std::uint8_t b);
    void pass(milliseconds time);

    incarnation_number processOf(const target_id &target) const;
    void end(life &one, attempt_end how, std::uint64_t tokens = 0);
    void crash(fake_target &target);
    void post(const request_event &event);

    void check(const start_attempt &action);
    void check(const answer_failure &action);
    void check(const answer_recorded &action);
    void check(const request_done &action);
    void check(const cancel_attempt &action);
    void check(const place_claim &action);
    void check(const settle_claim &action);
    void check(const void_claim &action);
    void check(const spread_accusation &action);
    void check(const ask_lease &action);
    void check(const end_lease &action);
    void check(const publish_quarantine &action);
    void check(const emit_event &)
    {
    }

    void checkRoom(const life &one, const fake_target &target) const;
    void checkApart(const life &one) const;
    void checkPeersTold(const life &one) const;
    bool isAccused(content_hash fingerprint) const;
    bool isInFlight(const life &one, const fake_target &target) const;
    std::vector<life *> inAttempt();
    std::vector<life *> unfinished();

    request_machine m_machine;
    instant m_now{seconds(1)};
    std::vector<fake_target> m_targets;
    std::map<request_id, life> m_lives;
    std::vector<load_report> m_oldReports;
    std::vector<claim_decided> m_oldDecisions;
    std::vector<attempt_ended> m_oldEnds;
    std::map<content_hash, instant> m_accused; ///< until when, by what the machine was told or said
    std::map<content_hash, instant> m_quarantined; ///< until when
    std::map<content_hash, std::set<std::pair<target_id, incarnation_number>>> m_charges;
    std::vector<ask_lease> m_asked; ///< not answered yet
    std::map<target_id, request_id> m_leased; ///< as the keeper knows it
    std::optional<request_id> m_duplicate; ///< arrives a second time in this step
    std::optional<request_id> m_completed; ///< reported as completed in this step
    bool m_draining = false;
    std::size_t m_starts = 0;
};

} // namespace fuchsialoom
