/// \file
/// The tail of a stream from peers.
#include "fuchsialoom/node/peer_tail_source.h"

#include "fuchsialoom/core/streams.h"
#include "fuchsialoom/node/node_clock.h"
#include "fuchsialoom/wire/peer_codec.h"

#include <algorithm>
#include <utility>

namespace fuchsialoom
{

static constexpr std::uint32_t recordsAPage = 500;

peer_tail_source::peer_tail_source(peer_service &peers)
    : m_peers(peers)
{
}

tail_readers_known peer_tail_source::readers() const
{
    return tail_readers_known{m_peers.dutyHolders(), m_peers.isStale()};
}

std::vector<vm_id> peer_tail_source::peers() const
{
    std::vector<vm_id> found;
    for (const peer_view &view : m_peers.peers()) {
        if (view.reachable) {
            found.push_back(view.vm);
        }
    }
    return found;
}

read_result peer_tail_source::read(const vm_id &peer, const stream_name &stream, log_offset from, real_deadline deadline)
{
    proto::tail_request request;
    request.set_stream(stream.text());
    request.set_from(from.value());
    request.set_most(recordsAPage);
    std::optional<proto::read_reply> reply = m_peers.readTail(peer, request, deadline);
    if (!reply) {
        return {};
    }
    read_result result{read_status::Ok, log_offset(reply->first()), log_offset(reply->next()), {}};
    for (proto::raw_entry &entry : *reply->mutable_entries()) {
        result.entries.push_back(raw_log_entry{log_offset(entry.offset()), std::move(*entry.mutable_record())});
    }
    return result;
}

static void fillPosition(const settings_service &settings, bool sameDomain, proto::peer_digest &digest)
{
    const std::optional<tail_position> own = sameDomain ? settings.positionToTell() : std::nullopt;
    if (!own) {
        return;
    }
    proto::stream_position &position = *digest.add_positions();
    position.set_stream(settingsStream().text());
    position.set_applied(own->applied.value());
    position.set_proven_age_micros((monotonicNow() - own->provenAt).count());
    position.set_first(own->first.value());
}

static void readPosition(settings_service &settings, const vm_id &sender, const proto::peer_digest &digest)
{
    for (const proto::stream_position &position : digest.positions()) {
        if (position.stream() == settingsStream().text() && position.proven_age_micros() >= 0) {
            const auto age = std::min(microseconds(position.proven_age_micros()), longestSpan);
            settings.positionTold(
                tail_position_told{sender, log_offset(position.applied()), monotonicNow() - age, log_offset(position.first())});
        }
    }
}

static void sharePositions(peer_service &peers, settings_service &settings)
{
    peers.addPart(digest_part{[&settings](const vm_id &, bool sameDomain, proto::peer_digest &digest) {
                                  fillPosition(settings, sameDomain, digest);
                              },
                              [&settings](const vm_contact &sender, bool sameDomain, const proto::peer_digest &digest) {
                                  if (sameDomain) {
                                      readPosition(settings, sender.vm, digest);
                                  }
                              },
                              {}});
}

void serveTail(peer_service &peers, settings_service &settings)
{
    sharePositions(peers, settings);
    peers.handlers().readTail = [&settings](const proto::tail_request &request) {
        proto::read_reply reply;
        if (request.stream() != settingsStream().text()) {
            return reply;
        }
        const read_result tail = settings.tail(log_offset(request.from()), std::min(request.most(), recordsAPage));
        reply.set_first(tail.first.value());
        reply.set_next(tail.next.value());
        for (const raw_log_entry &entry : tail.entries) {
            proto::raw_entry &item = *reply.add_entries();
            item.set_offset(entry.offset.value());
            item.set_record(entry.bytes);
        }
        return reply;
    };
}

} // namespace fuchsialoom
