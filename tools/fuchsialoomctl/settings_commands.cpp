/// \file
/// The commands about settings.
#include "settings_commands.h"

#include "admin_client.h"
#include "fuchsialoom/settings/schema_page.h"
#include "fuchsialoom/support/errors.h"
#include "settings_file.h"

#include <fstream>
#include <iostream>
#include <map>
#include <sstream>

namespace fuchsialoom::ctl
{

using json = nlohmann::json;

static constexpr std::size_t anyNumber = 100000;

/// How paths are shown: the root as `/`.
static std::string shown(const std::string &path)
{
    return path.empty() ? "/" : path;
}

/// What is written at a place now.
struct present_value
{
    std::string value;
    std::uint64_t version = 0;
};

using present_values = std::map<std::pair<std::string, std::string>, present_value>;

static present_values readPresent(const context &with)
{
    present_values present;
    const json answer = ask(with, "/settings");
    for (const json &entry : answer.at("settings")) {
        present[{entry.at("path").get<std::string>(), entry.at("key").get<std::string>()}] =
            present_value{entry.at("value").get<std::string>(), entry.at("version").get<std::uint64_t>()};
    }
    return present;
}

static const present_value *presentOf(const present_values &present, const setting_edit &edit)
{
    const auto found = present.find({edit.path.text(), std::string(nameOf(edit.key))});
    return found == present.end() ? nullptr : &found->second;
}

/// Whether \p edit would change anything.
static bool changes(const present_values &present, const setting_edit &edit)
{
    const present_value *now = presentOf(present, edit);
    return edit.value ? now == nullptr || now->value != *edit.value : now != nullptr;
}

static json toJson(const setting_edit &edit, const present_values &present)
{
    const present_value *now = presentOf(present, edit);
    json item{{"path", edit.path.text()}, {"key", nameOf(edit.key)}, {"value", nullptr}, {"based_on", now == nullptr ? 0 : now->version}};
    if (edit.value) {
        item["value"] = *edit.value;
    }
    return item;
}

static exit_code submit(const context &with, const std::vector<setting_edit> &edits)
{
    const present_values present = readPresent(with);
    json items = json::array();
    for (const setting_edit &edit : edits) {
        if (changes(present, edit)) {
            items.push_back(toJson(edit, present));
        }
    }
    if (items.empty()) {
        std::cout << (with.json ? "{\"unchanged\":true}" : "nothing to change") << '\n';
        return exit_code::Done;
    }
    const change_answer answer = submitChange(with, items);
    if (with.json) {
        static constexpr const char *outcomes[] = {"accepted", "refused", "usage", "unknown"};
        std::cout
            << json{{"outcome", outcomes[static_cast<int>(answer.code)]}, {"message", answer.text}, {"version", answer.version}}.dump()
            << '\n';
    } else if (answer.code == exit_code::Done) {
        std::cout << answer.text << '\n';
    } else {
        std::cerr << "fuchsialoomctl: " << answer.text << '\n';
    }
    return answer.code;
}

exit_code setSettings(const context &with, const words &arguments)
{
    requireWords(arguments, 2, anyNumber, "set PATH KEY=VALUE...");
    const setting_path path = setting_path::parse(arguments.front());
    std::vector<setting_edit> edits;
    for (auto word = arguments.begin() + 1; word != arguments.end(); ++word) {
        edits.push_back(parseEdit(path, *word));
    }
    return submit(with, edits);
}

exit_code unsetSettings(const context &with, const words &arguments)
{
    requireWords(arguments, 2, anyNumber, "unset PATH KEY...");
    const setting_path path = setting_path::parse(arguments.front());
    std::vector<setting_edit> edits;
    for (auto word = arguments.begin() + 1; word != arguments.end(); ++word) {
        edits.push_back(setting_edit{path, parseKey(*word), std::nullopt, {}});
    }
    return submit(with, edits);
}

static void printEffective(const json &item)
{
    std::cout << shown(item.at("path")) << ' ' << item.at("key").get<std::string>() << '=' << item.at("value").get<std::string>();
    if (item.contains("from")) {
        std::cout << "  from " << shown(item["from"]) << " version " << item.at("version") << '\n';
    } else {
        std::cout << "  default\n";
    }
}

exit_code getSettings(const context &with, const words &arguments)
{
    requireWords(arguments, 0, 2, "get [PATH] [KEY]");
    const setting_path path = setting_path::parse(arguments.empty() ? std::string() : arguments.front());
    const bool isEffective = arguments.size() == 2;
    std::string query = "?path=" + path.text();
    if (isEffective) {
        query += "&key=" + std::string(nameOf(parseKey(arguments[1])));
    }
    const json answer = ask(with, (isEffective ? "/settings/effective" : "/settings") + query);
    if (with.json) {
        std::cout << answer.dump() << '\n';
        return exit_code::Done;
    }
    for (const json &item : answer.at("settings")) {
        if (isEffective) {
            printEffective(item);
        } else {
            std::cout << shown(item.at("path")) << ' ' << item.at("key").get<std::string>() << '=' << item.at("value").get<std::string>()
                      << "  version " << item.at("version") << '\n';
        }
    }
    return exit_code::Done;
}

static std::vector<setting_edit> readFile(const words &arguments, const char *form)
{
    requireWords(arguments, 1, 1, form);
    std::ifstream file(arguments.front());
    // A directory opens, and fails at the first read.
    file.peek();
    if (!file.is_open() || file.bad()) {
        throw error(error_kind::InvalidOption, "file '" + arguments.front() + "' can't be read");
    }
    std::ostringstream text;
    text << file.rdbuf();
    std::vector<setting_edit> edits = parseSettingsFile(text.str());
    if (edits.empty()) {
        throw error(error_kind::InvalidOption, "file '" + arguments.front() + "' holds no settings");
    }
    return edits;
}

exit_code diffFile(const context &with, const words &arguments)
{
    const std::vector<setting_edit> edits = readFile(arguments, "diff FILE");
    const present_values present = readPresent(with);
    json items = json::array();
    for (const setting_edit &edit : edits) {
        if (!changes(present, edit)) {
            continue;
        }
        const present_value *now = presentOf(present, edit);
        items.push_back(toJson(edit, present));
        if (!with.json) {
            std::cout << shown(edit.path.text()) << ' ' << nameOf(edit.key) << ": " << (now == nullptr ? "not set" : now->value) << " -> "
                      << edit.value.value_or("not set") << '\n';
        }
    }
    if (with.json) {
        std::cout << items.dump() << '\n';
    }
    return exit_code::Done;
}

exit_code applyFile(const context &with, const words &arguments)
{
    return submit(with, readFile(arguments, "apply FILE"));
}

static void printChange(const json &change)
{
    std::cout << change.at("offset") << ' ' << (change.at("accepted").get<bool>() ? "accepted" : "refused") << " by "
              << change.at("operator").get<std::string>() << ", change " << change.at("id").get<std::string>() << '\n';
    for (const json &edit : change.at("edits")) {
        std::cout << "    " << shown(edit.at("path")) << ' ' << edit.at("key").get<std::string>()
                  << (edit.at("value").is_null() ? " removed" : '=' + edit["value"].get<std::string>()) << '\n';
    }
    if (change.contains("reason")) {
        std::cout << "    because " << change["reason"].get<std::string>() << '\n';
    }
}

exit_code showHistory(const context &with, const words &arguments)
{
    requireWords(arguments, 0, 1, "history [PATH]");
    const setting_path path = setting_path::parse(arguments.empty() ? std::string() : arguments.front());
    const json answer = ask(with, "/settings/history?path=" + path.text());
    if (with.json) {
        std::cout << answer.dump() << '\n';
        return exit_code::Done;
    }
    for (const json &change : answer.at("changes")) {
        printChange(change);
    }
    return exit_code::Done;
}

exit_code showSchema(const context &with, const words &arguments)
{
    requireWords(arguments, 0, 1, "schema [--markdown]");
    if (!arguments.empty()) {
        std::cout << schemaPage();
        return exit_code::Done;
    }
    json items = json::array();
    for (const setting_definition &definition : settingDefinitions()) {
        if (with.json) {
            items.push_back(json{{"key", definition.name},
                                 {"allowed", allowedValues(definition)},
                                 {"default", definition.defaultText},
                                 {"levels", levelNames(definition.levels)},
                                 {"help", definition.help}});
        } else {
            std::cout << definition.name << ": " << allowedValues(definition) << "; default " << definition.defaultText << "; at "
                      << levelNames(definition.levels) << "\n    " << definition.help << '\n';
        }
    }
    if (with.json) {
        std::cout << items.dump() << '\n';
    }
    return exit_code::Done;
}

} // namespace fuchsialoom::ctl
