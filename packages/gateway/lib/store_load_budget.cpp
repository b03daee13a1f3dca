/// \file
/// Implements the budget of loads from the weight store.
#include "fuchsialoom/gateway/store_load_budget.h"

#include <chrono>

namespace fuchsialoom
{

void store_load_budget::onTakeover(instant lastBegunAt)
{
    m_issuesFrom = lastBegunAt + m_limits.window;
}

bool store_load_budget::mayIssue(instant now, double loadsPerSecond)
{
    while (!m_settledAt.empty() && now - m_settledAt.front() > m_limits.window) {
        m_settledAt.pop_front();
    }
    std::erase_if(m_unsettled, [now](const auto &load) {
        return now - load.second.lastSentAt > lostOrderTimeout;
    });
    const double windowSeconds = std::chrono::duration<double>(m_limits.window).count();
    return now >= m_issuesFrom && static_cast<double>(taken()) + 1 <= loadsPerSecond * windowSeconds * m_limits.rateFactor;
}

void store_load_budget::onIssued(instant now, const target_id &target, const model_id &model, std::uint64_t expected)
{
    onOrderCount(now, target, expected);
    m_unsettled[target] = {model, expected, now};
}

bool store_load_budget::onResent(instant now, const target_id &target)
{
    const auto found = m_unsettled.find(target);
    if (found == m_unsettled.end()) {
        return false;
    }
    found->second.lastSentAt = now;
    return true;
}

void store_load_budget::settle(instant now, const target_id &target)
{
    m_unsettled.erase(target);
    m_settledAt.push_back(now);
}

void store_load_budget::onSettled(instant now, const target_id &target, const model_id &model)
{
    const auto found = m_unsettled.find(target);
    if (found != m_unsettled.end() && found->second.model == model) {
        settle(now, target);
    }
}

void store_load_budget::onOrderCount(instant now, const target_id &target, std::uint64_t orderCount)
{
    const auto found = m_unsettled.find(target);
    if (found != m_unsettled.end() && found->second.expected < orderCount) {
        settle(now, target);
    }
}

} // namespace fuchsialoom
