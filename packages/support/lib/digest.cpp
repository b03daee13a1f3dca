/// \file
/// SHA-256 over OpenSSL.
#include "fuchsialoom/support/digest.h"

#include "fuchsialoom/support/errors.h"

#include <openssl/evp.h>

namespace fuchsialoom
{

static constexpr std::size_t shortTextBytes = 4;

std::string sha256_digest::shortText() const
{
    static constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    for (std::size_t at = 0; at < shortTextBytes; ++at) {
        text.push_back(digits[m_bytes[at] >> 4]);
        text.push_back(digits[m_bytes[at] & 15]);
    }
    return text;
}

std::uint64_t sha256_digest::prefix() const
{
    std::uint64_t number = 0;
    for (std::size_t at = 0; at < sizeof number; ++at) {
        number = number << 8 | m_bytes[at];
    }
    return number;
}

sha256_digest sha256Of(std::string_view bytes)
{
    std::array<std::uint8_t, sha256_digest::size> result{};
    unsigned int written = 0;
    if (EVP_Digest(bytes.data(), bytes.size(), result.data(), &written, EVP_sha256(), nullptr) != 1 || written != result.size()) {
        throw error(error_kind::Internal, "SHA-256 failed");
    }
    return sha256_digest(result);
}

} // namespace fuchsialoom
