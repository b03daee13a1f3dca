/// \file
/// Whether a caller is still connected. httplib doesn't show a handler its socket, so the socket is found
/// among this process's descriptors by its two addresses, once, and only for a request that has to wait.
#pragma once

#include <httplib.h>

#include <cstdint>
#include <optional>
#include <string>

namespace fuchsialoom
{

/// Used by the worker that serves the connection; the socket stays open for that long.
class caller_connection
{
public:
    explicit caller_connection(const httplib::Request &request);

    /// False where the caller closed its connection, or its side of it. True where that can't be told.
    bool connected();

private:
    std::string m_address;
    int m_port;
    int m_localPort;
    bool m_searched = false;
    std::optional<int> m_socket; ///< set where the search found it; not owned
};

} // namespace fuchsialoom
