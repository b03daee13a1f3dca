/// \file
/// How deep JSON is nested.
#include "json_depth.h"

namespace fuchsialoom
{

bool isNestedDeeper(std::string_view text, std::size_t most)
{
    std::size_t depth = 0;
    bool inString = false;
    bool escaped = false;
    for (const char letter : text) {
        if (inString) {
            inString = escaped || letter != '"';
            escaped = !escaped && letter == '\\';
            continue;
        }
        if (letter == '"') {
            inString = true;
        } else if (letter == '[' || letter == '{') {
            if (++depth > most) {
                return true;
            }
        } else if ((letter == ']' || letter == '}') && depth > 0) {
            --depth;
        }
    }
    return false;
}

} // namespace fuchsialoom
