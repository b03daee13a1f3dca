/// \file
/// Reads the platform's list, or the freshest that peers have.
#include "fuchsialoom/node/listing_service.h"

#include "duty_wait.h"
#include "fuchsialoom/node/node_clock.h"
#include "fuchsialoom/wire/listing_exchange.h"

#include <utility>

namespace fuchsialoom
{

static constexpr milliseconds platformTimeout{1000};
static constexpr milliseconds peerTimeout{400};

listing_service::listing_service(const std::optional<endpoint> &platform,
                                 std::vector<listed_target> fixed,
                                 const settings_service &settings,
                                 peer_service &peers)
    : m_fixed(std::move(fixed))
    , m_settings(settings)
    , m_peers(peers)
{
    if (platform) {
        m_list.emplace(*platform);
    }
    peers.handlers().readListing = [this](const proto::listing_request &request) {
        const std::optional<dated_listing> own = latest();
        return encodeListingReply(own, request, monotonicNow());
    };
}

void listing_service::start()
{
    if (!m_list) {
        take(monotonicNow(), std::make_shared<const vm_listing>(vm_listing{{}, m_fixed}));
        return;
    }
    m_thread = std::jthread([this](const std::stop_token &stop) {
        run(stop);
    });
}

void listing_service::stop()
{
    if (m_thread.joinable()) {
        m_thread.request_stop();
        m_thread.join();
    }
}

std::optional<dated_listing> listing_service::latest() const
{
    const std::lock_guard lock(m_mutex);
    return m_follower.latest();
}

void listing_service::run(const std::stop_token &stop)
{
    real_deadline next = std::chrono::steady_clock::now();
    while (waitUntil(stop, next)) {
        next = std::chrono::steady_clock::now() + milliseconds(m_settings.tree()->integerAt(setting_path(), setting_key::HeartbeatMs));
        readPlatform();
        if (const std::optional<dated_listing> list = latest()) {
            m_peers.observe(*list->listing);
        }
    }
}

void listing_service::readPlatform()
{
    const instant askedAt = monotonicNow();
    const std::shared_ptr<const vm_listing> read = m_list->fetch(std::chrono::steady_clock::now() + platformTimeout);
    if (read) {
        take(askedAt, read);
    } else {
        step(silence());
    }
}

void listing_service::take(instant askedAt, const std::shared_ptr<const vm_listing> &listing)
{
    std::optional<dated_listing> list = latest();
    if (!list || (list->listing != listing && *list->listing != *listing)) {
        list = dated_listing{listing, contentOf(*listing), askedAt, askedAt};
    }
    list->takenAt = askedAt;
    list->takenBy = monotonicNow();
    step(platform_listed{std::move(*list)});
}

/// The peers that may have a list, and whom to ask first.
platform_silent listing_service::silence() const
{
    platform_silent event;
    for (const peer_view &peer : m_peers.peers()) {
        if (peer.state == peer_state::Alive) {
            (peer.domain == m_peers.self().domain ? event.near : event.far).push_back(peer.vm);
        }
    }
    return event;
}

void listing_service::step(const listing_event &event)
{
    listing_actions actions;
    std::shared_ptr<const vm_listing> listing;
    {
        const std::lock_guard lock(m_mutex);
        actions = m_follower.step(monotonicNow(), event);
        if (actions.changed) {
            listing = m_follower.latest()->listing;
        }
    }
    if (listing && m_take) {
        m_take(*listing);
    }
    askPeers(actions.ask);
}

void listing_service::askPeers(const std::vector<vm_id> &peers)
{
    for (const vm_id &peer : peers) {
        const instant askedAt = monotonicNow();
        const std::optional<proto::listing_reply> reply =
            m_peers.readListing(peer, encodeListingRequest(latest()), std::chrono::steady_clock::now() + peerTimeout);
        if (!reply) {
            continue;
        }
        const std::optional<listing_event> answer = decodeListingReply(*reply, askedAt, monotonicNow());
        if (answer) {
            step(*answer);
        }
    }
}

} // namespace fuchsialoom
