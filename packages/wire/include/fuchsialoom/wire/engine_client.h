/// \file
/// A target as the request path meets it, over HTTP. A real engine's protocol is adapted in this file
/// and its source alone.
///
///   POST   /streams/ID            start the stream of request ID -> 201, 200 when it already exists,
///                                 503 {"outcome":"not-run"} when refused
///   GET    /streams/ID?from=N     server-sent events: {"stream","attempt","offset","text"} per token,
///                                 then {"stream","attempt","offset","finish"}
///   DELETE /streams/ID            cancel
///   GET    /load                  see decodeLoad
///   POST   /call/SERVICE          a call of a plain service
#pragma once

#include "fuchsialoom/core/requests.h"
#include "fuchsialoom/core/stream_relay.h"
#include "fuchsialoom/core/targets.h"
#include "fuchsialoom/wire/log_client.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace fuchsialoom
{

/// What a target needs to run a request.
struct target_request
{
    request_id request;
    attempt_number attempt;
    model_id model;
    version_id version;
    adapter_id adapter;
    int priority = 0;
    std::string body; ///< the caller's, unchanged
    std::string delivered; ///< text that the caller already has; generation continues after it
    std::uint64_t deliveredTokens = 0;
};

/// What the receiver of a frame wants next.
enum class frame_reply {
    More,
    Finished, ///< the answer is whole
    Stop, ///< the caller is gone, or the stream can't be used
};

using frame_sink = std::function<frame_reply(const token_frame &)>;

struct start_result
{
    attempt_end end = attempt_end::Lost; ///< Completed when the stream runs, else NotSent, Refused, Lost or Silent
    bool ranAlready = false; ///< the target had a stream of this request before the call
};

struct plain_answer
{
    attempt_end end = attempt_end::Lost;
    std::uint32_t status = 0;
    std::string contentType;
    std::string body;
};

/// Thread-safe: every call opens its own connection.
class engine_client
{
public:
    explicit engine_client(endpoint target);

    /// Without a byte for \p progress the connection counts as silent.
    start_result start(const target_request &request, milliseconds progress, real_deadline deadline);

    /// Hands on the frames from token \p from on. Without a byte for \p progress the connection counts as
    /// silent. \return Completed when the sink said that the answer is whole, Lost when it stopped or the
    /// connection broke, else Silent, StreamForgotten or DeadlinePassed. The end of the connection alone
    /// never counts as the end of the answer. Ends by \p deadline, or, where the stream falls silent shortly
    /// before it, at most \p progress later.
    attempt_end
    follow(const request_id &request, std::uint64_t from, milliseconds progress, real_deadline deadline, const frame_sink &sink);

    void cancel(const request_id &request, real_deadline deadline);

    /// Ends by about \p deadline, also when the answer trickles. An answer over 64 MiB counts as Lost.
    plain_answer call(const service_id &service, const target_request &request, real_deadline deadline);

private:
    endpoint m_target;
};

} // namespace fuchsialoom
