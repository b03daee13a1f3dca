/// \file
/// The data that the gateway reads from requests and targets' answers, and adds to attempts. A `request_dialect` maps
/// it to and from headers.
#pragma once

#include "fuchsialoom/gateway/teams.h"
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

/// Parts of a prompt that are considered. Bounds what a caller can make the fleet remember.
inline constexpr std::size_t maxPromptParts = 8;

struct request_facts
{
    request_id id; ///< empty if the caller sent none
    std::optional<milliseconds> callerTimeout; ///< counted from when the caller sent the request
    model_id model; ///< empty for plain services
    adapter_id adapter; ///< empty if none is used
    std::uint32_t promptTokens = 0;
    std::uint32_t maxOutputTokens = 0;
    std::optional<std::uint32_t> outputTokensHint; ///< the caller's estimate
    bool statesTokens = false; ///< the caller stated the counts above
    std::optional<std::uint64_t> resumeAfter; ///< id of the last event that the caller has received
    /// Names of the parts of its prompt that other requests may have too, in order: the first maxPromptParts, without the last of all.
    std::vector<std::string> sharedParts;

    /// The parts for a log line.
    std::string partsText() const
    {
        std::string text;
        for (const std::string &part : sharedParts) {
            text.append(text.empty() ? "" : ",").append(part);
        }
        return text.empty() ? "none" : text;
    }
};

/// What is sent with an attempt in addition to the caller's headers.
struct attempt_facts
{
    milliseconds timeLeft{0};
    target_id target; ///< any other process at its address refuses the request
    int urgency = 0; ///< the route's rank
    bool isEngine = false;
    std::optional<std::uint64_t> resumeAfter; ///< id of the last event relayed to the caller
    /// Set if the configuration has teams: the team that the request is attributed to, empty for none. The target is told
    /// this team and doesn't get the caller's key. Unset: the caller's headers pass unchanged.
    std::optional<team_id> team;
};

struct answer_facts
{
    request_id answers; ///< the request that the answer names; empty if none
    bool notRun = false; ///< the target states that it didn't run the request and won't
    bool signedByTarget = false;
    bool wrongTarget = false; ///< another process uses the address, or the requested model isn't resident
    bool displaced = false; ///< the answer names another process at the address
    /// The targets of its service end if they turn away more requests than this in a second; nothing if they don't.
    std::optional<std::uint32_t> maxTurnedAway;
};

/// The functions of a `request_dialect`; none has side effects beyond its arguments.
struct dialect_calls
{
    request_facts (*readRequest)(const received_request &);
    credential (*readCredential)(const received_request &);
    /// \p asked: the target that the request was sent to.
    answer_facts (*readAnswer)(const answer_head &, const target_id &asked);
    /// Removes headers that a caller must not set, and adds those for \p attempt.
    void (*writeAttempt)(header_list &, const attempt_facts &attempt);
    /// Adds the time after which a refused caller may retry.
    void (*writeRetryAfter)(header_list &, milliseconds after);
    /// Adds what an answer to an unauthorized request has to state.
    void (*writeChallenge)(header_list &, key_problem problem);
};

template<typename Dialect>
concept request_dialect =
    requires(const received_request &request, const answer_head &answer, const target_id &target, header_list &headers)
{
    {
        Dialect::readRequest(request)
        } -> std::same_as<request_facts>;
    {
        Dialect::readCredential(request)
        } -> std::same_as<credential>;
    {
        Dialect::readAnswer(answer, target)
        } -> std::same_as<answer_facts>;
    Dialect::writeAttempt(headers, attempt_facts());
    Dialect::writeRetryAfter(headers, milliseconds(0));
    Dialect::writeChallenge(headers, key_problem::Missing);
};

/// The functions of \p Dialect, as pointers so that the request path needn't be a template.
template<request_dialect Dialect>
constexpr dialect_calls callsOf()
{
    return {&Dialect::readRequest,
            &Dialect::readCredential,
            &Dialect::readAnswer,
            &Dialect::writeAttempt,
            &Dialect::writeRetryAfter,
            &Dialect::writeChallenge};
}

} // namespace fuchsialoom
