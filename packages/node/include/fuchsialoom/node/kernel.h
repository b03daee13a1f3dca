/// \file
/// The micro-kernel: services register under a name and find each other by it. It starts them in the
/// order of registration and stops them in reverse.
#pragma once

#include "fuchsialoom/support/errors.h"

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace fuchsialoom
{

/// One service of a node. Its duty threads run between start() and stop().
class service
{
public:
    virtual ~service() = default;
    virtual void start() = 0;
    /// Ends the duty threads and waits for them. Called once, after start().
    virtual void stop() = 0;
};

class kernel
{
public:
    /// Registers \p made under \p name. \return the service, which the kernel owns.
    template<typename Service>
    Service &add(std::string name, std::unique_ptr<Service> made)
    {
        Service &added = *made;
        m_services.push_back(named_service{std::move(name), std::move(made)});
        return added;
    }

    /// The service called \p name. \throws error(ServiceMissing) where there is none of that type.
    template<typename Service>
    Service &find(std::string_view name) const
    {
        for (const named_service &entry : m_services) {
            if (entry.name == name) {
                if (auto *found = dynamic_cast<Service *>(entry.instance.get())) {
                    return *found;
                }
            }
        }
        throw error(error_kind::ServiceMissing, "service '" + std::string(name) + "' is not registered");
    }

    void startAll();
    void stopAll();

private:
    struct named_service
    {
        std::string name; ///< unique
        std::unique_ptr<service> instance;
    };

    std::vector<named_service> m_services; ///< in order of registration
    std::size_t m_started = 0; ///< the first m_started services run
};

/// Names under which the services of a node find each other.
namespace service_names
{
inline constexpr std::string_view events = "events";
inline constexpr std::string_view metrics = "metrics";
inline constexpr std::string_view log = "log";
inline constexpr std::string_view settings = "settings";
inline constexpr std::string_view decisions = "decisions";
inline constexpr std::string_view cancels = "cancels";
inline constexpr std::string_view watcher = "watcher";
inline constexpr std::string_view listing = "listing";
inline constexpr std::string_view peers = "peers";
inline constexpr std::string_view quarantines = "quarantines";
inline constexpr std::string_view leases = "leases";
inline constexpr std::string_view quarantineBoot = "quarantine-boot";
inline constexpr std::string_view claims = "claims";
inline constexpr std::string_view leader = "leader";
inline constexpr std::string_view callers = "callers";
inline constexpr std::string_view admin = "admin";
} // namespace service_names

} // namespace fuchsialoom
