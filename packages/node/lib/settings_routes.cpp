/// \file
/// The operators' calls about settings.
#include "settings_routes.h"

#include "http_answers.h"

#include <algorithm>
#include <utility>

namespace fuchsialoom
{

using json = nlohmann::json;

static constexpr seconds submitTimeout{10};

static void answerJson(httplib::Response &to, const json &body)
{
    to.set_content(body.dump(-1, ' ', false, json::error_handler_t::replace), "application/json");
}

static json toJson(const setting_entry &entry)
{
    return json{{"path", entry.path.text()}, {"key", nameOf(entry.key)}, {"value", entry.value}, {"version", entry.version.value()}};
}

/// Whether \p path is \p above or beneath it.
static bool isWithin(const setting_path &path, const setting_path &above)
{
    return above.text().empty() || path == above || path.text().starts_with(above.text() + '/');
}

static setting_path pathParam(const httplib::Request &from)
{
    return setting_path::parse(from.get_param_value("path"));
}

static setting_key parseKey(const std::string &text)
{
    const std::optional<setting_key> key = parseName<setting_key>(text);
    if (!key) {
        throw error(error_kind::InvalidSetting, "key '" + text + "' is unknown");
    }
    return *key;
}

static json showSettings(const httplib::Request &from, const settings_service &settings)
{
    const std::shared_ptr<const settings_tree> tree = settings.tree();
    const setting_path path = pathParam(from);
    json entries = json::array();
    for (const setting_entry &entry : tree->entries()) {
        if (isWithin(entry.path, path)) {
            entries.push_back(toJson(entry));
        }
    }
    return json{{"applied", tree->applied().value()}, {"settings", entries}};
}

static json effectiveJson(const settings_tree &tree, const setting_path &path, setting_key key)
{
    const effective_setting found = tree.effectiveAt(path, key);
    json item{{"path", path.text()}, {"key", nameOf(key)}, {"value", found.value}};
    if (found.entry) {
        item["from"] = found.entry->path.text();
        item["version"] = found.entry->version.value();
    }
    return item;
}

static json showEffective(const httplib::Request &from, const settings_service &settings)
{
    const std::shared_ptr<const settings_tree> tree = settings.tree();
    const setting_path path = pathParam(from);
    json items = json::array();
    if (from.has_param("key")) {
        items.push_back(effectiveJson(*tree, path, parseKey(from.get_param_value("key"))));
    } else {
        for (const setting_definition &definition : settingDefinitions()) {
            items.push_back(effectiveJson(*tree, path, definition.key));
        }
    }
    return json{{"applied", tree->applied().value()}, {"settings", items}};
}

static json toJson(const change_seen &change)
{
    json edits = json::array();
    for (const setting_edit &edit : change.edits) {
        json item{{"path", edit.path.text()}, {"key", nameOf(edit.key)}, {"value", nullptr}};
        if (edit.value) {
            item["value"] = *edit.value;
        }
        edits.push_back(std::move(item));
    }
    json item{{"id", change.folded.id.text()},
              {"offset", change.offset.value()},
              {"operator", change.folded.operatorName},
              {"accepted", !change.folded.refusal},
              {"edits", edits}};
    if (change.folded.refusal) {
        item["reason"] = change.folded.refusal->detail;
    }
    return item;
}

/// A change known from a snapshot alone names no paths, so it is shown only where all are asked for.
static bool concerns(const change_seen &change, const setting_path &path)
{
    return path.text().empty() || std::any_of(change.edits.begin(), change.edits.end(), [&](const setting_edit &edit) {
               return isWithin(edit.path, path);
           });
}

static json showHistory(const httplib::Request &from, const settings_service &settings)
{
    const setting_path path = pathParam(from);
    json changes = json::array();
    for (const change_seen &change : settings.history()) {
        if (concerns(change, path)) {
            changes.push_back(toJson(change));
        }
    }
    return json{{"applied", settings.tree()->applied().value()}, {"changes", changes}};
}

static setting_edit readEdit(const json &from, const settings_tree &tree)
{
    setting_edit edit;
    edit.path = setting_path::parse(from.at("path").get<std::string>());
    edit.key = parseKey(from.at("key").get<std::string>());
    if (from.contains("value") && !from["value"].is_null()) {
        edit.value = from["value"].get<std::string>();
    }
    if (from.contains("based_on")) {
        edit.basedOn = log_offset(from["based_on"].get<std::uint64_t>());
    } else if (const std::optional<setting_entry> present = tree.entryAt(edit.path, edit.key)) {
        edit.basedOn = present->version;
    }
    return edit;
}

static json changeSettings(const httplib::Request &from, settings_service &settings)
{
    const std::shared_ptr<const settings_tree> tree = settings.servedTree();
    const json body = json::parse(from.body);
    settings_change change;
    change.operatorName = body.value("operator", "unknown");
    for (const json &edit : body.at("edits")) {
        change.edits.push_back(readEdit(edit, *tree));
    }
    const log_offset version = settings.submit(std::move(change), std::chrono::steady_clock::now() + submitTimeout);
    return json{{"version", version.value()}};
}

/// Answers with what \p make returns, or with the failure that it throws.
template<typename Make>
static void answerWith(httplib::Response &to, Make make)
{
    try {
        answerJson(to, make());
    } catch (const json::exception &) {
        answerFailure(to, failure{error_kind::MalformedRequest, "body is not a change of settings", outcome::NotRun, std::nullopt}, {});
    } catch (const error &problem) {
        answerFailure(to, problem.info(), {});
    }
}

void routeSettings(httplib::Server &server, settings_service &settings)
{
    const auto show = [&](const char *path, json (*make)(const httplib::Request &, const settings_service &)) {
        server.Get(path, [&settings, make](const httplib::Request &from, httplib::Response &to) {
            answerWith(to, [&] {
                return make(from, settings);
            });
        });
    };
    show("/settings", showSettings);
    show("/settings/effective", showEffective);
    show("/settings/history", showHistory);
    server.Post("/settings", [&settings](const httplib::Request &from, httplib::Response &to) {
        answerWith(to, [&] {
            return changeSettings(from, settings);
        });
    });
}

json settingsStatus(const settings_service &settings)
{
    const replica_status status = settings.status();
    return json{{"applied", status.applied.value()},
                {"head", status.head.value()},
                {"freshness", nameOf(status.fresh)},
                {"gap", status.isSeeking},
                {"log_behind", status.isLogBehind},
                {"records_skipped", status.passed}};
}

} // namespace fuchsialoom
