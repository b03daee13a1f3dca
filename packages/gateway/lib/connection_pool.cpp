/// \file
/// Implements the pool of connections to targets.
#include "fuchsialoom/gateway/connection_pool.h"

#include <algorithm>
#include <utility>

namespace fuchsialoom
{

/// Part of a target's connections that may be idle; the others are in use, or are made while idle ones of other VMs stay.
static constexpr double idlePart = 0.9;

asio::ip::tcp::endpoint tcpEndpointOf(const endpoint &address)
{
    return {asio::ip::make_address(address.host), address.port};
}

std::size_t idleShare(std::uint32_t maxConnections, std::size_t vms)
{
    const double share = idlePart * maxConnections / static_cast<double>(std::max<std::size_t>(1, vms));
    return std::clamp<std::size_t>(static_cast<std::size_t>(share), 1, maxIdlePerTarget);
}

connection_pool::connection_pool(asio::io_context &loop)
    : m_loop(loop)
{
}

std::shared_ptr<http_link> connection_pool::acquire(const target_id &target, const endpoint &address)
{
    std::vector<std::shared_ptr<http_link>> &idle = m_idle[target];
    while (!idle.empty()) {
        std::shared_ptr<http_link> link = std::move(idle.back());
        idle.pop_back();
        if (link->isReusable()) {
            return link;
        }
        link->close();
    }
    return connect(address);
}

std::shared_ptr<http_link> connection_pool::connect(const endpoint &address)
{
    m_made += 1;
    return std::make_shared<http_link>(m_loop, tcpEndpointOf(address));
}

void connection_pool::release(const target_id &target, const std::shared_ptr<http_link> &link, std::size_t maxIdle)
{
    std::vector<std::shared_ptr<http_link>> &idle = m_idle[target];
    if (idle.size() < maxIdle && link->isReusable()) {
        idle.push_back(link);
    } else {
        link->close();
    }
}

void connection_pool::closeIdle(const target_id &target)
{
    const auto found = m_idle.find(target);
    if (found == m_idle.end()) {
        return;
    }
    for (const std::shared_ptr<http_link> &link : found->second) {
        link->close();
    }
    m_idle.erase(found);
}

void connection_pool::closeAllIdle()
{
    for (const auto &[target, links] : std::exchange(m_idle, {})) {
        for (const std::shared_ptr<http_link> &link : links) {
            link->close();
        }
    }
}

std::size_t connection_pool::idle() const
{
    std::size_t count = 0;
    for (const auto &[target, links] : m_idle) {
        count += links.size();
    }
    return count;
}

} // namespace fuchsialoom
