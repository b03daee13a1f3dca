/// \file
/// Lines of a head.
#include "fuchsialoom/support/http_syntax.h"

#include <algorithm>

namespace fuchsialoom
{

static bool isDigit(char letter)
{
    return letter >= '0' && letter <= '9';
}

static bool isTokenCharacter(char letter)
{
    static constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    return isDigit(letter) || (letter >= 'a' && letter <= 'z') || (letter >= 'A' && letter <= 'Z')
        || marks.find(letter) != std::string_view::npos;
}

bool isControl(char letter)
{
    return (static_cast<unsigned char>(letter) < 0x20 && letter != '\t') || letter == 0x7f;
}

bool isFieldName(std::string_view name)
{
    return !name.empty() && std::all_of(name.begin(), name.end(), isTokenCharacter);
}

std::string_view trimmedValue(std::string_view value)
{
    const std::size_t first = value.find_first_not_of(" \t");
    if (first == std::string_view::npos) {
        return {};
    }
    return value.substr(first, value.find_last_not_of(" \t") - first + 1);
}

bool isFieldLine(std::string_view line)
{
    const std::size_t colon = line.find(':');
    return colon != std::string_view::npos && isFieldName(line.substr(0, colon)) && std::none_of(line.begin(), line.end(), isControl);
}

} // namespace fuchsialoom
