/// \file
/// The HTTP server for operators: health, readiness, status, settings and events.
///
///   GET  /healthz                   200 while the process runs
///   GET  /readyz                    200 while callers are served; 503 until settings were read, and on draining
///   GET  /metrics                   Prometheus text
///   GET  /status
///   /settings...                    see settings_routes.h
///   GET  /events?subject=S&since=U&all=1   the kept events, later than U microseconds since 1970; with
///                                   all=1 of every VM that this one reaches
///   GET  /claims/unknown?scope=S&most=N    claims whose outcome is unknown, in the partitions that this VM
///                                   follows; S begins their keys: BRAND/SERVICE/KEY
#pragma once

#include "fuchsialoom/node/decision_service.h"
#include "fuchsialoom/node/leader_service.h"
#include "fuchsialoom/node/process_options.h"
#include "fuchsialoom/node/settings_service.h"
#include "fuchsialoom/support/metrics.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace fuchsialoom
{

/// What the operators' port shows of other services; each may be unset.
struct admin_views
{
    std::function<std::string()> peers; ///< JSON
    std::function<std::string()> targets; ///< JSON
    /// JSON: the claims whose outcome is unknown, of a scope, at most so many.
    std::function<std::string(const std::string &scope, std::size_t most)> unknownClaims;
    std::function<std::vector<timeline_event>(hlc_stamp after, const std::string &subject)> fleetEvents;
};

class admin_service : public service
{
public:
    admin_service(const process_options &options,
                  event_service &events,
                  settings_service &settings,
                  decision_service &decisions,
                  metrics_registry &metrics,
                  const leader_service &leader);
    ~admin_service() override;

    /// Before start().
    void setViews(admin_views views);

    /// \throws error(InvalidOption) where the address can't be bound.
    void start() override;
    void stop() override;

    /// Where it listens, once started; what port 0 became.
    std::uint16_t port() const;

private:
    class server;
    std::unique_ptr<server> m_server;
};

} // namespace fuchsialoom
