/// \file
/// Turns a caller's HTTP request into what the decisions need, or says what is wrong with it. Knows
/// nothing of the transport.
#pragma once

#include "fuchsialoom/node/request_session.h"
#include "fuchsialoom/settings/tree.h"

#include <map>
#include <optional>
#include <string>

namespace fuchsialoom
{

/// A caller's request as it came in.
struct caller_message
{
    std::multimap<std::string, std::string> headers; ///< names in lower case
    std::string body;

    /// The value of the header \p name (in lower case), or nothing. \throws error(MalformedRequest) where it
    /// came more than once.
    std::optional<std::string> header(const std::string &name) const;
};

/// The clocks at a request's arrival.
struct arrival_time
{
    instant monotonic;
    wall_instant wall;
};

enum class completion_form {
    Chat,
    Text,
};

struct caller_request
{
    session_input input;
    bool stream = false;
};

/// What readModelRequest and readPlainRequest read beside the message.
struct input_context
{
    const settings_tree &settings;
    arrival_time now;
    request_id fallbackId; ///< for a caller who names none
};

/// The largest body that the service which the headers name takes. Asked before the body is read.
/// \throws error(MalformedRequest, HeadersTooLarge, UnknownBrand, UnknownService).
std::size_t bodyLimitOf(const caller_message &headers, const std::optional<std::string> &plainService, const settings_tree &settings);

/// A model request. \throws error, and nothing else, for every input that can't be served.
caller_request readModelRequest(const caller_message &from, completion_form form, const input_context &context);

/// A call of the plain service \p service. Throws as readModelRequest.
caller_request readPlainRequest(const caller_message &from, const std::string &service, const input_context &context);

} // namespace fuchsialoom
