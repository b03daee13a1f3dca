/// \file
/// Paths in the tree of settings.
#include "fuchsialoom/settings/path.h"

#include "fuchsialoom/support/errors.h"

#include <algorithm>
#include <cctype>

namespace fuchsialoom
{

static constexpr std::size_t longestName = 64;

static bool isNameLetter(unsigned char letter)
{
    return std::isalnum(letter) != 0 || letter == '-' || letter == '_' || letter == '.';
}

static bool isName(std::string_view name)
{
    return !name.empty() && name.size() <= longestName && std::all_of(name.begin(), name.end(), isNameLetter);
}

static bool mayFollow(path_level parent, path_level child)
{
    switch (child) {
    case path_level::Root:
        return false;
    case path_level::Brand:
    case path_level::Pool:
        return parent == path_level::Root;
    case path_level::Service:
        return parent == path_level::Brand;
    case path_level::Model:
        return parent == path_level::Service;
    case path_level::Adapter:
        return parent == path_level::Model;
    }
    return false;
}

[[noreturn]] static void refusePath(std::string_view text)
{
    throw error(error_kind::InvalidSetting,
                "path '" + std::string(text) + "' is not of the form brand/B/service/S/model/M/adapter/A or pool/P");
}

/// Takes the text up to the next slash off the front of \p rest.
static std::string_view takePart(std::string_view &rest)
{
    const std::size_t slash = rest.find('/');
    const std::string_view part = rest.substr(0, slash);
    rest = slash == std::string_view::npos ? std::string_view() : rest.substr(slash + 1);
    return part;
}

setting_path setting_path::child(path_level level, const std::string &name) const
{
    if (!mayFollow(m_level, level) || !isName(name)) {
        refusePath(m_text + '/' + std::string(nameOf(level)) + '/' + name);
    }
    setting_path result = *this;
    result.m_level = level;
    if (!result.m_text.empty()) {
        result.m_text += '/';
    }
    result.m_text += nameOf(level);
    result.m_text += '/';
    result.m_text += name;
    return result;
}

setting_path setting_path::parse(std::string_view text)
{
    setting_path path;
    if (text.empty() || text == "/") {
        return path;
    }
    std::string_view rest = text;
    while (!rest.empty()) {
        const std::optional<path_level> level = parseName<path_level>(takePart(rest));
        if (!level || rest.empty()) {
            refusePath(text);
        }
        path = path.child(*level, std::string(takePart(rest)));
    }
    return path;
}

setting_path setting_path::ofBrand(const brand_id &brand)
{
    return setting_path().child(path_level::Brand, brand.text());
}

setting_path setting_path::ofPool(const pool_id &pool)
{
    return setting_path().child(path_level::Pool, pool.text());
}

setting_path setting_path::service(const service_id &service) const
{
    return child(path_level::Service, service.text());
}

setting_path setting_path::model(const model_id &model) const
{
    return child(path_level::Model, model.text());
}

setting_path setting_path::adapter(const adapter_id &adapter) const
{
    return child(path_level::Adapter, adapter.text());
}

std::optional<std::string> setting_path::nameAt(path_level level) const
{
    std::string_view rest = m_text;
    while (!rest.empty()) {
        const std::string_view kind = takePart(rest);
        const std::string_view name = takePart(rest);
        if (kind == nameOf(level)) {
            return std::string(name);
        }
    }
    return std::nullopt;
}

std::optional<setting_path> setting_path::parent() const
{
    if (m_text.empty()) {
        return std::nullopt;
    }
    const std::size_t nameSlash = m_text.rfind('/');
    const std::size_t kindSlash = m_text.rfind('/', nameSlash - 1);
    return parse(kindSlash == std::string::npos ? std::string_view() : std::string_view(m_text).substr(0, kindSlash));
}

} // namespace fuchsialoom
