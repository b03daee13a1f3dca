/// \file
/// The budget of appends of one VM.
#include "fuchsialoom/core/append_budget.h"

#include <algorithm>
#include <cassert>

namespace fuchsialoom
{

append_budget::append_budget(std::uint32_t perMinute, std::uint32_t burst, std::size_t mostWaiting)
    : m_interval(microseconds(std::chrono::minutes(1)) / std::max<std::uint32_t>(perMinute, 1))
    , m_mostCredit(m_interval * std::max<std::uint32_t>(burst, 1))
    , m_credit(m_mostCredit)
    , m_mostWaiting(mostWaiting)
{
    assert(perMinute > 0 && "a VM without appends can't change anything");
}

bool append_budget::enqueue(append_ticket ticket, append_class use)
{
    if (waiting() >= m_mostWaiting) {
        return false;
    }
    m_queues[static_cast<std::size_t>(use)].push_back(waiting_append{ticket, ++m_arrivals});
    return true;
}

void append_budget::withdraw(append_ticket ticket)
{
    for (class_queue &queue : m_queues) {
        std::erase_if(queue, [&](const waiting_append &entry) {
            return entry.ticket == ticket;
        });
    }
}

void append_budget::refill(instant now)
{
    if (m_isStarted && now > m_refilled) {
        m_credit = std::min(m_mostCredit, m_credit + (now - m_refilled));
    }
    m_refilled = m_isStarted ? std::max(m_refilled, now) : now;
    m_isStarted = true;
}

append_budget::class_queue *append_budget::chooseQueue()
{
    class_queue *urgent = nullptr;
    class_queue *oldest = nullptr;
    for (class_queue &queue : m_queues) {
        if (queue.empty()) {
            continue;
        }
        urgent = urgent == nullptr ? &queue : urgent;
        oldest = oldest == nullptr || queue.front().arrival < oldest->front().arrival ? &queue : oldest;
    }
    if (m_grantsSinceOldest + 1 < grantsPerOldest) {
        ++m_grantsSinceOldest;
        return urgent;
    }
    m_grantsSinceOldest = 0;
    return oldest;
}

std::optional<append_ticket> append_budget::grant(instant now)
{
    refill(now);
    if (m_credit < m_interval || waiting() == 0) {
        return std::nullopt;
    }
    class_queue *queue = chooseQueue();
    assert(queue != nullptr && "someone waits");
    const append_ticket ticket = queue->front().ticket;
    queue->pop_front();
    m_credit -= m_interval;
    return ticket;
}

instant append_budget::nextGrant(instant now) const
{
    const microseconds grown = m_isStarted && now > m_refilled ? m_credit + (now - m_refilled) : m_credit;
    return grown >= m_interval ? now : now + (m_interval - grown);
}

std::size_t append_budget::waiting() const
{
    std::size_t count = 0;
    for (const class_queue &queue : m_queues) {
        count += queue.size();
    }
    return count;
}

} // namespace fuchsialoom
