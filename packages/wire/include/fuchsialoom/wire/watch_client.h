/// \file
/// A target as its watchers meet it, over HTTP: its load and its prefix cache. A real engine's protocol is
/// adapted in this file and its source.
///
///   GET /load                      with "age_ms": how old the report is
///   GET /cache-events?after=SEQ    {"incarnation","first","events":[{"sequence","stored","block"}]}
///   GET /cache                     {"incarnation","sequence","blocks":[HASH]}
#pragma once

#include "fuchsialoom/core/cache_follower.h"
#include "fuchsialoom/core/targets.h"
#include "fuchsialoom/wire/log_client.h"

#include <optional>

namespace fuchsialoom
{

struct aged_report
{
    load_report report; ///< `takenAt` is left for the caller to set
    milliseconds age{0}; ///< of the report, when the target answered
};

/// Thread-safe: every call opens its own connection. Each returns nothing where the target doesn't answer
/// by the deadline, or answers nonsense.
class watch_client
{
public:
    explicit watch_client(endpoint target);

    std::optional<aged_report> load(const target_id &target, real_deadline deadline);
    std::optional<cache_page> cacheEvents(std::uint64_t after, real_deadline deadline);
    std::optional<cache_content> cacheContent(real_deadline deadline);

private:
    endpoint m_target;
};

} // namespace fuchsialoom
