/// \file
/// The platform's append-only log as the system meets it. An adapter models \c log_client; the
/// in-memory log is the embedded default, with which one VM runs without a platform.
#pragma once

#include "fuchsialoom/core/log_pages.h"
#include "fuchsialoom/support/ids.h"
#include "fuchsialoom/support/time.h"

#include <chrono>
#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace fuchsialoom
{

using real_deadline = std::chrono::steady_clock::time_point;

struct raw_log_entry
{
    log_offset offset;
    std::string bytes;
};

struct read_result
{
    read_status status = read_status::Unavailable;
    log_offset first; ///< lowest offset still kept; a reader below it must start from a snapshot
    log_offset next; ///< offset that the next append gets
    std::vector<raw_log_entry> entries; ///< consecutive, from the offset asked for or from `first`
};

template<typename Client>
concept log_client = requires(Client client, const stream_name &stream, std::string_view bytes, log_offset from, real_deadline deadline)
{
    /// Appends one record; answers by \c deadline.
    {
        client.append(stream, bytes, deadline)
        } -> std::same_as<append_result>;
    /// Reads records from \c from on; waits for one until \c deadline when there is none.
    {
        client.read(stream, from, std::uint32_t{}, deadline)
        } -> std::same_as<read_result>;
};

} // namespace fuchsialoom
