/// \file
/// Connections of httplib with a deadline.
#include "http_client.h"

#include <algorithm>

namespace fuchsialoom
{

static constexpr microseconds shortestTimeout{1000};
static constexpr microseconds longestConnect{1000000};

httplib::Client connectTo(const endpoint &address, real_deadline deadline)
{
    const auto left = std::chrono::duration_cast<microseconds>(deadline - std::chrono::steady_clock::now());
    const microseconds timeout = std::max(left, shortestTimeout);
    httplib::Client client(address.host, address.port);
    client.set_connection_timeout(std::min(timeout, longestConnect));
    client.set_read_timeout(timeout);
    client.set_write_timeout(timeout);
    client.set_tcp_nodelay(true);
    return client;
}

} // namespace fuchsialoom
