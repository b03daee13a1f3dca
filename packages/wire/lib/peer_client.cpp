/// \file
/// Calls to another VM over gRPC.
#include "fuchsialoom/wire/peer_client.h"

#include "peer.grpc.pb.h"

#include <grpcpp/grpcpp.h>

#include <algorithm>
#include <iterator>
#include <mutex>
#include <utility>
#include <vector>

namespace fuchsialoom
{

static constexpr int firstReconnectMs = 100;
static constexpr int lastReconnectMs = 1000;
/// Longer than the deadlines of calls: a connection attempt that times out fails its calls at once, although a peer that is
/// short of processor time would have answered them in time.
static constexpr int connectTimeoutMs = 30000;
/// Marks a channel as different from its predecessor, so that gRPC opens a new connection for it.
static constexpr const char *generationArgument = "fuchsialoom.channel_generation";

/// gRPC keeps deadlines on its own clocks; the monotonic one doesn't jump with the wall clock.
static gpr_timespec toGrpcDeadline(real_deadline deadline)
{
    const auto left = std::chrono::duration_cast<microseconds>(deadline - std::chrono::steady_clock::now());
    return gpr_time_add(gpr_now(GPR_CLOCK_MONOTONIC), gpr_time_from_micros(left.count(), GPR_TIMESPAN));
}

namespace
{

/// Every channel of the process, so that none ends with the last reference of a call: a channel that ends
/// on gRPC's own thread, while that still runs the call's callback, aborts the process. Thread-safe.
class channel_keeper
{
public:
    void keep(std::shared_ptr<grpc::Channel> channel)
    {
        const std::lock_guard lock(m_mutex);
        m_channels.push_back(std::move(channel));
    }

    /// Ends the channels that nothing else uses. Never call it on a thread of gRPC.
    void endUnused()
    {
        std::vector<std::shared_ptr<grpc::Channel>> unused;
        const std::lock_guard lock(m_mutex);
        const auto first = std::partition(m_channels.begin(), m_channels.end(), [](const auto &channel) {
            return channel.use_count() > 1;
        });
        std::move(first, m_channels.end(), std::back_inserter(unused));
        m_channels.erase(first, m_channels.end());
    }

private:
    std::mutex m_mutex;
    std::vector<std::shared_ptr<grpc::Channel>> m_channels; ///< guarded by m_mutex; those in use and a few others
};

channel_keeper &keeper()
{
    static channel_keeper one;
    return one;
}

} // namespace

/// The channel in use and the way to replace it.
class peer_client::connection
{
public:
    explicit connection(const endpoint &address)
        : m_address(toText(address))
    {
        open();
    }

    struct lease
    {
        std::shared_ptr<proto::peer_service::Stub> stub;
        std::uint64_t generation = 0;
    };

    lease use() const
    {
        keeper().endUnused();
        const std::lock_guard lock(m_mutex);
        return lease{m_stub, m_generation};
    }

    /// Replaces the channel where a call on \p generation met its deadline and none has replaced it since.
    void judge(const grpc::Status &status, std::uint64_t generation)
    {
        if (status.error_code() != grpc::StatusCode::DEADLINE_EXCEEDED) {
            return;
        }
        const std::lock_guard lock(m_mutex);
        if (generation == m_generation) {
            open();
        }
    }

    std::uint64_t generation() const
    {
        const std::lock_guard lock(m_mutex);
        return m_generation;
    }

private:
    void open()
    {
        ++m_generation;
        grpc::ChannelArguments arguments;
        arguments.SetInt(generationArgument, static_cast<int>(m_generation));
        arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
        arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
        arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, firstReconnectMs);
        // Despite its name, also the least time that a connection attempt may take.
        arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, connectTimeoutMs);
        arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, lastReconnectMs);
        const std::shared_ptr<grpc::Channel> channel = grpc::CreateCustomChannel(m_address, grpc::InsecureChannelCredentials(), arguments);
        keeper().keep(channel);
        m_stub = proto::peer_service::NewStub(channel);
    }

    const std::string m_address;
    mutable std::mutex m_mutex;
    std::shared_ptr<proto::peer_service::Stub> m_stub; ///< guarded by m_mutex; of channel m_generation
    std::uint64_t m_generation = 0; ///< guarded by m_mutex; never decreases
};

peer_client::peer_client(const endpoint &address)
    : m_connection(std::make_shared<connection>(address))
{
}

peer_client::~peer_client() = default;

namespace
{

/// What an asynchronous call needs until it ends.
template<typename Request, typename Reply>
struct pending_call
{
    grpc::ClientContext context;
    Request request;
    Reply reply;
};

} // namespace

void peer_client::exchange(const proto::peer_digest &digest, real_deadline deadline, exchange_done done)
{
    using call_state = pending_call<proto::peer_digest, proto::peer_digest>;
    auto call = std::make_shared<call_state>();
    call->request = digest;
    call->context.set_deadline(toGrpcDeadline(deadline));
    const connection::lease lease = m_connection->use();
    lease.stub->async()->exchange(&call->context,
                                  &call->request,
                                  &call->reply,
                                  [call, lease, connection = m_connection, done = std::move(done)](const grpc::Status &status) {
                                      connection->judge(status, lease.generation);
                                      done(status.ok() ? std::optional(std::move(call->reply)) : std::nullopt);
                                  });
}

void peer_client::accuse(const proto::accusation_notice &notice, real_deadline deadline, accuse_done done)
{
    using call_state = pending_call<proto::accusation_notice, proto::acknowledgement>;
    auto call = std::make_shared<call_state>();
    call->request = notice;
    call->context.set_deadline(toGrpcDeadline(deadline));
    const connection::lease lease = m_connection->use();
    lease.stub->async()->accuse(&call->context,
                                &call->request,
                                &call->reply,
                                [call, lease, connection = m_connection, done = std::move(done)](const grpc::Status &status) {
                                    connection->judge(status, lease.generation);
                                    done(status.ok());
                                });
}

void peer_client::leaseTarget(const proto::target_lease &lease, real_deadline deadline, lease_done done)
{
    using call_state = pending_call<proto::target_lease, proto::target_lease_reply>;
    auto call = std::make_shared<call_state>();
    call->request = lease;
    call->context.set_deadline(toGrpcDeadline(deadline));
    const connection::lease channel = m_connection->use();
    channel.stub->async()->leaseTarget(&call->context,
                                       &call->request,
                                       &call->reply,
                                       [call, channel, connection = m_connection, done = std::move(done)](const grpc::Status &status) {
                                           connection->judge(status, channel.generation);
                                           done(status.ok() ? std::optional(call->reply.granted()) : std::nullopt);
                                       });
}

/// One blocking call of \p Method. \return nothing where it failed.
template<auto Method, typename Reply, typename Connection, typename Request>
static std::optional<Reply> callAndWait(Connection &connection, const Request &request, real_deadline deadline)
{
    const auto lease = connection.use();
    grpc::ClientContext context;
    context.set_deadline(toGrpcDeadline(deadline));
    Reply reply;
    const grpc::Status status = ((*lease.stub).*Method)(&context, request, &reply);
    connection.judge(status, lease.generation);
    return status.ok() ? std::optional(std::move(reply)) : std::nullopt;
}

std::optional<proto::claim_reply> peer_client::claim(const proto::claim_request &request, real_deadline deadline)
{
    return callAndWait<&proto::peer_service::Stub::claim, proto::claim_reply>(*m_connection, request, deadline);
}

bool peer_client::settle(const proto::settle_request &request, real_deadline deadline)
{
    return callAndWait<&proto::peer_service::Stub::settle, proto::acknowledgement>(*m_connection, request, deadline).has_value();
}

std::optional<proto::read_reply> peer_client::readTail(const proto::tail_request &request, real_deadline deadline)
{
    return callAndWait<&proto::peer_service::Stub::readTail, proto::read_reply>(*m_connection, request, deadline);
}

std::optional<proto::events_reply> peer_client::events(const proto::events_request &request, real_deadline deadline)
{
    return callAndWait<&proto::peer_service::Stub::events, proto::events_reply>(*m_connection, request, deadline);
}

std::optional<proto::listing_reply> peer_client::readListing(const proto::listing_request &request, real_deadline deadline)
{
    return callAndWait<&proto::peer_service::Stub::readListing, proto::listing_reply>(*m_connection, request, deadline);
}

std::uint64_t peer_client::channels() const
{
    return m_connection->generation();
}

} // namespace fuchsialoom
