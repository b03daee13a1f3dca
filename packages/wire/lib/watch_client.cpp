/// \file
/// A target as its watchers meet it, over HTTP.
#include "fuchsialoom/wire/watch_client.h"

#include "http_client.h"

#include "fuchsialoom/core/stream_id.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace fuchsialoom
{

using json = nlohmann::json;

static constexpr int httpOk = 200;
static constexpr std::int64_t oldestReportMs = 3600000;

/// Of more streams than a report names, every VM keeps the same ones.
static std::vector<stream_mark> decodeStreams(const json &from)
{
    std::vector<stream_mark> marks;
    for (const json &stream : from.value("streams", json::array())) {
        marks.push_back(markOf(request_id(stream.get<std::string>())));
    }
    std::sort(marks.begin(), marks.end());
    marks.resize(std::min(marks.size(), mostStreamMarks));
    return marks;
}

static load_report decodeLoad(const target_id &target, const json &from)
{
    load_report report;
    report.target = target;
    report.incarnation = incarnation_number(from.at("incarnation").get<std::uint64_t>());
    report.running = from.at("running").get<std::uint32_t>();
    report.queued = from.at("queued").get<std::uint32_t>();
    report.capacity = from.at("capacity").get<std::uint32_t>();
    report.tokensPerSecond = from.at("tokens_per_second").get<double>();
    for (const json &model : from.at("models")) {
        report.models.push_back(resident_model{model_id(model.at("model").get<std::string>()),
                                               version_id(model.at("version").get<std::string>()),
                                               model.at("bytes").get<std::uint64_t>()});
    }
    for (const json &adapter : from.at("adapters")) {
        report.adapters.push_back(resident_adapter{model_id(adapter.at("model").get<std::string>()),
                                                   adapter_id(adapter.at("adapter").get<std::string>()),
                                                   version_id(adapter.at("version").get<std::string>()),
                                                   adapter.at("bytes").get<std::uint64_t>()});
    }
    report.streams = decodeStreams(from);
    return report;
}

watch_client::watch_client(endpoint target)
    : m_target(std::move(target))
{
}

/// The answer to \p path as JSON, read by \p read.
template<typename Value, typename Read>
static std::optional<Value> get(const endpoint &target, const std::string &path, real_deadline deadline, const Read &read)
{
    httplib::Client client = connectTo(target, deadline);
    const httplib::Result answer = client.Get(path);
    if (!answer || answer->status != httpOk) {
        return std::nullopt;
    }
    try {
        return read(json::parse(answer->body));
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

std::optional<aged_report> watch_client::load(const target_id &target, real_deadline deadline)
{
    return get<aged_report>(m_target, "/load", deadline, [&](const json &from) {
        const std::int64_t age = from.value("age_ms", std::int64_t{0});
        return aged_report{decodeLoad(target, from), milliseconds(std::clamp<std::int64_t>(age, 0, oldestReportMs))};
    });
}

std::optional<cache_page> watch_client::cacheEvents(std::uint64_t after, real_deadline deadline)
{
    return get<cache_page>(m_target, "/cache-events?after=" + std::to_string(after), deadline, [](const json &from) {
        cache_page page;
        page.incarnation = incarnation_number(from.at("incarnation").get<std::uint64_t>());
        page.first = from.at("first").get<std::uint64_t>();
        for (const json &event : from.at("events")) {
            page.events.push_back(cache_event{event.at("sequence").get<std::uint64_t>(),
                                              event.at("stored").get<bool>(),
                                              content_hash(event.at("block").get<std::uint64_t>())});
        }
        return page;
    });
}

std::optional<cache_content> watch_client::cacheContent(real_deadline deadline)
{
    return get<cache_content>(m_target, "/cache", deadline, [](const json &from) {
        cache_content content;
        content.incarnation = incarnation_number(from.at("incarnation").get<std::uint64_t>());
        content.sequence = from.at("sequence").get<std::uint64_t>();
        for (const json &block : from.at("blocks")) {
            content.blocks.emplace_back(block.get<std::uint64_t>());
        }
        return content;
    });
}

} // namespace fuchsialoom
