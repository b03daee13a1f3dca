/// \file
/// Datagrams between VMs.
#include "fuchsialoom/gateway/peer_exchange.h"

#include "fuchsialoom/http/http_link.h"

#include <algorithm>

namespace fuchsialoom
{

/// Between two digests of a VM that has news, so that a target's load is known everywhere before a few
/// more requests have been sent there: a VM sends 21 requests a second.
static constexpr milliseconds leastInterval{150};
/// For each VM that listens: keeps what a VM receives at 60 datagrams a second, whatever the number of VMs.
static constexpr milliseconds intervalPerPeer{16};
/// A change that peers wait for goes out so soon; what changes meanwhile goes along.
static constexpr milliseconds hasteDelay{4};
/// Requests sent within so long go into one note.
static constexpr milliseconds noteDelay{2};
/// Up to so many peers each send is noted to all; beyond, they hear of it by digests alone. At 72 VMs notes and
/// digests together took 0.043 of a core a VM, measured on a calm day of 450 requests a second; notes grow with requests
/// times VMs, and at 330 VMs they would be 19,000 datagrams a second from each.
static constexpr std::size_t mostNotedPeers = 96;
/// A peer that was silent for so long isn't counted as live: ten digests of nine VMs.
static constexpr milliseconds liveSilence{1500};
/// One that was never heard, or not for long, is no longer sent to.
static constexpr seconds forgetAfter{30};
/// Every so many digests carry the addresses of the peers.
static constexpr std::uint64_t peersEvery = 8;
/// Bytes of a datagram that is still sent; larger ones would be cut into many pieces.
static constexpr std::size_t mostBytes = 32768;

static asio::ip::udp::endpoint udpEndpointOf(const endpoint &address)
{
    return {asio::ip::make_address(address.host), address.port};
}

peer_exchange::peer_exchange(asio::io_context &loop,
                             const endpoint &own,
                             vm_id vm,
                             std::uint64_t incarnation,
                             peer_events events,
                             decision_log &log)
    : m_socket(loop, udpEndpointOf(own))
    , m_timer(loop)
    , m_noteTimer(loop)
    , m_own(own)
    , m_vm(std::move(vm))
    , m_incarnation(incarnation)
    , m_events(std::move(events))
    , m_log(log)
{
}

void peer_exchange::start()
{
    receive();
    m_nextAt = loopNow();
    tick();
}

void peer_exchange::addPeer(const endpoint &address)
{
    if (address == m_own) {
        return;
    }
    const auto [found, isNew] = m_peers.try_emplace(address);
    if (isNew) {
        found->second.addedAt = loopNow();
        hasten();
    }
}

milliseconds peer_exchange::interval() const
{
    return std::max(leastInterval, intervalPerPeer * static_cast<int>(m_peers.size()));
}

void peer_exchange::hasten()
{
    const instant soon = loopNow() + hasteDelay;
    if (soon < m_nextAt) {
        m_nextAt = soon;
        tick();
    }
}

void peer_exchange::tick()
{
    if (loopNow() >= m_nextAt) {
        broadcast();
        m_nextAt = loopNow() + interval();
    }
    m_timer.expires_at(std::chrono::steady_clock::time_point(m_nextAt.time_since_epoch()));
    m_timer.async_wait([this](const asio::error_code &problem) {
        if (!problem) {
            tick();
        }
    });
}

void peer_exchange::broadcast()
{
    const instant now = loopNow();
    std::erase_if(m_peers, [now](const auto &entry) {
        const peer &one = entry.second;
        return now - std::max(one.heardAt, one.addedAt) > forgetAfter;
    });
    noteLiveCount();
    if (m_peers.empty()) {
        return;
    }
    peer_digest digest = m_events.compose();
    digest.vm = m_vm;
    digest.incarnation = m_incarnation;
    m_sequence += 1;
    digest.sequence = m_sequence;
    if (m_sequence % peersEvery == 1) {
        for (const auto &[address, one] : m_peers) {
            if (one.live) {
                digest.peers.push_back(address);
            }
        }
    }
    m_events.changedFlights(); // the whole digest tells them
    const std::string bytes = encodeDigest(digest);
    if (bytes.size() > mostBytes) {
        m_log.write(now, log_line("digest-too-large").with("bytes", bytes.size()));
        return;
    }
    sendToAll(bytes);
}

void peer_exchange::hastenNote()
{
    if (m_noteArmed || m_peers.size() > mostNotedPeers) {
        return;
    }
    m_noteArmed = true;
    m_noteTimer.expires_after(noteDelay);
    m_noteTimer.async_wait([this](const asio::error_code &problem) {
        m_noteArmed = false;
        if (!problem) {
            sendNote();
        }
    });
}

void peer_exchange::sendNote()
{
    flight_note note{m_vm, m_incarnation, 0, m_events.changedFlights()};
    if (note.changed.empty()) {
        return; // a digest told them meanwhile
    }
    m_sequence += 1;
    note.sequence = m_sequence;
    sendToAll(encodeNote(note));
}

void peer_exchange::sendToAll(const std::string &bytes)
{
    for (const auto &[address, one] : m_peers) {
        asio::error_code ignored; // datagrams may be lost anyway
        m_socket.send_to(asio::buffer(bytes), udpEndpointOf(address), 0, ignored);
        m_sent += 1;
    }
}

void peer_exchange::receive()
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

void peer_exchange::onDatagram(std::string_view bytes, const asio::ip::udp::endpoint &from)
{
    const std::optional<peer_datagram> datagram = decodeDatagram(bytes);
    if (!datagram) {
        m_malformed += 1;
        if (m_malformed == 1) {
            m_log.write(loopNow(), log_line("digest-malformed").with("from", from.address().to_string()));
        }
        return;
    }
    if (const auto *note = std::get_if<flight_note>(&*datagram)) {
        if (isNews(from, note->vm, note->incarnation, note->sequence)) {
            m_events.onNote(*note);
        }
        return;
    }
    const auto &digest = std::get<peer_digest>(*datagram);
    if (!isNews(from, digest.vm, digest.incarnation, digest.sequence)) {
        return;
    }
    for (const endpoint &known : digest.peers) {
        addPeer(known);
    }
    m_events.onDigest(digest);
}

bool peer_exchange::isNews(const asio::ip::udp::endpoint &from, const vm_id &vm, std::uint64_t incarnation, std::uint64_t sequence)
{
    if (vm == m_vm) {
        return false;
    }
    const instant now = loopNow();
    const endpoint address{from.address().to_string(), from.port()};
    peer &one = m_peers[address];
    const bool older = std::pair(incarnation, sequence) <= std::pair(one.incarnation, one.sequence);
    if (one.vm == vm && older) {
        return false;
    }
    const bool restarted = one.vm != vm || one.incarnation != incarnation;
    one.vm = vm;
    one.incarnation = incarnation;
    one.sequence = sequence;
    one.heardAt = now;
    if (!one.live) {
        one.live = true;
        m_log.write(now,
                    log_line("peer-heard").with("peer", one.vm).with("address", toText(address)).with("new", restarted ? "yes" : "no"));
        noteLiveCount();
    }
    return true;
}

void peer_exchange::noteLiveCount()
{
    const instant now = loopNow();
    std::size_t live = 1;
    for (auto &[address, one] : m_peers) {
        if (one.live && now - one.heardAt > liveSilence) {
            one.live = false;
            const auto silent = std::chrono::duration_cast<milliseconds>(now - one.heardAt);
            m_log.write(now, log_line("peer-silent").with("peer", one.vm).with("silent-ms", silent));
        }
        live += one.live ? 1 : 0;
    }
    if (live != m_live) {
        m_live = live;
        m_events.onLiveCount(live);
    }
}

std::vector<vm_id> peer_exchange::livePeers() const
{
    std::vector<vm_id> live;
    for (const auto &[address, one] : m_peers) {
        if (one.live) {
            live.push_back(one.vm);
        }
    }
    return live;
}

} // namespace fuchsialoom
