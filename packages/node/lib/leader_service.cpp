/// \file
/// Leads the domain where this VM holds the lease.
#include "fuchsialoom/node/leader_service.h"

#include "fuchsialoom/core/streams.h"
#include "fuchsialoom/node/node_clock.h"
#include "fuchsialoom/wire/order_client.h"

#include <algorithm>
#include <utility>

namespace fuchsialoom
{

static constexpr std::size_t ringCapacity = 4096;
static constexpr std::size_t callThreads = 4;
static constexpr milliseconds tickEvery{100};
static constexpr milliseconds readWait{500};
static constexpr milliseconds pauseAfterFailure{200};
static constexpr milliseconds appendTimeout{2000};
static constexpr milliseconds callTimeout{2000};
/// On stop, the release of the lease gets this long to be read back.
static constexpr milliseconds releaseTimeout{1000};
static constexpr milliseconds releasePoll{20};

leader_service::leader_service(const process_options &options,
                               incarnation_number incarnation,
                               log_service &log,
                               settings_service &settings,
                               event_service &events,
                               std::function<std::vector<foreign_load>()> foreignLoads)
    : m_vm(options.vm)
    , m_domain(options.domain)
    , m_log(log)
    , m_events(events)
    , m_ring(ringCapacity)
    , m_appends(ringCapacity)
    , m_calls(ringCapacity)
    , m_machine(m_domain, m_vm, incarnation)
    , m_planning(options,
                 planning_surroundings{log,
                                       settings,
                                       events,
                                       std::move(foreignLoads),
                                       [this] {
                                           return status();
                                       },
                                       [this](leader_event event) {
                                           m_ring.push(std::move(event));
                                       }})
{
}

void leader_service::start()
{
    m_machineThread = std::jthread([this] {
        runMachine();
    });
    m_followThread = std::jthread([this](const std::stop_token &stop) {
        followLog(stop);
    });
    m_appendThread = std::jthread([this] {
        makeAppends();
    });
    m_planning.start();
    for (std::size_t thread = 0; thread < callThreads; ++thread) {
        m_callThreads.emplace_back([this] {
            makeCalls();
        });
    }
}

void leader_service::drain()
{
    m_ring.push(leader_drain_started{});
}

void leader_service::stop()
{
    drain();
    const instant deadline = monotonicNow() + releaseTimeout;
    const auto stillMine = [this] {
        const std::optional<leader_term> term = status().term;
        return term && !term->released && term->holder == m_vm;
    };
    while (stillMine() && monotonicNow() < deadline) {
        std::this_thread::sleep_for(releasePoll);
    }
    m_planning.requestStop();
    m_followThread.request_stop();
    m_ring.close();
    m_appends.close();
    m_calls.close();
    m_callThreads.clear();
    m_planning.join();
    m_followThread.join();
    m_appendThread.join();
    m_machineThread.join();
}

leader_status leader_service::status() const
{
    const bool homesKnown = m_planning.homesKnown();
    const std::lock_guard lock(m_mutex);
    leader_status known = m_status;
    known.homesKnown = homesKnown;
    return known;
}

void leader_service::runMachine()
{
    instant nextTick = monotonicNow();
    while (!m_ring.closed()) {
        std::optional<leader_event> event = m_ring.popUntil(toRealDeadline(nextTick));
        if (event) {
            step(std::move(*event));
        }
        if (monotonicNow() >= nextTick) {
            step(leader_time_passed{});
            nextTick = monotonicNow() + tickEvery;
        }
        publish();
    }
}

void leader_service::step(leader_event event)
{
    m_refused.push_back(std::move(event));
    while (!m_refused.empty()) {
        const leader_event next = std::move(m_refused.front());
        m_refused.pop_front();
        for (leader_action &action : m_machine.step(monotonicNow(), wallNow(), next)) {
            carryOut(std::move(action));
        }
    }
}

void leader_service::carryOut(leader_action action)
{
    if (auto *report = std::get_if<leader_report>(&action)) {
        m_events.emit(std::move(report->event));
    } else if (auto *append = std::get_if<append_record>(&action)) {
        const record_id id = append->id;
        if (!m_appends.tryPush(std::move(*append))) {
            m_refused.emplace_back(append_refused{id});
        }
    } else if (auto *send = std::get_if<send_order>(&action)) {
        const order_id id = send->order.id;
        if (!m_calls.tryPush(std::move(*send))) {
            m_refused.emplace_back(order_answered{id, order_answer::NotSent, {}});
        }
    } else if (auto *read = std::get_if<read_target_state>(&action)) {
        const target_id id = read->target;
        if (!m_calls.tryPush(std::move(*read))) {
            m_refused.emplace_back(target_state_failed{id});
        }
    }
}

static target_status statusOf(const target_account &account, instant now)
{
    target_status status;
    status.target = account.target.id;
    status.capacityBytes = account.capacity();
    status.openLoads = account.openLoads();
    status.openBytes = account.openBytes();
    status.residentBytes = account.worstBytes() - status.openBytes;
    status.openOrders = account.open.size();
    status.fencedWith = account.fencedWith;
    status.reachable = account.reachable;
    status.lost = account.isLost(now);
    if (account.state) {
        status.resident = target_placement{account.state->models, account.state->adapters};
    }
    return status;
}

void leader_service::publish()
{
    leader_status status;
    status.term = m_machine.lease().fold().inForce();
    const instant now = monotonicNow();
    status.leading = m_machine.lease().holds(now);
    status.decides = m_machine.decides(now);
    status.frozen = m_machine.isFrozen();
    status.applied = log_offset(m_machine.nextOffset().value() - 1);
    for (const auto &[id, account] : m_machine.ledger().accounts()) {
        status.targets.push_back(statusOf(account, now));
    }
    const std::lock_guard lock(m_mutex);
    m_status = std::move(status);
}

void leader_service::followLog(const std::stop_token &stop)
{
    log_offset from(1);
    while (!stop.stop_requested()) {
        const instant askedAt = monotonicNow();
        record_page page = m_log.read(domainStream(m_domain), from, std::chrono::steady_clock::now() + readWait);
        if (page.status == read_status::Unavailable) {
            m_ring.push(log_read_failed{});
            std::this_thread::sleep_for(pauseAfterFailure);
            continue;
        }
        from = std::max(from, page.first);
        if (!page.entries.empty()) {
            from = log_offset(page.entries.back().offset.value() + 1);
        }
        const bool reachedEnd = from >= page.next;
        m_ring.push(log_records_read{askedAt, page.first, page.next, std::move(page.entries), reachedEnd});
    }
}

void leader_service::makeAppends()
{
    while (std::optional<append_record> append = m_appends.pop()) {
        const real_deadline deadline = std::chrono::steady_clock::now() + appendTimeout;
        const bool isOrder = std::holds_alternative<order_intent>(append->body) || std::holds_alternative<order_resolved>(append->body);
        const append_class use = isOrder ? append_class::Orders : append_class::Leadership;
        const append_result result = m_log.append(domainStream(m_domain), append->id, std::move(append->body), deadline, use);
        if (result.status == append_status::Refused) {
            m_ring.push(append_refused{append->id});
        }
    }
}

void leader_service::makeCalls()
{
    while (const std::optional<target_call> call = m_calls.pop()) {
        std::visit(
            [this](const auto &body) {
                callTarget(body);
            },
            *call);
    }
}

void leader_service::callTarget(const send_order &call)
{
    const std::optional<endpoint> address = m_planning.addressOf(call.order.target);
    order_reply reply{order_answer::NotSent, {}};
    // The lease is looked at right before the send; the intent rule and fencing cover what is left between.
    if (address && monotonicNow() < call.notAfter) {
        reply = http_order_target(*address).send(call.order, std::chrono::steady_clock::now() + callTimeout);
    }
    m_ring.push(order_answered{call.order.id, reply.answer, reply.fence});
}

void leader_service::callTarget(const read_target_state &call)
{
    const std::optional<endpoint> address = m_planning.addressOf(call.target);
    const instant askedAt = monotonicNow();
    std::optional<target_state> state;
    if (address) {
        state = http_order_target(*address).state(call.target, std::chrono::steady_clock::now() + callTimeout);
    }
    if (!state) {
        m_ring.push(target_state_failed{call.target});
        return;
    }
    state->askedAt = askedAt;
    m_ring.push(target_state_read{std::move(*state)});
}

} // namespace fuchsialoom
