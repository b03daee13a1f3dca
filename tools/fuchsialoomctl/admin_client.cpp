/// \file
/// Calls of the admin ports of VMs.
#include "admin_client.h"

#include "fuchsialoom/support/errors.h"

#include <httplib.h>

namespace fuchsialoom::ctl
{

using json = nlohmann::json;

static constexpr int httpOk = 200;
static constexpr time_t connectSeconds = 2;
static constexpr time_t readSeconds = 5;
/// Longer than a VM takes to say that an outcome is unknown.
static constexpr time_t changeSeconds = 20;

static httplib::Client connect(const endpoint &vm, time_t answerSeconds)
{
    httplib::Client client(vm.host, vm.port);
    client.set_connection_timeout(connectSeconds);
    client.set_read_timeout(answerSeconds);
    client.set_write_timeout(answerSeconds);
    return client;
}

static std::string messageOf(const json &body)
{
    if (body.is_object() && body.contains("error") && body["error"].is_object()) {
        return body["error"].value("message", "no reason given");
    }
    return "no reason given";
}

json ask(const context &with, const std::string &path)
{
    for (const endpoint &vm : with.vms) {
        const httplib::Result answer = connect(vm, readSeconds).Get(path);
        if (!answer) {
            continue;
        }
        json body = json::parse(answer->body, nullptr, false);
        if (answer->status != httpOk || body.is_discarded()) {
            throw error(error_kind::MalformedRequest, messageOf(body));
        }
        return body;
    }
    throw error(error_kind::PeerUnreachable, "no VM answers, first tried '" + toText(with.vms.front()) + "'");
}

std::optional<std::string> readPage(const endpoint &vm, const std::string &path)
{
    const httplib::Result answer = connect(vm, readSeconds).Get(path);
    return answer && answer->status == httpOk ? std::optional(answer->body) : std::nullopt;
}

std::optional<json> askOne(const endpoint &vm, const std::string &path)
{
    const httplib::Result answer = connect(vm, readSeconds).Get(path);
    if (!answer || answer->status != httpOk) {
        return std::nullopt;
    }
    json body = json::parse(answer->body, nullptr, false);
    return body.is_object() ? std::optional(std::move(body)) : std::nullopt;
}

static const char *const howToCheck = "; 'fuchsialoomctl history' shows whether it landed";

/// Only a VM that says so makes a change refused: anything else may still land.
static change_answer readAnswer(const httplib::Response &answer)
{
    const json body = json::parse(answer.body, nullptr, false);
    if (answer.status == httpOk && body.is_object() && body.contains("version") && body["version"].is_number_unsigned()) {
        const auto version = body["version"].get<std::uint64_t>();
        return change_answer{exit_code::Done, "accepted as version " + std::to_string(version), version};
    }
    const bool hasError = body.is_object() && body.contains("error") && body["error"].is_object();
    if (hasError && body["error"].value("outcome", "") == "not-run") {
        return change_answer{exit_code::Failed, messageOf(body), 0};
    }
    return change_answer{exit_code::Unknown, "outcome unknown: " + messageOf(body) + howToCheck, 0};
}

change_answer submitChange(const context &with, const json &edits)
{
    const std::string body = json{{"operator", with.operatorName}, {"edits", edits}}.dump();
    for (const endpoint &vm : with.vms) {
        httplib::Client client = connect(vm, changeSeconds);
        const httplib::Result answer = client.Post("/settings", body, "application/json");
        if (answer) {
            return readAnswer(*answer);
        }
        if (answer.error() != httplib::Error::Connection) {
            return change_answer{exit_code::Unknown, "outcome unknown: '" + toText(vm) + "' gave no answer" + howToCheck, 0};
        }
    }
    return change_answer{exit_code::Failed, "no VM can be reached, nothing was sent", 0};
}

} // namespace fuchsialoom::ctl
