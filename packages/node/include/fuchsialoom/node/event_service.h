/// \file
/// Takes every decision's event: stamps it, writes its log line, and keeps the latest for the time line.
#pragma once

#include "fuchsialoom/node/kernel.h"
#include "fuchsialoom/support/hlc.h"
#include "fuchsialoom/support/timeline_event.h"

#include <boost/circular_buffer.hpp>

#include <mutex>
#include <string_view>
#include <vector>

namespace fuchsialoom
{

/// Thread-safe.
class event_service : public service
{
public:
    event_service(vm_id vm, std::size_t kept);

    void start() override
    {
    }
    void stop() override
    {
    }

    void emit(timeline_event event);

    /// Stamps that follow those of another VM.
    void observe(hlc_stamp remote);
    hlc_stamp stamp();

    /// The kept events later than \p after, oldest first; only those about \p subject unless it is empty.
    std::vector<timeline_event> since(hlc_stamp after, std::string_view subject) const;

private:
    const vm_id m_vm;
    mutable std::mutex m_mutex;
    hybrid_clock m_clock; ///< guarded by m_mutex
    boost::circular_buffer<timeline_event> m_kept; ///< guarded by m_mutex; ordered by stamp
};

} // namespace fuchsialoom
