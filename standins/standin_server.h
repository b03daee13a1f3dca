/// \file
/// What the HTTP servers of all roles share.
#pragma once

#include "fuchsialoom/core/targets.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace fuchsialoom
{

/// Sets up threads and sockets of \p server: it is alone on its port, and grows a thread for each
/// connection that finds none idle.
void prepareServer(httplib::Server &server);

/// Serves until the process ends. \throws error(InvalidOption) where \p address can't be bound.
void serve(httplib::Server &server, const endpoint &address);

/// Breaks the connection that \p request came over: its caller gets no answer.
void breakConnection(const httplib::Request &request);

/// The number in query parameter \p name, else \p fallback.
std::uint64_t numberParam(const httplib::Request &request, const char *name, std::uint64_t fallback);

/// The number in header \p name, else 0.
std::uint64_t numberHeader(const httplib::Request &request, const char *name);

void answerJson(httplib::Response &to, int status, const nlohmann::json &body);

} // namespace fuchsialoom
