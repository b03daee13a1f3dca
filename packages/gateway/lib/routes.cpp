/// \file
/// Routes by host and path.
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
    const auto found = std::find_if(models.begin(), models.end(), [&model](const served_model &one) {
        return one.model == model;
    });
    return found == models.end() ? nullptr : &*found;
}

void route_table::assign(std::vector<route> routes)
{
    m_hosts.clear();
    for (route &one : routes) {
        m_hosts[lowerCased(one.host)].push_back(std::move(one));
    }
    for (auto &[host, ofHost] : m_hosts) {
        std::stable_sort(ofHost.begin(), ofHost.end(), [](const route &left, const route &right) {
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
    for (const route &one : found->second) {
        if (path.starts_with(one.prefix)) {
            return &one;
        }
    }
    return nullptr;
}

std::size_t route_table::size() const
{
    std::size_t count = 0;
    for (const auto &[host, ofHost] : m_hosts) {
        count += ofHost.size();
    }
    return count;
}

const service_id &chooseService(const route &of, std::uint64_t draw)
{
    assert(!of.services.empty());
    std::uint64_t sum = 0;
    for (const service_share &share : of.services) {
        sum += share.weight;
    }
    std::uint64_t rest = sum > 0 ? draw % sum : 0;
    for (const service_share &share : of.services) {
        if (rest < share.weight) {
            return share.service;
        }
        rest -= share.weight;
    }
    return of.services.back().service;
}

} // namespace fuchsialoom
