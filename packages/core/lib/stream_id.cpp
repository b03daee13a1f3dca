/// \file
/// What a request is called at the engines.
#include "fuchsialoom/core/stream_id.h"

#include "fuchsialoom/support/hash.h"

#include <array>
#include <charconv>
#include <string>

namespace fuchsialoom
{

request_id streamIdOf(const incoming_request &request)
{
    static constexpr std::size_t digits = 16;
    const content_hash scope = hashOf(request.brand.text(), request.fingerprint.value());
    std::array<char, digits> hex{};
    const auto [end, code] = std::to_chars(hex.data(), hex.data() + hex.size(), scope.value(), 16);
    return request_id(request.id.text() + '.' + std::string(hex.data(), end));
}

stream_mark markOf(const request_id &stream)
{
    return static_cast<stream_mark>(hashOf(stream.text()).value());
}

} // namespace fuchsialoom
