/// \file
/// Paths in the tree of settings: the root, `brand/B`, `brand/B/service/S`, then `/model/M` and
/// `/adapter/A` beneath; and `pool/P` for a pool of targets.
#pragma once

#include "fuchsialoom/support/ids.h"
#include "fuchsialoom/support/name_table.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace fuchsialoom
{

enum class path_level : std::uint8_t {
    Root,
    Brand,
    Service,
    Model,
    Adapter,
    Pool,
};

template<>
struct name_table<path_level>
{
    static constexpr auto entries = std::to_array<enum_name<path_level>>({
        {path_level::Root, "root"},
        {path_level::Brand, "brand"},
        {path_level::Service, "service"},
        {path_level::Model, "model"},
        {path_level::Adapter, "adapter"},
        {path_level::Pool, "pool"},
    });
};

constexpr std::uint8_t levelBit(path_level level)
{
    return static_cast<std::uint8_t>(1U << static_cast<unsigned>(level));
}

/// A valid path. Names are 1 to 64 letters, digits, `-`, `_` or `.`.
class setting_path
{
public:
    /// The root.
    setting_path() = default;

    /// \throws error(InvalidSetting) naming \p text; "" and "/" are the root.
    static setting_path parse(std::string_view text);

    static setting_path ofBrand(const brand_id &brand);
    static setting_path ofPool(const pool_id &pool);
    setting_path service(const service_id &service) const;
    setting_path model(const model_id &model) const;
    setting_path adapter(const adapter_id &adapter) const;

    path_level level() const
    {
        return m_level;
    }

    /// The name at \p level, or nothing where the path doesn't reach that level.
    std::optional<std::string> nameAt(path_level level) const;

    /// The path above, or nothing for the root.
    std::optional<setting_path> parent() const;

    const std::string &text() const
    {
        return m_text;
    }

    friend auto operator<=>(const setting_path &left, const setting_path &right)
    {
        return left.m_text <=> right.m_text;
    }
    friend bool operator==(const setting_path &left, const setting_path &right)
    {
        return left.m_text == right.m_text;
    }

private:
    setting_path child(path_level level, const std::string &name) const;

    path_level m_level = path_level::Root;
    std::string m_text; ///< canonical: no leading or trailing slash; equal texts are equal paths
};

} // namespace fuchsialoom
