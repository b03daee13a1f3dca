/// \file
/// What the platform's log answers, as the core sees it: the result of an append, a page of records.
#pragma once

#include "fuchsialoom/core/records.h"
#include "fuchsialoom/support/ids.h"

#include <vector>

namespace fuchsialoom
{

/// What is known of an append after its answer, or the lack of one.
enum class append_status {
    Appended,
    Refused, ///< the log said that it took nothing, or no byte can have reached it
    Uncertain, ///< the answer was lost: only reading on tells
};

struct append_result
{
    append_status status = append_status::Refused;
    log_offset offset; ///< set when Appended
};

enum class read_status {
    Ok,
    Unavailable,
};

/// Consecutive records of one stream, from the offset asked for or from `first`.
struct record_page
{
    read_status status = read_status::Unavailable;
    log_offset first; ///< lowest offset still kept; a reader below it must start from a snapshot
    log_offset next; ///< offset that the next append gets
    std::vector<log_entry> entries;
};

} // namespace fuchsialoom
