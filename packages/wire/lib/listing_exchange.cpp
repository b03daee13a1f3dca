/// \file
/// The list of VMs and targets from peer to peer.
#include "fuchsialoom/wire/listing_exchange.h"

#include "fuchsialoom/support/hash.h"
#include "fuchsialoom/wire/platform_http.h"

#include <algorithm>
#include <utility>

namespace fuchsialoom
{

/// gRPC refuses messages above 4 MB; a list of the design's size has some 300 KB.
static constexpr std::size_t mostListingBytes = 3'000'000;
/// An age beyond this is bounded to it. Longer than any outage, so that it never changes which is newer.
static constexpr std::chrono::hours longestAge{24 * 365};
/// Two VMs' monotonic clocks drift apart by less than one part in so many.
static constexpr int driftPart = 5000;

content_hash contentOf(const vm_listing &listing)
{
    return content_hash(std::max<std::uint64_t>(1, hashOf(encodeListing(listing)).value()));
}

proto::listing_request encodeListingRequest(const std::optional<dated_listing> &own)
{
    proto::listing_request request;
    request.set_content(own ? own->content.value() : 0);
    return request;
}

proto::listing_reply encodeListingReply(const std::optional<dated_listing> &own, const proto::listing_request &request, instant now)
{
    proto::listing_reply reply;
    if (!own) {
        return reply;
    }
    if (request.content() != own->content.value()) {
        std::string listing = encodeListing(*own->listing);
        if (listing.size() > mostListingBytes) {
            return reply;
        }
        reply.set_listing(std::move(listing));
    }
    reply.set_known(true);
    reply.set_age_micros((now - own->takenAt).count());
    reply.set_doubt_micros((own->takenBy - own->takenAt).count());
    reply.set_content(own->content.value());
    return reply;
}

std::optional<listing_event> decodeListingReply(const proto::listing_reply &reply, instant askedAt, instant answeredAt)
{
    if (!reply.known() || reply.age_micros() < 0) {
        return std::nullopt;
    }
    const microseconds age = std::min<microseconds>(microseconds(reply.age_micros()), longestAge);
    const microseconds doubt = std::clamp(microseconds(reply.doubt_micros()), microseconds(0), age);
    const microseconds drift = age / driftPart;
    const instant takenAt = askedAt - age - drift;
    const instant takenBy = answeredAt - age + doubt + drift;
    if (reply.listing().empty()) {
        return peer_confirmed{content_hash(reply.content()), takenAt, takenBy};
    }
    std::optional<vm_listing> listing = decodeListing(reply.listing());
    if (!listing) {
        return std::nullopt;
    }
    const content_hash content = contentOf(*listing);
    return peer_listed{dated_listing{std::make_shared<const vm_listing>(std::move(*listing)), content, takenAt, takenBy}};
}

} // namespace fuchsialoom
