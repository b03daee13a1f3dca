/// \file
/// Parts of prompts that targets have read lately without a crash. A popular part is in many requests that are about to begin when
/// a target dies, and its other runs show that it isn't the cause. Sans-I/O.
#pragma once

#include "fuchsialoom/support/ids.h"
#include "fuchsialoom/support/time.h"

#include <cstddef>
#include <map>

namespace fuchsialoom
{

class sound_parts
{
public:
    /// A target has begun an answer to a request with \p part.
    void noteRun(instant now, content_hash part);

    /// A target died as it was to begin a request with \p part. \return whether the part is excused: it ran lately, and at most at
    /// two deaths since, where deaths that are close together count as one. A part may become one that crashes targets.
    bool excusesDeath(instant now, content_hash part);

private:
    struct deaths_since
    {
        std::size_t count = 0;
        instant countedAt{};
    };
    using generation = std::map<content_hash, deaths_since>;

    void turn(instant now);
    deaths_since *find(content_hash part);

    generation m_recent; ///< bounded: a full one becomes m_earlier
    generation m_earlier;
    instant m_turnAt{};
};

} // namespace fuchsialoom
