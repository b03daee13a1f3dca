/// \file
/// Listening sockets of httplib's servers.
#include "fuchsialoom/wire/http_server.h"

#include "fuchsialoom/support/errors.h"

#include <sys/socket.h>

#include <atomic>

namespace fuchsialoom
{

void listenAlone(httplib::Server &server)
{
    server.set_socket_options([](socket_t socket) {
        const int on = 1;
        setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    });
}

std::unique_ptr<httplib::Server> makeServer(const std::optional<tls_files> &files)
{
    if (!files) {
        return std::make_unique<httplib::Server>();
    }
    auto server = std::make_unique<httplib::SSLServer>(files->certificate.c_str(), files->key.c_str());
    if (!server->is_valid()) {
        throw error(error_kind::InvalidOption,
                    "--tls-cert '" + files->certificate + "' and --tls-key '" + files->key
                        + "' are not PEM files of a certificate and its key");
    }
    return server;
}

std::optional<std::uint16_t> bindServer(httplib::Server &server, const std::string &host, std::uint16_t port)
{
    if (port == 0) {
        const int any = server.bind_to_any_port(host);
        return any > 0 ? std::optional(static_cast<std::uint16_t>(any)) : std::nullopt;
    }
    return server.bind_to_port(host, port) ? std::optional(port) : std::nullopt;
}

std::jthread serveBound(httplib::Server &server)
{
    auto ended = std::make_shared<std::atomic<bool>>(false);
    std::jthread thread([&server, ended] {
        server.listen_after_bind();
        *ended = true;
    });
    while (!server.is_running() && !*ended) {
        std::this_thread::yield();
    }
    return thread;
}

} // namespace fuchsialoom
