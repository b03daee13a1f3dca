/// \file
/// OPTION=VALUE words.
#include "roles.h"

#include "fuchsialoom/support/errors.h"

#include <cstdlib>

namespace fuchsialoom
{

standin_options::standin_options(int count, char **words)
{
    for (int index = 0; index < count; ++index) {
        const std::string word = words[index];
        const std::size_t equals = word.find('=');
        if (equals == std::string::npos) {
            throw error(error_kind::InvalidOption, "'" + word + "' is not of the form OPTION=VALUE");
        }
        m_values[word.substr(0, equals)] = word.substr(equals + 1);
    }
}

std::string standin_options::text(const std::string &name, const std::string &fallback) const
{
    const auto found = m_values.find(name);
    return found == m_values.end() ? fallback : found->second;
}

long standin_options::number(const std::string &name, long fallback) const
{
    const auto found = m_values.find(name);
    return found == m_values.end() ? fallback : std::strtol(found->second.c_str(), nullptr, 10);
}

bool standin_options::flag(const std::string &name) const
{
    const std::string value = text(name, "");
    return value == "yes" || value == "true" || value == "1";
}

} // namespace fuchsialoom
