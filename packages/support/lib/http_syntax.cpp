/// \file
/// Lines of a head.
#include "fuchsialoom/support/http_syntax.h"

#include <algorithm>

namespace fuchsialoom
{

static constexpr std::string_view versionStart = "HTTP/1.";

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

bool isStatusLine(std::string_view line)
{
    static constexpr std::size_t statusAt = versionStart.size() + 2; // behind the minor version and a space
    static constexpr std::size_t statusDigits = 3;
    static constexpr std::size_t reasonAt = statusAt + statusDigits;
    if (!line.starts_with(versionStart) || line.size() < reasonAt) {
        return false;
    }
    const std::string_view status = line.substr(statusAt, statusDigits);
    const std::string_view reason = line.substr(reasonAt);
    return isDigit(line[versionStart.size()]) && line[statusAt - 1] == ' ' && std::all_of(status.begin(), status.end(), isDigit)
        && status.front() >= '1' && status.front() <= '5' && (reason.empty() || reason.front() == ' ')
        && std::none_of(reason.begin(), reason.end(), isControl);
}

bool mayBeStatusLine(std::string_view beginning)
{
    return versionStart.starts_with(beginning.substr(0, versionStart.size()));
}

} // namespace fuchsialoom
