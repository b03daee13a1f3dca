/// \file
/// Listening sockets of httplib's servers.
#pragma once

#include <httplib.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <thread>

namespace fuchsialoom
{

/// PEM files of a server's certificate and private key.
struct tls_files
{
    std::string certificate;
    std::string key;
};

/// A server over TLS, or plain where there are no \p files.
/// \throws error(InvalidOption) where the files don't hold a certificate and its key.
std::unique_ptr<httplib::Server> makeServer(const std::optional<tls_files> &files);

/// Binds \p server, and where \p port is 0 to any free port. \return the port, or nothing where it is taken.
std::optional<std::uint16_t> bindServer(httplib::Server &server, const std::string &host, std::uint16_t port);

/// Serves the bound \p server on a thread of its own. Returns once it serves: httplib ignores a stop()
/// that comes earlier, and the thread would then never end.
std::jthread serveBound(httplib::Server &server);

/// Makes \p server the only one on its port. httplib's default is SO_REUSEPORT, with which a second
/// process on the same address starts without an error and quietly takes a share of the connections.
void listenAlone(httplib::Server &server);

} // namespace fuchsialoom
