/// \file
/// How the body of a request or an answer is framed. The parser library reads framing leniently, so it is checked first.
#pragma once

#include "fuchsialoom/http/header_list.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace fuchsialoom
{

/// Whether every reader of a message with \p headers frames its body alike.
bool isUnambiguous(const header_list &headers, bool isHttp11);

/// Follows the framing of a chunked body, RFC 9112 section 7.1.
class chunk_syntax
{
public:
    /// Takes the next bytes of the body; what follows its end is ignored. \return false once a byte is out of place.
    bool accepts(std::string_view bytes);

private:
    /// The part of the body that the next byte belongs to.
    enum class part {
        FirstDigit, ///< of a chunk's size
        Digits,
        SizePadding, ///< blanks behind the size
        Extension,
        SizeEnd, ///< the line feed behind the size
        Data,
        DataEnd, ///< the carriage return behind the data
        DataLineFeed,
        TrailerBegin, ///< of a line of the trailer, or of the empty line that ends the body
        TrailerName,
        TrailerValue,
        TrailerLineFeed,
        LastLineFeed,
        Behind, ///< the body has ended
    };

    /// The part that follows \p byte, which isn't data; nothing if it is out of place.
    std::optional<part> partAfter(char byte);
    std::optional<part> partAfterDigit(char byte);
    std::optional<part> partAfterSize(char byte) const;

    part m_part = part::FirstDigit;
    std::uint64_t m_left = 0; ///< bytes of the chunk's data that are still to come
};

} // namespace fuchsialoom
