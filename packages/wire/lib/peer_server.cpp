/// \file
/// The gRPC server towards the other VMs.
#include "fuchsialoom/wire/peer_server.h"

#include "fuchsialoom/support/errors.h"

#include "peer.grpc.pb.h"

#include <grpcpp/grpcpp.h>

#include <utility>

namespace fuchsialoom
{

static constexpr int mostThreads = 64;
static constexpr std::chrono::milliseconds stopGrace{500};

/// Calls \p handler with \p request; \p keep takes its result.
template<typename Handler, typename Request, typename Keep>
static grpc::Status serve(const Handler &handler, const Request &request, const Keep &keep)
{
    if (!handler) {
        return {grpc::StatusCode::UNIMPLEMENTED, "no handler is registered"};
    }
    try {
        keep(handler, request);
        return grpc::Status::OK;
    } catch (const std::exception &problem) {
        return {grpc::StatusCode::INTERNAL, problem.what()};
    }
}

class peer_server::listener final : public proto::peer_service::Service
{
public:
    listener(const endpoint &address, peer_handlers handlers)
        : m_handlers(std::move(handlers))
    {
        grpc::ResourceQuota quota("peers");
        quota.SetMaxThreads(mostThreads);
        grpc::ServerBuilder builder;
        int port = 0;
        builder.SetResourceQuota(quota);
        builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
        builder.AddListeningPort(toText(address), grpc::InsecureServerCredentials(), &port);
        builder.RegisterService(this);
        m_server = builder.BuildAndStart();
        if (!m_server || port == 0) {
            throw error(error_kind::InvalidOption, "--peer '" + toText(address) + "' can't be bound");
        }
        m_port = static_cast<std::uint16_t>(port);
    }

    ~listener() override
    {
        if (m_server) {
            m_server->Shutdown(std::chrono::system_clock::now() + stopGrace);
            m_server->Wait();
        }
    }

    listener(const listener &) = delete;
    listener &operator=(const listener &) = delete;

    std::uint16_t port() const
    {
        return m_port;
    }

    grpc::Status exchange(grpc::ServerContext *, const proto::peer_digest *request, proto::peer_digest *reply) override
    {
        return answer(m_handlers.exchange, request, reply);
    }
    grpc::Status readTail(grpc::ServerContext *, const proto::tail_request *request, proto::read_reply *reply) override
    {
        return answer(m_handlers.readTail, request, reply);
    }
    grpc::Status claim(grpc::ServerContext *, const proto::claim_request *request, proto::claim_reply *reply) override
    {
        return answer(m_handlers.claim, request, reply);
    }
    grpc::Status settle(grpc::ServerContext *, const proto::settle_request *request, proto::acknowledgement *) override
    {
        return acknowledge(m_handlers.settle, request);
    }
    grpc::Status accuse(grpc::ServerContext *, const proto::accusation_notice *request, proto::acknowledgement *) override
    {
        return acknowledge(m_handlers.accuse, request);
    }
    grpc::Status leaseTarget(grpc::ServerContext *, const proto::target_lease *request, proto::target_lease_reply *reply) override
    {
        return answer(m_handlers.leaseTarget, request, reply);
    }
    grpc::Status events(grpc::ServerContext *, const proto::events_request *request, proto::events_reply *reply) override
    {
        return answer(m_handlers.events, request, reply);
    }
    grpc::Status readListing(grpc::ServerContext *, const proto::listing_request *request, proto::listing_reply *reply) override
    {
        return answer(m_handlers.readListing, request, reply);
    }

private:
    template<typename Handler, typename Request, typename Reply>
    static grpc::Status answer(const Handler &handler, const Request *request, Reply *reply)
    {
        return serve(handler, *request, [reply](const Handler &call, const Request &argument) {
            *reply = call(argument);
        });
    }

    template<typename Handler, typename Request>
    static grpc::Status acknowledge(const Handler &handler, const Request *request)
    {
        return serve(handler, *request, [](const Handler &call, const Request &argument) {
            call(argument);
        });
    }

    const peer_handlers m_handlers;
    std::unique_ptr<grpc::Server> m_server; ///< set once bound
    std::uint16_t m_port = 0;
};

peer_server::peer_server(const endpoint &address, peer_handlers handlers)
    : m_listener(std::make_unique<listener>(address, std::move(handlers)))
{
}

peer_server::~peer_server() = default;

std::uint16_t peer_server::port() const
{
    return m_listener->port();
}

} // namespace fuchsialoom
