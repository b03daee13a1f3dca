/// \file
/// Tests of the gateway with a caller and a target on loopback: deadlines are checked at the time of the send. The tests
/// let time pass while the event loop is blocked, as on a VM that gets no CPU time.
#include "fuchsialoom/gateway/gateway.h"
#include "fuchsialoom/http/caller_link.h"

#include <gtest/gtest.h>

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace fuchsialoom
{

namespace
{

/// X-Id carries the request id in requests and answers; X-Not-Run states that the target didn't run the request.
struct plain_dialect
{
    static request_facts readRequest(const received_request &request)
    {
        const std::string *id = request.headers.find("X-Id");
        request_facts facts;
        facts.id = request_id(id ? *id : std::string());
        return facts;
    }
    static credential readCredential(const received_request &request)
    {
        const std::string *key = request.headers.find("X-Key");
        return key ? credential{key_problem::None, sha256Of(*key)} : credential{key_problem::Missing, {}};
    }
    static answer_facts readAnswer(const answer_head &head, const target_id &)
    {
        const std::string *id = head.headers.find("X-Id");
        answer_facts facts;
        facts.answers = request_id(id ? *id : std::string());
        facts.notRun = head.headers.find("X-Not-Run") != nullptr;
        facts.signedByTarget = true;
        return facts;
    }
    static void writeAttempt(header_list &, const attempt_facts &)
    {
    }
    static void writeRetryAfter(header_list &headers, milliseconds after)
    {
        headers.add("X-Retry-After-Ms", std::to_string(after.count()));
    }
    static void writeChallenge(header_list &headers, key_problem problem)
    {
        headers.add("X-Challenge", std::string(nameOf(problem)));
    }
};

constexpr const char *refusedAnswer = "HTTP/1.1 503 ";
/// Longer than any delivery on loopback takes.
constexpr milliseconds deliveryTime{150};

class gateway_test : public testing::Test
{
protected:
    gateway_test()
        : m_null(::open("/dev/null", O_WRONLY | O_CLOEXEC))
        , m_log(m_null, "vm")
        , m_gateway(m_loop, optionsOfTest(), callsOf<plain_dialect>(), m_log, m_metrics)
        , m_target(m_loop, {asio::ip::address_v4::loopback(), 0}, targetEvents())
        , m_callers(m_loop, {asio::ip::address_v4::loopback(), 0}, callerEvents())
        , m_caller(m_loop)
    {
        m_target.start(100);
        m_callers.start(100);
        m_caller.connect(m_callers.address());
    }

    ~gateway_test() override
    {
        // Open requests keep references to the gateway until their caller disconnects.
        asio::error_code ignored;
        m_caller.close(ignored);
        runUntil([this] {
            return m_gateway.openRequests() == 0;
        });
        ::close(m_null);
    }

    static gateway_options optionsOfTest()
    {
        gateway_options options;
        options.vm = vm_id("vm");
        options.domain = domain_id("d");
        options.retries = {1.0, milliseconds(10000), 100.0};
        return options;
    }

    caller_events targetEvents()
    {
        caller_events made;
        made.onRequest = [this](const std::shared_ptr<caller_link> &link, const received_request &) {
            m_atTarget.push_back(link);
        };
        made.limits = [this]() -> const caller_limits & {
            return m_gateway.limits();
        };
        return made;
    }

    caller_events callerEvents()
    {
        caller_events made;
        made.onRequest = [this](const std::shared_ptr<caller_link> &link, received_request request) {
            m_submitted += 1;
            m_gateway.submit(link, std::move(request));
        };
        made.limits = [this]() -> const caller_limits & {
            return m_gateway.limits();
        };
        return made;
    }

    /// Configures one route to one plain service.
    void configure(milliseconds objective, milliseconds timeout, std::uint64_t version = 1, const std::string &service = "s")
    {
        route made;
        made.name = "r";
        made.host = "h";
        made.prefix = "/";
        made.kind = request_kind::NonIdempotent;
        made.services = {{service_id(service), 1}};
        made.objective = objective;
        made.timeout = timeout;
        made.attempts = 2;
        gateway_configuration configuration;
        configuration.version = version;
        configuration.routes = {made};
        configuration.services[service_id(service)] = {};
        m_gateway.configure(std::move(configuration));
    }

    /// Adds a target, as the platform's target directory does.
    void list(const std::string &id, const std::string &service = "s")
    {
        target_listing target;
        target.id = target_id(id);
        target.service = service_id(service);
        target.address = {m_target.address().address().to_string(), m_target.address().port()};
        target.domain = domain_id("d");
        m_gateway.pool().list(loopNow(), target);
        m_gateway.dispatchQueued();
    }

    void runFor(milliseconds length)
    {
        m_loop.restart();
        m_loop.run_for(length);
    }

    template<typename Condition>
    void runUntil(Condition holds)
    {
        static constexpr int maxTurns = 1000;
        for (int turn = 0; turn < maxTurns && !holds(); ++turn) {
            m_loop.restart();
            m_loop.run_one_for(milliseconds(10));
        }
    }

    /// Sends a request and returns once the gateway has received it.
    void sendRequest()
    {
        asio::write(m_caller, asio::buffer(std::string("POST /a HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\nContent-Length: 0\r\n\r\n")));
        runUntil([this] {
            return m_submitted > 0;
        });
    }

    static void passTime(milliseconds length)
    {
        std::this_thread::sleep_for(length);
    }

    /// Waits for the first bytes sent to the caller and returns them.
    std::string answer()
    {
        std::string text;
        m_caller.non_blocking(true);
        runUntil([this, &text] {
            std::array<char, 4096> bytes{};
            asio::error_code problem;
            const std::size_t size = m_caller.read_some(asio::buffer(bytes), problem);
            text.append(bytes.data(), size);
            return !text.empty() || (problem && problem != asio::error::would_block);
        });
        return text;
    }

    int m_null;
    asio::io_context m_loop;
    decision_log m_log;
    metrics_registry m_metrics;
    gateway m_gateway;
    std::vector<std::shared_ptr<caller_link>> m_atTarget; ///< one for each request received by the target
    int m_submitted = 0;
    caller_listener m_target;
    caller_listener m_callers;
    asio::ip::tcp::socket m_caller;
};

/// The estimated duration without samples is four objectives, 2 s.
constexpr milliseconds objective{500};
constexpr milliseconds longTimeout{30000};

} // namespace

/// The event loop is blocked at acceptUntil, so a flag set by a timer at that time would be late.
TEST_F(gateway_test, refusesRequestsThatArriveAfterAcceptUntil)
{
    configure(objective, longTimeout);
    list("t1");
    m_gateway.setStopPlan(planStop(loopNow(), milliseconds(20), longTimeout));
    passTime(milliseconds(40));
    sendRequest();
    runFor(deliveryTime);
    ASSERT_EQ(m_atTarget.size(), 0U);
    EXPECT_TRUE(answer().starts_with(refusedAnswer));
}

TEST_F(gateway_test, dispatchesRequestsThatArriveBeforeAcceptUntil)
{
    configure(objective, longTimeout);
    list("t1");
    m_gateway.setStopPlan(planStop(loopNow(), longTimeout, longTimeout));
    sendRequest();
    runUntil([this] {
        return !m_atTarget.empty();
    });
    EXPECT_EQ(m_atTarget.size(), 1U);
}

TEST_F(gateway_test, refusesQueuedRequestThatCannotFinishBeforeStop)
{
    configure(objective, longTimeout);
    sendRequest();
    m_gateway.setStopPlan(planStop(loopNow(), milliseconds(2500), milliseconds(2500)));
    passTime(milliseconds(700));
    list("t1");
    runFor(deliveryTime);
    ASSERT_EQ(m_atTarget.size(), 0U);
    EXPECT_TRUE(answer().starts_with(refusedAnswer));
}

TEST_F(gateway_test, doesNotRetryRefusedRequestThatCannotFinishBeforeStop)
{
    configure(objective, longTimeout);
    list("t1");
    list("t2");
    sendRequest();
    runUntil([this] {
        return !m_atTarget.empty();
    });
    ASSERT_EQ(m_atTarget.size(), 1U);
    m_gateway.setStopPlan(planStop(loopNow(), milliseconds(1000), milliseconds(1000)));
    header_list headers;
    headers.add("X-Id", "1");
    headers.add("X-Not-Run", "1");
    m_atTarget[0]->respond(503, std::move(headers), {});
    runFor(deliveryTime);
    ASSERT_EQ(m_atTarget.size(), 1U);
    EXPECT_TRUE(answer().starts_with(refusedAnswer));
}

TEST_F(gateway_test, doesNotSendRequestPastItsQueueDeadline)
{
    configure(objective, milliseconds(300));
    sendRequest();
    passTime(milliseconds(400));
    list("t1");
    runFor(deliveryTime);
    ASSERT_EQ(m_atTarget.size(), 0U);
    EXPECT_TRUE(answer().starts_with(refusedAnswer));
}

TEST_F(gateway_test, aRequestThatWaitsForAServiceThatItsRouteHasLeftGoesToTheNewOne)
{
    configure(objective, longTimeout);
    sendRequest();
    list("t1", "other");
    configure(objective, longTimeout, 2, "other");
    runUntil([this] {
        return !m_atTarget.empty();
    });
    EXPECT_EQ(m_atTarget.size(), 1U);
}

TEST_F(gateway_test, aRequestThatWaitsForAServiceThatIsGoneIsRefusedAtOnce)
{
    configure(objective, longTimeout);
    sendRequest();
    gateway_configuration empty;
    empty.version = 2;
    m_gateway.configure(std::move(empty));
    EXPECT_TRUE(answer().starts_with(refusedAnswer));
    list("t1");
    runFor(deliveryTime);
    EXPECT_EQ(m_atTarget.size(), 0U);
}

TEST_F(gateway_test, aRequestThatWaitsIsServedThoughItsRouteIsGone)
{
    configure(objective, longTimeout);
    sendRequest();
    gateway_configuration routeless;
    routeless.version = 2;
    routeless.services[service_id("s")] = {};
    m_gateway.configure(std::move(routeless));
    list("t1");
    runUntil([this] {
        return !m_atTarget.empty();
    });
    EXPECT_EQ(m_atTarget.size(), 1U);
}

TEST_F(gateway_test, aRouteThatANewerConfigurationMayHaveIsNotDenied)
{
    gateway_configuration routeless;
    routeless.version = 1;
    m_gateway.configure(std::move(routeless));
    m_gateway.noteVersionElsewhere(2);
    sendRequest();
    EXPECT_TRUE(answer().starts_with(refusedAnswer));
    configure(objective, longTimeout, 2);
    list("t1");
    sendRequest();
    runUntil([this] {
        return !m_atTarget.empty();
    });
    EXPECT_EQ(m_atTarget.size(), 1U);
}

} // namespace fuchsialoom
