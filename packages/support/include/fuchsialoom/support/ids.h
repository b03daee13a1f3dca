/// \file
/// Strongly typed identifiers, so that a target's id can never be passed where a VM's is wanted.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace fuchsialoom
{

/// An opaque textual identifier. \c Tag only keeps kinds apart.
template<typename Tag>
class text_id
{
public:
    text_id() = default;
    explicit text_id(std::string text)
        : m_text(std::move(text))
    {
    }

    const std::string &text() const
    {
        return m_text;
    }

    bool empty() const
    {
        return m_text.empty();
    }

    friend auto operator<=>(const text_id &, const text_id &) = default;

private:
    std::string m_text;
};

/// An ordered numeric identifier; zero means "none".
template<typename Tag>
class number_id
{
public:
    constexpr number_id() = default;
    constexpr explicit number_id(std::uint64_t value)
        : m_value(value)
    {
    }

    constexpr std::uint64_t value() const
    {
        return m_value;
    }

    constexpr bool isNone() const
    {
        return m_value == 0;
    }

    friend constexpr auto operator<=>(const number_id &, const number_id &) = default;

private:
    std::uint64_t m_value = 0;
};

using vm_id = text_id<struct vm_tag>;
using target_id = text_id<struct target_tag>;
using domain_id = text_id<struct domain_tag>;
using pool_id = text_id<struct pool_tag>;
using brand_id = text_id<struct brand_tag>;
using team_id = text_id<struct team_tag>;
using service_id = text_id<struct service_tag>;
using model_id = text_id<struct model_tag>;
using adapter_id = text_id<struct adapter_tag>;
using version_id = text_id<struct version_tag>;
/// Given by the caller or made by the VM that admitted the request.
using request_id = text_id<struct request_tag>;
using order_id = text_id<struct order_tag>;
/// Unique for every record ever appended; a record is folded once however often it was appended.
using record_id = text_id<struct record_tag>;
using idempotency_key = text_id<struct idempotency_tag>;
/// Unique for every claim ever made: a request id is the caller's and may be sent to two VMs.
using claim_id = text_id<struct claim_tag>;
using stream_name = text_id<struct stream_tag>;

/// Position in one stream of the platform's log. The first record has offset 1; 0 means "before all".
using log_offset = number_id<struct offset_tag>;
/// Orders with a lower number than a target has seen are refused by targets that check it.
using fencing_number = number_id<struct fencing_tag>;
/// Grows with every start of a process under the same name.
using incarnation_number = number_id<struct incarnation_tag>;
/// The first try of a request is attempt 1.
using attempt_number = number_id<struct attempt_tag>;
/// Tells the claims that one VM's request machine asks for apart, also when a caller sends the same
/// request id and key again while the first is being given up.
using claim_number = number_id<struct claim_number_tag>;
/// 64-bit content hash (XXH3), see hash.h.
using content_hash = number_id<struct hash_tag>;

} // namespace fuchsialoom

template<typename Tag>
struct std::hash<fuchsialoom::text_id<Tag>>
{
    std::size_t operator()(const fuchsialoom::text_id<Tag> &id) const noexcept
    {
        return std::hash<std::string>()(id.text());
    }
};

template<typename Tag>
struct std::hash<fuchsialoom::number_id<Tag>>
{
    std::size_t operator()(const fuchsialoom::number_id<Tag> &id) const noexcept
    {
        return std::hash<std::uint64_t>()(id.value());
    }
};
