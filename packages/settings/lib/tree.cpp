/// \file
/// The tree of settings in force.
#include "fuchsialoom/settings/tree.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <charconv>
#include <utility>

namespace fuchsialoom
{

static constexpr std::size_t mostEdits = 20000;

/// Settings that concern a model's weights, which are one thing wherever the model is named.
static constexpr std::array modelWideKeys{setting_key::ModelBytes, setting_key::ModelVersion};

[[noreturn]] static void refuseEdit(const setting_edit &edit, const std::string &reason)
{
    throw error(error_kind::InvalidSetting, "'" + edit.path.text() + "' " + std::string(nameOf(edit.key)) + ' ' + reason);
}

void checkAgainstSchema(const settings_change &change)
{
    if (change.edits.empty()) {
        throw error(error_kind::InvalidSetting, "change '" + change.id.text() + "' has no edits");
    }
    if (change.edits.size() > mostEdits) {
        throw error(error_kind::InvalidSetting,
                    "change '" + change.id.text() + "' has " + std::to_string(change.edits.size()) + " edits, the most are "
                        + std::to_string(mostEdits));
    }
    std::set<std::pair<std::string_view, setting_key>> edited;
    for (const setting_edit &edit : change.edits) {
        if (!edited.emplace(edit.path.text(), edit.key).second) {
            refuseEdit(edit, "is edited twice in one change");
        }
        if (edit.value) {
            checkSetting(edit.path, edit.key, *edit.value);
        }
    }
}

/// The path above \p path; nothing above the root.
static std::optional<std::string_view> parentText(std::string_view path)
{
    if (path.empty()) {
        return std::nullopt;
    }
    const std::size_t nameSlash = path.rfind('/');
    const std::size_t kindSlash = path.rfind('/', nameSlash - 1);
    return kindSlash == std::string_view::npos ? std::string_view() : path.substr(0, kindSlash);
}

/// The path of the model that \p path is at or beneath, or nothing.
static std::optional<std::string_view> modelPart(const setting_path &path)
{
    if (path.level() == path_level::Model) {
        return path.text();
    }
    return path.level() == path_level::Adapter ? parentText(path.text()) : std::nullopt;
}

static std::string_view lastName(std::string_view path)
{
    return path.substr(path.rfind('/') + 1);
}

settings_tree::entry_map::const_iterator settings_tree::find(std::string_view path, setting_key key) const
{
    return m_entries.find(position_view{path, key});
}

settings_tree::entry_map::const_iterator settings_tree::findEffective(std::string_view path, setting_key key) const
{
    for (std::optional<std::string_view> at = path; at; at = parentText(*at)) {
        const auto found = find(*at, key);
        if (found != m_entries.end()) {
            return found;
        }
    }
    return m_entries.end();
}

std::string_view settings_tree::textAt(std::string_view path, setting_key key) const
{
    const auto found = findEffective(path, key);
    return found == m_entries.end() ? definitionOf(key).defaultText : std::string_view(found->second.text);
}

std::optional<failure> settings_tree::check(const settings_change &change) const
{
    try {
        checkAgainstSchema(change);
    } catch (const error &problem) {
        return problem.info();
    }
    for (const setting_edit &edit : change.edits) {
        const auto present = find(edit.path.text(), edit.key);
        const log_offset version = present == m_entries.end() ? log_offset() : present->second.version;
        if (version != edit.basedOn) {
            const std::string value = present == m_entries.end() ? std::string("not set") : "'" + present->second.text + "'";
            return failure{error_kind::SettingConflict,
                           "'" + edit.path.text() + "' " + std::string(nameOf(edit.key)) + " is " + value + " at version "
                               + std::to_string(version.value()) + ", the change was based on version "
                               + std::to_string(edit.basedOn.value()),
                           outcome::NotRun,
                           std::nullopt};
        }
    }
    return std::nullopt;
}

/// A model would have two values of \p key: \p found at \p path, \p expected at \p other.
static failure
disagreement(const std::string &path, std::string_view found, const std::string &other, std::string_view expected, setting_key key)
{
    std::string detail = "'" + path + "' ";
    detail += nameOf(key);
    detail += " would be '";
    detail += found;
    detail += "', but '" + other + "' has '";
    detail += expected;
    detail += "': they must be equal wherever a model is named, so change all in one change";
    return failure{error_kind::InvalidSetting, std::move(detail), outcome::NotRun, std::nullopt};
}

std::optional<failure> settings_tree::checkModel(const std::string &model) const
{
    const auto places = m_models.find(model);
    if (places == m_models.end()) {
        return std::nullopt;
    }
    const std::string &first = places->second.begin()->first;
    for (const auto &[path, count] : places->second) {
        for (const setting_key key : modelWideKeys) {
            const std::string_view expected = textAt(first, key);
            const std::string_view found = textAt(path, key);
            if (found != expected) {
                return disagreement(path, found, first, expected, key);
            }
        }
    }
    return std::nullopt;
}

/// The models whose agreement \p change can break are those it names; at the root, all of them.
std::optional<failure> settings_tree::checkModels(const settings_change &change) const
{
    std::set<std::string, std::less<>> touched;
    for (const setting_edit &edit : change.edits) {
        const bool isModelWide = std::find(modelWideKeys.begin(), modelWideKeys.end(), edit.key) != modelWideKeys.end();
        if (const std::optional<std::string_view> model = modelPart(edit.path)) {
            touched.emplace(lastName(*model));
        } else if (isModelWide) {
            for (const auto &[name, places] : m_models) {
                touched.insert(name);
            }
        }
    }
    for (const std::string &model : touched) {
        if (std::optional<failure> problem = checkModel(model)) {
            return problem;
        }
    }
    return std::nullopt;
}

void settings_tree::countPlace(const setting_path &path, bool added)
{
    const std::optional<std::string_view> model = modelPart(path);
    if (!model) {
        return;
    }
    const auto places = m_models.try_emplace(std::string(lastName(*model))).first;
    const auto place = places->second.try_emplace(std::string(*model), 0).first;
    if (added) {
        ++place->second;
        return;
    }
    assert(place->second > 0 && "a removed entry was counted when it was added");
    --place->second;
    if (place->second == 0) {
        places->second.erase(place);
    }
    if (places->second.empty()) {
        m_models.erase(places);
    }
}

/// Sets or removes an entry. \return what was there before.
std::optional<settings_tree::stored_value> settings_tree::put(const setting_path &path, setting_key key, std::optional<stored_value> value)
{
    const auto found = m_entries.find(position_view{path.text(), key});
    std::optional<stored_value> before;
    if (found != m_entries.end()) {
        before = std::move(found->second);
    }
    if (value && before) {
        found->second = std::move(*value);
    } else if (value) {
        m_entries.emplace(position{path, key}, std::move(*value));
        countPlace(path, true);
    } else if (before) {
        m_entries.erase(found);
        countPlace(path, false);
    }
    return before;
}

change_verdict settings_tree::apply(log_offset offset, const settings_change &change)
{
    if (offset <= m_applied) {
        return {};
    }
    m_applied = offset;
    if (std::optional<failure> refusal = check(change)) {
        return change_verdict{false, std::move(refusal)};
    }
    std::vector<std::optional<stored_value>> before;
    before.reserve(change.edits.size());
    for (const setting_edit &edit : change.edits) {
        std::optional<stored_value> value;
        if (edit.value) {
            value = stored_value{*edit.value, offset};
        }
        before.push_back(put(edit.path, edit.key, std::move(value)));
    }
    std::optional<failure> refusal = checkModels(change);
    if (!refusal) {
        return change_verdict{true, std::nullopt};
    }
    for (std::size_t index = 0; index < before.size(); ++index) {
        put(change.edits[index].path, change.edits[index].key, std::move(before[index]));
    }
    return change_verdict{false, std::move(refusal)};
}

void settings_tree::skipTo(log_offset offset)
{
    m_applied = std::max(m_applied, offset);
}

void settings_tree::load(log_offset through, std::span<const setting_entry> entries)
{
    if (through <= m_applied) {
        return;
    }
    m_entries.clear();
    m_models.clear();
    for (const setting_entry &entry : entries) {
        put(entry.path, entry.key, stored_value{entry.value, entry.version});
    }
    m_applied = through;
}

std::optional<setting_entry> settings_tree::entryAt(const setting_path &path, setting_key key) const
{
    const auto found = find(path.text(), key);
    if (found == m_entries.end()) {
        return std::nullopt;
    }
    return setting_entry{path, key, found->second.text, found->second.version};
}

std::string settings_tree::valueAt(const setting_path &path, setting_key key) const
{
    return std::string(textAt(path.text(), key));
}

effective_setting settings_tree::effectiveAt(const setting_path &path, setting_key key) const
{
    const auto found = findEffective(path.text(), key);
    if (found == m_entries.end()) {
        return effective_setting{std::string(definitionOf(key).defaultText), std::nullopt};
    }
    const stored_value &value = found->second;
    return effective_setting{value.text, setting_entry{found->first.path, key, value.text, value.version}};
}

std::int64_t settings_tree::integerAt(const setting_path &path, setting_key key) const
{
    const std::string_view text = textAt(path.text(), key);
    std::int64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

bool settings_tree::flagAt(const setting_path &path, setting_key key) const
{
    return textAt(path.text(), key) == "true";
}

std::vector<setting_entry> settings_tree::entries() const
{
    std::vector<setting_entry> all;
    all.reserve(m_entries.size());
    for (const auto &[at, value] : m_entries) {
        all.push_back(setting_entry{at.path, at.key, value.text, value.version});
    }
    return all;
}

bool settings_tree::knows(const setting_path &path) const
{
    const std::string &text = path.text();
    const auto own = m_entries.lower_bound(position_view{text, setting_key{}});
    if (own != m_entries.end() && own->first.path == path) {
        return true;
    }
    // Names may hold letters that sort before the slash, so what is beneath need not follow at once.
    const std::string prefix = text.empty() ? text : text + '/';
    const auto beneath = m_entries.lower_bound(position_view{prefix, setting_key{}});
    return beneath != m_entries.end() && beneath->first.path.text().starts_with(prefix);
}

} // namespace fuchsialoom
