/// \file
/// The tail of a stream from peers, over the calls of peer_service.
#pragma once

#include "fuchsialoom/node/peer_service.h"
#include "fuchsialoom/node/settings_service.h"
#include "fuchsialoom/node/tail_source.h"

namespace fuchsialoom
{

/// Thread-safe.
class peer_tail_source : public tail_source
{
public:
    explicit peer_tail_source(peer_service &peers);

    tail_readers_known readers() const override;
    std::vector<vm_id> peers() const override;
    read_result read(const vm_id &peer, const stream_name &stream, log_offset from, real_deadline deadline) override;

private:
    peer_service &m_peers;
};

/// Answers the peers' readTail with what \p settings has kept, and tells them how far it is where it reads
/// the log for them. Call before the peer service starts.
void serveTail(peer_service &peers, settings_service &settings);

} // namespace fuchsialoom
