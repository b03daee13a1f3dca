/// \file
/// Takes every decision's event.
#include "fuchsialoom/node/event_service.h"

#include "fuchsialoom/node/node_clock.h"
#include "fuchsialoom/support/log_sink.h"

#include <utility>

namespace fuchsialoom
{

event_service::event_service(vm_id vm, std::size_t kept)
    : m_vm(std::move(vm))
    , m_kept(kept)
{
}

void event_service::emit(timeline_event event)
{
    event.vm = m_vm;
    std::string line;
    {
        const std::lock_guard lock(m_mutex);
        event.stamp = m_clock.next(wallNow());
        line = toLogLine(event);
        m_kept.push_back(std::move(event));
    }
    writeLogLine(line);
}

void event_service::observe(hlc_stamp remote)
{
    const std::lock_guard lock(m_mutex);
    m_clock.observe(remote);
}

hlc_stamp event_service::stamp()
{
    const std::lock_guard lock(m_mutex);
    return m_clock.next(wallNow());
}

static bool concerns(const timeline_event &event, std::string_view subject)
{
    if (subject.empty() || event.subject == subject) {
        return true;
    }
    for (const event_value &value : event.values) {
        if (value.text == subject) {
            return true;
        }
    }
    return false;
}

std::vector<timeline_event> event_service::since(hlc_stamp after, std::string_view subject) const
{
    const std::lock_guard lock(m_mutex);
    std::vector<timeline_event> found;
    for (const timeline_event &event : m_kept) {
        if (event.stamp > after && concerns(event, subject)) {
            found.push_back(event);
        }
    }
    return found;
}

} // namespace fuchsialoom
