/// \file
/// A gateway between one caller and scripted targets on loopback, for tests of what the caller gets of each answer.
#pragma once

#include "fuchsialoom/gateway/gateway.h"
#include "fuchsialoom/http/caller_link.h"

#include "scripted_target.h"

#include <gtest/gtest.h>

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <string>
#include <vector>

namespace fuchsialoom
{

/// X-Id carries the request id in requests and answers. All answers are signed.
struct answer_dialect
{
    static request_facts readRequest(const received_request &request)
    {
        const std::string *id = request.headers.find("X-Id");
        request_facts facts;
        facts.id = request_id(id ? *id : std::string());
        return facts;
    }
    static credential readCredential(const received_request &)
    {
        return {key_problem::Missing, {}};
    }
    static answer_facts readAnswer(const answer_head &head, const target_id &)
    {
        const std::string *id = head.headers.find("X-Id");
        answer_facts facts;
        facts.answers = request_id(id ? *id : std::string());
        facts.signedByTarget = true;
        return facts;
    }
    static void writeAttempt(header_list &headers, const attempt_facts &attempt)
    {
        if (attempt.resumeAfter) {
            headers.add("Last-Event-Id", std::to_string(*attempt.resumeAfter));
        }
    }
    static void writeRetryAfter(header_list &, milliseconds)
    {
    }
    static void writeChallenge(header_list &, key_problem)
    {
    }
};

/// What the caller got.
struct caller_answer
{
    int status = 0;
    std::string body; ///< without its framing
    bool complete = false; ///< by its framing and the end of its connection
    std::optional<connection_end> end; ///< how the VM ended the connection; empty while it is open
    std::string raw;
};

class answer_world
{
public:
    answer_world(request_kind kind, bool resumable, std::vector<scripted_answer> answers)
        : m_output(::open("/dev/null", O_WRONLY | O_CLOEXEC))
        , m_log(m_output, "vm")
        , m_gateway(m_loop, optionsOfTest(), callsOf<answer_dialect>(), m_log, m_metrics)
        , m_target(m_loop, std::move(answers))
        , m_other(m_loop, {{}})
        , m_callers(m_loop, {asio::ip::address_v4::loopback(), 0}, callerEvents())
        , m_caller(m_loop)
    {
        m_callers.start(100);
        configure(kind, resumable);
        list("t1", "s", m_target);
        list("t2", "s", m_target);
        list("other", "other", m_other);
    }

    ~answer_world()
    {
        // Open requests keep references to the gateway until their caller disconnects.
        asio::error_code ignored;
        m_caller.close(ignored);
        runUntil([this] {
            return m_gateway.openRequests() == 0;
        });
        ::close(m_output);
    }

    answer_world(const answer_world &) = delete;
    answer_world &operator=(const answer_world &) = delete;

    /// Sends a request and returns when its answer is whole or the connection has ended.
    caller_answer ask(const std::string &version = "HTTP/1.1")
    {
        m_caller.connect(m_callers.address());
        asio::write(m_caller, asio::buffer("POST /a " + version + "\r\nHost: h\r\nX-Id: 1\r\nContent-Length: 0\r\n\r\n"));
        answer_reader reader;
        caller_answer answer;
        m_caller.non_blocking(true);
        runUntil([&] {
            std::array<char, 4096> bytes{};
            asio::error_code problem;
            const std::size_t size = m_caller.read_some(asio::buffer(bytes), problem);
            answer.raw.append(bytes.data(), size);
            if (problem == asio::error::would_block) {
                return false;
            }
            if (problem) {
                answer.end = problem == asio::error::eof ? connection_end::Close : connection_end::Reset;
            }
            const bool ended = answer.end == connection_end::Close && reader.hasStarted();
            const answer_progress progress = ended ? reader.finish() : reader.consume(std::string_view(bytes.data(), size));
            answer.body.append(progress.body);
            answer.complete = progress.complete;
            return answer.complete || answer.end.has_value();
        });
        answer.status = reader.head().status;
        return answer;
    }

    bool hasFailedTarget()
    {
        const auto &targets = m_gateway.pool().targets();
        return std::any_of(targets.begin(), targets.end(), [](const auto &one) {
            return one.second.failureShare > 0;
        });
    }

    /// \return whether a death of a target accuses the request; gives up after a time in which it would.
    bool waitForCrashReport()
    {
        bool isAccused = false;
        runUntil([this, &isAccused, until = loopNow() + milliseconds(300)] {
            isAccused = m_gateway.quarantineMetrics().find("fuchsialoom_crash_reports 1\n") != std::string::npos;
            return isAccused || loopNow() >= until;
        });
        return isAccused;
    }

    gateway &requestPath()
    {
        return m_gateway;
    }
    const scripted_target &target() const
    {
        return m_target;
    }

private:
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
            m_gateway.submit(link, std::move(request));
        };
        made.limits = [this]() -> const caller_limits & {
            return m_gateway.limits();
        };
        return made;
    }

    void configure(request_kind kind, bool resumable)
    {
        route made;
        made.name = "r";
        made.host = "h";
        made.prefix = "/";
        made.kind = kind;
        made.resumable = resumable;
        made.services = {{service_id("s"), 1}};
        made.objective = milliseconds(2000);
        made.gapObjective = milliseconds(1000);
        made.timeout = milliseconds(30000);
        made.attempts = 2;
        gateway_configuration configuration;
        configuration.version = 1;
        configuration.routes = {made};
        configuration.services[service_id("s")] = {};
        m_gateway.configure(std::move(configuration));
    }

    void list(const std::string &id, const std::string &service, const scripted_target &at)
    {
        target_listing target;
        target.id = target_id(id);
        target.service = service_id(service);
        target.address = {at.address().address().to_string(), at.address().port()};
        target.domain = domain_id("d");
        m_gateway.pool().list(loopNow(), target);
    }

    template<typename Condition>
    void runUntil(Condition holds)
    {
        static constexpr int maxTurns = 5000;
        for (int turn = 0; turn < maxTurns && !holds(); ++turn) {
            m_loop.restart();
            m_loop.run_one_for(milliseconds(5));
        }
    }

    int m_output;
    asio::io_context m_loop;
    decision_log m_log;
    metrics_registry m_metrics;
    gateway m_gateway;
    scripted_target m_target;
    scripted_target m_other; ///< lives on, so that the end of the first isn't taken for a lost path
    caller_listener m_callers;
    asio::ip::tcp::socket m_caller;
};

} // namespace fuchsialoom
