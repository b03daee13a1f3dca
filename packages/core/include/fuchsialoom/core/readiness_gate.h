/// \file
/// When a VM that starts may say that it is ready: once it has a list of targets and knows of each engine
/// what it holds, or that it doesn't answer. Until then it would refuse what other VMs can serve. Its
/// peers' digests tell it of most engines late, so it asks each once itself. A deadline bounds the wait,
/// so that a VM that is cut off serves what it can.
#pragma once

#include "fuchsialoom/core/targets.h"

#include <set>
#include <variant>
#include <vector>

namespace fuchsialoom
{

// Events.

/// A list of targets came in, of all domains, the first to be asked first.
struct gate_listed
{
    std::vector<listed_target> targets;
};

/// A report of this target is known, or a try to reach it has failed.
struct gate_met
{
    target_id target;
};

/// Posted once every heartbeat interval.
struct gate_time_passed
{
};

using gate_event = std::variant<gate_listed, gate_met, gate_time_passed>;

struct gate_actions
{
    std::vector<listed_target> probes; ///< engines to ask now; one that is being asked may be named again
};

class readiness_gate
{
public:
    /// At \p openAt it opens whatever is known.
    explicit readiness_gate(instant openAt);

    gate_actions step(instant now, const gate_event &event);

    /// Never takes it back.
    bool isOpen() const
    {
        return m_open;
    }

private:
    void handle(const gate_listed &event);
    void handle(const gate_met &event);
    void handle(const gate_time_passed &event);

    const instant m_openAt;
    bool m_open = false;
    bool m_listed = false;
    std::vector<listed_target> m_waiting; ///< engines listed and not met, in the order of asking
    std::set<target_id> m_met; ///< met since they were listed first
    std::set<target_id> m_asked; ///< asked since the last round, so not to be named again before the next
};

} // namespace fuchsialoom
