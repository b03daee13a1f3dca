/// \file
/// Whether a process listens at an address.
#include "fuchsialoom/wire/connect_probe.h"

#include <asio.hpp>

namespace fuchsialoom
{

probe_result probeConnection(const endpoint &address, real_deadline deadline)
{
    asio::error_code problem;
    const asio::ip::address host = asio::ip::make_address(address.host, problem);
    if (problem) {
        return probe_result::Unclear;
    }
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    probe_result result = probe_result::Unclear;
    socket.async_connect(asio::ip::tcp::endpoint(host, address.port), [&result](const asio::error_code &code) {
        if (!code) {
            result = probe_result::Accepted;
        } else if (code == asio::error::connection_refused) {
            result = probe_result::Refused;
        }
    });
    context.run_until(deadline);
    return result;
}

} // namespace fuchsialoom
