/// \file
/// Messages survive encoding and decoding, and invalid datagrams are rejected.
#include "fuchsialoom/fleet/messages.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <random>

namespace fuchsialoom
{

static peer_digest sampleDigest()
{
    peer_digest digest;
    digest.origin = {vm_id("vm-1"), 1764700000000000, 7};
    digest.request = relay_request::Relay;
    digest.vms = 24;
    digest.nextWithin = milliseconds(280);
    digest.configVersion = 12;
    digest.leaving = true;
    digest.holder = holder_announcement{40, milliseconds(2400)};
    digest.renounced = renounced_fence{39, milliseconds(1200)};
    digest.inFlight = {{target_id("e1"), {3, 800}}, {target_id("e2"), {1, 0}}};
    digest.demand = {{model_id("m"), {}, 100, 2, 3}, {model_id("m"), adapter_id("a1"), 0, 0, 1}};
    digest.adapterRequests = {{service_id("s"), model_id("m"), adapter_id("a2")}};
    digest.residencyChanges = {{target_id("e1"), model_id("m"), adapter_id("a3"), false}};
    digest.relays = {{"10.0.0.1", 7380}};
    digest.spending = {{team_id("t1"), 123456789012}, {team_id("t2"), -5}};
    digest.crashes = {{{content_hash(0xfedcba9876543210), target_id("e1"), true, milliseconds(1500)}},
                      {{content_hash(9), milliseconds(600000)}}};
    digest.withoutPath = {vm_key(vm_id("vm-4")), vm_key(0xfffffffe)};
    digest.brittle = {service_id("s")};
    return digest;
}

static member_update sampleMemberUpdate()
{
    member_update update;
    update.message.origin = {vm_id("vm-4"), 3, 8};
    update.message.isFull = true;
    update.message.nextWithin = milliseconds(300);
    update.message.liveVms = 295;
    update.message.configVersion = 12;
    update.message.holder = holder_announcement{40, milliseconds(0)};
    update.message.residencyChanges = {{target_id("e1"), model_id("m"), {}, true}};
    update.message.relays = {vm_id("vm-4"), vm_id("vm-5")};
    update.message.inFlight = {{target_id("e1"), {12, 9000}}};
    update.message.balances = {{team_id("t1"), -4200}, {team_id("t2"), 17}};
    update.message.reach = 0.75;
    update.message.crashes = {{{content_hash(8), target_id("e2"), false, milliseconds(0)}}, {}};
    update.message.withoutPath = {vm_key(7)};
    update.message.brittle = {service_id("s"), service_id("t")};
    update.receiver.inFlight = {{target_id("e1"), {2, 600}}};
    update.receiver.spending = {{team_id("t1"), 900}};
    return update;
}

static std::string encodeSample(const member_update &update)
{
    return encodeMemberUpdate(encodeRelayUpdate(update.message), update.receiver);
}

TEST(messages, roundTrip)
{
    const peer_digest digest = sampleDigest();
    EXPECT_EQ(decodeDatagram(encodeDigest(digest)), peer_datagram(digest));
    peer_digest plain;
    plain.origin.vm = vm_id("vm-2");
    EXPECT_EQ(decodeDatagram(encodeDigest(plain)), peer_datagram(plain));
    const delta_message delta{{vm_id("vm-3"), 5, 9},
                              {{target_id("e1"), {0, 0}}, {target_id("e2"), {4, 1800}}},
                              {{service_id("s"), model_id("m"), adapter_id("a2")}},
                              {{target_id("e1"), model_id("m"), adapter_id("a3"), false}},
                              {{team_id("t1"), 12}},
                              {{{content_hash(8), target_id("e2"), false, milliseconds(0), true}},
                               {},
                               {{service_id("s"), content_hash(8), 0xfedcba9876543210, true, milliseconds(30)}}}};
    EXPECT_EQ(decodeDatagram(encodeDelta(delta)), peer_datagram(delta));
    const member_update update = sampleMemberUpdate();
    EXPECT_EQ(decodeDatagram(encodeSample(update)), peer_datagram(update));
}

TEST(messages, timesAndCountsAreBounded)
{
    peer_digest digest = sampleDigest();
    digest.nextWithin = std::chrono::hours(1000000);
    digest.holder = holder_announcement{40, milliseconds(-5)};
    digest.inFlight = {{target_id("e1"), {4000000000U, 4000000000U}}};
    digest.crashes = {{{content_hash(1), target_id("e1"), false, milliseconds(-5)}}, {{content_hash(9), std::chrono::hours(1000000)}}};
    const auto decoded = decodeDatagram(encodeDigest(digest));
    ASSERT_TRUE(decoded);
    const auto &read = std::get<peer_digest>(*decoded);
    EXPECT_LE(read.nextWithin, std::chrono::minutes(1));
    EXPECT_GE(read.holder->wait, milliseconds(0));
    EXPECT_LE(read.inFlight.begin()->second.requests, 1000000U);
    EXPECT_LE(read.inFlight.begin()->second.unreadTokens, 100000000U);
    EXPECT_GE(read.crashes.reports.front().age, milliseconds(0));
    EXPECT_LE(read.crashes.quarantines.front().left, std::chrono::hours(24));
}

TEST(messages, crashReportsCarryPartsOfPrompts)
{
    peer_digest digest = sampleDigest();
    crash_report accused{content_hash(1), target_id("e1"), false, milliseconds(5), true};
    accused.parts = {content_hash(7), content_hash(8)};
    crash_report acquitted{content_hash(7), target_id("e1"), true, milliseconds(5)};
    acquitted.isPart = true;
    digest.crashes.reports = {accused, acquitted};
    EXPECT_EQ(decodeDatagram(encodeDigest(digest)), peer_datagram(digest));
}

/// VMs of a release without trials send shorter reports, and no list of claims.
TEST(messages, crashNewsOfEarlierReleasesAreRead)
{
    peer_digest digest = sampleDigest();
    digest.crashes = {{{content_hash(1), target_id("e1"), false, milliseconds(5), true}}, {{content_hash(9), milliseconds(50)}}, {}};
    nlohmann::json fields = nlohmann::json::from_cbor(encodeDigest(digest));
    nlohmann::json &crashes = fields.at(fields.size() - 3);
    ASSERT_EQ(crashes.size(), 3U);
    crashes.erase(2);
    ASSERT_EQ(crashes.at(0).at(0).size(), 5U);
    crashes.at(0).at(0).erase(4);
    const std::vector<std::uint8_t> bytes = nlohmann::json::to_cbor(fields);
    const auto decoded = decodeDatagram(std::string_view(reinterpret_cast<const char *>(bytes.data()), bytes.size()));
    ASSERT_TRUE(decoded);
    digest.crashes.reports.front().isTrial = false;
    EXPECT_EQ(*decoded, peer_datagram(digest));
}

/// VMs of a release without quotas, crash news, or reports of paths and of brittle targets send arrays that end earlier, and read longer
/// ones.
TEST(messages, fieldsOfLaterReleasesMayBeMissing)
{
    peer_digest digest = sampleDigest();
    nlohmann::json fields = nlohmann::json::from_cbor(encodeDigest(digest));
    const auto dropLastField = [&fields] {
        fields.erase(fields.size() - 1);
        std::string bytes;
        nlohmann::json::to_cbor(fields, nlohmann::detail::output_adapter<char>(bytes));
        return bytes;
    };
    digest.brittle.clear();
    EXPECT_EQ(decodeDatagram(dropLastField()), peer_datagram(digest));
    digest.withoutPath.clear();
    EXPECT_EQ(decodeDatagram(dropLastField()), peer_datagram(digest));
    digest.crashes = {};
    EXPECT_EQ(decodeDatagram(dropLastField()), peer_datagram(digest));
    digest.spending.clear();
    EXPECT_EQ(decodeDatagram(dropLastField()), peer_datagram(digest));
}

TEST(messages, deepNestingIsDropped)
{
    const std::string nested(60000, '\x81');
    EXPECT_FALSE(decodeDatagram(nested));
    const std::string objects(60000, '\xa1');
    EXPECT_FALSE(decodeDatagram(objects));
}

TEST(messages, invalidBytesAreRejected)
{
    EXPECT_FALSE(decodeDatagram(""));
    EXPECT_FALSE(decodeDatagram("hello"));
    for (const std::string &whole : {encodeDigest(sampleDigest()), encodeSample(sampleMemberUpdate())}) {
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
