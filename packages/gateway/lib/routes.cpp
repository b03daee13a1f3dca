/// \file
/// Route lookup by host and path, and choice of a service by weight.
#include "fuchsialoom/gateway/routes.h"

#include <algorithm>
#include <cassert>
#include <charconv>

namespace fuchsialoom
{

static std::string lowerCased(std::string_view text)
{
    std::string lower(text);
    std::transform(lower.begin(), lower.end(), lower.begin(), [](char letter) {
        return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
    });
    return lower;
}

/// Adapters are named a1, a2, and so on.
static bool hasAdapter(const served_model &model, const adapter_id &adapter)
{
    const std::string &name = adapter.text();
    std::uint32_t number = 0;
    const char *end = name.data() + name.size();
    const auto parsed =
        name.starts_with('a') ? std::from_chars(name.data() + 1, end, number) : std::from_chars_result{nullptr, std::errc()};
    return parsed.ptr == end && parsed.ec == std::errc() && number >= 1 && number <= model.adapters && name[1] != '0';
}

adapter_id numberedAdapter(std::uint32_t number)
{
    std::string name = std::to_string(number);
    name.insert(name.begin(), 'a');
    return adapter_id(std::move(name));
}

bool engine_traits::serves(const model_id &model, const adapter_id &adapter) const
{
    const served_model *known = find(model);
    return known && (adapter.empty() || hasAdapter(*known, adapter));
}

const served_model *engine_traits::find(const model_id &model) const
{
    const auto found = std::find_if(models.begin(), models.end(), [&model](const served_model &candidate) {
        return candidate.model == model;
    });
    return found == models.end() ? nullptr : &*found;
}

bool route::leadsTo(const service_id &service) const
{
    return std::any_of(services.begin(), services.end(), [&service](const service_share &share) {
        return share.service == service && share.weight > 0;
    });
}

void route_table::assign(std::vector<route> routes)
{
    m_hosts.clear();
    for (route &added : routes) {
        m_hosts[lowerCased(added.host)].push_back(std::move(added));
    }
    for (auto &[host, hostRoutes] : m_hosts) {
        std::stable_sort(hostRoutes.begin(), hostRoutes.end(), [](const route &left, const route &right) {
            return left.prefix.size() > right.prefix.size();
        });
    }
}

const route *route_table::find(std::string_view host, std::string_view path) const
{
    const std::string name = lowerCased(host.substr(0, host.find(':')));
    const auto found = m_hosts.find(name);
    if (found == m_hosts.end()) {
        return nullptr;
    }
    for (const route &candidate : found->second) {
        if (path.starts_with(candidate.prefix)) {
            return &candidate;
        }
    }
    return nullptr;
}

std::size_t route_table::size() const
{
    std::size_t count = 0;
    for (const auto &[host, hostRoutes] : m_hosts) {
        count += hostRoutes.size();
    }
    return count;
}

const service_id &chooseService(const route &matched, std::uint64_t draw)
{
    assert(!matched.services.empty());
    std::uint64_t totalWeight = 0;
    for (const service_share &share : matched.services) {
        totalWeight += share.weight;
    }
    std::uint64_t remainder = totalWeight > 0 ? draw % totalWeight : 0;
    for (const service_share &share : matched.services) {
        if (remainder < share.weight) {
            return share.service;
        }
        remainder -= share.weight;
    }
    return matched.services.back().service;
}

} // namespace fuchsialoom
