/// \file
/// What the gateway reads out of a request and of a target's answer, and what it adds to an attempt.
/// The names of the headers are an adapter's: a `request_dialect`.
#pragma once

#include "fuchsialoom/http/answer_reader.h"
#include "fuchsialoom/http/request_reader.h"
#include "fuchsialoom/support/ids.h"
#include "fuchsialoom/support/time.h"

#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace fuchsialoom
{

struct request_facts
{
    request_id id; ///< empty when the caller sent none
    std::optional<milliseconds> callerTimeout; ///< how long the caller waits, counted from its send
    model_id model; ///< empty for plain services
    adapter_id adapter; ///< empty when none is used
    std::uint32_t promptTokens = 0;
    std::uint32_t maxOutputTokens = 0;
    std::optional<std::uint32_t> outputTokensHint; ///< the caller's estimate
    std::optional<std::uint64_t> resumeAfter; ///< the last event that the caller has
};

/// What one attempt carries beside the caller's own headers.
struct attempt_facts
{
    milliseconds timeLeft{0};
    target_id target; ///< any other process at the address refuses the request
    int urgency = 0; ///< the route's rank
    bool isEngine = false;
    std::optional<std::uint64_t> resumeAfter; ///< the last event that was passed on
};

struct answer_facts
{
    request_id answers; ///< the request it names; empty when it names none
    bool notRun = false; ///< the target says that it didn't run the request, and won't
    bool signedByTarget = false;
    bool wrongTarget = false; ///< another process has the address, or what was asked for isn't there
    bool displaced = false; ///< another process has the address, by its own word
};

/// How an adapter reads and writes headers; all calls are pure.
struct dialect_calls
{
    request_facts (*readRequest)(const received_request &);
    /// \p asked: the target that the request was for.
    answer_facts (*readAnswer)(const answer_head &, const target_id &asked);
    /// Drops what a caller must not set, and adds what \p attempt says.
    void (*writeAttempt)(header_list &, const attempt_facts &attempt);
    /// Puts the time after which a refused caller may come back.
    void (*writeRetryAfter)(header_list &, milliseconds after);
};

template<typename Dialect>
concept request_dialect =
    requires(const received_request &request, const answer_head &answer, const target_id &target, header_list &headers)
{
    {
        Dialect::readRequest(request)
        } -> std::same_as<request_facts>;
    {
        Dialect::readAnswer(answer, target)
        } -> std::same_as<answer_facts>;
    Dialect::writeAttempt(headers, attempt_facts());
    Dialect::writeRetryAfter(headers, milliseconds(0));
};

/// The calls of \p Dialect, so that the request path needn't be a template.
template<request_dialect Dialect>
constexpr dialect_calls callsOf()
{
    return {&Dialect::readRequest, &Dialect::readAnswer, &Dialect::writeAttempt, &Dialect::writeRetryAfter};
}

} // namespace fuchsialoom
