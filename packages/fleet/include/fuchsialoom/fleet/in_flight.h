/// \file
/// What VMs have in flight at targets, as they tell each other.
#pragma once

#include "fuchsialoom/support/ids.h"

#include <compare>
#include <cstdint>
#include <map>

namespace fuchsialoom
{

/// A short name of a target between VMs: a hash of its id, so that counts of hundreds of targets fit into a datagram.
/// Two targets with the same key are both taken for as busy as they are together.
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

/// What is in flight at a target.
struct target_in_flight
{
    std::uint32_t requests = 0;
    std::uint32_t unreadTokens = 0; ///< of prompts whose first event hasn't come

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
    /// Counts that were told at different moments may not fit together: no count falls below 0.
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
