/// \file
/// Answers of model requests in the OpenAI-compatible form.
#include "caller_format.h"

#include <nlohmann/json.hpp>

namespace fuchsialoom
{

using json = nlohmann::json;

static constexpr std::uint32_t httpOk = 200;

static std::string dump(const json &value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

static json envelope(const request_id &id, const char *object, json choice)
{
    choice["index"] = 0;
    return json{{"id", id.text()}, {"object", object}, {"choices", json::array({std::move(choice)})}};
}

whole_answer wholeAnswerOf(const request_id &id, completion_form form, const std::string &text)
{
    json choice{{"finish_reason", "stop"}};
    const bool chat = form == completion_form::Chat;
    if (chat) {
        choice["message"] = json{{"role", "assistant"}, {"content", text}};
    } else {
        choice["text"] = text;
    }
    return whole_answer{httpOk, "application/json", dump(envelope(id, chat ? "chat.completion" : "text_completion", std::move(choice)))};
}

static std::string makeChunk(const request_id &id, completion_form form, const std::optional<std::string> &text)
{
    json choice{{"finish_reason", text ? json() : json("stop")}};
    const bool chat = form == completion_form::Chat;
    if (chat) {
        choice["delta"] = text ? json{{"role", "assistant"}, {"content", *text}} : json::object();
    } else {
        choice["text"] = text.value_or("");
    }
    return dump(envelope(id, chat ? "chat.completion.chunk" : "text_completion", std::move(choice)));
}

std::string chunkOf(const request_id &id, completion_form form, const std::string &text)
{
    return makeChunk(id, form, text);
}

std::string lastChunkOf(const request_id &id, completion_form form)
{
    return makeChunk(id, form, std::nullopt);
}

std::optional<std::string> textOf(const std::string &answer)
{
    const json body = json::parse(answer, nullptr, false);
    if (!body.is_object()) {
        return std::nullopt;
    }
    try {
        const json &choice = body.at("choices").at(0);
        return choice.contains("message") ? choice.at("message").at("content").get<std::string>() : choice.at("text").get<std::string>();
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

std::string eventOf(const std::string &data)
{
    return "data: " + data + "\n\n";
}

} // namespace fuchsialoom
