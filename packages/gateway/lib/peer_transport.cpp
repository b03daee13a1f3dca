/// \file
/// Implements the UDP transport between VMs.
#include "fuchsialoom/gateway/peer_transport.h"

#include "fuchsialoom/http/http_link.h"

namespace fuchsialoom
{

/// Larger datagrams aren't sent, since they would be split into many IP fragments.
static constexpr std::size_t maxDatagramBytes = 32768;

static asio::ip::udp::endpoint udpEndpointOf(const endpoint &address)
{
    return {asio::ip::make_address(address.host), address.port};
}

/// Logs each change in the fleet's membership before it is passed on.
static fleet_events withChangeLogging(fleet_events events, decision_log &log, const fleet_node &fleet)
{
    events.onChange = [forwarded = std::move(events.onChange), &log, &fleet](fleet_change change, const vm_id &vm) {
        log.write(
            loopNow(),
            log_line("fleet").with("change", change).with("peer", vm).with("live", fleet.liveVms()).with("members", fleet.memberCount()));
        if (forwarded) {
            forwarded(change, vm);
        }
    };
    return events;
}

peer_transport::peer_transport(asio::io_context &loop,
                               const vm_record &self,
                               std::uint64_t incarnation,
                               team_quotas &quotas,
                               fleet_events events,
                               decision_log &log)
    : m_socket(loop, udpEndpointOf(self.address))
    , m_timer(loop)
    , m_log(log)
    , m_fleet(self, incarnation, quotas, withChangeLogging(std::move(events), log, m_fleet))
{
}

void peer_transport::start()
{
    receive();
    advance();
}

void peer_transport::addRecord(const vm_record &record)
{
    m_fleet.addRecord(loopNow(), record);
    armTimer();
}

void peer_transport::addSeed(const endpoint &address)
{
    m_fleet.addSeed(loopNow(), address);
    scheduleEarlyDigest();
}

void peer_transport::onInFlightChanged()
{
    m_fleet.onInFlightChanged(loopNow());
    armTimer();
}

void peer_transport::broadcastAdapterRequest(const adapter_request &adapterRequest)
{
    m_fleet.broadcastAdapterRequest(loopNow(), adapterRequest);
    armTimer();
}

void peer_transport::broadcastResidencyChanges(const std::vector<residency_change> &residencyChanges)
{
    m_fleet.broadcastResidencyChanges(loopNow(), residencyChanges);
    armTimer();
}

void peer_transport::broadcastCrashNews(const crash_news &news)
{
    m_fleet.broadcastCrashNews(loopNow(), news);
    armTimer();
}

void peer_transport::forwardCrashNews(const crash_news &news)
{
    m_fleet.forwardCrashNews(loopNow(), news);
    armTimer();
}

void peer_transport::scheduleEarlyDigest()
{
    m_fleet.scheduleEarlyDigest(loopNow());
    armTimer();
}

void peer_transport::advance()
{
    m_advancing = true;
    if (loopNow() >= m_fleet.nextAt()) {
        send(m_fleet.advance(loopNow()));
    }
    m_advancing = false;
    m_armedFor = farFuture;
    armTimer();
}

void peer_transport::armTimer()
{
    const instant next = m_fleet.nextAt();
    if (m_advancing || next >= m_armedFor) {
        return;
    }
    m_armedFor = next;
    m_timer.expires_at(std::chrono::steady_clock::time_point(next.time_since_epoch()));
    m_timer.async_wait([this](const asio::error_code &problem) {
        if (!problem) {
            advance();
        }
    });
}

void peer_transport::send(const fleet_outbox &out)
{
    for (const fleet_outbox::outgoing_digest &one : out.digests) {
        const std::string bytes = encodeDigest(one.digest);
        for (const endpoint &to : one.to) {
            sendTo(to, bytes);
        }
    }
    for (const fleet_outbox::outgoing_delta &one : out.deltas) {
        const std::string bytes = encodeDelta(one.delta);
        for (const endpoint &to : one.to) {
            sendTo(to, bytes);
        }
    }
    for (const fleet_outbox::outgoing_relay_update &one : out.relayUpdates) {
        const std::string message = encodeRelayUpdate(one.message);
        for (const auto &[to, receiver] : one.to) {
            sendTo(to, encodeMemberUpdate(message, receiver));
        }
    }
}

void peer_transport::sendTo(const endpoint &to, const std::string &bytes)
{
    if (bytes.size() > maxDatagramBytes) {
        m_log.write(loopNow(), log_line("datagram-too-large").with("bytes", bytes.size()).with("to", toText(to)));
        return;
    }
    asio::error_code problem;
    const asio::ip::address host = asio::ip::make_address(to.host, problem);
    if (problem) {
        return; // a seed from the settings or a member's record may be any text
    }
    m_socket.send_to(asio::buffer(bytes), {host, to.port}, 0, problem); // datagrams may be lost on the network too
    m_sent += 1;
}

void peer_transport::receive()
{
    m_socket.async_receive_from(asio::buffer(m_incoming), m_from, [this](const asio::error_code &problem, std::size_t size) {
        if (problem == asio::error::operation_aborted) {
            return;
        }
        if (!problem) {
            onDatagram(std::string_view(m_incoming.data(), size), m_from);
        }
        receive();
    });
}

void peer_transport::onDatagram(std::string_view bytes, const asio::ip::udp::endpoint &from)
{
    m_received += 1;
    const std::optional<peer_datagram> datagram = decodeDatagram(bytes);
    if (!datagram) {
        m_malformed += 1;
        if (m_malformed == 1) {
            m_log.write(loopNow(), log_line("datagram-malformed").with("from", from.address().to_string()));
        }
        return;
    }
    m_fleet.onDatagram(loopNow(), *datagram, {from.address().to_string(), from.port()});
    armTimer();
}

} // namespace fuchsialoom
