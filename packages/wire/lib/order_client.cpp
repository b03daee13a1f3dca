/// \file
/// A target as the leader of its domain meets it, over HTTP.
#include "fuchsialoom/wire/order_client.h"

#include "http_client.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace fuchsialoom
{

using json = nlohmann::json;

static constexpr int httpOk = 200;
static constexpr int httpConflict = 409;
static constexpr int httpGone = 410;
static constexpr int httpFirstClientError = 400;
static constexpr int httpFirstServerError = 500;

http_order_target::http_order_target(endpoint target)
    : m_target(std::move(target))
{
}

std::string encodeOrder(const target_order &order)
{
    const std::int64_t expires = order.expires ? order.expires->time_since_epoch().count() : 0;
    return json{{"id", order.id.text()},
                {"fence", order.fence.value()},
                {"operation", nameOf(order.operation)},
                {"model", order.model.text()},
                {"version", order.version.text()},
                {"adapter", order.adapter.text()},
                {"bytes", order.bytes},
                {"expires_unix_micros", expires}}
        .dump();
}

static order_reply decodeReply(const httplib::Response &answer)
{
    const json body = json::parse(answer.body, nullptr, false);
    if (answer.status == httpOk) {
        const bool refused = body.is_object() && body.contains("accepted") && body["accepted"] == false;
        return order_reply{refused ? order_answer::Refused : order_answer::Accepted, {}};
    }
    if (answer.status == httpConflict && body.is_object() && body.value("error", "") == "stale-fence") {
        const json fence = body.value("fence", json(0));
        return order_reply{order_answer::StaleFence, fencing_number(fence.is_number_unsigned() ? fence.get<std::uint64_t>() : 0)};
    }
    if (answer.status == httpGone) {
        return order_reply{order_answer::Expired, {}};
    }
    const bool refused = answer.status >= httpFirstClientError && answer.status < httpFirstServerError;
    return order_reply{refused ? order_answer::Refused : order_answer::Unknown, {}};
}

order_reply http_order_target::send(const target_order &order, real_deadline deadline)
{
    httplib::Client client = connectTo(m_target, deadline);
    const httplib::Result answer = client.Post("/orders", encodeOrder(order), "application/json");
    if (!answer) {
        const bool neverSent = answer.error() == httplib::Error::Connection;
        return order_reply{neverSent ? order_answer::NotSent : order_answer::Unknown, {}};
    }
    return decodeReply(*answer);
}

static resident_model modelFromJson(const json &from)
{
    return resident_model{model_id(from.at("model").get<std::string>()),
                          version_id(from.at("version").get<std::string>()),
                          from.at("bytes").get<std::uint64_t>()};
}

std::optional<target_state> decodeState(const target_id &target, std::string_view text)
{
    try {
        const json from = json::parse(text);
        target_state state;
        state.target = target;
        state.incarnation = incarnation_number(from.at("incarnation").get<std::uint64_t>());
        state.fence = fencing_number(from.at("fence").get<std::uint64_t>());
        state.memoryBytes = from.at("memory_bytes").get<std::uint64_t>();
        for (const json &model : from.at("models")) {
            state.models.push_back(modelFromJson(model));
        }
        for (const json &model : from.at("loading")) {
            state.loading.push_back(modelFromJson(model));
        }
        for (const json &adapter : from.at("adapters")) {
            state.adapters.push_back(resident_adapter{model_id(adapter.at("model").get<std::string>()),
                                                      adapter_id(adapter.at("adapter").get<std::string>()),
                                                      version_id(adapter.at("version").get<std::string>()),
                                                      adapter.at("bytes").get<std::uint64_t>()});
        }
        return state;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

std::optional<target_state> http_order_target::state(const target_id &target, real_deadline deadline)
{
    httplib::Client client = connectTo(m_target, deadline);
    const httplib::Result answer = client.Get("/state");
    if (!answer || answer->status != httpOk) {
        return std::nullopt;
    }
    return decodeState(target, answer->body);
}

} // namespace fuchsialoom
