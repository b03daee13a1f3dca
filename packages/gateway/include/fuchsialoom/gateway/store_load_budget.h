/// \file
/// Bounds how many loads from the weight store begin in any window of time. Sans-I/O.
///
/// A load begins at its engine, at some instant between the issue of its order and the answer to it. So it takes a place of the
/// budget from its issue until one window after it settled, which is when its order was known to have been executed or to be void.
/// Then of all loads that begin within one window, the one issued last found the places of all others taken.
#pragma once

#include "fuchsialoom/support/ids.h"
#include "fuchsialoom/support/time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>

namespace fuchsialoom
{

/// An order whose effect nothing shows this long after it was last sent counts as lost.
inline constexpr seconds lostOrderTimeout{20};

/// Limits on loads from the weight store.
struct store_load_limits
{
    milliseconds window{5000};
    double rateFactor = 1.0; ///< multiple of the store's rate that is allowed within the window
};

class store_load_budget
{
public:
    explicit store_load_budget(store_load_limits limits)
        : m_limits(limits)
    {
    }

    /// Another VM's loads may have begun until \p lastBegunAt. Loads issued here keep their places.
    void onTakeover(instant lastBegunAt);

    /// Whether a load may be issued now, of a store that allows \p loadsPerSecond.
    bool mayIssue(instant now, double loadsPerSecond);

    /// A load of \p model was issued that \p target executes only at the order count \p expected.
    void onIssued(instant now, const target_id &target, const model_id &model, std::uint64_t expected);
    /// The unanswered load is about to be sent again. \return whether its place is still held; without one it must not be sent.
    bool onResent(instant now, const target_id &target);
    /// The load of \p model was executed, or its order is void.
    void onSettled(instant now, const target_id &target, const model_id &model);
    /// \p target has the order count \p orderCount, so a load that expects a lower one was executed or is void.
    void onOrderCount(instant now, const target_id &target, std::uint64_t orderCount);

    /// Places taken, as of the last call of mayIssue().
    std::size_t taken() const
    {
        return m_settledAt.size() + m_unsettled.size();
    }
    /// Loads whose orders may still be executed.
    std::size_t unsettled() const
    {
        return m_unsettled.size();
    }
    instant issuesFrom() const
    {
        return m_issuesFrom;
    }

private:
    struct unsettled_load
    {
        model_id model;
        std::uint64_t expected = 0; ///< order count at which the engine executes it
        instant lastSentAt{};
    };

    void settle(instant now, const target_id &target);

    const store_load_limits m_limits;
    /// At most one for each engine: of the orders that expect the same count, an engine executes one. Kept while an engine isn't
    /// listed, as it may still execute the order.
    std::map<target_id, unsettled_load> m_unsettled;
    std::deque<instant> m_settledAt; ///< oldest first
    instant m_issuesFrom{}; ///< no load is issued before
};

} // namespace fuchsialoom
