/// \file
/// Counts the bytes that a process holds for its clients, wherever they are: parts of requests, of answers, and of answers that
/// clients haven't taken yet. The sum bounds the memory; the bound of a single message can't, as there may be many.
#pragma once

#include "fuchsialoom/support/time.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace fuchsialoom
{

class held_bytes;

/// While the sum is above its bound, holders have to give way: the one with the largest product of bytes and time first, so that a
/// client that keeps little, or keeps it briefly, outlives one that keeps much for long. It doesn't matter whether the holder that
/// has to give way is the one that grows. The only one that can stays while the others are within the bound, so a large message is
/// served in calm, and the sum is at most one message above the bound and the shares. Not thread-safe.
class byte_account
{
public:
    /// \p most: bound of the sum, bytes. \p share: a holder of no more never has to give way, bytes.
    explicit byte_account(std::size_t most, std::size_t share = 0)
        : m_most(most)
        , m_share(share)
    {
    }

    /// Sum over all holders, bytes.
    std::size_t total() const
    {
        return m_total;
    }

private:
    friend class held_bytes;

    /// Asks holders to give way until the rest is within the bound, or none is left that has to.
    void relieve();

    std::size_t m_most;
    std::size_t m_share;
    std::size_t m_total = 0; ///< sum over all holders
    std::size_t m_leaving = 0; ///< part of it, of holders that were asked to give way
    std::vector<held_bytes *> m_yielding; ///< holders of more than a share that can give way and weren't asked to
};

/// The share of one holder in a byte_account; returned with the end of this object. Does nothing without an account.
class held_bytes
{
public:
    /// \p giveWay: called once when this holder has to give up its bytes, from within set() of any holder; empty: it can't. The bytes may
    /// be given up later; that is needless once they were set to 0.
    explicit held_bytes(std::shared_ptr<byte_account> account = nullptr, std::function<void()> giveWay = {});
    held_bytes(held_bytes &&other) noexcept;
    held_bytes &operator=(held_bytes &&other) noexcept;
    held_bytes(const held_bytes &) = delete;
    held_bytes &operator=(const held_bytes &) = delete;
    ~held_bytes();

    /// Sets the share to \p bytes. 0 ends the duty to give way.
    void set(std::size_t bytes);

    std::size_t bytes() const
    {
        return m_bytes;
    }

    /// From now on this holder can't give way.
    void stopYielding();

    /// Whether the bytes have to be given up.
    bool mustGiveWay() const
    {
        return m_mustGiveWay;
    }

private:
    friend class byte_account;

    void enlist();
    void delist();
    void update();
    void takeFrom(held_bytes &other);

    std::shared_ptr<byte_account> m_account;
    std::function<void()> m_giveWay;
    std::size_t m_bytes = 0;
    instant m_heldSince{}; ///< when m_bytes rose above 0
    std::size_t m_place = 0; ///< in byte_account::m_yielding
    bool m_isEnlisted = false;
    bool m_mustGiveWay = false; ///< then m_bytes are part of byte_account::m_leaving
};

/// The memory that \p text keeps, bytes: its size, or half of what it has allocated if that is more, as a buffer that grows allocates up
/// to twice its size.
std::size_t keptBytes(const std::string &text);

/// Empties \p text and frees its memory, which neither clear() nor an assignment does.
void freeMemory(std::string &text);

} // namespace fuchsialoom
