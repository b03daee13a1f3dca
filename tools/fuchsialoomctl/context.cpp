/// \file
/// What every command gets.
#include "context.h"

#include "fuchsialoom/support/errors.h"

#include <array>
#include <ctime>

namespace fuchsialoom::ctl
{

std::string utcText(std::int64_t unixMs)
{
    static constexpr std::int64_t msASecond = 1000;
    const auto at = static_cast<std::time_t>(unixMs / msASecond);
    std::tm parts{};
    gmtime_r(&at, &parts);
    std::array<char, sizeof "2026-01-01T00:00:00"> text{};
    std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    const std::string fraction = std::to_string(msASecond + unixMs % msASecond);
    return std::string(text.data()) + '.' + fraction.substr(1) + 'Z';
}

void requireWords(const words &arguments, std::size_t least, std::size_t most, const std::string &form)
{
    if (arguments.size() < least) {
        throw error(error_kind::InvalidOption, "a word is missing; usage: " + form);
    }
    if (arguments.size() > most) {
        throw error(error_kind::InvalidOption, "'" + arguments[most] + "' is not expected; usage: " + form);
    }
}

} // namespace fuchsialoom::ctl
