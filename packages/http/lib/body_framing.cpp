/// \file
/// Framing of bodies.
#include "body_framing.h"

#include "fuchsialoom/support/http_syntax.h"

#include <string>

namespace fuchsialoom
{

static bool isLength(std::string_view text)
{
    static constexpr std::size_t mostDigits = 18; // fit in 64 bits
    return !text.empty() && text.size() <= mostDigits && text.find_first_not_of("0123456789") == std::string_view::npos;
}

bool isUnambiguous(const header_list &headers, bool isHttp11)
{
    const std::string *length = headers.find("Content-Length");
    const std::string *coding = headers.find("Transfer-Encoding");
    if (length && coding) {
        return false;
    }
    if (length) {
        return headers.count("Content-Length") == 1 && isLength(trimmedValue(*length));
    }
    if (coding) {
        return isHttp11 && headers.count("Transfer-Encoding") == 1 && sameFieldName(trimmedValue(*coding), "chunked");
    }
    return true;
}

} // namespace fuchsialoom
