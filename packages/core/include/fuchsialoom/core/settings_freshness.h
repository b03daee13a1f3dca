/// \file
/// Whether a VM's settings are the latest, and whether it may serve with them. A fresh VM serves only
/// once it has the highest offset that the log, or without it the peers, can show.
#pragma once

#include "fuchsialoom/support/ids.h"
#include "fuchsialoom/support/name_table.h"
#include "fuchsialoom/support/time.h"

#include <optional>

namespace fuchsialoom
{

enum class freshness {
    Starting, ///< not caught up once yet: must not serve
    Current,
    Stale, ///< serves, but a later change may be in force elsewhere
};

template<>
struct name_table<freshness>
{
    static constexpr auto entries = std::to_array<enum_name<freshness>>({
        {freshness::Starting, "starting"},
        {freshness::Current, "current"},
        {freshness::Stale, "stale"},
    });
};

class settings_freshness
{
public:
    /// \p staleAfter: without proof of being current for this long, settings count as stale.
    explicit settings_freshness(milliseconds staleAfter);

    /// The log answered with its \p head while \p applied was reached here.
    void logAnswered(instant now, log_offset head, log_offset applied);
    /// The log is out, and every peer that answered was asked: the highest offset that they showed.
    void peersAnswered(log_offset highest, log_offset applied);

    freshness state(instant now) const;

private:
    milliseconds m_staleAfter;
    std::optional<instant> m_current; ///< when it was last proved that nothing is missing
    bool m_isCaughtUp = false; ///< once true it stays true: settings in force never go away
};

} // namespace fuchsialoom
