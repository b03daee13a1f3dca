/// \file
/// The events of all VMs that this one can reach.
#include "fuchsialoom/node/fleet_events.h"

#include "fuchsialoom/support/event_story.h"
#include "fuchsialoom/wire/peer_codec.h"

#include <algorithm>
#include <atomic>
#include <iterator>
#include <mutex>
#include <thread>

namespace fuchsialoom
{

/// Keeps an answer well below gRPC's limit of 4 MB for a message.
static constexpr std::uint32_t mostEventsAPeer = 8000;
static constexpr std::size_t askers = 8;

void serveEvents(peer_service &peers, const event_service &events)
{
    peers.handlers().events = [&events](const proto::events_request &request) {
        const hlc_stamp after{request.after().wall_micros(), request.after().counter()};
        const std::vector<timeline_event> found = events.since(after, request.subject());
        const std::size_t most = std::min(request.most(), mostEventsAPeer);
        const std::size_t skipped = found.size() > most ? found.size() - most : 0;
        proto::events_reply reply;
        for (std::size_t index = skipped; index < found.size(); ++index) {
            encodeEvent(found[index], *reply.add_events());
        }
        return reply;
    };
}

std::vector<timeline_event>
fleetEvents(peer_service &peers, const event_service &events, hlc_stamp after, const std::string &subject, real_deadline deadline)
{
    proto::events_request request;
    request.set_subject(subject);
    encodeStamp(after, *request.mutable_after());
    request.set_most(mostEventsAPeer);
    std::vector<peer_view> reachable = peers.peers();
    std::erase_if(reachable, [](const peer_view &peer) {
        return !peer.reachable;
    });
    std::vector<timeline_event> all = events.since(after, subject);
    std::mutex mutex; // guards all
    std::atomic<std::size_t> nextPeer{0};
    std::vector<std::jthread> threads;
    for (std::size_t index = 0; index < std::min(askers, reachable.size()); ++index) {
        threads.emplace_back([&] {
            for (std::size_t peer = nextPeer++; peer < reachable.size(); peer = nextPeer++) {
                const std::optional<proto::events_reply> reply = peers.events(reachable[peer].vm, request, deadline);
                const std::lock_guard lock(mutex);
                for (int event = 0; reply && event < reply->events_size(); ++event) {
                    if (std::optional<timeline_event> decoded = decodeEvent(reply->events(event))) {
                        all.push_back(std::move(*decoded));
                    }
                }
            }
        });
    }
    threads.clear();
    return mergeEvents(std::move(all));
}

} // namespace fuchsialoom
