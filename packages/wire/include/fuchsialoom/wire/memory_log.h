/// \file
/// The embedded log: kept in this process, lost with it. For one VM without a platform, and for tests.
#pragma once

#include "fuchsialoom/wire/log_client.h"

#include <condition_variable>
#include <map>
#include <mutex>

namespace fuchsialoom
{

/// Thread-safe. A model of log_client.
class memory_log
{
public:
    append_result append(const stream_name &stream, std::string_view bytes, real_deadline deadline);
    read_result read(const stream_name &stream, log_offset from, std::uint32_t most, real_deadline deadline);

    /// Forgets the records below \p first.
    void trim(const stream_name &stream, log_offset first);

private:
    struct stored_stream
    {
        std::uint64_t first = 1; ///< offset of the front record, or of the next one when empty
        std::vector<std::string> records;
    };

    std::mutex m_mutex;
    std::condition_variable m_appended;
    std::map<stream_name, stored_stream> m_streams; ///< guarded by m_mutex
};

static_assert(log_client<memory_log>);

} // namespace fuchsialoom
