/// \file
/// One request from its arrival to its answer: it waits in the gateway's queue, is sent to one or more targets in
/// turn, and relays the answer.
#pragma once

#include "fuchsialoom/gateway/event_scanner.h"
#include "fuchsialoom/gateway/gateway.h"
#include "fuchsialoom/gateway/silence_rules.h"
#include "fuchsialoom/gateway/waiting_rules.h"

#include <memory>
#include <set>
#include <string>

namespace fuchsialoom
{

class exchange : public std::enable_shared_from_this<exchange>
{
public:
    /// \p passedOn: set if another VM passed the request on.
    exchange(gateway &parent, std::shared_ptr<caller_link> caller, received_request request, std::optional<passed_on_mark> passedOn);
    ~exchange();

    /// Queues the request or answers it, as the current configuration says.
    void start();

    /// Makes a second attempt beside a silent one, if another target has room and may take the request over.
    takeover_verdict tryTakeover(instant now);

    /// Requests with equal keys can be served by the same targets.
    lane_key sharedLane() const;

    /// Sends the request to \p target and counts it as in flight there until the attempt ends.
    void dispatch(const pool_target &target);

    void refuse(refusal why, std::optional<milliseconds> retryAfter);

    /// \name Passing on between VMs: see exchange_peers.cpp.
    /// @{
    bool isPassedOn() const
    {
        return m_passedOn.has_value();
    }
    /// Whether the request goes to another VM instead of a target.
    bool leavesToPeer() const;
    void passOn(const serving_peer &peer);
    /// Answers the VM that passed the request on that this one doesn't take it.
    void decline();
    /// Ends the request, since neither a target nor another VM can be reached.
    void endWithoutPath(refusal why, milliseconds retryAfter);
    /// This VM's path to the targets is lost: attempts without a connection end, and one that isn't heard looks for a successor.
    void onPathLost();
    /// @}

    /// Ends the request if it is one that crashes targets. \return whether it did.
    bool endIfQuarantined();

    /// Ends the request if it is suspected and it isn't its turn to run as a trial; else claims that turn. \return whether
    /// it ended.
    bool endIfSuspected();

    /// Ends a request that can't finish before this VM stops; refuses it as not run if that is certain.
    void abortForShutdown();

    queued_request queueEntry() const;

    /// Marks the request as late once it can no longer meet its objective. \return whether this call marked it.
    bool updateLateness(instant now);
    /// Whether the queue deadline has passed by \p when, for a request of which no attempt may have run.
    bool expiresInQueueBy(instant when) const
    {
        return when >= m_deadlines.queueDeadline && !m_streamStarted && !m_history.mayHaveRun;
    }
    target_query query() const;
    const request_facts &facts() const
    {
        return m_facts;
    }
    const request_id &serial() const
    {
        return m_serial;
    }
    /// See fingerprintOf(); computed on the first call.
    content_hash fingerprint() const;
    /// Fingerprints of the parts of its prompt that others may share.
    const std::vector<content_hash> &promptParts() const;
    /// What a crash at this request may be blamed on.
    crash_subjects subjects() const;
    bool isDone() const
    {
        return m_done;
    }

private:
    friend class gateway;

    struct attempt
    {
        std::uint32_t number = 0; ///< of this request's attempts; callbacks name it
        target_id target; ///< empty if it was passed on to `peer`
        std::optional<vm_id> peer;
        std::shared_ptr<http_link> link;
        event_scanner scanner; ///< continues that of the attempt before
        bool isSigned = false; ///< the target itself signed the answer
        bool headReceived = false;
        std::uint32_t pendingPromptTokens = 0; ///< prompt tokens; 0 once the first event has arrived
        bool relaysEvents = false; ///< the answer is a stream, relayed event by event
        answer_head head;
        std::string body; ///< of an answer that is relayed as a whole
        instant sentAt{};
        instant firstEventAt = farFuture;
        instant lastEventAt{};
        instant lastByteAt{};
        std::size_t bytesSinceEvent = 0; ///< of a stream
        std::size_t receivedAtEvent = 0; ///< what its link had received by its head, or by the latest event of a stream
        held_bytes held{}; ///< of the answer
        bool isSilent = false; ///< nothing came for longer than a busy target needs
        bool usesSlot = true; ///< counted as in flight at its target
        bool isCountedRetry = false; ///< by the retry budget, at `sentAt`
    };

    attempt newAttempt();
    /// Ends the attempt whose answer has to give way to others.
    void giveAnswerUp();
    /// Refuses the request, which has to give way to others.
    void onNoMemory();
    /// The adapter whose demand includes this request, or none.
    adapter_id countedAdapter() const
    {
        return m_countedModel.empty() ? adapter_id() : m_facts.adapter;
    }
    /// Refuses what only a newer configuration, which another VM has, may allow. \return whether it did.
    bool refuseIfBehind();
    /// Attributes the request to the team of its key. \return whether it may go on; else it has been answered.
    bool authorize();
    /// Spends the request's cost of its team's quota. \return whether there was credit; else it has been answered.
    bool chargeTeam();
    /// Gives the cost back, since the request hasn't run.
    void refundTeam();
    /// The team, else the key that was presented; empty if there is neither.
    std::string callerName() const;
    /// Answers a request that the configuration doesn't allow with \p status.
    void deny(int status, header_list headers, log_line line);
    void resolveRoute();
    /// Takes another route than at the request's arrival; its deadlines still count from there.
    void followRoute(const route &other);
    bool isModelServed() const;
    /// What has been relayed of the stream.
    const event_scanner &scanner() const
    {
        return m_attempt ? m_attempt->scanner : m_eventScanner;
    }
    bool isStream() const
    {
        return m_route.kind == request_kind::Stream;
    }
    std::string serializeRequest(const attempt &one) const;
    std::string serializeForPeer(const attempt &one) const;
    /// The request with \p headers, which have no framing.
    std::string serializeWith(const header_list &headers) const;
    void launchAtPeer(attempt &one, const serving_peer &peer);
    /// The answer of the VM that the request was passed on to is complete.
    void onPeerAnswer(attempt &one);
    /// Sends the request to \p target as attempt \p one, which is new.
    void launch(attempt &one, const pool_target &target);
    link_events callbacksForAttempt(std::uint32_t number);
    /// The attempt in progress with that number, or null.
    attempt *findAttempt(std::uint32_t number);
    void onHead(attempt &one, const answer_head &head);
    void onPromptProcessed();
    /// Whether \p one hasn't run long enough to show that the request doesn't crash its target.
    static bool isBeginning(const attempt &one, instant now);
    void samplePace(instant now);
    void onBody(attempt &one, std::string_view bytes);
    /// Whether \p size further bytes of the answer of \p one are more than this VM keeps of one, or more than it reads for an event.
    static bool exceedsBounds(const attempt &one, std::size_t size);
    /// Events of the leading attempt.
    void onEvents(std::string_view events);
    void onComplete(attempt &one);
    /// The stream's message is complete; the stream itself may not be.
    void onStreamEnd(attempt &one);
    void onFailure(attempt &one, link_failure how, bool sent);
    /// The answer of an attempt that may have run broke off.
    /// \param connectionEnded: its connection ended too early, as at the end of the target's process.
    void onBrokenOff(attempt &one, std::string_view how, bool connectionEnded);
    /// The attempt may have run and gets no answer; before the request is known to run, its target may have died.
    void onUnanswered(const attempt &one);
    void logBreak(const attempt &one, std::string_view how);
    void relay(std::string_view events);
    void relayWholeAnswer();
    /// Ends the attempt at its target: its slot and its link are free.
    void release(attempt &one);
    void closeAttempts();
    void endAttempts();
    /// \name Silence: see exchange_silence.cpp.
    /// @{
    /// Bytes of \p one arrived.
    void onHeard(attempt &one);
    /// No byte of the leading attempt arrived for longer than a busy target needs.
    void onSilence(instant now);
    void logSilence(instant now) const;
    takeover_verdict judgeTakeoverNow(instant now) const;
    bool isSuspectedNow(instant now) const;
    /// Another target that has room and isn't avoided, or null.
    const pool_target *chooseSuccessor(instant now);
    void freeSlot(attempt &one);
    /// \p one has something for the caller: it is the only attempt from here on, as `m_attempt`.
    void settleOn(const attempt &one);
    void promoteSuccessor();
    void dropSuccessor();
    /// The successor has had its time to refuse: the request goes on at one engine.
    void onHandoverDue();
    instant handoverDeadline() const;
    /// @}
    /// Claims the turn for a trial, and gets a lane of its own in the queue.
    bool claimTrial();
    /// Gives the turn back: the request isn't suspected any more, or it has ended.
    void endTrial();
    void handleAttemptEnd(attempt &one, attempt_outcome outcome);
    /// Counts the end of \p one in the history and at its target.
    void countAttemptEnd(const attempt &one, attempt_outcome outcome);
    /// Ends \p one; the other attempt in progress becomes the leading one.
    void endBesideOther(attempt &one);
    void failRequest(int status, std::string_view reason);
    void onCallerGone();
    void armTimer();
    void onTimer();
    void onDeadlineReached();
    instant stallDeadline() const;
    void recordRun();
    void finish(std::string_view result, std::string_view reason);

    gateway &m_gateway;
    std::shared_ptr<caller_link> m_caller;
    received_request m_request;
    held_bytes m_heldRequest; ///< memory of m_request; gives way until the first attempt
    request_facts m_facts;
    request_id m_serial; ///< unique on this VM, unlike the caller's request id
    route m_route; ///< copied, since the configuration may change while the request is open
    service_id m_service;
    bool m_isEngine = false;
    std::uint64_t m_configVersion = 0;
    std::optional<team_id> m_team; ///< set if the configuration has teams; empty: none, on a public route
    std::uint64_t m_cost = 0; ///< spent of the team's quota
    mutable std::optional<content_hash> m_fingerprint; ///< set by fingerprint()
    mutable std::optional<std::vector<content_hash>> m_promptParts; ///< set by promptParts()
    std::optional<trial_claim> m_trial; ///< set while the request is suspected; may have lapsed
    instant m_arrivedAt;
    microseconds m_queueTime{0}; ///< from the arrival to the first attempt
    request_deadlines m_deadlines{};
    bool m_late = false; ///< queued behind the requests that can still meet their objective
    attempt_history m_history;
    std::uint32_t m_declines = 0; ///< other VMs that didn't take it
    std::optional<passed_on_mark> m_passedOn; ///< set if another VM passed the request on; then it is passed on no further
    bool m_needsPeer = false; ///< this VM reaches none of the targets that could serve the request
    std::set<target_id> m_triedTargets;
    std::optional<attempt> m_attempt; ///< the leading one; only its answer is relayed
    std::optional<attempt> m_successor; ///< only beside m_attempt, while that is or was silent, and at another target
    std::optional<target_id> m_givenUpSilent; ///< its attempt was closed for a successor
    std::optional<target_id> m_returnsTo; ///< the only target that the next attempt may go to
    std::uint32_t m_attemptNumber = 0; ///< of the latest attempt
    event_scanner m_eventScanner; ///< of the attempts that have ended; see scanner()
    takeover_verdict m_takeoverVerdict = takeover_verdict::Possible; ///< as last judged in the present silence
    instant m_nextTakeoverAt{}; ///< next look for a successor while nothing else prompts one
    instant m_firstEventAt{};
    instant m_paceSampleStart{}; ///< start of the current pace sample
    std::uint64_t m_paceSampleFirstEvent = 0; ///< event count at that time
    std::uint64_t m_gapMs = 0; ///< longest gap between events
    asio::steady_timer m_timer;
    bool m_streamStarted = false; ///< the stream's head was sent to the caller
    bool m_countedInDemand = false; ///< included in the demand of m_countedModel
    /// Empty for plain services, whose callers may send any name. Set once, since the request may be rerouted meanwhile.
    model_id m_countedModel;
    bool m_running = false;
    bool m_hasBegun = false; ///< its targets weren't crashed by the beginning of its run
    bool m_done = false;
};

} // namespace fuchsialoom
