/// \file
/// The bounded ring that joins two duties: many producers, one consumer, a fixed capacity. A full
/// ring pushes back on its producer; nothing is dropped unseen.
#pragma once

#include <boost/circular_buffer.hpp>

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <optional>
#include <utility>

namespace fuchsialoom
{

template<typename Item>
class bounded_ring
{
public:
    explicit bounded_ring(std::size_t capacity)
        : m_items(capacity)
    {
    }

    /// Waits for room. \return false when the ring is closed; the item is then not taken.
    bool push(Item item)
    {
        std::unique_lock lock(m_mutex);
        m_room.wait(lock, [this] {
            return m_closed || !m_items.full();
        });
        if (m_closed) {
            return false;
        }
        m_items.push_back(std::move(item));
        lock.unlock();
        m_filled.notify_one();
        return true;
    }

    /// Never waits. \return false when the ring is full or closed; the item is then not taken.
    bool tryPush(Item item)
    {
        {
            const std::lock_guard lock(m_mutex);
            if (m_closed || m_items.full()) {
                return false;
            }
            m_items.push_back(std::move(item));
        }
        m_filled.notify_one();
        return true;
    }

    /// Waits for an item until \p deadline. \return nothing on the deadline, or when closed and empty.
    template<typename Clock, typename Duration>
    std::optional<Item> popUntil(std::chrono::time_point<Clock, Duration> deadline)
    {
        std::unique_lock lock(m_mutex);
        m_filled.wait_until(lock, deadline, [this] {
            return m_closed || !m_items.empty();
        });
        return takeFront(lock);
    }

    /// Waits for an item. \return nothing when closed and empty.
    std::optional<Item> pop()
    {
        std::unique_lock lock(m_mutex);
        m_filled.wait(lock, [this] {
            return m_closed || !m_items.empty();
        });
        return takeFront(lock);
    }

    /// Wakes everyone; items already in the ring can still be popped.
    void close()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_closed = true;
        }
        m_room.notify_all();
        m_filled.notify_all();
    }

    bool closed() const
    {
        const std::lock_guard lock(m_mutex);
        return m_closed;
    }

private:
    std::optional<Item> takeFront(std::unique_lock<std::mutex> &lock)
    {
        if (m_items.empty()) {
            return std::nullopt;
        }
        std::optional<Item> item(std::move(m_items.front()));
        m_items.pop_front();
        lock.unlock();
        m_room.notify_one();
        return item;
    }

    mutable std::mutex m_mutex;
    std::condition_variable m_filled;
    std::condition_variable m_room;
    boost::circular_buffer<Item> m_items; ///< guarded by m_mutex; never grows past its capacity
    bool m_closed = false; ///< guarded by m_mutex; once true it stays true
};

} // namespace fuchsialoom
