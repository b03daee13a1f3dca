/// \file
/// Fingerprints of requests: equal for the attempts of a caller at the same request, under whatever id and at whatever VM.
#pragma once

#include "fuchsialoom/http/request_reader.h"
#include "fuchsialoom/support/ids.h"

#include <string>
#include <string_view>
#include <vector>

namespace fuchsialoom
{

/// Covers the host, the path with its query, the body and \p caller, which is empty where callers can't be told apart. A
/// prefix of a cryptographic hash, so that nobody can make a request with the fingerprint of another's.
content_hash fingerprintOf(const received_request &request, std::string_view caller);

/// Of a part of prompts with the id \p part. It is no request's fingerprint.
content_hash partFingerprint(std::string_view part);

/// As logs, metrics and the store show it: 16 hexadecimal digits.
std::string textOf(content_hash fingerprint);
/// The same for each, separated by commas; "none" if there are none.
std::string textOf(const std::vector<content_hash> &fingerprints);

} // namespace fuchsialoom
