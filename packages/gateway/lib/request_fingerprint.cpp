/// \file
/// Computes fingerprints of requests.
#include "fuchsialoom/gateway/request_fingerprint.h"

#include "fuchsialoom/support/digest.h"

#include <array>
#include <cinttypes>
#include <cstdio>

namespace fuchsialoom
{

content_hash fingerprintOf(const received_request &request, std::string_view caller)
{
    const std::string *host = request.headers.find("Host");
    std::string parts;
    // Each part is preceded by its length, so that no two requests have the same concatenation.
    for (const std::string_view part : {host ? std::string_view(*host) : std::string_view(), std::string_view(request.target), caller}) {
        parts.append(std::to_string(part.size())).append(":").append(part);
    }
    parts.append(request.body);
    return content_hash(sha256Of(parts).prefix());
}

content_hash partFingerprint(std::string_view part)
{
    // A request's concatenation begins with a digit.
    return content_hash(sha256Of(std::string("part:").append(part)).prefix());
}

std::string textOf(content_hash fingerprint)
{
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%016" PRIx64, fingerprint.value());
    return text.data();
}

std::string textOf(const std::vector<content_hash> &fingerprints)
{
    std::string text;
    for (const content_hash one : fingerprints) {
        text.append(text.empty() ? "" : ",").append(textOf(one));
    }
    return text.empty() ? "none" : text;
}

} // namespace fuchsialoom
