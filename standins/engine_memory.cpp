/// \file
/// The accelerator memory of an engine stand-in.
#include "engine_memory.h"

#include "fuchsialoom/core/records.h"
#include "fuchsialoom/support/errors.h"

#include <algorithm>
#include <optional>
#include <sstream>
#include <utility>

namespace fuchsialoom
{

using json = nlohmann::json;
using clock_type = std::chrono::steady_clock;

static std::int64_t unixMicrosNow()
{
    return std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

static std::vector<std::string> split(const std::string &text, char separator)
{
    std::vector<std::string> parts;
    std::istringstream in(text);
    for (std::string part; std::getline(in, part, separator);) {
        parts.push_back(part);
    }
    return parts;
}

engine_order engine_order::fromJson(const json &from)
{
    engine_order order;
    order.id = from.value("id", "");
    order.fence = from.value("fence", std::uint64_t{0});
    order.operation = from.at("operation").get<std::string>();
    order.model = from.value("model", "");
    order.version = from.value("version", "");
    order.adapter = from.value("adapter", "");
    order.bytes = from.value("bytes", std::uint64_t{0});
    order.expiresUnixMicros = from.value("expires_unix_micros", std::int64_t{0});
    return order;
}

bool engine_memory::item::sameAs(const item &other) const
{
    return model == other.model && adapter == other.adapter && version == other.version;
}

/// NAME[:VERSION[:BYTES]], for an adapter with MODEL: before it.
engine_memory::item engine_memory::itemFrom(const std::string &word, bool adapter)
{
    std::vector<std::string> parts = split(word, ':');
    item result;
    result.model = parts.empty() ? "" : parts.front();
    if (adapter && parts.size() > 1) {
        result.adapter = parts[1];
        parts.erase(parts.begin());
    }
    if (result.model.empty() || (adapter && result.adapter.empty())) {
        throw error(error_kind::InvalidOption, "'" + word + "' is not of the form NAME:VERSION:BYTES");
    }
    result.version = parts.size() > 1 ? parts[1] : "1";
    result.bytes = parts.size() > 2 ? std::strtoull(parts[2].c_str(), nullptr, 10) : 0;
    return result;
}

engine_memory::engine_memory(const standin_options &options)
    : m_memoryBytes(static_cast<std::uint64_t>(options.number("memory_bytes", 80'000'000'000)))
    , m_loadTime(options.number("load_ms", 50))
    , m_checksFencing(options.flag("checks_fencing"))
    , m_honoursExpiry(options.flag("honours_expiry"))
{
    for (const std::string &word : split(options.text("models", ""), ',')) {
        m_resident.push_back(itemFrom(word, false));
    }
    for (const std::string &word : split(options.text("adapters", ""), ',')) {
        m_resident.push_back(itemFrom(word, true));
    }
    measure();
}

order_verdict engine_memory::take(const engine_order &order)
{
    const std::lock_guard lock(m_mutex);
    if (m_honoursExpiry && order.expiresUnixMicros != 0 && unixMicrosNow() > order.expiresUnixMicros) {
        return order_verdict::Expired;
    }
    if (m_checksFencing && order.fence < m_fence) {
        return order_verdict::StaleFence;
    }
    m_fence = std::max(m_fence, order.fence);
    m_orders.push_back(json{{"id", order.id},
                            {"fence", order.fence},
                            {"operation", order.operation},
                            {"model", order.model},
                            {"version", order.version},
                            {"adapter", order.adapter}});
    settle();
    carryOut(order);
    measure();
    return order_verdict::Accepted;
}

void engine_memory::carryOut(const engine_order &order)
{
    const std::optional<order_operation> operation = parseName<order_operation>(order.operation);
    if (!operation) {
        throw error(error_kind::MalformedRequest, "operation '" + order.operation + "' is unknown");
    }
    const item model{order.model, "", order.version, order.bytes};
    const item adapter{order.model, order.adapter, order.version, order.bytes};
    switch (*operation) {
    case order_operation::LoadModel:
        load(model);
        return;
    case order_operation::UnloadModel:
        unload(model);
        return;
    case order_operation::LoadAdapter:
        load(adapter);
        return;
    case order_operation::UnloadAdapter:
        unload(adapter);
        return;
    case order_operation::Fence:
    case order_operation::SetRole:
        return;
    }
}

void engine_memory::load(item what)
{
    const auto sameResident = [&](const item &other) {
        return other.sameAs(what);
    };
    const auto sameLoading = [&](const loading_item &other) {
        return other.what.sameAs(what);
    };
    if (std::any_of(m_resident.begin(), m_resident.end(), sameResident) || std::any_of(m_loading.begin(), m_loading.end(), sameLoading)) {
        return;
    }
    m_loading.push_back(loading_item{std::move(what), clock_type::now() + m_loadTime});
}

void engine_memory::unload(const item &what)
{
    std::erase_if(m_resident, [&](const item &other) {
        return other.sameAs(what);
    });
    std::erase_if(m_loading, [&](const loading_item &other) {
        return other.what.sameAs(what);
    });
}

/// What has been loaded by now is resident.
void engine_memory::settle() const
{
    const clock_type::time_point now = clock_type::now();
    std::erase_if(m_loading, [&](const loading_item &entry) {
        if (entry.readyAt > now) {
            return false;
        }
        m_resident.push_back(entry.what);
        return true;
    });
}

void engine_memory::measure()
{
    std::uint64_t bytes = 0;
    for (const item &entry : m_resident) {
        bytes += entry.bytes;
    }
    for (const loading_item &entry : m_loading) {
        bytes += entry.what.bytes;
    }
    m_mostBytes = std::max(m_mostBytes, bytes);
}

std::uint64_t engine_memory::fence() const
{
    const std::lock_guard lock(m_mutex);
    return m_checksFencing ? m_fence : 0;
}

bool engine_memory::holds(const std::string &model, const std::string &version) const
{
    const std::lock_guard lock(m_mutex);
    settle();
    return std::any_of(m_resident.begin(), m_resident.end(), [&](const item &entry) {
        return entry.adapter.empty() && entry.model == model && (version.empty() || entry.version == version);
    });
}

json engine_memory::toJson(const item &from)
{
    json to{{"model", from.model}, {"version", from.version}, {"bytes", from.bytes}};
    if (!from.adapter.empty()) {
        to["adapter"] = from.adapter;
    }
    return to;
}

json engine_memory::state() const
{
    const std::lock_guard lock(m_mutex);
    settle();
    json models = json::array();
    json adapters = json::array();
    json loading = json::array();
    for (const item &entry : m_resident) {
        (entry.adapter.empty() ? models : adapters).push_back(toJson(entry));
    }
    for (const loading_item &entry : m_loading) {
        loading.push_back(toJson(entry.what));
    }
    return json{{"fence", m_checksFencing ? m_fence : 0},
                {"memory_bytes", m_memoryBytes},
                {"models", models},
                {"adapters", adapters},
                {"loading", loading}};
}

json engine_memory::oracle() const
{
    const std::lock_guard lock(m_mutex);
    return json{{"overcommitted", m_mostBytes > m_memoryBytes}, {"most_bytes", m_mostBytes}, {"orders", m_orders}};
}

} // namespace fuchsialoom
