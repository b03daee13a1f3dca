/// \file
/// Reads the platform's list of VMs and targets for the whole VM, asks peers for theirs while the platform
/// is silent, and answers theirs. The decisions are listing_follower's; this carries them out.
#pragma once

#include "fuchsialoom/core/listing_follower.h"
#include "fuchsialoom/node/peer_service.h"
#include "fuchsialoom/node/settings_service.h"
#include "fuchsialoom/wire/platform_http.h"

#include <functional>
#include <mutex>
#include <optional>
#include <thread>

namespace fuchsialoom
{

/// Thread-safe.
class listing_service : public service
{
public:
    /// Without a platform \p fixed are all targets.
    listing_service(const std::optional<endpoint> &platform,
                    std::vector<listed_target> fixed,
                    const settings_service &settings,
                    peer_service &peers);

    void start() override;
    void stop() override;

    /// Calls \p take on the reading thread for each list with another content; before start().
    void onChange(std::function<void(const vm_listing &)> take)
    {
        m_take = std::move(take);
    }

    /// The list to go by; nothing before the first.
    std::optional<dated_listing> latest() const;

private:
    void run(const std::stop_token &stop);
    void readPlatform();
    void take(instant askedAt, const std::shared_ptr<const vm_listing> &listing);
    void step(const listing_event &event);
    void askPeers(const std::vector<vm_id> &peers);
    platform_silent silence() const;

    std::optional<http_vm_list> m_list; ///< used by the reading thread alone; none without a platform
    const std::vector<listed_target> m_fixed;
    const settings_service &m_settings;
    peer_service &m_peers;
    std::function<void(const vm_listing &)> m_take; ///< fixed once the thread runs
    mutable std::mutex m_mutex;
    listing_follower m_follower; ///< guarded by m_mutex; stepped by the reading thread alone
    std::jthread m_thread;
};

} // namespace fuchsialoom
