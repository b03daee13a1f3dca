/// \file
/// The fake fleet: what targets and workers do, and what the oracle holds against the machine.
#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include "fake_fleet.h"

#include <algorithm>
#include <array>

namespace fuchsialoom
{

static const content_hash poison{1};
/// Latest answer after the deadline: of a request that has no attempt, and of one whose worker says nothing.
static constexpr milliseconds sweepSlack{20};
static constexpr milliseconds endSlack{500};

void require(bool holds, const std::string &what)
{
    if (!holds) {
        RC_FAIL(what);
    }
}

fake_fleet::fake_fleet()
    : m_machine(domain_id("own"))
{
    const auto add = [&](const char *id, target_kind kind, const char *domain) {
        fake_target target;
        target.listed.id = target_id(id);
        target.listed.kind = kind;
        target.listed.domain = domain_id(domain);
        m_targets.push_back(target);
    };
    add("e1", target_kind::Engine, "own");
    add("e2", target_kind::Engine, "own");
    add("e3", target_kind::Engine, "other");
    add("p1", target_kind::Plain, "own");
    add("p2", target_kind::Plain, "own");
    request_policy policy;
    policy.quarantine = quarantineLength;
    policy.spreadWait = spreadWait;
    policy.verdictWait = milliseconds(80);
    post(policy_changed{policy});
    const auto targets = static_cast<std::uint8_t>(m_targets.size());
    for (std::uint8_t index = 0; index < targets; ++index) {
        list(index, 0);
        report(index, 0);
    }
}

void fake_fleet::take(const fuzz_step &step)
{
    act(step);
    answerLeases(static_cast<std::uint8_t>(step.a + step.b));
}

/// The keeper grants most wishes, refuses some, and lets some wait or go unanswered.
void fake_fleet::answerLeases(std::uint8_t choice)
{
    static constexpr int choices = 8;
    for (const ask_lease &asked : std::exchange(m_asked, {})) {
        ++choice;
        if (choice % choices == 0) {
            continue;
        }
        if (choice % choices == 1) {
            m_asked.push_back(asked);
            continue;
        }
        const auto held = m_leased.find(asked.target);
        const bool isOthers = held != m_leased.end() && held->second != asked.request;
        const bool granted = !isOthers && choice % choices != 2;
        if (granted) {
            m_leased[asked.target] = asked.request;
        }
        post(lease_answered{asked.request, asked.target, granted});
    }
}

void fake_fleet::act(const fuzz_step &step)
{
    static constexpr int kinds = 24;
    switch (step.kind % kinds) {
    case 0:
    case 1:
    case 2:
        return arrive(step.a, step.b);
    case 3:
        return arriveTwice(step.a);
    case 4:
    case 5:
    case 6:
    case 7:
        return progress(step.a, step.b);
    case 8:
    case 9:
        return breakAttempt(step.a, step.b);
    case 10:
    case 11:
        return report(step.a, step.b);
    case 12:
        return repeatReport(step.a);
    case 13:
    case 14:
        return changeTarget(step.a, step.b);
    case 15:
        return list(step.a, step.b);
    case 16:
    case 17:
        return decideClaim(step.a, step.b);
    case 18:
        return loseCaller(step.a);
    case 19:
        return tellPeers(step.a);
    case 20:
        return hearPeers(step.a, step.b);
    case 21:
        return repeatEnd(step.a, step.b);
    default:
        return pass(milliseconds(step.a % 64));
    }
}

void fake_fleet::arrive(std::uint8_t a, std::uint8_t b)
{
    incoming_request request;
    request.id = request_id("r" + std::to_string(m_lives.size()));
    request.kind = a % 3 == 0 ? target_kind::Plain : target_kind::Engine;
    request.brand = brand_id(a % 2 == 0 ? "x" : "y");
    request.service = service_id("s");
    request.model = model_id(a % 16 == 1 ? "nowhere" : "m");
    request.version = version_id("1");
    request.repeatable = request.kind == target_kind::Engine && b % 4 != 0;
    if (b % 2 == 0) {
        request.key = idempotency_key("k-" + request.id.text());
    }
    request.deadline = m_now + milliseconds(20 + 20 * b);
    request.priority = b % 3;
    request.fingerprint = content_hash(1 + a % 11);
    request.queueLimit = 4;
    request.retryBudgetPercent = 100;
    m_lives[request.id].request = request;
    post(request_arrived{request});
}

void fake_fleet::arriveTwice(std::uint8_t a)
{
    std::vector<life *> open = unfinished();
    if (open.empty()) {
        return;
    }
    m_duplicate = open[a % open.size()]->request.id;
    post(request_arrived{m_lives.at(*m_duplicate).request});
    require(!m_duplicate, "a request under an open id got no answer");
}

std::vector<fake_fleet::life *> fake_fleet::inAttempt()
{
    std::vector<life *> found;
    for (auto &[id, one] : m_lives) {
        if (one.stage != worker_stage::Idle) {
            found.push_back(&one);
        }
    }
    return found;
}

std::vector<fake_fleet::life *> fake_fleet::unfinished()
{
    std::vector<life *> found;
    for (auto &[id, one] : m_lives) {
        if (one.isOpen()) {
            found.push_back(&one);
        }
    }
    return found;
}

void fake_fleet::connect(life &one, fake_target &target)
{
    if (!target.alive) {
        return end(one, attempt_end::NotSent);
    }
    if (target.refuses) {
        return end(one, attempt_end::Refused);
    }
    if (one.stage == worker_stage::Resuming) {
        one.stage = worker_stage::Streaming;
        return;
    }
    one.stage = worker_stage::Streaming;
    ++one.runs;
    require(one.request.repeatable || one.runs == 1, "a non-repeatable request ran twice: " + one.request.id.text());
    require(!one.voided, "a request ran whose claim was voided: " + one.request.id.text());
    target.streams.insert(one.request.id);
    if (one.request.fingerprint == poison) {
        crash(target);
    }
}

void fake_fleet::progress(std::uint8_t a, std::uint8_t b)
{
    std::vector<life *> running = inAttempt();
    if (running.empty()) {
        return;
    }
    life &one = *running[a % running.size()];
    fake_target &target = *std::find_if(m_targets.begin(), m_targets.end(), [&](const fake_target &candidate) {
        return candidate.listed.id == one.attempt->target;
    });
    if (one.stage != worker_stage::Streaming) {
        return connect(one, target);
    }
    if (!target.alive) {
        return end(one, attempt_end::Lost);
    }
    if (!target.streams.contains(one.request.id)) {
        return end(one, b % 2 == 0 ? attempt_end::Lost : attempt_end::StreamForgotten);
    }
    if (b % 4 == 0) {
        return post(first_token_seen{one.request.id, one.attempt->attempt});
    }
    target.streams.erase(one.request.id);
    end(one, attempt_end::Completed);
}

void fake_fleet::breakAttempt(std::uint8_t a, std::uint8_t b)
{
    std::vector<life *> running = inAttempt();
    if (running.empty()) {
        return;
    }
    life &one = *running[a % running.size()];
    if (m_now >= one.request.deadline) {
        return end(one, attempt_end::DeadlinePassed);
    }
    if (one.stage == worker_stage::Streaming) {
        static constexpr std::array ends{attempt_end::Silent, attempt_end::Lost, attempt_end::FrameMissing};
        end(one, ends.at(b % ends.size()), b % 8);
    }
}

void fake_fleet::end(life &one, attempt_end how, std::uint64_t tokens)
{
    const bool notRun = how == attempt_end::NotSent || how == attempt_end::Refused;
    if (!notRun) {
        one.mayHaveRun = true;
    }
    one.stage = worker_stage::Idle;
    attempt_ended ended{one.request.id, one.attempt->attempt, how, tokens, 200, "text", std::nullopt};
    if (how == attempt_end::Completed) {
        ended.answer = "answer";
        m_completed = one.request.id;
        if (one.isWatched()) {
            m_accused.erase(one.request.fingerprint);
            m_charges.erase(one.request.fingerprint);
        }
    }
    if (how == attempt_end::Lost && tokens % 2 == 1) {
        ended.foundAlive = processOf(one.attempt->target);
    }
    m_oldEnds.push_back(ended);
    post(ended);
    m_completed.reset();
}

/// The process that answers at \p target; none where nothing does.
incarnation_number fake_fleet::processOf(const target_id &target) const
{
    const fake_target &one = *std::find_if(m_targets.begin(), m_targets.end(), [&](const fake_target &candidate) {
        return candidate.listed.id == target;
    });
    return one.alive ? incarnation_number(one.incarnation) : incarnation_number();
}

void fake_fleet::repeatEnd(std::uint8_t a, std::uint8_t b)
{
    if (m_oldEnds.empty()) {
        return;
    }
    attempt_ended again = m_oldEnds[a % m_oldEnds.size()];
    const life &one = m_lives.at(again.request);
    const bool isOld = one.stage == worker_stage::Idle || again.attempt != one.attempt->attempt;
    if (isOld) {
        // Also a crossed answer: what ended is now told as something else.
        again.end = b % 2 == 0 ? again.end : attempt_end::Refused;
        post(again);
    }
}

void fake_fleet::crash(fake_target &target)
{
    target.alive = false;
    target.streams.clear();
}

void fake_fleet::report(std::uint8_t a, std::uint8_t b)
{
    fake_target &target = m_targets[a % m_targets.size()];
    if (!target.alive) {
        return;
    }
    load_report load;
    load.target = target.listed.id;
    load.incarnation = incarnation_number(target.incarnation);
    load.takenAt = m_now - milliseconds(b % 4);
    load.running = static_cast<std::uint32_t>(target.streams.size());
    load.capacity = target.capacity;
    if (target.listed.kind == target_kind::Engine) {
        load.models = {{model_id("m"), version_id("1"), 0}};
    }
    m_oldReports.push_back(load);
    const bool newer = !target.report || load.takenAt > target.report->takenAt;
    if (target.known && newer) {
        const bool restarted = target.report && load.incarnation > target.report->incarnation;
        target.listing += restarted ? 1 : 0;
        target.report = load;
    }
    post(load_reported{load});
}

void fake_fleet::repeatReport(std::uint8_t a)
{
    load_report old = m_oldReports[a % m_oldReports.size()];
    const bool isKnown = std::any_of(m_targets.begin(), m_targets.end(), [&](const fake_target &target) {
        return target.listed.id == old.target && target.report && target.report->takenAt >= old.takenAt;
    });
    if (isKnown) {
        old.capacity = 100; // must not be believed
        post(load_reported{old});
    }
}

void fake_fleet::changeTarget(std::uint8_t a, std::uint8_t b)
{
    fake_target &target = m_targets[a % m_targets.size()];
    switch (b % 6) {
    case 0:
        return crash(target);
    case 1:
        target.refuses = !target.refuses;
        return;
    case 2:
        if (target.alive) {
            target.capacity = 1 + b % 4;
        }
        return;
    case 3:
        if (target.known && (!target.alive || b % 5 == 0)) {
            target.known = false;
            ++target.listing;
            target.report.reset();
            post(target_lost{target.listed.id});
        }
        return;
    case 4:
        if (target.known) {
            target.silent = true;
            post(target_silent{target.listed.id});
        }
        return;
    default:
        if (!target.alive) {
            target.alive = true;
            ++target.incarnation;
        }
    }
}

void fake_fleet::list(std::uint8_t a, std::uint8_t b)
{
    fake_target &target = m_targets[a % m_targets.size()];
    target.listed.state = b % 5 == 1 ? listed_state::Leaving : listed_state::Live;
    target.known = true;
    target.silent = false;
    post(target_listed{target.listed});
}

void fake_fleet::decideClaim(std::uint8_t a, std::uint8_t b)
{
    std::vector<life *> pending;
    for (auto &[id, one] : m_lives) {
        if (one.claim == claim_stage::Pending) {
            pending.push_back(&one);
        }
    }
    if (pending.empty()) {
        if (!m_oldDecisions.empty()) {
            post(m_oldDecisions[a % m_oldDecisions.size()]);
        }
        return;
    }
    life &one = *pending[a % pending.size()];
    claim_decided decided{one.request.id, claim_verdict::Won, std::nullopt, std::nullopt};
    if (b % 4 == 0) {
        decided.verdict = std::array{claim_verdict::InProgress,
                                     claim_verdict::Recorded,
                                     claim_verdict::Unknown,
                                     claim_verdict::KeyReused,
                                     claim_verdict::LogUnavailable}[b / 4 % 5];
        decided.recorded = key_outcome{};
    }
    one.claim = decided.verdict == claim_verdict::Won ? claim_stage::Won : claim_stage::Over;
    m_oldDecisions.push_back(decided);
    const bool wasOpen = one.isOpen();
    post(decided);
    require(wasOpen || one.claim == claim_stage::Over, "a claim won after the request's end was not voided");
}

void fake_fleet::loseCaller(std::uint8_t a)
{
    std::vector<life *> open = unfinished();
    if (!open.empty()) {
        life &one = *open[a % open.size()];
        one.gone = true;
        post(caller_gone{one.request.id});
    }
}

void fake_fleet::tellPeers(std::uint8_t a)
{
    for (auto &[id, one] : m_lives) {
        if (one.spreadPending && a % 2 == 0) {
            one.spreadPending.reset();
            post(accusation_spread{id});
        }
    }
}

void fake_fleet::hearPeers(std::uint8_t a, std::uint8_t b)
{
    const content_hash fingerprint(1 + a % 11);
    if (b % 8 == 0) {
        const instant until = m_now + milliseconds(b);
        instant &known = m_quarantined[fingerprint];
        known = std::max(known, until);
        return post(quarantine_learned{fingerprint, until});
    }
    const accusation heard{m_targets[b % m_targets.size()].listed.id, incarnation_number(100 + b / 128), {fingerprint}};
    m_accused[fingerprint] = m_now + quarantineLength;
    m_charges[fingerprint].emplace(heard.target, heard.incarnation);
    post(heard);
}

void fake_fleet::pass(milliseconds time)
{
    m_now += time;
    post(time_passed{});
    for (const life *one : unfinished()) {
        const milliseconds slack = one->claim == claim_stage::Pending ? sweepSlack : endSlack;
        require(m_now <= one->request.deadline + slack, "no answer when its time was over: " + one->request.id.text());
    }
}

void fake_fleet::post(const request_event &event)
{
    for (const request_action &action : m_machine.step(m_now, event)) {
        std::visit(
            [&](const auto &one) {
                check(one);
            },
            action);
    }
}

void fake_fleet::finish()
{
    for (int round = 0; round < 200; ++round) {
        for (int claim = 0; claim < 8; ++claim) {
            decideClaim(0, 1);
        }
        for (std::size_t left = inAttempt().size(); left > 0; --left) {
            breakAttempt(static_cast<std::uint8_t>(left), 0);
        }
        answerLeases(static_cast<std::uint8_t>(round));
        pass(milliseconds(50));
    }
    for (const auto &[id, one] : m_lives) {
        require(one.gone || one.finals == 1, "no final answer: " + id.text());
        require(one.claim != claim_stage::Won, "a won claim was neither settled nor voided: " + id.text());
    }
    require(m_leased.empty(), "a lease was not given back");
    require(m_machine.openRequests() == 0, "the machine keeps requests that are over");
}

} // namespace fuchsialoom
