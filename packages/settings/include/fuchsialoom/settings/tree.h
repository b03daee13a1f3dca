/// \file
/// The tree of settings in force: values by path and key, inheritance, and the checks that decide
/// whether a change is accepted.
#pragma once

#include "fuchsialoom/settings/change.h"
#include "fuchsialoom/support/errors.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace fuchsialoom
{

/// What became of a change at its offset in the log.
struct change_verdict
{
    bool accepted = false;
    std::optional<failure> refusal; ///< set when not accepted: SettingConflict or InvalidSetting
};

/// Where a value came from.
struct effective_setting
{
    std::string value;
    std::optional<setting_entry> entry; ///< the entry that holds, or nothing: the schema's default
};

class settings_tree
{
public:
    /// Folds \p change, found at \p offset. Offsets must come in order; one at or below applied() is a
    /// repeat and changes nothing. Every VM reaches the same verdict from the same records.
    change_verdict apply(log_offset offset, const settings_change &change);

    /// Notes that the records up to \p offset hold no further change.
    void skipTo(log_offset offset);

    /// Replaces everything by a snapshot that covers the records up to \p through, unless that is
    /// below applied().
    void load(log_offset through, std::span<const setting_entry> entries);

    /// The value that holds at \p path: its own, or the nearest parent's, or the schema's default.
    std::string valueAt(const setting_path &path, setting_key key) const;
    std::int64_t integerAt(const setting_path &path, setting_key key) const;
    bool flagAt(const setting_path &path, setting_key key) const;
    /// As valueAt(), with the entry that it comes from.
    effective_setting effectiveAt(const setting_path &path, setting_key key) const;

    /// The setting written at exactly \p path.
    std::optional<setting_entry> entryAt(const setting_path &path, setting_key key) const;

    /// Every setting in force, ordered by path and key.
    std::vector<setting_entry> entries() const;

    /// Every path that has a setting, and its parents.
    bool knows(const setting_path &path) const;

    log_offset applied() const
    {
        return m_applied;
    }

private:
    struct position
    {
        setting_path path;
        setting_key key;
    };
    struct position_view
    {
        std::string_view path;
        setting_key key;
    };
    /// Orders by path text, then key; looks up without making a path.
    struct position_order
    {
        using is_transparent = void;
        static position_view view(const position &at)
        {
            return {at.path.text(), at.key};
        }
        static position_view view(const position_view &at)
        {
            return at;
        }
        template<typename Left, typename Right>
        bool operator()(const Left &left, const Right &right) const
        {
            const position_view a = view(left);
            const position_view b = view(right);
            return a.path != b.path ? a.path < b.path : a.key < b.key;
        }
    };
    struct stored_value
    {
        std::string text;
        log_offset version;
    };
    using entry_map = std::map<position, stored_value, position_order>;
    /// Paths of one model, each with the number of entries at or beneath it.
    using model_places = std::map<std::string, std::uint32_t, std::less<>>;

    std::optional<failure> check(const settings_change &change) const;
    std::optional<failure> checkModels(const settings_change &change) const;
    std::optional<failure> checkModel(const std::string &model) const;
    std::optional<stored_value> put(const setting_path &path, setting_key key, std::optional<stored_value> value);
    void countPlace(const setting_path &path, bool added);
    entry_map::const_iterator find(std::string_view path, setting_key key) const;
    entry_map::const_iterator findEffective(std::string_view path, setting_key key) const;
    std::string_view textAt(std::string_view path, setting_key key) const;

    entry_map m_entries;
    std::map<std::string, model_places, std::less<>> m_models; ///< every model that m_entries names
    log_offset m_applied; ///< never decreases
};

/// \throws error(InvalidSetting) when an edit of \p change breaks the schema, naming path and reason.
void checkAgainstSchema(const settings_change &change);

} // namespace fuchsialoom
