/// \file
/// A request machine under virtual time, with targets that tests list and report, and leases that are granted at once.
#pragma once

#include "fuchsialoom/core/request_machine.h"

#include <gtest/gtest.h>

#include <vector>

namespace fuchsialoom
{

inline constexpr instant start{seconds(1)};

template<typename Action>
std::vector<Action> only(const std::vector<request_action> &actions)
{
    std::vector<Action> found;
    for (const request_action &action : actions) {
        if (const Action *one = std::get_if<Action>(&action)) {
            found.push_back(*one);
        }
    }
    return found;
}

inline incoming_request requestOf(const char *id)
{
    incoming_request request;
    request.id = request_id(id);
    request.model = model_id("m");
    request.deadline = start + seconds(10);
    return request;
}

struct machine_case : testing::Test
{
    request_machine machine{domain_id("d")};
    instant now = start;

    void list(const char *id, target_kind kind = target_kind::Engine, listed_state state = listed_state::Live)
    {
        listed_target target;
        target.id = target_id(id);
        target.kind = kind;
        target.domain = domain_id("d");
        target.state = state;
        post(target_listed{target});
    }

    void report(const char *id, std::uint64_t incarnation = 1, std::uint32_t capacity = 4)
    {
        load_report load;
        load.target = target_id(id);
        load.incarnation = incarnation_number(incarnation);
        load.takenAt = now;
        load.capacity = capacity;
        load.models = {{model_id("m"), version_id(), 0}};
        post(load_reported{load});
    }

    /// Every lease that is asked for is granted at once.
    std::vector<request_action> post(const request_event &event)
    {
        std::vector<request_action> actions = machine.step(now, event);
        for (const ask_lease &asked : only<ask_lease>(actions)) {
            const auto next = post(lease_answered{asked.request, asked.target, true});
            actions.insert(actions.end(), next.begin(), next.end());
        }
        return actions;
    }

    std::vector<request_action> after(milliseconds time)
    {
        now += time;
        return post(time_passed{});
    }

    std::vector<request_action> end(const char *id, std::uint64_t attempt, attempt_end how, std::uint64_t tokens = 0)
    {
        return post(attempt_ended{request_id(id), attempt_number(attempt), how, tokens, 200, "text", "answer"});
    }

    std::vector<request_action> arrive(const incoming_request &request)
    {
        return post(request_arrived{request});
    }
};

inline incoming_request repeatableOf(const char *id, std::uint64_t fingerprint = 0)
{
    incoming_request request = requestOf(id);
    request.repeatable = true;
    request.retryBudgetPercent = 100;
    request.fingerprint = content_hash(fingerprint);
    return request;
}

inline incoming_request keyedOf(const char *id)
{
    incoming_request request = requestOf(id);
    request.key = idempotency_key("k");
    return request;
}

inline failure onlyFailure(const std::vector<request_action> &actions)
{
    const auto failures = only<answer_failure>(actions);
    EXPECT_EQ(failures.size(), 1U);
    return failures.empty() ? failure{} : failures.front().what;
}

} // namespace fuchsialoom
