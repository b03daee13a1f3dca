/// \file
/// Header fields.
#include "fuchsialoom/http/header_list.h"

#include "fuchsialoom/http/byte_account.h"
#include "fuchsialoom/support/http_syntax.h"

#include <algorithm>
#include <array>

namespace fuchsialoom
{

static char lowerCased(char letter)
{
    return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
}

bool sameFieldName(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](char a, char b) {
        return lowerCased(a) == lowerCased(b);
    });
}

/// The parts of a comma-separated value.
static std::vector<std::string_view> tokensOf(std::string_view value)
{
    std::vector<std::string_view> tokens;
    while (!value.empty()) {
        const std::size_t comma = value.find(',');
        tokens.push_back(trimmedValue(value.substr(0, comma)));
        value = comma == std::string_view::npos ? std::string_view() : value.substr(comma + 1);
    }
    return tokens;
}

void header_list::add(std::string name, std::string value)
{
    m_fields.push_back({std::move(name), std::move(value)});
}

void header_list::set(std::string_view name, std::string value)
{
    erase(name);
    add(std::string(name), std::move(value));
}

void header_list::erase(std::string_view name)
{
    std::erase_if(m_fields, [name](const header_field &field) {
        return sameFieldName(field.name, name);
    });
}

const std::string *header_list::find(std::string_view name) const
{
    for (const header_field &field : m_fields) {
        if (sameFieldName(field.name, name)) {
            return &field.value;
        }
    }
    return nullptr;
}

std::size_t header_list::count(std::string_view name) const
{
    return static_cast<std::size_t>(std::count_if(m_fields.begin(), m_fields.end(), [name](const header_field &field) {
        return sameFieldName(field.name, name);
    }));
}

bool header_list::hasToken(std::string_view name, std::string_view token) const
{
    for (const header_field &field : m_fields) {
        if (!sameFieldName(field.name, name)) {
            continue;
        }
        for (const std::string_view present : tokensOf(field.value)) {
            if (sameFieldName(present, token)) {
                return true;
            }
        }
    }
    return false;
}

void header_list::dropConnectionFields()
{
    static constexpr std::array<std::string_view, 9> always{
        "Connection",
        "Keep-Alive",
        "Proxy-Connection",
        "Proxy-Authenticate",
        "Proxy-Authorization",
        "TE",
        "Trailer",
        "Transfer-Encoding",
        "Upgrade",
    };
    std::vector<std::string> named;
    for (const header_field &field : m_fields) {
        if (sameFieldName(field.name, "Connection")) {
            for (const std::string_view token : tokensOf(field.value)) {
                named.emplace_back(token);
            }
        }
    }
    for (const std::string &name : named) {
        erase(name);
    }
    for (const std::string_view name : always) {
        erase(name);
    }
}

std::size_t header_list::keptBytes() const
{
    std::size_t bytes = m_fields.size() * sizeof(header_field);
    for (const header_field &field : m_fields) {
        bytes += fuchsialoom::keptBytes(field.name) + fuchsialoom::keptBytes(field.value);
    }
    return bytes;
}

void appendFields(std::string &head, const header_list &headers)
{
    for (const header_field &field : headers.fields()) {
        head.append(field.name).append(": ").append(field.value).append("\r\n");
    }
}

} // namespace fuchsialoom
