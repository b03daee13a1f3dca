/// \file
/// Open connections to targets, kept for the next request: making one costs a target a millisecond and
/// is priced.
#pragma once

#include "fuchsialoom/core/targets.h"
#include "fuchsialoom/http/http_link.h"
#include "fuchsialoom/support/ids.h"

#include <map>
#include <memory>
#include <vector>

namespace fuchsialoom
{

asio::ip::tcp::endpoint tcpEndpointOf(const endpoint &address);

class connection_pool
{
public:
    explicit connection_pool(asio::io_context &loop);

    /// An idle connection to \p target, the one used last, or a new one.
    std::shared_ptr<http_link> acquire(const target_id &target, const endpoint &address);

    /// Keeps \p link for another request, if it can carry one.
    void release(const target_id &target, const std::shared_ptr<http_link> &link);

    /// Closes the idle connections to \p target.
    void closeIdle(const target_id &target);

    std::uint64_t made() const
    {
        return m_made;
    }
    std::size_t idle() const;

private:
    asio::io_context &m_loop;
    std::map<target_id, std::vector<std::shared_ptr<http_link>>> m_idle; ///< by target, the last used at the end
    std::uint64_t m_made = 0;
};

} // namespace fuchsialoom
