/// \file
/// The HTTP server for callers: OpenAI-compatible model requests and plain services by name.
#pragma once

#include "fuchsialoom/node/process_options.h"
#include "fuchsialoom/node/request_session.h"
#include "fuchsialoom/node/settings_service.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace fuchsialoom
{

/// How long a key is remembered after its request's deadline, as callers are told.
using dedup_window = std::function<milliseconds()>;

/// Threads: one for each request in progress, and a reserve that refuses what comes beyond.
class caller_service : public service
{
public:
    /// \p window is told with every answer to a request that is claimed under its key; unset: nothing is told.
    caller_service(const process_options &options, settings_service &settings, session_services services, dedup_window window = {});
    ~caller_service() override;

    /// \throws error(InvalidOption) where the address can't be bound.
    void start() override;
    /// Waits for the answers in progress.
    void stop() override;

    /// Where it listens, once started; what port 0 became.
    std::uint16_t port() const;

private:
    class server;
    std::unique_ptr<server> m_server;
};

} // namespace fuchsialoom
