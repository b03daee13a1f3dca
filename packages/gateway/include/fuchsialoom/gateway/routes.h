/// \file
/// The operator's configuration of requests: which service handles which host and path, and the deadlines, priorities
/// and retry limits of its requests.
#pragma once

#include "fuchsialoom/gateway/teams.h"
#include "fuchsialoom/http/caller_link.h"
#include "fuchsialoom/support/ids.h"
#include "fuchsialoom/support/name_table.h"
#include "fuchsialoom/support/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fuchsialoom
{

enum class request_kind {
    Idempotent,
    NonIdempotent,
    Stream,
};

template<>
struct name_table<request_kind>
{
    static constexpr auto entries = std::to_array<enum_name<request_kind>>({
        {request_kind::Idempotent, "idempotent"},
        {request_kind::NonIdempotent, "non-idempotent"},
        {request_kind::Stream, "stream"},
    });
};

/// A service's share of a route's traffic.
struct service_share
{
    service_id service;
    std::uint32_t weight = 1;

    friend bool operator==(const service_share &, const service_share &) = default;
};

/// Durations are the operator's settings, from which the deadlines of each request are computed.
struct route
{
    std::string name;
    std::string host;
    std::string prefix; ///< of the path; begins and ends with a slash
    request_kind kind = request_kind::NonIdempotent;
    std::vector<service_share> services; ///< at least one; weights sum to more than 0
    milliseconds timeout{0}; ///< limit on the time until the answer (or a stream's first event); 0: none
    milliseconds objective{0}; ///< latency objective of an answer, or of a stream's first event
    milliseconds gapObjective{0}; ///< latency objective of the gap between a stream's events
    std::uint32_t attempts = 1; ///< maximum number of targets that one request may be sent to
    int rank = 0; ///< 0 is the most urgent
    bool resumable = false; ///< a stream may be resumed at another target after a given event
    bool isPublic = false; ///< requests need no key

    /// Whether requests may go to \p service.
    bool leadsTo(const service_id &service) const;

    /// Whether a request may run more than once.
    bool isRepeatable() const
    {
        return kind == request_kind::Idempotent || (kind == request_kind::Stream && resumable);
    }

    friend bool operator==(const route &, const route &) = default;
};

struct served_model
{
    model_id model;
    double megabytes = 0;
    double loadSeconds = 0; ///< from the weight store
    double memoryLoadSeconds = 0; ///< from the engine's own memory copy
    double diskLoadSeconds = 0; ///< from the engine's own disk
    std::uint32_t adapters = 0; ///< named a1, a2, and so on
    double adapterMegabytes = 0;

    friend bool operator==(const served_model &, const served_model &) = default;
};

/// Id of adapter \p number, counted from 1.
adapter_id numberedAdapter(std::uint32_t number);

/// Capacity and models of each engine of a service.
struct engine_traits
{
    std::uint32_t slots = 1;
    std::uint64_t cacheTokens = 0;
    double megabytes = 0; ///< memory for weights and adapters together
    std::uint32_t adapterSlots = 0;
    double loadsPerSecond = 0; ///< limit of the weight store for all engines together
    std::vector<served_model> models;

    /// Whether the service has \p model and, unless empty, its \p adapter.
    bool serves(const model_id &model, const adapter_id &adapter) const;

    /// Null if the service doesn't have \p model.
    const served_model *find(const model_id &model) const;

    friend bool operator==(const engine_traits &, const engine_traits &) = default;
};

struct service_traits
{
    std::string healthPath;
    std::uint32_t maxConnections = 100; ///< limit of a target for all callers together
    std::optional<engine_traits> engine; ///< unset for a plain service

    friend bool operator==(const service_traits &, const service_traits &) = default;
};

struct gateway_configuration
{
    std::uint64_t version = 0; ///< increases with each change
    std::vector<route> routes;
    std::map<service_id, service_traits> services;
    std::optional<std::vector<team>> teams; ///< unset: requests need no key and have no quota
    caller_limits limits;
};

/// Finds routes by host and path.
class route_table
{
public:
    void assign(std::vector<route> routes);

    /// Returns the route of \p host (its port is ignored) with the longest prefix of \p path, or null.
    /// The pointer is valid until the next assign().
    const route *find(std::string_view host, std::string_view path) const;

    std::size_t size() const;

private:
    /// Keyed by host in lower case; the routes of a host are sorted by descending prefix length.
    std::map<std::string, std::vector<route>, std::less<>> m_hosts;
};

/// Chooses a service by weight. \p draw: a random number, reduced modulo the sum of the weights.
const service_id &chooseService(const route &matched, std::uint64_t draw);

} // namespace fuchsialoom
