/// \file
/// Turns a caller's HTTP request into what the decisions need.
#include "caller_input.h"

#include "fuchsialoom/support/hash.h"
#include "json_depth.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <utility>

namespace fuchsialoom
{

using json = nlohmann::json;

/// Every this many bytes of the body, one more prefix is hashed for the cache match.
static constexpr std::size_t prefixBlockBytes = 256;
static constexpr std::size_t mostPrefixBlocks = 64;
/// Deeper bodies are refused unread: no model's input nests like that.
static constexpr std::size_t deepestBody = 64;
static constexpr std::size_t mostHeaderBytes = 16UL * 1024;
/// A deadline further ahead is taken for a mistake of unit or clock.
static constexpr std::chrono::hours furthestDeadline{24};

std::optional<std::string> caller_message::header(const std::string &name) const
{
    const auto [first, last] = headers.equal_range(name);
    if (first == last) {
        return std::nullopt;
    }
    if (std::next(first) != last) {
        throw error(error_kind::MalformedRequest, "header " + name + " came more than once");
    }
    return first->second;
}

static void checkHeaderSize(const caller_message &from)
{
    std::size_t size = 0;
    for (const auto &[name, value] : from.headers) {
        size += name.size() + value.size();
    }
    if (size > mostHeaderBytes) {
        throw error(error_kind::HeadersTooLarge,
                    "headers of " + std::to_string(size) + " bytes are over " + std::to_string(mostHeaderBytes));
    }
}

static std::string requireHeader(const caller_message &from, const std::string &name)
{
    std::optional<std::string> value = from.header(name);
    if (!value) {
        throw error(error_kind::MalformedRequest, "header " + name + " is missing");
    }
    return std::move(*value);
}

static std::int64_t parseNumber(const std::string &name, const std::string &text)
{
    std::int64_t value = 0;
    const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (code != std::errc() || end != text.data() + text.size()) {
        throw error(error_kind::MalformedRequest, "header " + name + " '" + text + "' is not a number");
    }
    return value;
}

/// The deadline, from the caller's absolute Unix time in milliseconds or from the settings.
static instant readDeadline(const caller_message &from, const input_context &context, const setting_path &path)
{
    static const std::string name = "x-deadline-unix-ms";
    const std::optional<std::string> text = from.header(name);
    if (!text) {
        return context.now.monotonic + milliseconds(context.settings.integerAt(path, setting_key::RequestDeadlineMs));
    }
    // Compared in milliseconds first: a huge number must not overflow the clock's microseconds.
    const std::int64_t wanted = parseNumber(name, *text);
    const std::int64_t now = std::chrono::duration_cast<milliseconds>(context.now.wall.time_since_epoch()).count();
    if (wanted < 0 || wanted > now + std::chrono::duration_cast<milliseconds>(furthestDeadline).count()) {
        throw error(error_kind::MalformedRequest, "header " + name + " '" + *text + "' is not a time within a day from now");
    }
    if (wanted <= now) {
        throw error(error_kind::DeadlineExpired, "the deadline '" + *text + "' has passed");
    }
    return context.now.monotonic + (wall_instant(milliseconds(wanted)) - context.now.wall);
}

static bool readRepeatable(const caller_message &from, const settings_tree &settings, const setting_path &path, target_kind kind)
{
    if (const std::optional<std::string> text = from.header("x-repeatable")) {
        if (*text != "yes" && *text != "no") {
            throw error(error_kind::MalformedRequest, "header x-repeatable '" + *text + "' is not yes or no");
        }
        return *text == "yes";
    }
    const std::string setting = settings.valueAt(path, setting_key::Repeatable);
    return setting == "auto" ? kind == target_kind::Engine : setting == "yes";
}

static int readPriority(const caller_message &from, const settings_tree &settings, const setting_path &path)
{
    static constexpr std::int64_t lowest = 9;
    const std::optional<std::string> text = from.header("x-priority");
    if (!text) {
        return static_cast<int>(settings.integerAt(path, setting_key::Priority));
    }
    const std::int64_t value = parseNumber("x-priority", *text);
    if (value < 0 || value > lowest) {
        throw error(error_kind::MalformedRequest, "header x-priority '" + *text + "' is not from 0 to 9");
    }
    return static_cast<int>(value);
}

/// The caller's request id; it becomes part of the engine's stream id, so its letters are limited.
static request_id readRequestId(const caller_message &from, request_id fallback)
{
    static constexpr std::size_t longest = 128;
    std::optional<std::string> text = from.header("x-request-id");
    if (!text) {
        return fallback;
    }
    const bool plain = std::all_of(text->begin(), text->end(), [](unsigned char letter) {
        return std::isalnum(letter) != 0 || letter == '-' || letter == '_' || letter == '.';
    });
    if (text->empty() || text->size() > longest || !plain) {
        throw error(error_kind::MalformedRequest, "header x-request-id is not 1 to 128 letters, digits, '-', '_' and '.'");
    }
    return request_id(std::move(*text));
}

/// The caller's key within its brand and service: another brand's equal key is another key.
static std::optional<idempotency_key> readKey(const caller_message &from, const incoming_request &request)
{
    static constexpr std::size_t longest = 200;
    const std::optional<std::string> text = from.header("idempotency-key");
    if (!text) {
        return std::nullopt;
    }
    const bool visible = std::all_of(text->begin(), text->end(), [](unsigned char letter) {
        return letter > ' ' && letter <= '~';
    });
    if (text->empty() || text->size() > longest || !visible) {
        throw error(error_kind::MalformedRequest, "header idempotency-key is not 1 to 200 visible ASCII characters");
    }
    return idempotency_key(request.brand.text() + '/' + request.service.text() + '/' + *text);
}

static std::vector<content_hash> prefixBlocksOf(const std::string &body)
{
    std::vector<content_hash> blocks;
    for (std::size_t end = prefixBlockBytes; end <= body.size() && blocks.size() < mostPrefixBlocks; end += prefixBlockBytes) {
        blocks.push_back(hashOf(std::string_view(body).substr(0, end)));
    }
    return blocks;
}

/// The path that \p makePath makes, where the settings know it; else, also where a name can't be a path,
/// an error of \p kind.
template<typename MakePath>
static setting_path findPath(const settings_tree &settings, error_kind kind, const std::string &detail, MakePath makePath)
{
    std::optional<setting_path> path;
    try {
        path = makePath();
    } catch (const error &) {
        // Not a name: nothing is called that.
    }
    if (!path || !settings.knows(*path)) {
        throw error(kind, detail);
    }
    return std::move(*path);
}

/// The path of the service that the caller names. \throws error(UnknownBrand, UnknownService).
static setting_path findService(const settings_tree &settings, const brand_id &brand, const service_id &service)
{
    const setting_path brandPath = findPath(settings, error_kind::UnknownBrand, "brand '" + brand.text() + "' is unknown", [&] {
        return setting_path::ofBrand(brand);
    });
    const std::string detail = "brand '" + brand.text() + "' has no service '" + service.text() + "'";
    return findPath(settings, error_kind::UnknownService, detail, [&] {
        return brandPath.service(service);
    });
}

std::size_t bodyLimitOf(const caller_message &headers, const std::optional<std::string> &plainService, const settings_tree &settings)
{
    checkHeaderSize(headers);
    const brand_id brand(requireHeader(headers, "x-brand"));
    const service_id service(plainService ? *plainService : requireHeader(headers, "x-service"));
    return static_cast<std::size_t>(settings.integerAt(findService(settings, brand, service), setting_key::MaxBodyBytes));
}

static void checkService(const settings_tree &settings, const setting_path &path, const incoming_request &request)
{
    const std::string kind = settings.valueAt(path, setting_key::ServiceKind);
    const std::string wanted = request.kind == target_kind::Engine ? "model" : "plain";
    if (kind != wanted) {
        throw error(error_kind::WrongServiceKind, "service '" + request.service.text() + "' is of the kind " + kind + ", not " + wanted);
    }
    if (!settings.flagAt(path, setting_key::InService)) {
        throw error(error_kind::NotInService, "'" + path.text() + "' is not in service");
    }
}

static void fillCommon(caller_request &to, const caller_message &from, const input_context &context, const setting_path &path)
{
    const settings_tree &settings = context.settings;
    incoming_request &request = to.input.request;
    checkService(settings, path, request);
    const auto limit = static_cast<std::size_t>(settings.integerAt(path, setting_key::MaxBodyBytes));
    if (from.body.size() > limit) {
        throw error(error_kind::BodyTooLarge, "body of " + std::to_string(from.body.size()) + " bytes is over " + std::to_string(limit));
    }
    request.id = readRequestId(from, context.fallbackId);
    request.deadline = readDeadline(from, context, path);
    request.priority = readPriority(from, settings, path);
    request.repeatable = readRepeatable(from, settings, path, request.kind);
    request.key = readKey(from, request);
    request.prefixBlocks = prefixBlocksOf(from.body);
    request.body = hashOf(from.body);
    request.fingerprint = hashOf(from.body, hashOf(request.service.text()).value());
    request.brandShare = static_cast<std::uint32_t>(settings.integerAt(path, setting_key::BrandShare));
    request.queueLimit = static_cast<std::uint32_t>(settings.integerAt(path, setting_key::QueueLimit));
    request.retryBudgetPercent = static_cast<std::uint32_t>(settings.integerAt(path, setting_key::RetryBudgetPercent));
    to.input.body = from.body;
    to.input.progressTimeout = milliseconds(settings.integerAt(path, setting_key::ProgressTimeoutMs));
}

/// Splits "MODEL:ADAPTER".
static void readModelName(const std::string &text, incoming_request &request)
{
    const std::size_t colon = text.find(':');
    request.model = model_id(text.substr(0, colon));
    if (colon == std::string::npos) {
        return;
    }
    request.adapter = adapter_id(text.substr(colon + 1));
    if (request.adapter.empty()) {
        throw error(error_kind::UnknownAdapter, "model '" + text + "' names no adapter after its colon");
    }
}

static json parseBody(const std::string &text)
{
    if (isNestedDeeper(text, deepestBody)) {
        throw error(error_kind::MalformedRequest, "body is nested more than " + std::to_string(deepestBody) + " deep");
    }
    json body = json::parse(text, nullptr, false);
    if (!body.is_object()) {
        throw error(error_kind::MalformedRequest, "body is not a JSON object");
    }
    return body;
}

/// Members that reach further than the model are checked here; the rest is the model's business.
static void checkMembers(const json &body, completion_form form)
{
    const auto refuse = [](const std::string &what) {
        throw error(error_kind::MalformedRequest, what);
    };
    if (!body.contains("model") || !body["model"].is_string()) {
        refuse("member 'model' is not a text");
    }
    if (body.contains("stream") && !body["stream"].is_boolean()) {
        refuse("member 'stream' is not true or false");
    }
    if (form == completion_form::Chat && body.contains("messages") && !body["messages"].is_array()) {
        refuse("member 'messages' is not an array");
    }
    if (form == completion_form::Text && body.contains("prompt") && !body["prompt"].is_string() && !body["prompt"].is_array()) {
        refuse("member 'prompt' is not a text or an array");
    }
}

/// The path of the model, or of the adapter where the request names one.
static setting_path findModel(const settings_tree &settings, incoming_request &request)
{
    const setting_path service = findService(settings, request.brand, request.service);
    const std::string noModel = "service '" + request.service.text() + "' has no model '" + request.model.text() + "'";
    setting_path path = findPath(settings, error_kind::UnknownModel, noModel, [&] {
        return service.model(request.model);
    });
    request.version = version_id(settings.valueAt(path, setting_key::ModelVersion));
    if (request.adapter.empty()) {
        return path;
    }
    const std::string noAdapter = "model '" + request.model.text() + "' has no adapter '" + request.adapter.text() + "'";
    setting_path adapterPath = findPath(settings, error_kind::UnknownAdapter, noAdapter, [&] {
        return path.adapter(request.adapter);
    });
    request.adapterVersion = version_id(settings.valueAt(adapterPath, setting_key::AdapterVersion));
    return adapterPath;
}

caller_request readModelRequest(const caller_message &from, completion_form form, const input_context &context)
{
    checkHeaderSize(from);
    const json body = parseBody(from.body);
    checkMembers(body, form);
    caller_request result;
    result.stream = body.contains("stream") && body["stream"].get<bool>();
    incoming_request &request = result.input.request;
    request.kind = target_kind::Engine;
    request.brand = brand_id(requireHeader(from, "x-brand"));
    request.service = service_id(requireHeader(from, "x-service"));
    readModelName(body["model"].get<std::string>(), request);
    const setting_path path = findModel(context.settings, request);
    fillCommon(result, from, context, path);
    return result;
}

caller_request readPlainRequest(const caller_message &from, const std::string &service, const input_context &context)
{
    checkHeaderSize(from);
    caller_request result;
    incoming_request &request = result.input.request;
    request.kind = target_kind::Plain;
    request.brand = brand_id(requireHeader(from, "x-brand"));
    request.service = service_id(service);
    const setting_path path = findService(context.settings, request.brand, request.service);
    fillCommon(result, from, context, path);
    return result;
}

} // namespace fuchsialoom
