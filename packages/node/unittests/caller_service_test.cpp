/// \file
/// The whole request path of one node over real connections: every refusal at once, every answer whole.
#include "fuchsialoom/node/caller_service.h"

#include "../lib/caller_connection.h"
#include "../lib/caller_format.h"
#include "../lib/http_answers.h"
#include "node_rig.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <future>

using namespace fuchsialoom;
using namespace fuchsialoom::testing_rig;
using json = nlohmann::json;

static constexpr int okStatus = 200;

static std::string errorType(const httplib::Result &answer)
{
    const json body = answer ? json::parse(answer->body, nullptr, false) : json();
    return body.is_object() && body.contains("error") ? body["error"].value("type", "") : "";
}

TEST(caller_service, answersWholeAndStreamed)
{
    node_rig node;
    node.start();
    const httplib::Result whole = node.ask("r1");
    ASSERT_TRUE(whole);
    EXPECT_EQ(whole->status, okStatus);
    EXPECT_EQ(textOf(whole->body), "ab");
    const httplib::Result streamed = node.ask("r2", true);
    ASSERT_TRUE(streamed);
    EXPECT_EQ(node_rig::streamedText(streamed->body), "ab");
}

TEST(caller_service, requestsBeyondTheStreamsAreRefusedWhileTheOthersRun)
{
    process_options options;
    options.streams = 2;
    node_rig node(options);
    node.engine.onFollow = [&](const followed_stream &stream) {
        stream.write(tokenEvent(stream.id, stream.attempt, 0, "a"));
        node.engine.note("runs " + stream.request);
        node.engine.waitFor("go on");
        stream.write(finishEvent(stream.id, stream.attempt, 1));
    };
    node.start();
    auto first = std::async(std::launch::async, [&] {
        return node.ask("r1", true);
    });
    auto second = std::async(std::launch::async, [&] {
        return node.ask("r2");
    });
    ASSERT_TRUE(node.engine.waitFor("runs r1"));
    ASSERT_TRUE(node.engine.waitFor("runs r2"));
    // Answered although both streams still wait for "go on": nothing is queued for a thread.
    for (int more = 0; more < 10; ++more) {
        const httplib::Result refused = node.ask("more");
        ASSERT_TRUE(refused);
        EXPECT_EQ(refused->status, 429);
        EXPECT_EQ(errorType(refused), "overloaded");
        EXPECT_EQ(refused->get_header_value("Retry-After"), "1");
        EXPECT_EQ(json::parse(refused->body)["error"]["outcome"], "not-run");
    }
    EXPECT_EQ(node.engine.ran(), 2);
    node.engine.note("go on");
    EXPECT_EQ(node_rig::streamedText(first.get()->body), "a");
    EXPECT_EQ(textOf(second.get()->body), "a");
    // Their slots come free, shortly after the answers were read.
    const real_deadline hang = std::chrono::steady_clock::now() + hangTimeout;
    int status = 0;
    while (status != okStatus && std::chrono::steady_clock::now() < hang) {
        status = node.ask("r3")->status;
    }
    EXPECT_EQ(status, okStatus);
}

TEST(caller_service, tellsTheDedupWindowOfClaimedKeysAndOfNoOthers)
{
    node_rig node;
    node.window = [] {
        return milliseconds(86400000);
    };
    claim_verdict verdict = claim_verdict::Won;
    node.decisions.handlers().placeClaim = [&](const place_claim &action) {
        node.decisions.post(claim_decided{action.request, verdict, std::nullopt, std::nullopt, action.number});
    };
    node.start();
    const auto toldOf = [&](const char *id, const httplib::Headers &more) {
        const httplib::Result answer = node.ask(id, false, more);
        return answer ? answer->get_header_value("X-Dedup-Window-Ms") : "no answer";
    };
    EXPECT_EQ(toldOf("r1", {{"Idempotency-Key", "k"}, {"X-Repeatable", "no"}}), "86400000");
    verdict = claim_verdict::LogUnavailable;
    EXPECT_EQ(toldOf("r2", {{"Idempotency-Key", "k"}, {"X-Repeatable", "no"}}), "86400000") << "a refusal too";
    EXPECT_EQ(toldOf("r3", {{"Idempotency-Key", "k"}, {"X-Repeatable", "yes"}}), "") << "its key isn't remembered";
    EXPECT_EQ(toldOf("r4", {{"X-Repeatable", "no"}}), "");
}

TEST(caller_service, tellsNoLongerDedupWindowThanItsClaimWasPlacedWith)
{
    std::atomic<int> window{1000};
    std::atomic<int> changedTo{86400000};
    node_rig node;
    node.window = [&] {
        return milliseconds(window);
    };
    node.decisions.handlers().placeClaim = [&](const place_claim &action) {
        window = changedTo.load(); // an operator's change, just behind the claim
        node.decisions.post(claim_decided{action.request, claim_verdict::Won, std::nullopt, std::nullopt, action.number});
    };
    node.start();
    const auto told = [&](const char *id) {
        const httplib::Result answer = node.ask(id, false, {{"Idempotency-Key", id}, {"X-Repeatable", "no"}});
        return answer ? answer->get_header_value("X-Dedup-Window-Ms") : "no answer";
    };
    EXPECT_EQ(told("r1"), "1000");
    changedTo = 500;
    EXPECT_EQ(told("r2"), "500") << "one that was lowered holds at once: it may have come before the claim";
}

TEST(caller_service, aSecondRequestOfARunningIdIsRefusedAndTheFirstStaysWhole)
{
    node_rig node;
    node.engine.onFollow = [&](const followed_stream &stream) {
        stream.write(tokenEvent(stream.id, stream.attempt, 0, "a"));
        node.engine.note("runs");
        node.engine.waitFor("go on");
        stream.write(finishEvent(stream.id, stream.attempt, 1));
    };
    node.start();
    auto first = std::async(std::launch::async, [&] {
        return node.ask("same");
    });
    ASSERT_TRUE(node.engine.waitFor("runs"));
    const httplib::Result second = node.ask("same");
    ASSERT_TRUE(second);
    EXPECT_EQ(second->status, 409);
    EXPECT_EQ(errorType(second), "in-progress");
    EXPECT_TRUE(second->has_header("Retry-After"));
    node.engine.note("go on");
    EXPECT_EQ(textOf(first.get()->body), "a");
}

TEST(caller_service, requestsOfOneIdGetTheirOwnAnswersWhenTheyAreNotTheSame)
{
    node_rig node;
    std::mutex mutex;
    std::set<std::string> streams;
    node.engine.onFollow = [&](const followed_stream &stream) {
        {
            const std::lock_guard lock(mutex);
            streams.insert(stream.id);
        }
        stream.write(tokenEvent(stream.id, stream.attempt, 0, "a"));
        stream.write(finishEvent(stream.id, stream.attempt, 1));
    };
    node.start({node_rig::editOf("brand/c/service/s/model/m", setting_key::InService, "true")});
    const auto ask = [&](const char *brand, const char *body) {
        const httplib::Headers headers{{"X-Brand", brand}, {"X-Service", "s"}, {"X-Request-Id", "same"}};
        const httplib::Result answer = node.client().Post("/v1/completions", headers, body, "application/json");
        return answer && answer->status == okStatus;
    };
    // The engine keeps the first one's stream, and would hand it out again under the same name.
    EXPECT_TRUE(ask("b", R"({"model":"m","prompt":"one"})"));
    EXPECT_TRUE(ask("b", R"({"model":"m","prompt":"two"})"));
    EXPECT_TRUE(ask("c", R"({"model":"m","prompt":"one"})"));
    EXPECT_EQ(streams.size(), 3U);
    EXPECT_TRUE(ask("b", R"({"model":"m","prompt":"one"})"));
    EXPECT_EQ(streams.size(), 3U);
}

TEST(caller_service, crossedLateAndRepeatedFramesNeverReachACaller)
{
    node_rig node;
    node.engine.onFollow = [](const followed_stream &stream) {
        stream.write(finishEvent("other", stream.attempt, 0));
        stream.write(tokenEvent("other", stream.attempt, 0, "x"));
        stream.write(tokenEvent(stream.id, stream.attempt, 0, "a"));
        stream.write(tokenEvent(stream.id, stream.attempt, 0, "a"));
        stream.write(tokenEvent(stream.id, stream.attempt + 7, 1, "y"));
        stream.write(finishEvent(stream.id, stream.attempt + 7, 1));
        stream.write(finishEvent("other", stream.attempt, 1));
        stream.write(tokenEvent(stream.id, stream.attempt, 1, "b"));
        stream.write(finishEvent(stream.id, stream.attempt, 2));
    };
    node.start();
    EXPECT_EQ(node_rig::streamedText(node.ask("r1", true)->body), "ab");
    EXPECT_EQ(textOf(node.ask("r2")->body), "ab");
    EXPECT_NE(node.adminClient().Get("/metrics")->body.find("fuchsialoom_frames_dropped_total 12"), std::string::npos);
    EXPECT_NE(node.adminClient().Get("/events?subject=r1")->body.find("frame-dropped"), std::string::npos);
}

TEST(caller_service, anAnswerThatEndsEarlyIsATypedFailure)
{
    node_rig node;
    node.engine.onFollow = [](const followed_stream &stream) {
        stream.write(tokenEvent(stream.id, stream.attempt, 0, "a"));
        stream.write(finishEvent(stream.id, stream.attempt, 3));
    };
    node.start({node_rig::editOf("/", setting_key::RequestDeadlineMs, "500")});
    const httplib::Result whole = node.ask("r1");
    ASSERT_TRUE(whole);
    EXPECT_GE(whole->status, 500);
    EXPECT_NE(errorType(whole), "");
    const httplib::Result streamed = node.ask("r2", true);
    ASSERT_TRUE(streamed);
    EXPECT_FALSE(node_rig::streamedText(streamed->body));
    EXPECT_NE(streamed->body.find(R"("error")"), std::string::npos);
}

TEST(caller_service, aCallerWhoLeavesHasItsStreamCancelled)
{
    node_rig node;
    node.engine.onFollow = [&](const followed_stream &stream) {
        for (std::uint64_t offset = 0; !node.engine.noted("cancelled " + stream.request); ++offset) {
            if (!stream.write(tokenEvent(stream.id, stream.attempt, offset, "t"))) {
                return;
            }
            std::this_thread::sleep_for(milliseconds(1));
        }
    };
    node.start();
    httplib::Request request;
    request.method = "POST";
    request.path = "/v1/completions";
    request.headers = node_rig::headers("r1");
    request.body = R"({"model":"m","stream":true})";
    request.content_receiver = [](const char *, std::size_t, std::uint64_t, std::uint64_t) {
        return false;
    };
    EXPECT_FALSE(node.client().send(request));
    EXPECT_TRUE(node.engine.waitFor("cancelled r1"));
    EXPECT_TRUE(node.engine.noted("cancelled r1"));
}

TEST(caller_service, badInputIsATypedRefusalAndReachesNoTarget)
{
    node_rig node;
    node.start({node_rig::editOf("brand/b", setting_key::MaxBodyBytes, "100")});
    struct bad_input
    {
        const char *path;
        httplib::Headers headers;
        std::string body;
        int status;
        const char *type;
    };
    const httplib::Headers known = node_rig::headers("r");
    httplib::Headers many = known;
    for (int extra = 0; extra < 10; ++extra) {
        many.emplace("X-Extra-" + std::to_string(extra), std::string(2000, 'h'));
    }
    httplib::Headers lineTooLong = known;
    lineTooLong.emplace("X-Extra", std::string(10000, 'h'));
    const bad_input cases[] = {{"/v1/completions", known, "{", 400, "malformed-request"},
                               {"/v1/completions", known, std::string(101, ' '), 413, "body-too-large"},
                               {"/v1/completions", known, std::string(2000000, ' '), 413, "body-too-large"},
                               {"/v1/completions", many, "{}", 431, "headers-too-large"},
                               {"/v1/completions", lineTooLong, "{}", 400, "malformed-request"},
                               {"/v1/completions", {}, "{}", 400, "malformed-request"},
                               {"/v1/unknown", known, "{}", 404, "unknown-path"},
                               {"/services/s", known, "{}", 400, "wrong-service-kind"},
                               {"/services/unknown", known, "{}", 404, "unknown-service"}};
    for (const bad_input &one : cases) {
        const httplib::Result answer = node.client().Post(one.path, one.headers, one.body, "application/json");
        ASSERT_TRUE(answer) << one.path << ' ' << one.type;
        EXPECT_EQ(answer->status, one.status) << one.path << ' ' << answer->body;
        EXPECT_EQ(errorType(answer), one.type) << one.path << ' ' << answer->body;
    }
    const httplib::Result form = node.client().Post("/v1/completions", known, httplib::MultipartFormDataItems{{"a", "b", "", ""}});
    ASSERT_TRUE(form);
    EXPECT_EQ(errorType(form), "malformed-request");
    EXPECT_EQ(node.engine.ran(), 0);
}

TEST(caller_service, aDrainRefusesNewRequestsAndLetsRunningOnesEndWhole)
{
    node_rig node;
    node.engine.onFollow = [&](const followed_stream &stream) {
        stream.write(tokenEvent(stream.id, stream.attempt, 0, "a"));
        node.engine.note("runs");
        node.engine.waitFor("go on");
        stream.write(tokenEvent(stream.id, stream.attempt, 1, "b"));
        stream.write(finishEvent(stream.id, stream.attempt, 2));
    };
    node.start();
    EXPECT_EQ(node.adminClient().Get("/readyz")->status, okStatus);
    auto running = std::async(std::launch::async, [&] {
        return node.ask("r1", true);
    });
    ASSERT_TRUE(node.engine.waitFor("runs"));
    node.decisions.post(drain_started{});
    const httplib::Result refused = node.ask("r2");
    ASSERT_TRUE(refused);
    EXPECT_EQ(refused->status, 503);
    EXPECT_EQ(errorType(refused), "draining");
    EXPECT_TRUE(refused->has_header("Retry-After"));
    EXPECT_EQ(node.adminClient().Get("/readyz")->status, 503);
    EXPECT_EQ(node.adminClient().Get("/healthz")->status, okStatus);
    node.engine.note("go on");
    EXPECT_EQ(node_rig::streamedText(running.get()->body), "ab");
}

TEST(caller_service, noticesThatACallerClosedItsConnection)
{
    httplib::Server server;
    listenAlone(server);
    std::promise<bool> wasConnected;
    std::promise<bool> isConnected;
    server.Get("/", [&](const httplib::Request &from, httplib::Response &) {
        caller_connection connection(from);
        wasConnected.set_value(connection.connected());
        const real_deadline hang = std::chrono::steady_clock::now() + hangTimeout;
        while (connection.connected() && std::chrono::steady_clock::now() < hang) {
            std::this_thread::sleep_for(milliseconds(1));
        }
        isConnected.set_value(connection.connected());
    });
    const std::optional<std::uint16_t> port = bindServer(server, "127.0.0.1", 0);
    ASSERT_TRUE(port);
    const std::jthread listener = serveBound(server);
    httplib::Client client("127.0.0.1", *port);
    std::thread asker([&] {
        client.Get("/");
    });
    EXPECT_TRUE(wasConnected.get_future().get());
    client.stop();
    asker.join();
    EXPECT_FALSE(isConnected.get_future().get());
    server.stop();
}

TEST(http_answers, retryAfterIsWholeSecondsRoundedUpAndExactInTheBody)
{
    httplib::Response to;
    answerFailure(to, failure{error_kind::Overloaded, "busy", outcome::NotRun, milliseconds(1001)}, request_id("r"));
    EXPECT_EQ(to.status, 429);
    EXPECT_EQ(to.get_header_value("Retry-After"), "2");
    EXPECT_EQ(json::parse(to.body)["error"]["retry_after_ms"], 1001);
}

TEST(http_answers, inputThatIsNoTextDoesNotBreakTheAnswer)
{
    EXPECT_NO_THROW(
        errorBody(failure{error_kind::UnknownBrand, "brand '\xff\xfe' is unknown", outcome::NotRun, std::nullopt}, request_id("\xff")));
}

TEST(caller_format, theTextOfAWholeAnswerComesBack)
{
    const std::string text = "line\nquote\" \xc3\xa9";
    EXPECT_EQ(textOf(wholeAnswerOf(request_id("r"), completion_form::Chat, text).body), text);
    EXPECT_EQ(textOf(wholeAnswerOf(request_id("r"), completion_form::Text, text).body), text);
    EXPECT_EQ(textOf("[1]"), std::nullopt);
    EXPECT_EQ(textOf("{\"choices\":[]}"), std::nullopt);
}
