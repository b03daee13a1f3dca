/// \file
/// A target as the leader of its domain meets it, over HTTP. A real engine's protocol is adapted in this
/// file and its source alone.
///
///   POST /orders   {"id","fence","operation","model","version","adapter","bytes","expires_unix_micros"}
///                  -> 200, 409 {"error":"stale-fence","fence":N}, 410 past its expiry
///   GET  /state    see decodeState
#pragma once

#include "fuchsialoom/core/leader_messages.h"
#include "fuchsialoom/core/targets.h"
#include "fuchsialoom/wire/log_client.h"

#include <concepts>
#include <optional>
#include <string>
#include <string_view>

namespace fuchsialoom
{

struct order_reply
{
    order_answer answer = order_answer::Unknown;
    fencing_number fence; ///< with StaleFence: the highest that the target has seen
};

template<typename Target>
concept order_target = requires(Target target, const target_order &order, const target_id &id, real_deadline deadline)
{
    /// Sends \c order once, by \c deadline.
    {
        target.send(order, deadline)
        } -> std::same_as<order_reply>;
    /// A fresh read; nothing where the target doesn't answer. `askedAt` is left for the caller to set.
    {
        target.state(id, deadline)
        } -> std::same_as<std::optional<target_state>>;
};

/// Thread-safe: every call opens its own connection, and no order is sent on one that was used before.
class http_order_target
{
public:
    explicit http_order_target(endpoint target);

    order_reply send(const target_order &order, real_deadline deadline);
    std::optional<target_state> state(const target_id &target, real_deadline deadline);

private:
    endpoint m_target;
};

static_assert(order_target<http_order_target>);

std::string encodeOrder(const target_order &order);
/// \return nothing where \p text is no valid state.
std::optional<target_state> decodeState(const target_id &target, std::string_view text);

} // namespace fuchsialoom
