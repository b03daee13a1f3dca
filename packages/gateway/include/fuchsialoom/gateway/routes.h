/// \file
/// What the operator's configuration says of requests: which host and path belongs to which service,
/// and how its requests may be treated.
#pragma once

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

/// A part of a route's traffic.
struct service_share
{
    service_id service;
    std::uint32_t weight = 1;

    friend bool operator==(const service_share &, const service_share &) = default;
};

/// Durations here are the operator's settings; each request makes deadlines of them.
struct route
{
    std::string name;
    std::string host;
    std::string prefix; ///< begins and ends with a slash
    request_kind kind = request_kind::NonIdempotent;
    std::vector<service_share> services; ///< at least one; weights sum to more than 0
    milliseconds timeout{0}; ///< longest time that the operator wants a caller kept waiting; 0: none
    milliseconds objective{0}; ///< an answer (a stream's first event) within it earns its full credit
    milliseconds gapObjective{0}; ///< longest pause between a stream's events that is still on time
    std::uint32_t attempts = 1; ///< targets that one request may be sent to
    int rank = 0; ///< 0 is the most urgent
    bool resumable = false; ///< a stream may go on at another target from a given event

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

/// The adapter of that number, from 1 on.
adapter_id numberedAdapter(std::uint32_t number);

/// What every engine of a service can hold and do.
struct engine_traits
{
    std::uint32_t slots = 1;
    std::uint64_t cacheTokens = 0;
    double megabytes = 0; ///< for weights and adapters together
    std::uint32_t adapterSlots = 0;
    double loadsPerSecond = 0; ///< that the weight store allows over all engines
    std::vector<served_model> models;

    /// Whether the service has \p model, and \p adapter of it where one is named.
    bool serves(const model_id &model, const adapter_id &adapter) const;

    /// Null for a model that the service hasn't.
    const served_model *find(const model_id &model) const;

    friend bool operator==(const engine_traits &, const engine_traits &) = default;
};

struct service_traits
{
    std::string healthPath;
    std::uint32_t maxConnections = 100; ///< that a target takes from all callers together
    std::optional<engine_traits> engine; ///< nothing: a plain service

    friend bool operator==(const service_traits &, const service_traits &) = default;
};

struct gateway_configuration
{
    std::uint64_t version = 0; ///< grows with every change
    std::vector<route> routes;
    std::map<service_id, service_traits> services;
    caller_limits limits;
};

/// Finds routes by host and path.
class route_table
{
public:
    void assign(std::vector<route> routes);

    /// The route of \p host (a port behind it doesn't count) with the longest prefix of \p path, or null.
    /// The pointer holds until the next assign().
    const route *find(std::string_view host, std::string_view path) const;

    std::size_t size() const;

private:
    /// By host, in lower case; the routes of a host by descending length of prefix.
    std::map<std::string, std::vector<route>, std::less<>> m_hosts;
};

/// The service for a request: \p draw is any number, its remainder chooses by weight.
const service_id &chooseService(const route &of, std::uint64_t draw);

} // namespace fuchsialoom
