/// \file
/// Names of the streams in the platform's log.
#include "fuchsialoom/core/streams.h"

#include "fuchsialoom/support/hash.h"

#include <cassert>

namespace fuchsialoom
{

stream_name settingsStream()
{
    return stream_name("settings");
}

stream_name fleetStream()
{
    return stream_name("fleet");
}

stream_name domainStream(const domain_id &domain)
{
    return stream_name("domain." + domain.text());
}

stream_name claimStream(std::uint32_t partition)
{
    return stream_name("claims." + std::to_string(partition));
}

std::uint32_t claimPartitionOf(const idempotency_key &key, std::uint32_t partitions)
{
    assert(partitions > 0 && "there is at least one claim partition");
    return static_cast<std::uint32_t>(hashOf(key.text()).value() % partitions);
}

} // namespace fuchsialoom
