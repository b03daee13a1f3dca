/// \file
/// One request from its arrival to its answer: waits in the gateway's queue, is sent to a target,
/// perhaps to another, and relays what comes back.
#pragma once

#include "fuchsialoom/gateway/event_scanner.h"
#include "fuchsialoom/gateway/gateway.h"
#include "fuchsialoom/gateway/waiting_rules.h"

#include <memory>
#include <set>
#include <string>

namespace fuchsialoom
{

/// A target that refused a connection, or was silent, gets requests only where no other can take them.
inline constexpr milliseconds unreachableAvoidance{1000};

class exchange : public std::enable_shared_from_this<exchange>
{
public:
    exchange(gateway &owner, std::shared_ptr<caller_link> caller, received_request request);
    ~exchange();

    /// Decides by the configuration in force: queues the request or answers it.
    void start();

    /// Sends the request to \p target, which counts it as in flight until the attempt ends.
    void dispatch(const pool_target &target);

    void refuse(refusal why, std::optional<milliseconds> retryAfter);

    /// This VM ends before the request could: it is told so, as not run where that is certain.
    void abortForShutdown();

    queued_request queueEntry() const;

    /// Whether it can no longer meet its objective from the queue, and wasn't known to before.
    bool updateLateness(instant now);
    /// Whether its caller would have left if it were sent at \p when, and nothing of it has run.
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
    bool isDone() const
    {
        return m_done;
    }

private:
    friend class gateway;

    struct attempt
    {
        target_id target;
        std::shared_ptr<http_link> link;
        bool isSigned = false; ///< the answer bears the target's signature
        bool headReceived = false;
        std::uint32_t pendingPromptTokens = 0; ///< of the prompt; 0 once the first event came
        bool relaysEvents = false; ///< the answer is a stream that goes on event by event
        answer_head head;
        std::string body; ///< of an answer that goes on as a whole
        instant sentAt{};
        instant lastByteAt{};
    };

    void resolveRoute();
    bool isModelServed() const;
    bool isStream() const
    {
        return m_route.kind == request_kind::Stream;
    }
    std::string serializeRequest(const pool_target &target) const;
    link_events callbacksForAttempt(std::uint32_t number);
    void onHead(const answer_head &head);
    void onPromptProcessed();
    void samplePace(instant now);
    void onBody(std::string_view bytes);
    void onComplete();
    void onFailure(link_failure how, bool sent);
    void relay(std::string_view events);
    void finishStream();
    void relayWholeAnswer();
    void endAttempt();
    void handleAttemptEnd(attempt_outcome outcome);
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
    request_facts m_facts;
    request_id m_serial; ///< unique at this VM, unlike the caller's id
    route m_route; ///< a copy: the configuration may change meanwhile
    service_id m_service;
    bool m_isEngine = false;
    std::uint64_t m_configVersion = 0;
    instant m_arrivedAt;
    microseconds m_queueTime{0}; ///< from the arrival to the first send
    request_deadlines m_deadlines{};
    bool m_late = false; ///< waits behind those that can still meet their objective
    attempt_history m_history;
    std::set<target_id> m_triedTargets;
    std::optional<attempt> m_attempt; ///< the one under way
    std::uint32_t m_attemptNumber = 0; ///< events of an earlier attempt are told apart by it
    event_scanner m_eventScanner;
    instant m_firstEventAt{};
    instant m_paceSampleStart{}; ///< since when events are counted for the next word of the stream's pace
    std::uint64_t m_paceSampleFirstEvent = 0; ///< events before that
    std::uint64_t m_gapMs = 0; ///< longest pause between events
    asio::steady_timer m_timer;
    bool m_streamStarted = false; ///< the caller has the head of a stream
    bool m_countedInDemand = false; ///< in the demand of its model
    bool m_running = false;
    bool m_done = false;
};

} // namespace fuchsialoom
