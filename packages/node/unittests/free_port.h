/// \file
/// Ports of loopback for servers that a test starts later. A port that the system hands out could be
/// taken by an outgoing connection of another test program before the server binds it, so these come
/// from below the range of outgoing connections. Test programs run beside each other: a port stays
/// reserved until its program ends, so that no other one chooses it before its server has bound it, or
/// while that server is down to come back later.
#pragma once

#include <asio.hpp>

#include <cstdint>
#include <list>
#include <stdexcept>
#include <string>
#include <utility>

#include <unistd.h>

namespace fuchsialoom::testing_rig
{

/// Keeps \p port from other test programs. The mark is the UDP port of the same number, which no server
/// here uses. \return whether it was free.
inline bool reservePort(std::uint16_t port)
{
    static asio::io_context context;
    static std::list<asio::ip::udp::socket> reserved;
    asio::ip::udp::socket mark(context);
    asio::error_code problem;
    mark.open(asio::ip::udp::v4(), problem);
    mark.bind(asio::ip::udp::endpoint(asio::ip::address_v4::loopback(), port), problem);
    if (!problem) {
        reserved.push_back(std::move(mark));
    }
    return !problem;
}

/// Whether no server or closed connection holds \p port.
inline bool canBind(std::uint16_t port)
{
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor(context);
    asio::error_code problem;
    acceptor.open(asio::ip::tcp::v4(), problem);
    acceptor.bind(asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), port), problem);
    return !problem;
}

/// \throws std::runtime_error where every port is taken.
inline std::uint16_t freePort()
{
    constexpr std::uint32_t lowest = 20000;
    constexpr std::uint32_t count = 12000;
    constexpr std::uint32_t perProgram = 160;
    static std::uint32_t next = static_cast<std::uint32_t>(getpid()) * perProgram % count;
    for (std::uint32_t tried = 0; tried < count; ++tried) {
        const auto port = static_cast<std::uint16_t>(lowest + next);
        next = (next + 1) % count;
        if (reservePort(port) && canBind(port)) {
            return port;
        }
    }
    throw std::runtime_error("no free port from " + std::to_string(lowest) + " on");
}

} // namespace fuchsialoom::testing_rig
