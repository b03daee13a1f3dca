/// \file
/// The platform's services over HTTP: the log and the list of VMs and targets. The platform's real
/// protocol isn't fixed yet; this file and its source are all that a change of it touches.
///
///   POST /streams/NAME/records               body: one record   -> {"offset": N}
///   GET  /streams/NAME/records?from=&most=&wait_ms=             -> proto read_reply
///   GET  /vms                                                   -> the list, see decodeListing; with an
///                                                                  ETag it is asked for conditionally
#pragma once

#include "fuchsialoom/core/targets.h"
#include "fuchsialoom/wire/log_client.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace fuchsialoom
{

/// Thread-safe: every call opens its own connection, so that one gone silent harms one call only.
class http_log
{
public:
    explicit http_log(endpoint platform);

    append_result append(const stream_name &stream, std::string_view bytes, real_deadline deadline);
    read_result read(const stream_name &stream, log_offset from, std::uint32_t most, real_deadline deadline);

private:
    endpoint m_platform;
};

static_assert(log_client<http_log>);

/// The platform's lagging list of VMs and targets. A list that the platform marks with an ETag is sent
/// again only when it has changed (RFC 9110, conditional requests). Not thread-safe.
class http_vm_list
{
public:
    explicit http_vm_list(endpoint platform);

    /// \return the list, the same object as before where it is unchanged; null where the platform can't be
    /// reached by \p deadline or answers nonsense.
    std::shared_ptr<const vm_listing> fetch(real_deadline deadline);

private:
    endpoint m_platform;
    std::shared_ptr<const vm_listing> m_known; ///< the last list read
    std::string m_tag; ///< its ETag; empty where it had none
};

std::string encodeListing(const vm_listing &listing);
/// \return nothing where \p text is no valid listing.
std::optional<vm_listing> decodeListing(std::string_view text);

} // namespace fuchsialoom
