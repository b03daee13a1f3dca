/// \file
/// What came of one exchange on a connection, for tests of connections.
#pragma once

#include "fuchsialoom/http/http_link.h"

#include <optional>
#include <string>

namespace fuchsialoom
{

struct link_outcome
{
    answer_head head;
    std::string body;
    bool complete = false;
    std::optional<link_failure> failure;
    bool sent = false; ///< of a failure

    bool isOver() const
    {
        return complete || failure;
    }
};

/// Events that note themselves in \p seen, which outlives them.
inline link_events eventsInto(link_outcome &seen)
{
    link_events events;
    events.onHead = [&seen](const answer_head &head) {
        seen.head = head;
    };
    events.onBody = [&seen](std::string_view bytes) {
        seen.body.append(bytes);
    };
    events.onComplete = [&seen] {
        seen.complete = true;
    };
    events.onFailure = [&seen](link_failure how, bool sent) {
        seen.failure = how;
        seen.sent = sent;
    };
    return events;
}

} // namespace fuchsialoom
