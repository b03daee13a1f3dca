/// \file
/// What the crash of a target may be blamed on: a request, or one of the parts of its prompt.
#pragma once

#include "fuchsialoom/support/ids.h"

#include <algorithm>
#include <compare>
#include <utility>
#include <vector>

namespace fuchsialoom
{

struct crash_subjects
{
    /// A request with the fingerprint \p request; without \p parts, its prompt shares none with others.
    crash_subjects(content_hash request, std::vector<content_hash> parts = {})
        : request(request)
        , parts(std::move(parts))
    {
    }

    /// The request, then its parts.
    std::vector<content_hash> all() const
    {
        std::vector<content_hash> subjects{request};
        subjects.insert(subjects.end(), parts.begin(), parts.end());
        return subjects;
    }
    bool contains(content_hash subject) const
    {
        return subject == request || std::ranges::find(parts, subject) != parts.end();
    }

    friend auto operator<=>(const crash_subjects &, const crash_subjects &) = default;

    content_hash request;
    std::vector<content_hash> parts; ///< of its prompt, without the last one, which no other request shares
};

} // namespace fuchsialoom
