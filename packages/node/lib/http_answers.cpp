/// \file
/// Answers over HTTP that callers and operators share.
#include "http_answers.h"

#include <nlohmann/json.hpp>

namespace fuchsialoom
{

using json = nlohmann::json;

std::string errorBody(const failure &what, const request_id &id)
{
    json body{{"type", nameOf(what.kind)}, {"message", what.detail}, {"outcome", nameOf(what.known)}, {"request_id", id.text()}};
    if (what.retryAfter) {
        body["retry_after_ms"] = what.retryAfter->count();
    }
    // Input may hold bytes that are no UTF-8; an answer must never fail over them.
    return json{{"error", body}}.dump(-1, ' ', false, json::error_handler_t::replace);
}

void answerFailure(httplib::Response &to, const failure &what, const request_id &id)
{
    to.status = httpStatusOf(what.kind);
    if (what.retryAfter) {
        to.set_header("Retry-After", std::to_string(std::chrono::ceil<seconds>(*what.retryAfter).count()));
    }
    to.set_content(errorBody(what, id), "application/json");
}

void answerRecorded(httplib::Response &to, const key_outcome &recorded)
{
    to.status = static_cast<int>(recorded.status);
    to.set_header("X-Outcome-Replayed", "true");
    if (recorded.answer) {
        to.set_content(*recorded.answer, recorded.contentType.c_str());
        return;
    }
    to.set_content(json{{"outcome", nameOf(recorded.known)}, {"request_id", recorded.request.text()}}.dump(), "application/json");
}

} // namespace fuchsialoom
