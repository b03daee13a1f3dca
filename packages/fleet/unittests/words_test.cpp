/// \file
/// Digests come through whole, and bytes that are none are dropped.
#include "fuchsialoom/fleet/words.h"

#include <gtest/gtest.h>

#include <random>

namespace fuchsialoom
{

static peer_digest fullDigest()
{
    peer_digest digest;
    digest.origin = {vm_id("vm-1"), 1764700000000000, 7};
    digest.request = relay_request::Relay;
    digest.vms = 24;
    digest.due = milliseconds(280);
    digest.configVersion = 12;
    digest.leaving = true;
    digest.holder = holder_word{40, milliseconds(2400)};
    digest.renounced = renounced_fence{39, milliseconds(1200)};
    digest.flights = {{target_id("e1"), {3, 800}}, {target_id("e2"), {1, 0}}};
    digest.demand = {{model_id("m"), {}, 100, 2, 3}, {model_id("m"), adapter_id("a1"), 0, 0, 1}};
    digest.wants = {{service_id("s"), model_id("m"), adapter_id("a2")}};
    digest.news = {{target_id("e1"), model_id("m"), adapter_id("a3"), false}};
    digest.relays = {{"10.0.0.1", 7380}};
    return digest;
}

static member_word fullMemberWord()
{
    member_word told;
    told.word.origin = {vm_id("vm-4"), 3, 8};
    told.word.isWhole = true;
    told.word.due = milliseconds(300);
    told.word.liveVms = 295;
    told.word.configVersion = 12;
    told.word.holder = holder_word{40, milliseconds(0)};
    told.word.news = {{target_id("e1"), model_id("m"), {}, true}};
    told.word.relays = {vm_id("vm-4"), vm_id("vm-5")};
    told.word.flights = {{target_id("e1"), {12, 9000}}};
    told.yours = {{target_id("e1"), {2, 600}}};
    return told;
}

static std::string encodeMember(const member_word &told)
{
    return encodeMemberWord(encodeRelayWord(told.word), told.yours);
}

TEST(words, comeThroughWhole)
{
    const peer_digest digest = fullDigest();
    EXPECT_EQ(decodeDatagram(encodeDigest(digest)), peer_datagram(digest));
    peer_digest plain;
    plain.origin.vm = vm_id("vm-2");
    EXPECT_EQ(decodeDatagram(encodeDigest(plain)), peer_datagram(plain));
    const flight_note note{{vm_id("vm-3"), 5, 9},
                           {{target_id("e1"), {0, 0}}, {target_id("e2"), {4, 1800}}},
                           {{service_id("s"), model_id("m"), adapter_id("a2")}},
                           {{target_id("e1"), model_id("m"), adapter_id("a3"), false}}};
    EXPECT_EQ(decodeDatagram(encodeNote(note)), peer_datagram(note));
    const member_word told = fullMemberWord();
    EXPECT_EQ(decodeDatagram(encodeMember(told)), peer_datagram(told));
}

TEST(words, timesAndCountsAreBounded)
{
    peer_digest digest = fullDigest();
    digest.due = std::chrono::hours(1000000);
    digest.holder = holder_word{40, milliseconds(-5)};
    digest.flights = {{target_id("e1"), {4000000000U, 4000000000U}}};
    const auto decoded = decodeDatagram(encodeDigest(digest));
    ASSERT_TRUE(decoded);
    const auto &read = std::get<peer_digest>(*decoded);
    EXPECT_LE(read.due, std::chrono::minutes(1));
    EXPECT_GE(read.holder->wait, milliseconds(0));
    EXPECT_LE(read.flights.begin()->second.requests, 1000000U);
    EXPECT_LE(read.flights.begin()->second.unreadTokens, 100000000U);
}

TEST(words, deepNestingIsDropped)
{
    const std::string nested(60000, '\x81');
    EXPECT_FALSE(decodeDatagram(nested));
    const std::string objects(60000, '\xa1');
    EXPECT_FALSE(decodeDatagram(objects));
}

TEST(words, anyOtherBytesAreDropped)
{
    EXPECT_FALSE(decodeDatagram(""));
    EXPECT_FALSE(decodeDatagram("hello"));
    for (const std::string &whole : {encodeDigest(fullDigest()), encodeMember(fullMemberWord())}) {
        for (std::size_t size = 0; size < whole.size(); ++size) {
            EXPECT_FALSE(decodeDatagram(std::string_view(whole).substr(0, size)));
        }
        std::mt19937 random(20261202);
        for (int round = 0; round < 10000; ++round) {
            std::string bytes = whole;
            bytes[random() % bytes.size()] = static_cast<char>(random());
            decodeDatagram(bytes);
        }
    }
}

} // namespace fuchsialoom
