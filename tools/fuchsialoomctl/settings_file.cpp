/// \file
/// Files of settings.
#include "settings_file.h"

#include "fuchsialoom/support/errors.h"

#include <nlohmann/json.hpp>

#include <sstream>

namespace fuchsialoom::ctl
{

using json = nlohmann::json;

setting_key parseKey(const std::string &name)
{
    const std::optional<setting_key> key = parseName<setting_key>(name);
    if (!key) {
        throw error(error_kind::InvalidSetting, "key '" + name + "' is unknown, 'fuchsialoomctl schema' lists all");
    }
    return *key;
}

static setting_edit checked(setting_edit edit)
{
    if (edit.value) {
        checkSetting(edit.path, edit.key, *edit.value);
    }
    return edit;
}

setting_edit parseEdit(const setting_path &path, const std::string &word)
{
    if (word.starts_with('-')) {
        return setting_edit{path, parseKey(word.substr(1)), std::nullopt, {}};
    }
    const std::size_t equals = word.find('=');
    if (equals == std::string::npos) {
        throw error(error_kind::InvalidSetting, "'" + word + "' is not of the form KEY=VALUE");
    }
    return checked(setting_edit{path, parseKey(word.substr(0, equals)), word.substr(equals + 1), {}});
}

/// The text in \p field of \p entry; nothing where it is null and may be.
static std::optional<std::string> textIn(const json &entry, const char *field, bool mayBeNull)
{
    if (!entry.is_object() || !entry.contains(field)) {
        throw error(error_kind::InvalidSetting, std::string("'") + field + "' is missing");
    }
    if (entry[field].is_null() && mayBeNull) {
        return std::nullopt;
    }
    if (!entry[field].is_string()) {
        throw error(error_kind::InvalidSetting,
                    std::string("'") + field + "' is " + entry[field].dump() + ", allowed is text in quotes"
                        + (mayBeNull ? ", or null" : ""));
    }
    return entry[field].get<std::string>();
}

static setting_edit parseEntry(const json &entry)
{
    setting_edit edit{setting_path::parse(*textIn(entry, "path", false)), parseKey(*textIn(entry, "key", false)), {}, {}};
    edit.value = textIn(entry, "value", true);
    return checked(std::move(edit));
}

static std::vector<setting_edit> parseJson(const json &from)
{
    std::vector<setting_edit> edits;
    for (const json &entry : from.is_object() ? from.at("settings") : from) {
        try {
            edits.push_back(parseEntry(entry));
        } catch (const error &problem) {
            throw error(problem.kind(), "entry " + std::to_string(edits.size() + 1) + ": " + problem.info().detail);
        }
    }
    return edits;
}

static void parseLine(const std::string &line, std::vector<setting_edit> &edits)
{
    std::istringstream parts(line.substr(0, line.find('#')));
    std::string path;
    if (!(parts >> path)) {
        return;
    }
    const setting_path at = setting_path::parse(path);
    std::size_t count = 0;
    for (std::string word; parts >> word; ++count) {
        edits.push_back(parseEdit(at, word));
    }
    if (count == 0) {
        throw error(error_kind::InvalidSetting, "path '" + path + "' has no settings");
    }
}

static std::vector<setting_edit> parseLines(const std::string &text)
{
    std::vector<setting_edit> edits;
    std::istringstream lines(text);
    std::size_t number = 0;
    for (std::string line; std::getline(lines, line);) {
        ++number;
        try {
            parseLine(line, edits);
        } catch (const error &problem) {
            throw error(problem.kind(), "line " + std::to_string(number) + ": " + problem.info().detail);
        }
    }
    return edits;
}

std::vector<setting_edit> parseSettingsFile(const std::string &text)
{
    const std::size_t first = text.find_first_not_of(" \t\r\n");
    if (first == std::string::npos || (text[first] != '[' && text[first] != '{')) {
        return parseLines(text);
    }
    try {
        return parseJson(json::parse(text));
    } catch (const json::exception &problem) {
        throw error(error_kind::InvalidSetting, std::string("not a list of settings: ") + problem.what());
    }
}

} // namespace fuchsialoom::ctl
