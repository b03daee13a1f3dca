/// \file
/// When a VM that starts may say that it is ready.
#include "fuchsialoom/core/readiness_gate.h"

#include <algorithm>

namespace fuchsialoom
{

/// Engines asked at a time.
static constexpr std::size_t mostAsked = 64;

readiness_gate::readiness_gate(instant openAt)
    : m_openAt(openAt)
{
}

gate_actions readiness_gate::step(instant now, const gate_event &event)
{
    gate_actions actions;
    if (m_open) {
        return actions;
    }
    std::visit(
        [&](const auto &what) {
            handle(what);
        },
        event);
    m_open = now >= m_openAt || (m_listed && m_waiting.empty());
    if (m_open) {
        return actions;
    }
    const std::size_t window = std::min(mostAsked, m_waiting.size());
    for (std::size_t index = 0; index < window; ++index) {
        if (m_asked.insert(m_waiting[index].id).second) {
            actions.probes.push_back(m_waiting[index]);
        }
    }
    return actions;
}

void readiness_gate::handle(const gate_listed &event)
{
    m_listed = true;
    m_waiting.clear();
    for (const listed_target &target : event.targets) {
        if (target.kind == target_kind::Engine && !m_met.contains(target.id)) {
            m_waiting.push_back(target);
        }
    }
}

/// What is said of a target before it is listed isn't kept by those who route to it, so it doesn't count.
void readiness_gate::handle(const gate_met &event)
{
    const auto erased = std::erase_if(m_waiting, [&](const listed_target &target) {
        return target.id == event.target;
    });
    if (erased > 0) {
        m_met.insert(event.target);
    }
}

/// A probe may have found no room: whoever isn't met by now is named again.
void readiness_gate::handle(const gate_time_passed &)
{
    m_asked.clear();
}

} // namespace fuchsialoom
