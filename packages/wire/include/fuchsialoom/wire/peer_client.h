/// \file
/// Calls to another VM over gRPC. Every call has a deadline. A channel on which a call met its deadline
/// counts as silent and is replaced by a new one with a connection of its own.
#pragma once

#include "fuchsialoom/core/targets.h"
#include "fuchsialoom/wire/log_client.h"

#include "peer.pb.h"

#include <functional>
#include <memory>
#include <optional>

namespace fuchsialoom
{

/// Thread-safe. Asynchronous calls outlive the client: each keeps what it needs.
class peer_client
{
public:
    explicit peer_client(const endpoint &address);
    ~peer_client();

    using exchange_done = std::function<void(std::optional<proto::peer_digest>)>;
    using accuse_done = std::function<void(bool reached)>;
    using lease_done = std::function<void(std::optional<bool> granted)>;

    /// Calls \p done once, on a thread of gRPC, with nothing where the peer didn't answer by \p deadline.
    void exchange(const proto::peer_digest &digest, real_deadline deadline, exchange_done done);
    void accuse(const proto::accusation_notice &notice, real_deadline deadline, accuse_done done);
    void leaseTarget(const proto::target_lease &lease, real_deadline deadline, lease_done done);

    // Blocking calls. \return nothing where the peer didn't answer by the deadline, or doesn't serve the call.
    std::optional<proto::claim_reply> claim(const proto::claim_request &request, real_deadline deadline);
    bool settle(const proto::settle_request &request, real_deadline deadline);
    std::optional<proto::read_reply> readTail(const proto::tail_request &request, real_deadline deadline);
    std::optional<proto::events_reply> events(const proto::events_request &request, real_deadline deadline);
    std::optional<proto::listing_reply> readListing(const proto::listing_request &request, real_deadline deadline);

    /// How many channels this client has opened so far; grows when one was replaced.
    std::uint64_t channels() const;

private:
    class connection;
    std::shared_ptr<connection> m_connection;
};

} // namespace fuchsialoom
