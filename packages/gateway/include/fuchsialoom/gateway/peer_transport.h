/// \file
/// UDP transport and timers of a fleet_node, which exchanges messages with the other VMs.
#pragma once

#include "fuchsialoom/fleet/fleet_node.h"
#include "fuchsialoom/gateway/decision_log.h"

#include <asio.hpp>

#include <array>
#include <string>

namespace fuchsialoom
{

class peer_transport
{
public:
    /// \throws std::system_error when the address of \p self can't be bound.
    peer_transport(asio::io_context &loop,
                   const vm_record &self,
                   std::uint64_t incarnation,
                   team_quotas &quotas,
                   fleet_events events,
                   decision_log &log);

    void start();

    /// Adds a VM that registered.
    void addRecord(const vm_record &record);
    /// Adds an address where a VM may be reachable whose record isn't known.
    void addSeed(const endpoint &address);

    /// \name Messages of this VM to its peers, sent within a few milliseconds.
    /// @{
    void onInFlightChanged();
    void broadcastAdapterRequest(const adapter_request &adapterRequest);
    void broadcastResidencyChanges(const std::vector<residency_change> &residencyChanges);
    void broadcastCrashNews(const crash_news &news);
    void forwardCrashNews(const crash_news &news);
    void scheduleEarlyDigest();
    /// @}

    const fleet_node &fleet() const
    {
        return m_fleet;
    }

    /// Datagrams sent.
    std::uint64_t sent() const
    {
        return m_sent;
    }
    /// Datagrams received, including malformed ones.
    std::uint64_t received() const
    {
        return m_received;
    }

private:
    void receive();
    void onDatagram(std::string_view bytes, const asio::ip::udp::endpoint &from);
    void advance();
    void armTimer();
    void send(const fleet_outbox &out);
    void sendTo(const endpoint &to, const std::string &bytes);

    asio::ip::udp::socket m_socket;
    asio::steady_timer m_timer;
    decision_log &m_log;
    fleet_node m_fleet;
    std::array<char, 65536> m_incoming{};
    asio::ip::udp::endpoint m_from;
    instant m_armedFor = farFuture; ///< when the timer expires
    std::uint64_t m_sent = 0;
    std::uint64_t m_received = 0;
    std::uint64_t m_malformed = 0;
    bool m_advancing = false;
};

} // namespace fuchsialoom
