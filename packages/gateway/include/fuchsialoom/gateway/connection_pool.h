/// \file
/// Pool of open connections to targets, reused since a new connection costs the target a millisecond and is charged for.
#pragma once

#include "fuchsialoom/core/targets.h"
#include "fuchsialoom/http/http_link.h"
#include "fuchsialoom/support/ids.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <vector>

namespace fuchsialoom
{

asio::ip::tcp::endpoint tcpEndpointOf(const endpoint &address);

/// Idle connections that a VM keeps to a target at most.
inline constexpr std::size_t maxIdlePerTarget = 10;

/// Idle connections that each of \p vms VMs may keep to a target that accepts \p maxConnections of all VMs together.
std::size_t idleShare(std::uint32_t maxConnections, std::size_t vms);

class connection_pool
{
public:
    explicit connection_pool(asio::io_context &loop);

    /// Returns the most recently used idle connection to \p target, or a new one.
    std::shared_ptr<http_link> acquire(const target_id &target, const endpoint &address);

    /// Returns a new connection to \p address, for a request that mustn't be sent on an idle one, which may be dead.
    std::shared_ptr<http_link> connect(const endpoint &address);

    /// Keeps \p link for another request if it is reusable and fewer than \p maxIdle are kept; closes it otherwise.
    void release(const target_id &target, const std::shared_ptr<http_link> &link, std::size_t maxIdle);

    /// Closes the idle connections to \p target.
    void closeIdle(const target_id &target);

    /// Closes the idle connections to all targets.
    void closeAllIdle();

    /// Connections made so far.
    std::uint64_t made() const
    {
        return m_made;
    }
    /// Idle connections to all targets.
    std::size_t idle() const;

private:
    asio::io_context &m_loop;
    std::map<target_id, std::vector<std::shared_ptr<http_link>>> m_idle; ///< by target; the most recently used is last
    std::uint64_t m_made = 0;
};

} // namespace fuchsialoom
