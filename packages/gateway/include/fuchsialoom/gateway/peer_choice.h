/// \file
/// Chooses the VM to which a VM without a path to the targets passes on a request. Sans-I/O.
#pragma once

#include "fuchsialoom/core/targets.h"
#include "fuchsialoom/support/ids.h"
#include "fuchsialoom/support/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace fuchsialoom
{

struct serving_peer
{
    vm_id vm;
    endpoint address; ///< takes requests that other VMs pass on
    domain_id domain;
    std::uint32_t capacity = 1000; ///< CPU share in millicores
    bool hasPath = true; ///< false: it says that it reaches no target itself

    friend bool operator==(const serving_peer &, const serving_peer &) = default;
};

class peer_choice
{
public:
    explicit peer_choice(domain_id ownDomain);

    /// The peer of \p peers with the fewest requests of this VM for its capacity, the own domain first among equals. Nothing if all have no
    /// path or were found unable a moment ago. \p draw is a random number that breaks ties.
    std::optional<serving_peer> choose(instant now, const std::vector<serving_peer> &peers, std::uint64_t draw) const;

    void begin(const vm_id &peer);
    void end(const vm_id &peer);

    /// \p peer can't be reached, or takes no requests of others now.
    void avoid(instant now, const vm_id &peer);

private:
    struct peer_state
    {
        std::uint32_t open = 0; ///< requests that were passed on to it and have no answer yet
        instant avoidUntil{};
    };

    const domain_id m_ownDomain;
    std::map<vm_id, peer_state> m_peers;
};

} // namespace fuchsialoom
