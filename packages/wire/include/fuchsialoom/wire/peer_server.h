/// \file
/// The gRPC server towards the other VMs. It knows no logic: each call goes to the handler that its
/// service registered.
#pragma once

#include "fuchsialoom/core/targets.h"

#include "peer.pb.h"

#include <functional>
#include <memory>

namespace fuchsialoom
{

/// What serves the calls of other VMs. Handlers run on threads of gRPC, several at once. A call without a
/// handler is answered as unimplemented; one whose handler throws, as an internal failure.
struct peer_handlers
{
    std::function<proto::peer_digest(const proto::peer_digest &)> exchange;
    std::function<proto::read_reply(const proto::tail_request &)> readTail;
    std::function<proto::claim_reply(const proto::claim_request &)> claim;
    std::function<void(const proto::settle_request &)> settle;
    std::function<void(const proto::accusation_notice &)> accuse;
    std::function<proto::target_lease_reply(const proto::target_lease &)> leaseTarget;
    std::function<proto::events_reply(const proto::events_request &)> events;
    std::function<proto::listing_reply(const proto::listing_request &)> readListing;
};

class peer_server
{
public:
    /// Port 0 takes a free one. \throws error(InvalidOption) where \p address can't be bound.
    peer_server(const endpoint &address, peer_handlers handlers);
    /// Ends the calls in progress after a short grace.
    ~peer_server();

    std::uint16_t port() const;

private:
    class listener;
    std::unique_ptr<listener> m_listener;
};

} // namespace fuchsialoom
