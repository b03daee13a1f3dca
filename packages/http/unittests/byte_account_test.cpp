/// \file
/// The account of what is held for clients: its sum is bounded whatever holders do, and small holders are left alone.
#include "fuchsialoom/http/byte_account.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace fuchsialoom
{

namespace
{

constexpr std::size_t most = 1000;
constexpr std::size_t share = 10;

/// Holders that give way at once, each with the bytes that it was last asked to hold.
class holders
{
public:
    std::size_t add(bool gives)
    {
        const std::size_t number = m_all.size();
        m_all.emplace_back(m_account,
                           gives ? std::function<void()>([this, number] {
                               m_asked.push_back(number);
                           })
                                 : std::function<void()>());
        return number;
    }

    /// \return whether a holder of no more than a share was asked to give way.
    bool set(std::size_t number, std::size_t bytes)
    {
        m_all[number].set(bytes);
        bool wasSmallAsked = false;
        for (const std::size_t asked : std::exchange(m_asked, {})) {
            wasSmallAsked = wasSmallAsked || m_all[asked].bytes() <= share;
            m_all[asked].set(0);
        }
        return wasSmallAsked;
    }

    held_bytes &at(std::size_t number)
    {
        return m_all[number];
    }
    std::size_t count() const
    {
        return m_all.size();
    }
    std::size_t total() const
    {
        return m_account->total();
    }

private:
    std::shared_ptr<byte_account> m_account = std::make_shared<byte_account>(most, share);
    std::vector<held_bytes> m_all;
    std::vector<std::size_t> m_asked;
};

} // namespace

/// Guards against holders that stand still and are never asked, while others grow.
TEST(byte_account, holdersThatStandStillGiveWayToThoseThatGrow)
{
    holders all;
    for (std::size_t number = 0; number < 100; ++number) {
        // Each a little less than the one before.
        all.set(all.add(true), 400 - number);
        EXPECT_LE(all.total(), most);
    }
}

TEST(byte_account, aSingleHolderIsNeverAsked)
{
    holders all;
    all.set(all.add(true), 5 * most);
    EXPECT_EQ(all.total(), 5 * most);
    all.set(all.add(true), most / 2);
    EXPECT_EQ(all.total(), most / 2) << "the larger one gives way to a second one";
}

/// Guards against requests that come one by one and are sent on, which then can't give way, until the memory is full.
TEST(byte_account, holdersThatComeOneByOneAndStopYieldingDontFillTheMemory)
{
    holders all;
    for (std::size_t number = 0; number < 50; ++number) {
        const std::size_t added = all.add(true);
        all.set(added, 200);
        all.at(added).stopYielding();
    }
    EXPECT_LE(all.total(), most + 200);
}

TEST(byte_account, aHolderThatCantGiveWayAnyMoreIsntWaitedFor)
{
    const auto account = std::make_shared<byte_account>(most, share);
    held_bytes large(account, [] {});
    held_bytes second(account, [] {});
    held_bytes third(account, [] {});
    large.set(900);
    second.set(300);
    EXPECT_TRUE(large.mustGiveWay());
    EXPECT_FALSE(second.mustGiveWay());
    large.stopYielding();
    EXPECT_FALSE(large.mustGiveWay());
    third.set(20);
    EXPECT_TRUE(second.mustGiveWay());
}

TEST(byte_account, aHolderThatMovesIsStillAsked)
{
    const auto account = std::make_shared<byte_account>(most, share);
    bool isAsked = false;
    held_bytes before(account, [&isAsked] {
        isAsked = true;
    });
    before.set(900);
    held_bytes after = std::move(before);
    held_bytes other(account, [] {});
    other.set(200);
    EXPECT_TRUE(isAsked);
    EXPECT_TRUE(after.mustGiveWay());
}

TEST(byte_account, freedTextKeepsNoMemory)
{
    std::string text(5000, 'a');
    EXPECT_EQ(keptBytes(text), 5000U);
    text.clear();
    EXPECT_GE(keptBytes(text), 2500U);
    freeMemory(text);
    EXPECT_EQ(keptBytes(text), 0U);
}

RC_GTEST_PROP(byte_account, theSumIsBoundedAndSmallHoldersAreLeftAlone, ())
{
    holders all;
    const auto steps = *rc::gen::container<std::vector<std::pair<std::size_t, std::size_t>>>(
        rc::gen::pair(rc::gen::inRange<std::size_t>(0, 60), rc::gen::inRange<std::size_t>(0, 400)));
    for (const auto &[number, bytes] : steps) {
        while (all.count() <= number) {
            all.add(true);
        }
        RC_ASSERT(!all.set(number, bytes));
        std::size_t small = 0;
        std::size_t largest = 0;
        std::size_t large = 0;
        for (std::size_t one = 0; one < all.count(); ++one) {
            const std::size_t held = all.at(one).bytes();
            small += held <= share ? held : 0;
            large += held > share ? 1 : 0;
            largest = std::max(largest, held);
        }
        // Only small ones, which are bounded by their number, or a single large one may be above the bound.
        RC_ASSERT(all.total() <= most || large <= 1);
        RC_ASSERT(all.total() <= most + small + largest);
    }
}

} // namespace fuchsialoom
