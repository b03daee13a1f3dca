/// \file
/// How many requests may be in progress at once. A request without a slot is refused before anything else
/// is done for it; threads beyond the slots stay free to say so.
#pragma once

#include <atomic>
#include <cstddef>
#include <memory>

namespace fuchsialoom
{

/// Thread-safe.
class stream_slots
{
public:
    explicit stream_slots(std::size_t count)
        : m_free(count)
    {
    }

    /// Given back when the last copy goes. \return nothing when every slot is taken.
    std::shared_ptr<void> take()
    {
        std::size_t free = m_free.load();
        do {
            if (free == 0) {
                return nullptr;
            }
        } while (!m_free.compare_exchange_weak(free, free - 1));
        return {this, [](stream_slots *owner) {
                    owner->m_free.fetch_add(1);
                }};
    }

private:
    std::atomic<std::size_t> m_free;
};

} // namespace fuchsialoom
