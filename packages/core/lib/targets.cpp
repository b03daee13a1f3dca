/// \file
/// Targets as the system knows them.
#include "fuchsialoom/core/targets.h"

#include "fuchsialoom/support/errors.h"

#include <charconv>

namespace fuchsialoom
{

std::string toText(const endpoint &address)
{
    return address.host + ':' + std::to_string(address.port);
}

endpoint parseEndpoint(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0) {
        throw error(error_kind::InvalidOption, "address '" + text + "' is not of the form HOST:PORT");
    }
    endpoint result;
    result.host = text.substr(0, colon);
    const char *end = text.data() + text.size();
    const auto [stop, code] = std::from_chars(text.data() + colon + 1, end, result.port);
    if (code != std::errc() || stop != end) {
        throw error(error_kind::InvalidOption, "port of address '" + text + "' is not a number from 0 to 65535");
    }
    return result;
}

} // namespace fuchsialoom
