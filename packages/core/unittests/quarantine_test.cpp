/// \file
/// Accusations and quarantine.
#include "fuchsialoom/core/quarantine.h"

#include <gtest/gtest.h>

using namespace fuchsialoom;

static const content_hash poison{7};
static const target_id a{"a"};
static const target_id b{"b"};
static const instant start{seconds(1)};
static constexpr incarnation_number first{1};
static constexpr incarnation_number second{2};

TEST(quarantine, countsEachTargetProcessOnce)
{
    quarantine all{seconds(10)};
    EXPECT_FALSE(all.accuse(start, poison, a, first));
    EXPECT_FALSE(all.accuse(start, poison, a, first));
    EXPECT_FALSE(all.until(start, poison));
    EXPECT_TRUE(all.isAccused(poison));
    EXPECT_EQ(all.accuse(start, poison, a, second), start + seconds(10)) << "a restarted target is another process";
    EXPECT_FALSE(all.accuse(start + seconds(1), poison, a, second)) << "a repeat doesn't prolong a quarantine";
    EXPECT_EQ(all.until(start, poison), start + seconds(10));
    EXPECT_EQ(all.accuse(start + seconds(1), poison, b, first), start + seconds(11)) << "a third dead target does";
}

TEST(quarantine, expiresAndStartsAfresh)
{
    quarantine all{seconds(10)};
    all.accuse(start, poison, a, first);
    all.accuse(start, poison, b, first);
    EXPECT_TRUE(all.expire(start + seconds(9)).empty());
    EXPECT_EQ(all.expire(start + seconds(10)).size(), 1U);
    EXPECT_FALSE(all.until(start + seconds(10), poison));
    EXPECT_FALSE(all.isAccused(poison));
    EXPECT_FALSE(all.accuse(start + seconds(11), poison, a, first));
}

TEST(quarantine, mergesToTheLaterEnd)
{
    quarantine all{seconds(10)};
    EXPECT_TRUE(all.learn(start, poison, start + seconds(5)));
    EXPECT_FALSE(all.learn(start, poison, start + seconds(4)));
    EXPECT_TRUE(all.learn(start, poison, start + seconds(6)));
    EXPECT_EQ(all.until(start, poison), start + seconds(6));
    EXPECT_FALSE(all.learn(start, content_hash(8), start)) << "over already";
}

TEST(quarantine, aCompletedRunClearsTheAccusationButNotTheQuarantine)
{
    quarantine all{seconds(10)};
    all.accuse(start, poison, a, first);
    all.clear(poison);
    EXPECT_FALSE(all.isAccused(poison));
    EXPECT_FALSE(all.accuse(start, poison, b, first));
    all.learn(start, poison, start + seconds(5));
    all.clear(poison);
    EXPECT_TRUE(all.until(start, poison));
}

TEST(quarantine, remembersBrokenAttemptsOfAProcessUntilItsDeathIsKnown)
{
    quarantine all{seconds(10)};
    all.remember(start, {request_id("r"), poison, a, first, {}});
    all.remember(start, {request_id("cleared"), content_hash(8), a, first, {}});
    all.clear(content_hash(8));
    EXPECT_TRUE(all.takeBroken(b, first).empty());
    EXPECT_TRUE(all.takeBroken(a, second).empty());
    EXPECT_EQ(all.takeBroken(a, first).size(), 1U);
    EXPECT_TRUE(all.takeBroken(a, first).empty());
    all.remember(start, {request_id("r"), poison, a, first, {}});
    all.expire(start + seconds(60));
    EXPECT_TRUE(all.takeBroken(a, first).empty());
}

TEST(quarantine, chanceHasToBeRuledOut)
{
    quarantine all{quarantine_rules{seconds(10), seconds(60), 3, 1e-5}};
    all.accuse(start, poison, a, first, false, 0.25);
    all.accuse(start, poison, a, second, false, 0.01);
    EXPECT_FALSE(all.accuse(start, poison, b, first, false, 0.01)) << "2.5e-5";
    EXPECT_TRUE(all.accuse(start, poison, b, second, false, 0.01));
}

TEST(quarantine, oneDeathAfterAQuarantineStartsTheNextWhileTheEarlierOnesAreRemembered)
{
    quarantine all{quarantine_rules{seconds(10), seconds(60), 2, 1}};
    all.accuse(start, poison, a, first);
    all.accuse(start, poison, b, first);
    all.expire(start + seconds(10));
    EXPECT_FALSE(all.until(start + seconds(10), poison));
    EXPECT_TRUE(all.accuse(start + seconds(11), poison, a, second));
}

TEST(quarantine, memoryIsBoundedAndTheLatestAreKept)
{
    quarantine all{seconds(100000)};
    for (std::uint64_t made = 1; made <= 10000; ++made) {
        const instant now = start + milliseconds(made);
        all.accuse(now, content_hash(made), a, first);
        all.accuse(now, content_hash(made), b, first);
        all.remember(now, {request_id(std::to_string(made)), content_hash(made), a, first, {}});
    }
    EXPECT_LE(all.ends().size(), 4096U);
    EXPECT_TRUE(all.until(start + seconds(20), content_hash(10000)));
    EXPECT_LE(all.takeBroken(a, first).size(), 4096U);
}
