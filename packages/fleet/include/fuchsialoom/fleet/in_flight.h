/// \file
/// In-flight counts per target, as VMs exchange them.
#pragma once

#include "fuchsialoom/support/ids.h"

#include <compare>
#include <cstdint>
#include <map>

namespace fuchsialoom
{

/// A hash of a target's id that identifies it in messages between VMs, so that the counts of hundreds of targets fit into a
/// datagram. If the hashes of two targets collide, each is treated as having the in-flight requests of both.
struct target_key
{
    target_key() = default;
    target_key(const target_id &id);
    explicit target_key(std::uint32_t hash)
        : value(hash)
    {
    }

    friend auto operator<=>(const target_key &, const target_key &) = default;

    std::uint32_t value = 0;
};

/// The requests in flight at a target.
struct target_in_flight
{
    std::uint32_t requests = 0;
    std::uint32_t unreadTokens = 0; ///< prompt tokens of requests that haven't produced their first event

    bool isNone() const
    {
        return requests == 0 && unreadTokens == 0;
    }
    target_in_flight &operator+=(const target_in_flight &other)
    {
        requests += other.requests;
        unreadTokens += other.unreadTokens;
        return *this;
    }
    /// Clamps at 0, since counts reported at different times may be inconsistent.
    target_in_flight &operator-=(const target_in_flight &other)
    {
        requests -= requests < other.requests ? requests : other.requests;
        unreadTokens -= unreadTokens < other.unreadTokens ? unreadTokens : other.unreadTokens;
        return *this;
    }
    friend bool operator==(const target_in_flight &, const target_in_flight &) = default;
};

using in_flight_counts = std::map<target_key, target_in_flight>;

} // namespace fuchsialoom
