/// \file
/// Sends this VM's digests to the others and takes theirs. Knows who lives.
#pragma once

#include "fuchsialoom/gateway/decision_log.h"
#include "fuchsialoom/gateway/peer_digest.h"

#include <asio.hpp>

#include <array>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace fuchsialoom
{

struct peer_events
{
    std::function<peer_digest()> compose; ///< the present digest; the exchange fills in who sends it
    std::function<void(const peer_digest &)> onDigest;
    std::function<flight_counts()> changedFlights; ///< since the last call
    std::function<void(const flight_note &)> onNote;
    std::function<void(std::size_t live)> onLiveCount; ///< VMs that were heard lately, this one among them
};

class peer_exchange
{
public:
    /// \throws std::system_error when \p own can't be bound.
    peer_exchange(asio::io_context &loop, const endpoint &own, vm_id vm, std::uint64_t incarnation, peer_events events, decision_log &log);

    void start();

    /// An address where a VM may be; digests go there until it has been silent for long.
    void addPeer(const endpoint &address);

    /// Something changed that peers should hear at once: a digest goes out within a few milliseconds.
    void hasten();

    /// Something was sent to a target: a note of what changed there goes out within a few milliseconds.
    void hastenNote();

    /// Live peers by name, this VM not among them.
    std::vector<vm_id> livePeers() const;

    std::uint64_t sent() const
    {
        return m_sent;
    }

private:
    struct peer
    {
        vm_id vm; ///< empty until it was heard
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        instant heardAt{};
        instant addedAt{};
        bool live = false;
    };

    void receive();
    void onDatagram(std::string_view bytes, const asio::ip::udp::endpoint &from);
    void tick();
    void broadcast();
    void sendNote();
    void sendToAll(const std::string &bytes);
    /// Whether the datagram is newer than all before it of the same process.
    bool isNews(const asio::ip::udp::endpoint &from, const vm_id &vm, std::uint64_t incarnation, std::uint64_t sequence);
    void noteLiveCount();
    milliseconds interval() const;

    asio::ip::udp::socket m_socket;
    asio::steady_timer m_timer;
    asio::steady_timer m_noteTimer;
    bool m_noteArmed = false;
    endpoint m_own;
    vm_id m_vm;
    std::uint64_t m_incarnation;
    peer_events m_events;
    decision_log &m_log;
    std::map<endpoint, peer> m_peers;
    std::array<char, 65536> m_incoming{};
    asio::ip::udp::endpoint m_from;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_sent = 0;
    std::uint64_t m_malformed = 0;
    instant m_nextAt{};
    std::size_t m_live = 1;
};

} // namespace fuchsialoom
