/// \file
/// Whether a caller is still connected.
#include "caller_connection.h"

#include <arpa/inet.h>
#include <dirent.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

#include <charconv>
#include <cstring>
#include <memory>

namespace fuchsialoom
{

namespace
{

struct socket_address
{
    std::string host;
    int port = 0;
};

std::optional<socket_address> toAddress(const sockaddr_storage &from)
{
    std::array<char, INET6_ADDRSTRLEN> text{};
    if (from.ss_family == AF_INET) {
        sockaddr_in address{};
        std::memcpy(&address, &from, sizeof(address));
        inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size());
        return socket_address{text.data(), ntohs(address.sin_port)};
    }
    if (from.ss_family == AF_INET6) {
        sockaddr_in6 address{};
        std::memcpy(&address, &from, sizeof(address));
        inet_ntop(AF_INET6, &address.sin6_addr, text.data(), text.size());
        return socket_address{text.data(), ntohs(address.sin6_port)};
    }
    return std::nullopt;
}

using address_reader = int (*)(int, sockaddr *, socklen_t *);

std::optional<socket_address> readAddress(address_reader reader, int socket)
{
    sockaddr_storage storage{};
    socklen_t size = sizeof(storage);
    if (reader(socket, reinterpret_cast<sockaddr *>(&storage), &size) != 0) {
        return std::nullopt;
    }
    return toAddress(storage);
}

bool joins(int socket, const std::string &address, int port, int localPort)
{
    const std::optional<socket_address> peer = readAddress(getpeername, socket);
    if (!peer || peer->port != port || peer->host != address) {
        return false;
    }
    const std::optional<socket_address> local = readAddress(getsockname, socket);
    return local && local->port == localPort;
}

std::optional<int> findSocket(const std::string &address, int port, int localPort)
{
    const std::unique_ptr<DIR, int (*)(DIR *)> descriptors(opendir("/proc/self/fd"), closedir);
    while (const dirent *entry = descriptors ? readdir(descriptors.get()) : nullptr) {
        const std::string_view name(entry->d_name);
        int descriptor = -1;
        const auto [end, code] = std::from_chars(name.data(), name.data() + name.size(), descriptor);
        if (code == std::errc() && joins(descriptor, address, port, localPort)) {
            return descriptor;
        }
    }
    return std::nullopt;
}

} // namespace

caller_connection::caller_connection(const httplib::Request &request)
    : m_address(request.remote_addr)
    , m_port(request.remote_port)
    , m_localPort(request.local_port)
{
}

bool caller_connection::connected()
{
    if (!m_searched) {
        m_searched = true;
        m_socket = findSocket(m_address, m_port, m_localPort);
    }
    if (!m_socket) {
        return true;
    }
    pollfd query{*m_socket, POLLRDHUP, 0};
    const bool changed = poll(&query, 1, 0) > 0;
    return !changed || (query.revents & (POLLRDHUP | POLLHUP | POLLERR)) == 0;
}

} // namespace fuchsialoom
