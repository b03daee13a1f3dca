/// \file
/// The header fields of one message, in the order in which they came.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace fuchsialoom
{

struct header_field
{
    std::string name;
    std::string value;

    friend bool operator==(const header_field &, const header_field &) = default;
};

/// Field names compare without regard to case, as HTTP asks.
bool sameFieldName(std::string_view left, std::string_view right);

class header_list
{
public:
    void add(std::string name, std::string value);

    /// Replaces every field called \p name.
    void set(std::string_view name, std::string value);
    void erase(std::string_view name);

    /// The first field called \p name, or null.
    const std::string *find(std::string_view name) const;
    std::size_t count(std::string_view name) const;

    /// Drops what concerns one connection only: the standard fields of that sort, and those that
    /// `Connection` names.
    void dropConnectionFields();

    /// Whether one of the comma-separated values of \p name is \p token.
    bool hasToken(std::string_view name, std::string_view token) const;

    const std::vector<header_field> &fields() const
    {
        return m_fields;
    }

    /// The memory that the fields take, bytes.
    std::size_t keptBytes() const;

    friend bool operator==(const header_list &, const header_list &) = default;

private:
    std::vector<header_field> m_fields;
};

/// Appends `name: value` lines, without the empty line that ends a head.
void appendFields(std::string &head, const header_list &headers);

} // namespace fuchsialoom
