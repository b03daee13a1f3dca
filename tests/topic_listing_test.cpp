/// \file
/// Tests listings of a topic that span several pages.
#include "fake_store.h"
#include "fuchsialoom/platform/topic_follower.h"

#include <gtest/gtest.h>

#include <chrono>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace fuchsialoom
{

namespace
{

constexpr const char *topic = "keyed.servers";
constexpr std::chrono::seconds timeout{5};

class topic_listing_test : public testing::Test
{
protected:
    topic_listing_test()
    {
        follower_events events;
        events.onValue = [this](const std::string &key, const std::string &value, std::uint64_t) {
            m_values[key] = value;
        };
        events.onDropped = [this](const std::string &key) {
            m_values.erase(key);
        };
        events.onListed = [this](const std::set<std::string> &keys) {
            m_listedKeys = keys;
        };
        events.onLost = [](store_outcome) {};
        events.onRegained = [] {};
        m_follower = std::make_unique<topic_follower>(loop_timer(m_loop), m_client, follower_options{topic}, std::move(events));
    }

    void put(int key, const std::string &value)
    {
        m_store.put(topic, "i-" + std::to_string(key), value);
    }

    template<typename Condition>
    bool runUntil(Condition condition)
    {
        const instant deadline = loopNow() + timeout;
        while (!condition() && loopNow() < deadline) {
            m_loop.run_one_for(milliseconds(10));
        }
        return condition();
    }

    asio::io_context m_loop;
    fake_store m_store{m_loop};
    store_client m_client{m_loop, m_store.address()};
    std::map<std::string, std::string> m_values;
    std::set<std::string> m_listedKeys;
    std::unique_ptr<topic_follower> m_follower;
};

} // namespace

/// Guards against a listing that restarts at the first page after each failure and so never completes.
TEST_F(topic_listing_test, completesThoughEverySecondPageFails)
{
    static constexpr int keyCount = 3000;
    for (int key = 0; key < keyCount; ++key) {
        put(key, "first");
    }
    m_store.refuseEverySecondPage();
    m_follower->start();
    EXPECT_TRUE(runUntil([this] {
        return m_follower->isListed();
    }));
    EXPECT_EQ(m_listedKeys.size(), std::size_t{keyCount});
}

/// Guards against missed changes to keys on pages that were read before a later page failed.
TEST_F(topic_listing_test, reportsChangesToKeysOnEarlierPages)
{
    static constexpr int keyCount = 1200;
    for (int key = 0; key < keyCount; ++key) {
        put(key, "first");
    }
    m_store.refuseEverySecondPage();
    m_follower->start();
    ASSERT_TRUE(runUntil([this] {
        return !m_values.empty();
    }));
    ASSERT_FALSE(m_follower->isListed());
    put(0, "second");
    put(1, "");
    EXPECT_TRUE(runUntil([this] {
        return m_values["i-0"] == "second" && !m_values.contains("i-1");
    }));
    EXPECT_EQ(m_values.size(), std::size_t{keyCount - 1});
}

} // namespace fuchsialoom
