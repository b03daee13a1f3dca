/// \file
/// Whether this VM has a path to the targets, as its own connection attempts and bytes from targets show. Tells a target that is out
/// of reach from a VM that is: after an attempt without success, attempts at several other targets decide. Sans-I/O.
#pragma once

#include "fuchsialoom/support/ids.h"
#include "fuchsialoom/support/name_table.h"
#include "fuchsialoom/support/time.h"

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

namespace fuchsialoom
{

/// Targets at work send something within this time, unless all of them that a VM uses are silent at once.
inline constexpr milliseconds quietTime{300};

enum class connect_result {
    Connected,
    Refused, ///< the host answered that nobody listens, or something on the way did
    NoAnswer,
};

template<>
struct name_table<connect_result>
{
    static constexpr auto entries = std::to_array<enum_name<connect_result>>({
        {connect_result::Connected, "connected"},
        {connect_result::Refused, "refused"},
        {connect_result::NoAnswer, "no-answer"},
    });
};

/// What a connection attempt decided.
enum class path_change {
    None,
    Confirmed, ///< the path is whole: what failed before is out of reach for other reasons, see takeSuspects()
    Lost,
    Regained,
};

class path_watch
{
public:
    /// Bytes of some target arrived.
    void onHeard(instant now)
    {
        m_heardAt = now;
    }

    /// A connection attempt at \p target ended.
    path_change onConnect(instant now, const target_id &target, connect_result result);

    /// Nothing came from any target for a while, although requests are in progress at several.
    void onQuiet();

    /// The targets to attempt a connection to now, of \p candidates, which are in random order. Each result goes to onConnect().
    std::vector<target_id> takeProbes(instant now, const std::vector<target_id> &candidates);

    /// Decides if takeProbes() found nobody to compare with.
    path_change decideWithoutProbes();

    bool isLost() const
    {
        return m_isLost;
    }
    /// When takeProbes() is due next; far in the future if it isn't.
    instant nextProbesAt(instant now) const
    {
        return m_isLost ? m_nextProbeAt : m_wantsCheck ? now : farFuture;
    }
    /// Latest time at which a target was heard or a connection made.
    instant reachedAt() const
    {
        return std::max(m_heardAt, m_connectedAt);
    }
    /// Targets that failed an attempt while it wasn't known whose trouble that is.
    std::set<target_id> takeSuspects()
    {
        return std::exchange(m_suspects, {});
    }

private:
    path_change decide();

    instant m_heardAt{};
    instant m_connectedAt{};
    std::set<target_id> m_missed; ///< failed an attempt since the last connection was made
    std::set<target_id> m_suspects; ///< of m_missed and of earlier ones, not taken yet
    std::set<target_id> m_probed; ///< attempts of the latest check that are still open
    bool m_isDecided = true; ///< the latest check has its result
    bool m_wantsCheck = false;
    bool m_isLost = false;
    int m_connectsInRow = 0; ///< while the path is lost
    instant m_nextProbeAt{}; ///< while the path is lost
};

} // namespace fuchsialoom
