/// \file
/// SHA-256 digests, for secrets that are compared but never stored.
#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace fuchsialoom
{

class sha256_digest
{
public:
    static constexpr std::size_t size = 32;

    sha256_digest() = default;
    explicit sha256_digest(const std::array<std::uint8_t, size> &bytes)
        : m_bytes(bytes)
    {
    }

    /// The first bytes in hexadecimal: enough to tell secrets apart in a log, too little to find one by its digest.
    std::string shortText() const;

    /// The first bytes as a number, the highest byte first.
    std::uint64_t prefix() const;

    friend auto operator<=>(const sha256_digest &, const sha256_digest &) = default;

private:
    std::array<std::uint8_t, size> m_bytes{};
};

/// \throws error(Internal) when the cryptographic library fails.
sha256_digest sha256Of(std::string_view bytes);

} // namespace fuchsialoom
