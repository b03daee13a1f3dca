/// \file
/// Counts the bytes that a process holds for its callers, wherever they are: parts of requests, of answers, and of answers that
/// callers haven't taken yet. The sum bounds the memory; the bound of a single message can't, as there may be many.
#pragma once

#include <cstddef>
#include <memory>
#include <utility>

namespace fuchsialoom
{

class byte_account
{
public:
    explicit byte_account(std::size_t most)
        : m_most(most)
    {
    }

    std::size_t total() const
    {
        return m_total;
    }

    /// Whether a holder of \p bytes has to give them up: the sum is above its bound, and \p bytes are the average share or more, so that
    /// small messages outlive large ones.
    bool isTooMuch(std::size_t bytes) const
    {
        return bytes > 0 && m_total > m_most && bytes * m_holders >= m_total;
    }

private:
    friend class held_bytes;

    std::size_t m_most;
    std::size_t m_total = 0; ///< sum over all holders
    std::size_t m_holders = 0; ///< that hold any
};

/// The share of one holder in a byte_account; returned with the end of this object. Does nothing without an account.
class held_bytes
{
public:
    explicit held_bytes(std::shared_ptr<byte_account> account = nullptr)
        : m_account(std::move(account))
    {
    }
    held_bytes(held_bytes &&other) noexcept
        : m_account(std::move(other.m_account))
        , m_bytes(std::exchange(other.m_bytes, 0))
    {
    }
    held_bytes &operator=(held_bytes &&other) noexcept
    {
        set(0);
        m_account = std::move(other.m_account);
        m_bytes = std::exchange(other.m_bytes, 0);
        return *this;
    }
    held_bytes(const held_bytes &) = delete;
    held_bytes &operator=(const held_bytes &) = delete;
    ~held_bytes()
    {
        set(0);
    }

    /// Sets the share to \p bytes. \return whether they have to be given up.
    bool set(std::size_t bytes)
    {
        if (!m_account) {
            return false;
        }
        m_account->m_holders += (bytes > 0 ? 1 : 0) - (m_bytes > 0 ? 1 : 0);
        m_account->m_total += bytes - m_bytes;
        m_bytes = bytes;
        return m_account->isTooMuch(bytes);
    }

private:
    std::shared_ptr<byte_account> m_account;
    std::size_t m_bytes = 0;
};

} // namespace fuchsialoom
