/// \file
/// Chooses the holders that have to give way.
#include "fuchsialoom/http/byte_account.h"

#include "fuchsialoom/http/http_link.h"

#include <algorithm>
#include <utility>

namespace fuchsialoom
{

/// Added to the time for which bytes are held, so that new holders differ by their size.
static constexpr milliseconds leastAge{1};

void byte_account::relieve()
{
    const instant now = loopNow();
    const auto weightOf = [now](const held_bytes *holder) {
        return static_cast<double>(holder->m_bytes) * static_cast<double>((now - holder->m_heldSince + leastAge).count());
    };
    while (m_total - m_leaving > m_most && !m_yielding.empty()) {
        held_bytes &chosen =
            **std::max_element(m_yielding.begin(), m_yielding.end(), [&weightOf](const held_bytes *left, const held_bytes *right) {
                return weightOf(left) < weightOf(right);
            });
        const bool isAlone = m_yielding.size() == 1 && m_total - m_leaving - chosen.m_bytes <= m_most;
        if (isAlone) {
            return;
        }
        chosen.delist();
        chosen.m_mustGiveWay = true;
        m_leaving += chosen.m_bytes;
        chosen.m_giveWay();
    }
}

held_bytes::held_bytes(std::shared_ptr<byte_account> account, std::function<void()> giveWay)
    : m_account(std::move(account))
    , m_giveWay(std::move(giveWay))
{
}

held_bytes::held_bytes(held_bytes &&other) noexcept
{
    takeFrom(other);
}

held_bytes &held_bytes::operator=(held_bytes &&other) noexcept
{
    if (this != &other) {
        set(0);
        takeFrom(other);
    }
    return *this;
}

held_bytes::~held_bytes()
{
    set(0);
}

void held_bytes::takeFrom(held_bytes &other)
{
    const bool wasEnlisted = other.m_isEnlisted;
    other.delist();
    m_account = std::move(other.m_account);
    m_giveWay = std::move(other.m_giveWay);
    m_bytes = std::exchange(other.m_bytes, 0);
    m_heldSince = other.m_heldSince;
    m_mustGiveWay = std::exchange(other.m_mustGiveWay, false);
    if (wasEnlisted) {
        enlist();
    }
}

void held_bytes::enlist()
{
    m_isEnlisted = true;
    m_place = m_account->m_yielding.size();
    m_account->m_yielding.push_back(this);
}

void held_bytes::delist()
{
    if (!std::exchange(m_isEnlisted, false)) {
        return;
    }
    std::vector<held_bytes *> &all = m_account->m_yielding;
    all[m_place] = all.back();
    all[m_place]->m_place = m_place;
    all.pop_back();
}

void held_bytes::set(std::size_t bytes)
{
    if (!m_account || bytes == m_bytes) {
        return;
    }
    if (m_bytes == 0) {
        m_heldSince = loopNow();
    }
    const bool hasGrown = bytes > m_bytes;
    m_account->m_total += bytes - m_bytes;
    m_account->m_leaving += m_mustGiveWay ? bytes - m_bytes : 0;
    m_bytes = bytes;
    if (bytes == 0) {
        m_mustGiveWay = false;
    }
    update();
    if (hasGrown) {
        m_account->relieve();
    }
}

void held_bytes::update()
{
    const bool mayYield = m_giveWay && !m_mustGiveWay && m_bytes > m_account->m_share;
    if (mayYield && !m_isEnlisted) {
        enlist();
    } else if (!mayYield) {
        delist();
    }
}

void held_bytes::stopYielding()
{
    if (!m_account) {
        return;
    }
    m_giveWay = {};
    if (std::exchange(m_mustGiveWay, false)) {
        m_account->m_leaving -= m_bytes;
    }
    update();
}

std::size_t keptBytes(const std::string &text)
{
    static const std::size_t inPlace = std::string().capacity();
    return text.capacity() > inPlace ? std::max(text.size(), text.capacity() / 2) : 0;
}

void freeMemory(std::string &text)
{
    std::string().swap(text);
}

} // namespace fuchsialoom
