/// \file
/// One caller's request as its worker thread sees it: waits for decisions, carries out attempts, and
/// reports how they ended.
#pragma once

#include "fuchsialoom/core/stream_origins.h"
#include "fuchsialoom/core/stream_relay.h"
#include "fuchsialoom/node/decision_service.h"
#include "fuchsialoom/support/metrics.h"
#include "fuchsialoom/wire/engine_client.h"

#include <functional>
#include <memory>
#include <string>
#include <variant>

namespace fuchsialoom
{

/// An answer that is sent in one piece.
struct whole_answer
{
    std::uint32_t status = 0;
    std::string contentType;
    std::string body;
};

/// What the worker needs beside what the decisions need.
struct session_input
{
    incoming_request request;
    std::string body;
    milliseconds progressTimeout{5000};
    /// The decisions answer at the deadline; a worker that hears nothing gives up this much later.
    milliseconds decisionMargin{2000};
    /// Makes the answer of the whole text of a model request, for the record behind its key.
    std::function<whole_answer(const std::string &)> wholeAnswer;
};

/// What a session works with; outlives it.
struct session_services
{
    decision_service &decisions;
    event_service &events;
    metrics_registry &metrics;
};

/// The caller's side of a stream.
struct caller_sink
{
    /// Receives the text of each token once, in order. \return false when the caller is gone.
    std::function<bool(const std::string &)> write;
    /// Whether the caller is still there, as far as can be told without writing.
    std::function<bool()> connected;
};

/// The stream runs: the caller can be told so.
struct stream_started
{
};
/// The last token was delivered.
struct stream_finished
{
};

using session_result = std::variant<failure, key_outcome, whole_answer, stream_started, stream_finished>;

/// Used by one worker thread. Every wait ends shortly after the request's deadline. A session that is
/// left early tells the decisions that its caller is gone. A caller who goes while its target is silent is
/// noticed at the next token, or when the progress timeout passes.
class request_session
{
public:
    request_session(session_input input, session_services services);
    ~request_session();
    request_session(const request_session &) = delete;
    request_session &operator=(const request_session &) = delete;

    /// Runs until there is a final answer or a stream has started. A plain service's answer is whole.
    /// \p connected is asked while the request waits.
    session_result begin(const std::function<bool()> &connected);

    /// Delivers a started stream to its end, over as many attempts as it takes. A failure is a typed end:
    /// CallerGone where nobody is left to answer.
    session_result deliver(const caller_sink &sink);

    /// The text delivered.
    const std::string &text() const
    {
        return m_relay.text();
    }

private:
    enum class follow_end {
        Ended, ///< as the attempt_end says
        Superseded, ///< the decisions have something newer
        CallerGone,
    };

    std::optional<session_result> next(const std::function<bool()> &connected);
    std::optional<request_action> await(const std::function<bool()> &connected);
    std::optional<session_result> carryOut(const request_action &action);
    std::optional<session_result> attempt(const start_attempt &action);
    std::optional<session_result> callPlain(const start_attempt &action);
    attempt_end startStream(const start_attempt &action);
    attempt_end adopt(const start_attempt &action, std::optional<attempt_number> streamAttempt);
    attempt_end brokenEnd() const;
    bool outlivesCaller() const;
    bool mayLeave(const std::function<bool()> &connected) const;
    follow_end followAttempt(const caller_sink &sink, attempt_end &end);
    void tokenDelivered(bool firstOfAttempt);
    void reportDropped(std::uint64_t before);
    incarnation_number examineTarget();
    void report(attempt_end end);
    session_result leave(error_kind why, std::string detail);
    real_deadline deadline() const;
    target_request describe(const start_attempt &action) const;

    session_input m_input;
    session_services m_services;
    std::shared_ptr<request_mailbox> m_mailbox; ///< set from begin() on
    std::optional<start_attempt> m_running; ///< the latest attempt
    std::optional<whole_answer> m_answer; ///< of a plain service, until the decision that ends the request
    request_id m_stream; ///< the request's name at engines
    stream_relay m_relay;
    stream_origins m_origins;
    instant m_arrivedAt;
    instant m_lastTokenAt;
    bool m_mayHaveRun = false; ///< bytes of the request may have reached a target
    bool m_callerGone = false; ///< a write to the caller failed
    bool m_ended = false; ///< the decisions know that the request is over
};

} // namespace fuchsialoom
