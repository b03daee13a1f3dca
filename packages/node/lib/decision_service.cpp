/// \file
/// The duty that hosts the request machine.
#include "fuchsialoom/node/decision_service.h"

#include "fuchsialoom/node/node_clock.h"
#include "fuchsialoom/support/hash.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace fuchsialoom
{

static constexpr std::size_t ringCapacity = 16384;
static constexpr milliseconds tickEvery{20};

request_id streamIdOf(const incoming_request &request)
{
    static constexpr std::size_t digits = 16;
    const content_hash scope = hashOf(request.brand.text(), request.fingerprint.value());
    std::array<char, digits> hex{};
    const auto [end, code] = std::to_chars(hex.data(), hex.data() + hex.size(), scope.value(), 16);
    return request_id(request.id.text() + '.' + std::string(hex.data(), end));
}

decision_service::decision_service(domain_id domain, event_service &events)
    : m_events(events)
    , m_ring(ringCapacity)
    , m_machine(std::move(domain))
{
}

void decision_service::start()
{
    m_thread = std::jthread([this] {
        run();
    });
}

void decision_service::stop()
{
    m_ring.close();
    m_thread.join();
}

std::shared_ptr<request_mailbox> decision_service::submit(incoming_request request)
{
    auto mailbox = std::make_shared<request_mailbox>();
    {
        const std::lock_guard lock(m_mutex);
        const bool isNew = m_open.try_emplace(request.id, open_entry{mailbox, streamIdOf(request), false}).second;
        if (!isNew) {
            return nullptr;
        }
    }
    post(request_arrived{std::move(request)});
    return mailbox;
}

void decision_service::post(request_event event)
{
    m_ring.push(std::move(event));
}

std::size_t decision_service::openRequests() const
{
    const std::lock_guard lock(m_mutex);
    return m_open.size();
}

open_counts decision_service::counts() const
{
    const std::lock_guard lock(m_mutex);
    const auto running = static_cast<std::size_t>(std::count_if(m_open.begin(), m_open.end(), [](const auto &item) {
        return item.second.running;
    }));
    return open_counts{m_open.size() - running, running};
}

void decision_service::run()
{
    while (!m_ring.closed()) {
        std::optional<request_event> popped = m_ring.popUntil(std::chrono::steady_clock::now() + tickEvery);
        const request_event event = popped ? std::move(*popped) : request_event(time_passed{});
        noteEvent(event);
        std::vector<request_action> actions = m_machine.step(monotonicNow(), event);
        // Cancellations go first: they need what a final answer of the same step forgets.
        std::stable_partition(actions.begin(), actions.end(), [](const request_action &action) {
            return std::holds_alternative<cancel_attempt>(action);
        });
        for (request_action &action : actions) {
            carryOut(std::move(action));
        }
        if (const caller_gone *gone = std::get_if<caller_gone>(&event)) {
            const std::lock_guard lock(m_mutex);
            m_open.erase(gone->request);
        }
    }
}

void decision_service::noteEvent(const request_event &event)
{
    if (std::holds_alternative<drain_started>(event)) {
        m_draining = true;
        return;
    }
    const attempt_ended *ended = std::get_if<attempt_ended>(&event);
    if (ended == nullptr) {
        return;
    }
    const std::lock_guard lock(m_mutex);
    const auto found = m_open.find(ended->request);
    if (found != m_open.end()) {
        found->second.running = false;
    }
}

template<typename Action>
static void callIfSet(const std::function<void(const Action &)> &handler, const Action &action)
{
    if (handler) {
        handler(action);
    }
}

/// Sends an action to where it is carried out, by its type.
class decision_service::action_dispatcher
{
public:
    explicit action_dispatcher(decision_service &owner)
        : m_owner(owner)
    {
    }

    void operator()(emit_event &action) const
    {
        m_owner.m_events.emit(std::move(action.event));
    }
    void operator()(start_attempt &action) const
    {
        m_owner.deliver(action.request, action, false);
    }
    void operator()(answer_failure &action) const
    {
        m_owner.deliver(action.request, action, true);
    }
    void operator()(answer_recorded &action) const
    {
        m_owner.deliver(action.request, action, true);
    }
    void operator()(request_done &action) const
    {
        m_owner.deliver(action.request, action, true);
    }
    void operator()(cancel_attempt &action) const
    {
        m_owner.cancel(std::move(action));
    }
    void operator()(place_claim &action) const
    {
        callIfSet(m_owner.m_handlers.placeClaim, action);
    }
    void operator()(settle_claim &action) const
    {
        callIfSet(m_owner.m_handlers.settleClaim, action);
    }
    void operator()(void_claim &action) const
    {
        callIfSet(m_owner.m_handlers.voidClaim, action);
    }
    void operator()(spread_accusation &action) const
    {
        callIfSet(m_owner.m_handlers.spreadAccusation, action);
    }
    void operator()(ask_lease &action) const
    {
        callIfSet(m_owner.m_handlers.askLease, action);
    }
    void operator()(end_lease &action) const
    {
        callIfSet(m_owner.m_handlers.endLease, action);
    }
    void operator()(publish_quarantine &action) const
    {
        callIfSet(m_owner.m_handlers.publishQuarantine, action);
    }

private:
    decision_service &m_owner;
};

void decision_service::carryOut(request_action action)
{
    std::visit(action_dispatcher(*this), action);
}

/// Hands the cancellation on under the name that the target knows.
void decision_service::cancel(cancel_attempt action)
{
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_open.find(action.request);
        if (found == m_open.end()) {
            return;
        }
        action.request = found->second.stream;
    }
    callIfSet(m_handlers.cancelAttempt, action);
}

void decision_service::deliver(const request_id &request, request_action action, bool isLast)
{
    std::shared_ptr<request_mailbox> mailbox;
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_open.find(request);
        if (found == m_open.end()) {
            return;
        }
        mailbox = found->second.mailbox;
        found->second.running = true;
        if (isLast) {
            m_open.erase(found);
        }
    }
    mailbox->post(std::move(action));
}

} // namespace fuchsialoom
