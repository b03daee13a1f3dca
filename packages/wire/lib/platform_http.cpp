/// \file
/// The platform's services over HTTP.
#include "fuchsialoom/wire/platform_http.h"

#include "fuchsialoom/support/errors.h"
#include "http_client.h"
#include "records.pb.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace fuchsialoom
{

using json = nlohmann::json;

static constexpr int httpOk = 200;
static constexpr int httpNotModified = 304;

http_log::http_log(endpoint platform)
    : m_platform(std::move(platform))
{
}

static std::string recordsPath(const stream_name &stream)
{
    return "/streams/" + stream.text() + "/records";
}

append_result http_log::append(const stream_name &stream, std::string_view bytes, real_deadline deadline)
{
    httplib::Client client = connectTo(m_platform, deadline);
    const httplib::Result answer = client.Post(recordsPath(stream), bytes.data(), bytes.size(), "application/octet-stream");
    if (!answer) {
        const bool neverSent = answer.error() == httplib::Error::Connection;
        return append_result{neverSent ? append_status::Refused : append_status::Uncertain, {}};
    }
    const json body = json::parse(answer->body, nullptr, false);
    if (answer->status == httpOk && body.is_object() && body.contains("offset") && body["offset"].is_number_unsigned()) {
        return append_result{append_status::Appended, log_offset(body["offset"].get<std::uint64_t>())};
    }
    const bool saidNo = answer->status >= 400 && answer->status < 500;
    return append_result{saidNo ? append_status::Refused : append_status::Uncertain, {}};
}

read_result http_log::read(const stream_name &stream, log_offset from, std::uint32_t most, real_deadline deadline)
{
    const auto wait = std::chrono::duration_cast<milliseconds>(deadline - std::chrono::steady_clock::now());
    // The answer to an expired wait needs time to travel.
    httplib::Client client = connectTo(m_platform, deadline + seconds(1));
    const std::string query = "?from=" + std::to_string(from.value()) + "&most=" + std::to_string(most)
        + "&wait_ms=" + std::to_string(std::max<milliseconds::rep>(0, wait.count()));
    const httplib::Result answer = client.Get(recordsPath(stream) + query);
    proto::read_reply reply;
    if (!answer || answer->status != httpOk || !reply.ParseFromString(answer->body)) {
        return {};
    }
    read_result result{read_status::Ok, log_offset(reply.first()), log_offset(reply.next()), {}};
    for (proto::raw_entry &entry : *reply.mutable_entries()) {
        result.entries.push_back(raw_log_entry{log_offset(entry.offset()), std::move(*entry.mutable_record())});
    }
    return result;
}

http_vm_list::http_vm_list(endpoint platform)
    : m_platform(std::move(platform))
{
}

std::shared_ptr<const vm_listing> http_vm_list::fetch(real_deadline deadline)
{
    httplib::Client client = connectTo(m_platform, deadline);
    httplib::Headers headers;
    if (!m_tag.empty()) {
        headers.emplace("If-None-Match", m_tag);
    }
    const httplib::Result answer = client.Get("/vms", headers);
    if (answer && answer->status == httpNotModified && !m_tag.empty()) {
        return m_known;
    }
    if (!answer || answer->status != httpOk) {
        return nullptr;
    }
    std::optional<vm_listing> listing = decodeListing(answer->body);
    if (!listing) {
        return nullptr;
    }
    m_known = std::make_shared<const vm_listing>(std::move(*listing));
    m_tag = answer->get_header_value("ETag");
    return m_known;
}

static json toJson(const listed_vm &vm)
{
    return json{{"id", vm.id.text()},
                {"domain", vm.domain.text()},
                {"peer", toText(vm.peer)},
                {"admin", toText(vm.admin)},
                {"state", nameOf(vm.state)}};
}

static json toJson(const listed_target &target)
{
    json services = json::array();
    for (const service_id &service : target.services) {
        services.push_back(service.text());
    }
    return json{{"id", target.id.text()},
                {"kind", nameOf(target.kind)},
                {"domain", target.domain.text()},
                {"pool", target.pool.text()},
                {"address", toText(target.address)},
                {"memory_bytes", target.memoryBytes},
                {"accelerators", target.accelerators},
                {"services", services},
                {"state", nameOf(target.state)}};
}

std::string encodeListing(const vm_listing &listing)
{
    json out{{"vms", json::array()}, {"targets", json::array()}};
    for (const listed_vm &vm : listing.vms) {
        out["vms"].push_back(toJson(vm));
    }
    for (const listed_target &target : listing.targets) {
        out["targets"].push_back(toJson(target));
    }
    return out.dump();
}

template<named_enum Enum>
static Enum parseField(const json &object, const char *field)
{
    const std::string text = object.at(field).get<std::string>();
    const std::optional<Enum> value = parseName<Enum>(text);
    if (!value) {
        throw error(error_kind::MalformedRequest, std::string(field) + " '" + text + "' is unknown");
    }
    return *value;
}

static listed_vm vmFromJson(const json &from)
{
    return listed_vm{vm_id(from.at("id").get<std::string>()),
                     domain_id(from.at("domain").get<std::string>()),
                     parseEndpoint(from.at("peer").get<std::string>()),
                     parseEndpoint(from.at("admin").get<std::string>()),
                     parseField<listed_state>(from, "state")};
}

static listed_target targetFromJson(const json &from)
{
    listed_target target;
    target.id = target_id(from.at("id").get<std::string>());
    target.kind = parseField<target_kind>(from, "kind");
    target.domain = domain_id(from.at("domain").get<std::string>());
    target.pool = pool_id(from.at("pool").get<std::string>());
    target.address = parseEndpoint(from.at("address").get<std::string>());
    target.memoryBytes = from.at("memory_bytes").get<std::uint64_t>();
    target.accelerators = from.at("accelerators").get<std::uint32_t>();
    for (const json &service : from.at("services")) {
        target.services.emplace_back(service.get<std::string>());
    }
    target.state = parseField<listed_state>(from, "state");
    return target;
}

std::optional<vm_listing> decodeListing(std::string_view text)
{
    try {
        const json from = json::parse(text);
        vm_listing listing;
        for (const json &vm : from.at("vms")) {
            listing.vms.push_back(vmFromJson(vm));
        }
        for (const json &target : from.at("targets")) {
            listing.targets.push_back(targetFromJson(target));
        }
        return listing;
    } catch (const json::exception &) {
        return std::nullopt;
    } catch (const error &) {
        return std::nullopt;
    }
}

} // namespace fuchsialoom
