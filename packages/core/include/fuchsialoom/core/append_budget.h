/// \file
/// This VM's share of the appends that the platform's log takes: a token bucket, handed out by class.
#pragma once

#include "fuchsialoom/support/name_table.h"
#include "fuchsialoom/support/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

namespace fuchsialoom
{

enum class append_class {
#define FUCHSIALOOM_APPEND_CLASS(Enumerator, Name) Enumerator,
#include "fuchsialoom/core/append_classes.def"
};

template<>
struct name_table<append_class>
{
    static constexpr auto entries = std::to_array<enum_name<append_class>>({
#define FUCHSIALOOM_APPEND_CLASS(Enumerator, Name) {append_class::Enumerator, Name},
#include "fuchsialoom/core/append_classes.def"
    });
};

/// Number of one waiting append, given by its owner.
using append_ticket = std::uint64_t;

class append_budget
{
public:
    /// One grant in this many goes to whoever waits longest, so that a flood of claims can't keep a
    /// change of settings out for good.
    static constexpr std::uint32_t grantsPerOldest = 10;

    /// \p perMinute must be above 0; up to \p burst grants at once after a quiet time.
    append_budget(std::uint32_t perMinute, std::uint32_t burst, std::size_t mostWaiting);

    /// Joins the end of its class. \return false, when too many wait.
    bool enqueue(append_ticket ticket, append_class use);
    /// Leaves without a grant. Unknown tickets are none of its business.
    void withdraw(append_ticket ticket);
    /// The ticket that may append at \p now, taken off the queue, or nothing.
    std::optional<append_ticket> grant(instant now);
    /// When the next grant can be made, if anyone waits by then.
    instant nextGrant(instant now) const;

    std::size_t waiting() const;

private:
    struct waiting_append
    {
        append_ticket ticket = 0;
        std::uint64_t arrival = 0;
    };
    using class_queue = std::deque<waiting_append>;

    void refill(instant now);
    class_queue *chooseQueue();

    microseconds m_interval; ///< time in which one token grows
    microseconds m_mostCredit; ///< the bucket's size, as time
    microseconds m_credit; ///< between zero and m_mostCredit
    instant m_refilled;
    bool m_isStarted = false;
    std::size_t m_mostWaiting;
    std::uint64_t m_arrivals = 0;
    std::uint32_t m_grantsSinceOldest = 0;
    std::array<class_queue, name_table<append_class>::entries.size()> m_queues; ///< each in order of arrival
};

} // namespace fuchsialoom
