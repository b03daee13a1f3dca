/// \file
/// Targets as the system knows them: what the platform lists, what a target reports of its load, and
/// what a fresh read of its state shows.
#pragma once

#include "fuchsialoom/support/ids.h"
#include "fuchsialoom/support/name_table.h"
#include "fuchsialoom/support/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace fuchsialoom
{

/// An IP number and a port, for example `10.0.0.7:8000`.
struct endpoint
{
    std::string host;
    std::uint16_t port = 0;

    friend auto operator<=>(const endpoint &, const endpoint &) = default;
};

enum class target_kind {
    Engine,
    Plain,
};

template<>
struct name_table<target_kind>
{
    static constexpr auto entries = std::to_array<enum_name<target_kind>>({
        {target_kind::Engine, "engine"},
        {target_kind::Plain, "plain"},
    });
};

/// What the platform's list says of a VM or target. The list lags: it is a hint, never proof.
enum class listed_state {
    Live,
    Leaving,
};

template<>
struct name_table<listed_state>
{
    static constexpr auto entries = std::to_array<enum_name<listed_state>>({
        {listed_state::Live, "live"},
        {listed_state::Leaving, "leaving"},
    });
};

struct listed_target
{
    target_id id;
    target_kind kind = target_kind::Engine;
    domain_id domain;
    pool_id pool;
    endpoint address;
    std::uint64_t memoryBytes = 0; ///< accelerator memory for weights; 0 for plain targets
    std::uint32_t accelerators = 0;
    std::vector<service_id> services; ///< plain targets: the services that it answers
    listed_state state = listed_state::Live;

    friend bool operator==(const listed_target &, const listed_target &) = default;
};

struct listed_vm
{
    vm_id id;
    domain_id domain;
    endpoint peer; ///< where its peers reach it
    endpoint admin; ///< where operators reach it
    listed_state state = listed_state::Live;

    friend bool operator==(const listed_vm &, const listed_vm &) = default;
};

/// The platform's list as last read.
struct vm_listing
{
    std::vector<listed_vm> vms;
    std::vector<listed_target> targets;

    friend bool operator==(const vm_listing &, const vm_listing &) = default;
};

struct resident_model
{
    model_id model;
    version_id version;
    std::uint64_t bytes = 0;

    friend auto operator<=>(const resident_model &, const resident_model &) = default;
};

struct resident_adapter
{
    model_id model;
    adapter_id adapter;
    version_id version;
    std::uint64_t bytes = 0;

    friend auto operator<=>(const resident_adapter &, const resident_adapter &) = default;
};

/// Names a stream in the reports, see markOf() of stream_id.h.
using stream_mark = std::uint32_t;

/// Streams of a target that its reports name. The others are not found by a repeat at another VM.
inline constexpr std::size_t mostStreamMarks = 64;

/// A target's own report of its load. It lags: `takenAt` says when it was true.
struct load_report
{
    target_id target;
    incarnation_number incarnation;
    instant takenAt; ///< on the reading VM's clock, already corrected for the report's age
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint32_t capacity = 1; ///< streams that run at full speed together
    double tokensPerSecond = 0; ///< generated over all streams
    std::vector<resident_model> models;
    std::vector<resident_adapter> adapters;
    std::vector<stream_mark> streams; ///< that run there, in order; at most mostStreamMarks

    friend bool operator==(const load_report &, const load_report &) = default;
};

/// A fresh read of a target's state, asked for at `askedAt`; the only thing that resolves an intent.
struct target_state
{
    target_id target;
    incarnation_number incarnation;
    fencing_number fence; ///< highest number seen; none where the target doesn't check
    instant askedAt;
    std::uint64_t memoryBytes = 0;
    std::vector<resident_model> models;
    std::vector<resident_adapter> adapters;
    std::vector<resident_model> loading;

    friend bool operator==(const target_state &, const target_state &) = default;
};

/// A late, possibly gappy event of a target's prefix cache.
struct cache_event
{
    std::uint64_t sequence = 0; ///< consecutive per incarnation; a hole is a gap
    bool stored = true; ///< false: evicted
    content_hash block; ///< hash of a prompt prefix, see prefixBlocksOf

    friend bool operator==(const cache_event &, const cache_event &) = default;
};

struct cache_batch
{
    target_id target;
    incarnation_number incarnation;
    bool resync = false; ///< the events are the whole content, not a change
    std::vector<cache_event> events;

    friend bool operator==(const cache_batch &, const cache_batch &) = default;
};

/// "host:port". \throws error(InvalidOption) in parseEndpoint, naming the text.
std::string toText(const endpoint &address);
endpoint parseEndpoint(const std::string &text);

} // namespace fuchsialoom
