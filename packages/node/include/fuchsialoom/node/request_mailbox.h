/// \file
/// Where a request's worker waits for its actions. It holds the latest attempt to start and the final
/// answer only, so it can't overflow and its sender never waits.
#pragma once

#include "fuchsialoom/core/requests.h"
#include "fuchsialoom/wire/log_client.h"

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <utility>

namespace fuchsialoom
{

/// Thread-safe: one sender, one worker.
class request_mailbox
{
public:
    /// An attempt supersedes an older one that was not taken yet, and a final answer supersedes every
    /// attempt: the decisions never wait for what they superseded. Nothing follows a final answer.
    void post(request_action action)
    {
        {
            const std::lock_guard lock(m_mutex);
            m_next = std::move(action);
            m_pending.store(true, std::memory_order_relaxed);
        }
        m_filled.notify_one();
    }

    /// Waits for an action until \p deadline.
    std::optional<request_action> popUntil(real_deadline deadline)
    {
        std::unique_lock lock(m_mutex);
        m_filled.wait_until(lock, deadline, [this] {
            return m_next.has_value();
        });
        m_pending.store(false, std::memory_order_relaxed);
        return std::exchange(m_next, std::nullopt);
    }

    /// Whether an action waits. Cheap enough to ask for every frame.
    bool pending() const
    {
        return m_pending.load(std::memory_order_relaxed);
    }

private:
    mutable std::mutex m_mutex;
    std::condition_variable m_filled;
    std::optional<request_action> m_next; ///< guarded by m_mutex; start_attempt or the final answer
    std::atomic<bool> m_pending{false}; ///< m_next has a value
};

} // namespace fuchsialoom
