/// \file
/// Framing of bodies.
#include "body_framing.h"

#include "fuchsialoom/support/http_syntax.h"

#include <algorithm>
#include <limits>
#include <string>

namespace fuchsialoom
{

static bool isLength(std::string_view text)
{
    static constexpr std::size_t mostDigits = 18; // fit in 64 bits
    return !text.empty() && text.size() <= mostDigits && text.find_first_not_of("0123456789") == std::string_view::npos;
}

bool isUnambiguous(const header_list &headers, bool isHttp11)
{
    const std::string *length = headers.find("Content-Length");
    const std::string *coding = headers.find("Transfer-Encoding");
    if (length && coding) {
        return false;
    }
    if (length) {
        return headers.count("Content-Length") == 1 && isLength(trimmedValue(*length));
    }
    if (coding) {
        return isHttp11 && headers.count("Transfer-Encoding") == 1 && sameFieldName(trimmedValue(*coding), "chunked");
    }
    return true;
}

static std::optional<unsigned> hexDigit(char byte)
{
    static constexpr std::string_view digits = "0123456789abcdef";
    const char lower = byte >= 'A' && byte <= 'F' ? static_cast<char>(byte - 'A' + 'a') : byte;
    const std::size_t value = digits.find(lower);
    return value == std::string_view::npos ? std::nullopt : std::optional(static_cast<unsigned>(value));
}

bool chunk_syntax::accepts(std::string_view bytes)
{
    while (!bytes.empty() && m_part != part::Behind) {
        if (m_part == part::Data) {
            const auto taken = static_cast<std::size_t>(std::min<std::uint64_t>(m_left, bytes.size()));
            m_left -= taken;
            m_part = m_left > 0 ? part::Data : part::DataEnd;
            bytes.remove_prefix(taken);
            continue;
        }
        const std::optional<part> next = partAfter(bytes.front());
        if (!next) {
            return false;
        }
        m_part = *next;
        bytes.remove_prefix(1);
    }
    return true;
}

std::optional<chunk_syntax::part> chunk_syntax::partAfterDigit(char byte)
{
    const std::optional<unsigned> digit = hexDigit(byte);
    if (!digit || m_left > std::numeric_limits<std::uint64_t>::max() >> 4) {
        return std::nullopt;
    }
    m_left = m_left << 4 | *digit;
    return part::Digits;
}

std::optional<chunk_syntax::part> chunk_syntax::partAfterSize(char byte) const
{
    switch (byte) {
    case ' ':
    case '\t':
        return part::SizePadding;
    case ';':
        return part::Extension;
    case '\r':
        return part::SizeEnd;
    default:
        return std::nullopt;
    }
}

std::optional<chunk_syntax::part> chunk_syntax::partAfter(char byte)
{
    const auto expect = [byte](char expected, part next) {
        return byte == expected ? std::optional(next) : std::nullopt;
    };
    const auto textUntil = [byte](part end, part text) -> std::optional<part> {
        if (byte == '\r') {
            return end;
        }
        return isControl(byte) ? std::nullopt : std::optional(text);
    };
    const auto nameUntil = [byte](char mark, part end) -> std::optional<part> {
        if (byte == mark) {
            return end;
        }
        return isFieldName({&byte, 1}) ? std::optional(part::TrailerName) : std::nullopt;
    };
    switch (m_part) {
    case part::FirstDigit:
        return partAfterDigit(byte);
    case part::Digits:
        return hexDigit(byte) ? partAfterDigit(byte) : partAfterSize(byte);
    case part::SizePadding:
        return partAfterSize(byte);
    case part::Extension:
        return textUntil(part::SizeEnd, part::Extension);
    case part::SizeEnd:
        return expect('\n', m_left > 0 ? part::Data : part::TrailerBegin);
    case part::DataEnd:
        return expect('\r', part::DataLineFeed);
    case part::DataLineFeed:
        return expect('\n', part::FirstDigit);
    case part::TrailerBegin:
        return nameUntil('\r', part::LastLineFeed);
    case part::TrailerName:
        return nameUntil(':', part::TrailerValue);
    case part::TrailerValue:
        return textUntil(part::TrailerLineFeed, part::TrailerValue);
    case part::TrailerLineFeed:
        return expect('\n', part::TrailerBegin);
    case part::LastLineFeed:
        return expect('\n', part::Behind);
    case part::Data:
    case part::Behind:
        break;
    }
    return std::nullopt;
}

} // namespace fuchsialoom
