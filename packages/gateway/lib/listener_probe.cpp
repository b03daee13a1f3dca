/// \file
/// Implements the probe of a listener.
#include "listener_probe.h"

#include <memory>

namespace fuchsialoom
{

namespace
{

struct open_probe
{
    explicit open_probe(asio::io_context &loop)
        : socket(loop)
        , timer(loop)
    {
    }

    asio::ip::tcp::socket socket;
    asio::steady_timer timer;
};

} // namespace

void probeListener(asio::io_context &loop,
                   const asio::ip::tcp::endpoint &address,
                   milliseconds timeout,
                   std::function<void(probe_result)> done)
{
    const auto probe = std::make_shared<open_probe>(loop);
    probe->timer.expires_after(timeout);
    probe->timer.async_wait([probe](const asio::error_code &problem) {
        if (!problem) {
            asio::error_code ignored; // the connection is given up either way
            probe->socket.close(ignored);
        }
    });
    probe->socket.async_connect(address, [probe, done = std::move(done)](const asio::error_code &problem) {
        probe->timer.cancel();
        if (!problem) {
            done(probe_result::Listening);
        } else if (problem == asio::error::connection_refused) {
            done(probe_result::Refused);
        } else {
            done(probe_result::NoAnswer);
        }
    });
}

} // namespace fuchsialoom
