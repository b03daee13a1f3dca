/// \file
/// The lines of an HTTP/1.x head, as RFC 9110 and RFC 9112 write them: what all readers of requests and answers refuse.
#pragma once

#include <string_view>

namespace fuchsialoom
{

/// A line holds none of them, RFC 9110 section 5.5; a tab isn't one.
bool isControl(char letter);

/// Whether \p name is a token, RFC 9110 section 5.6.2.
bool isFieldName(std::string_view name);

/// \p value without the blanks around it, which don't belong to it, RFC 9110 section 5.5.
std::string_view trimmedValue(std::string_view value);

/// Whether \p line, without its line end, is one field: no folded line, no space before the colon, no control characters.
bool isFieldLine(std::string_view line);

/// Whether \p line, without its line end, is the first line of an answer of HTTP/1.x with a status from 100 to 599. The reason may be
/// missing, with the space before it.
bool isStatusLine(std::string_view line);

/// Whether isStatusLine() may hold for a line that begins with \p beginning.
bool mayBeStatusLine(std::string_view beginning);

} // namespace fuchsialoom
