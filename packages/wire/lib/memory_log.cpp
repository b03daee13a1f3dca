/// \file
/// The embedded log.
#include "fuchsialoom/wire/memory_log.h"

#include <algorithm>

namespace fuchsialoom
{

append_result memory_log::append(const stream_name &stream, std::string_view bytes, real_deadline)
{
    log_offset offset;
    {
        const std::lock_guard lock(m_mutex);
        stored_stream &stored = m_streams[stream];
        offset = log_offset(stored.first + stored.records.size());
        stored.records.emplace_back(bytes);
    }
    m_appended.notify_all();
    return append_result{append_status::Appended, offset};
}

read_result memory_log::read(const stream_name &stream, log_offset from, std::uint32_t most, real_deadline deadline)
{
    std::unique_lock lock(m_mutex);
    stored_stream &stored = m_streams[stream];
    m_appended.wait_until(lock, deadline, [&] {
        return stored.first + stored.records.size() > from.value();
    });
    read_result result;
    result.status = read_status::Ok;
    result.first = log_offset(stored.first);
    result.next = log_offset(stored.first + stored.records.size());
    const std::uint64_t start = std::max(from.value(), stored.first);
    const std::uint64_t end = std::min(result.next.value(), start + most);
    for (std::uint64_t offset = start; offset < end; ++offset) {
        result.entries.push_back(raw_log_entry{log_offset(offset), stored.records[offset - stored.first]});
    }
    return result;
}

void memory_log::trim(const stream_name &stream, log_offset first)
{
    const std::lock_guard lock(m_mutex);
    stored_stream &stored = m_streams[stream];
    const std::uint64_t end = stored.first + stored.records.size();
    const std::uint64_t target = std::clamp(first.value(), stored.first, end);
    stored.records.erase(stored.records.begin(), stored.records.begin() + static_cast<std::ptrdiff_t>(target - stored.first));
    stored.first = target;
}

} // namespace fuchsialoom
