/// \file
/// Implements the memory of parts that ran lately.
#include "fuchsialoom/gateway/sound_parts.h"

#include <utility>

namespace fuchsialoom
{

/// A run is remembered for once to twice this time.
static constexpr milliseconds generationLength{10000};
static constexpr std::size_t maxGeneration = 8192;
static constexpr std::size_t maxExcusedDeaths = 2;
/// Deaths within this time of a counted one belong to its wave.
static constexpr milliseconds waveLength{500};

void sound_parts::turn(instant now)
{
    if (now >= m_turnAt || m_recent.size() >= maxGeneration) {
        m_earlier = now >= m_turnAt + generationLength ? generation() : std::move(m_recent);
        m_recent.clear();
        m_turnAt = now + generationLength;
    }
}

sound_parts::deaths_since *sound_parts::find(content_hash part)
{
    for (generation *one : {&m_recent, &m_earlier}) {
        const auto found = one->find(part);
        if (found != one->end()) {
            return &found->second;
        }
    }
    return nullptr;
}

void sound_parts::noteRun(instant now, content_hash part)
{
    turn(now);
    m_recent.insert_or_assign(part, deaths_since());
}

bool sound_parts::excusesDeath(instant now, content_hash part)
{
    turn(now);
    deaths_since *known = find(part);
    if (!known) {
        return false;
    }
    if (known->count == 0 || now >= known->countedAt + waveLength) {
        known->count += 1;
        known->countedAt = now;
    }
    return known->count <= maxExcusedDeaths;
}

} // namespace fuchsialoom
