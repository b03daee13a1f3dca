/// \file
/// The answers of the engine stand-in: a function of the request's body alone, so that a test knows the
/// exact answer to expect and sees any token that belongs to another request.
#pragma once

#include "fuchsialoom/support/hash.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace fuchsialoom
{

/// Token \p offset of the answer to \p body.
inline std::string answerToken(std::string_view body, std::uint64_t offset)
{
    static constexpr std::uint64_t signatures = 100000;
    return 't' + std::to_string(offset) + '.' + std::to_string(hashOf(body).value() % signatures) + ' ';
}

/// Tokens \p first to \p end of the answer to \p body.
inline std::string answerText(std::string_view body, std::uint64_t first, std::uint64_t end)
{
    std::string text;
    for (std::uint64_t offset = first; offset < end; ++offset) {
        text += answerToken(body, offset);
    }
    return text;
}

} // namespace fuchsialoom
