/// \file
/// A gateway between callers and targets that answer as the test says, for tests of targets that are silent for a while.
#pragma once

#include "fuchsialoom/gateway/silence_rules.h"

#include "answer_world.h"

#include <array>
#include <memory>

namespace fuchsialoom
{

inline constexpr const char *firstEvent = "id: 1\ndata: a\n\n";
inline constexpr const char *secondEvent = "id: 2\ndata: b\n\n";
/// Longer than the time after which an attempt counts as silent, and shorter than a target that works may be silent.
inline constexpr milliseconds silence{1600};

struct silence_dialect : answer_dialect
{
    static request_facts readRequest(const received_request &request)
    {
        request_facts facts = answer_dialect::readRequest(request);
        facts.promptTokens = 10;
        return facts;
    }
    static answer_facts readAnswer(const answer_head &head, const target_id &target)
    {
        answer_facts facts = answer_dialect::readAnswer(head, target);
        facts.notRun = head.headers.find("X-Not-Run") != nullptr;
        return facts;
    }
};

/// A target that keeps the links of its requests for the test to answer.
class held_target
{
public:
    explicit held_target(asio::io_context &loop)
        : m_listener(loop, {asio::ip::address_v4::loopback(), 0}, eventsOfTarget())
    {
        m_listener.start(100);
    }

    std::vector<std::shared_ptr<caller_link>> links; ///< one for each request
    std::vector<received_request> requests;
    std::size_t abandoned = 0; ///< requests whose connection was closed before their answer

    endpoint address() const
    {
        return {m_listener.address().address().to_string(), m_listener.address().port()};
    }

    /// Open connections stay.
    void stopListening()
    {
        m_listener.stopAccepting();
    }

    void beginStream(std::size_t request, std::string_view events)
    {
        links.at(request)->startStream(200, ownHeaders());
        links.at(request)->sendPart(events);
    }
    void endStream(std::size_t request, std::string_view events)
    {
        links.at(request)->sendPart(events);
        links.at(request)->endStream();
    }
    void answer(std::size_t request, int status)
    {
        links.at(request)->respond(status, ownHeaders(), {});
    }
    void refuse(std::size_t request)
    {
        header_list headers = ownHeaders();
        headers.add("X-Not-Run", "1");
        links.at(request)->respond(503, std::move(headers), {});
    }

    static header_list ownHeaders()
    {
        header_list headers;
        headers.add("X-Id", "1");
        return headers;
    }

private:
    caller_events eventsOfTarget()
    {
        caller_events made;
        made.onRequest = [this](const std::shared_ptr<caller_link> &link, received_request request) {
            link->onGone([this] {
                abandoned += 1;
            });
            links.push_back(link);
            requests.push_back(std::move(request));
        };
        made.limits = [this]() -> const caller_limits & {
            return m_limits;
        };
        return made;
    }

    caller_limits m_limits;
    caller_listener m_listener;
};

class exchange_silence_test : public testing::Test
{
protected:
    exchange_silence_test()
        : m_output(::open("/dev/null", O_WRONLY | O_CLOEXEC))
        , m_log(m_output, "vm")
        , m_gateway(m_loop, optionsOfTest(), callsOf<silence_dialect>(), m_log, m_metrics)
        , m_targets{std::make_unique<held_target>(m_loop), std::make_unique<held_target>(m_loop), std::make_unique<held_target>(m_loop)}
        , m_callers(m_loop, {asio::ip::address_v4::loopback(), 0}, callerEvents())
        , m_caller(m_loop)
    {
        m_callers.start(100);
    }

    ~exchange_silence_test() override
    {
        asio::error_code ignored;
        m_caller.close(ignored);
        runUntil([this] {
            return m_gateway.openRequests() == 0;
        });
        ::close(m_output);
    }

    static gateway_options optionsOfTest()
    {
        gateway_options options;
        options.vm = vm_id("vm");
        options.domain = domain_id("d");
        options.retries = {1.0, milliseconds(10000), 100.0};
        return options;
    }

    caller_events callerEvents()
    {
        caller_events made;
        made.onRequest = [this](const std::shared_ptr<caller_link> &link, received_request request) {
            if (m_passedOn) {
                m_gateway.submitPassedOn(link, std::move(request), *m_passedOn);
            } else {
                m_gateway.submit(link, std::move(request));
            }
        };
        made.limits = [this]() -> const caller_limits & {
            return m_gateway.limits();
        };
        return made;
    }

    /// Configures one route of resumable streams to one service.
    void configure(bool isEngine)
    {
        route made;
        made.name = "r";
        made.host = "h";
        made.prefix = "/";
        made.kind = request_kind::Stream;
        made.resumable = true;
        made.services = {{service_id("s"), 1}};
        made.objective = milliseconds(300);
        made.gapObjective = milliseconds(200);
        made.timeout = milliseconds(30000);
        made.attempts = 3;
        gateway_configuration configuration;
        configuration.version = 1;
        configuration.routes = {made};
        service_traits traits;
        if (isEngine) {
            traits.engine.emplace();
        }
        configuration.services[service_id("s")] = traits;
        m_gateway.configure(std::move(configuration));
    }

    void list(std::size_t number, std::uint32_t slots = 1)
    {
        target_listing target;
        target.slots = slots;
        target.id = idOf(number);
        target.service = service_id("s");
        target.address = m_targets.at(number)->address();
        target.domain = domain_id("d");
        m_gateway.pool().list(loopNow(), target);
        m_gateway.dispatchQueued();
    }

    static target_id idOf(std::size_t number)
    {
        return target_id("t" + std::to_string(number));
    }
    held_target &target(std::size_t number)
    {
        return *m_targets.at(number);
    }

    /// Sends the request, which reaches the first target.
    void send()
    {
        sendOn(m_caller);
        awaitRequests(0, 1);
    }
    void sendOn(asio::ip::tcp::socket &caller)
    {
        caller.connect(m_callers.address());
        caller.non_blocking(true);
        asio::write(caller, asio::buffer(std::string("POST /a HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\nContent-Length: 0\r\n\r\n")));
    }

    void awaitRequests(std::size_t number, std::size_t count)
    {
        runUntil([&] {
            return target(number).links.size() >= count;
        });
        ASSERT_EQ(target(number).links.size(), count);
    }

    void stopListening()
    {
        for (const std::unique_ptr<held_target> &one : m_targets) {
            one->stopListening();
        }
    }

    /// Has the path watched as a node does.
    template<typename Condition>
    void watchPathUntil(instant end, Condition holds)
    {
        while (!holds() && loopNow() < end) {
            m_gateway.watchPath();
            runFor(milliseconds(20));
        }
    }

    void runFor(milliseconds length)
    {
        m_loop.restart();
        m_loop.run_for(length);
    }

    template<typename Condition>
    void runUntil(Condition holds)
    {
        const instant giveUpAt = loopNow() + milliseconds(5000);
        while (!holds() && loopNow() < giveUpAt) {
            m_loop.restart();
            m_loop.run_one_for(milliseconds(5));
        }
    }

    /// \return the body of the whole answer; what came of it if it isn't whole within 5 s.
    std::string body()
    {
        answer_reader reader;
        std::string body;
        bool ended = false;
        m_isWhole = false;
        runUntil([&] {
            std::array<char, 4096> bytes{};
            asio::error_code problem;
            const std::size_t size = m_caller.read_some(asio::buffer(bytes), problem);
            ended = problem && problem != asio::error::would_block;
            const answer_progress progress = reader.consume(std::string_view(bytes.data(), size));
            body.append(progress.body);
            m_isWhole = progress.complete;
            return m_isWhole || ended;
        });
        return body;
    }

    int m_output;
    asio::io_context m_loop;
    decision_log m_log;
    metrics_registry m_metrics;
    gateway m_gateway;
    std::array<std::unique_ptr<held_target>, 3> m_targets;
    caller_listener m_callers;
    asio::ip::tcp::socket m_caller;
    std::optional<passed_on_mark> m_passedOn; ///< if set, requests come from another VM
    bool m_isWhole = false; ///< the last answer read by body()
};

} // namespace fuchsialoom
