/// \file
/// The duty that hosts the request machine: events of all workers come in over one ring, and each
/// request's actions go out to its own mailbox.
#pragma once

#include "fuchsialoom/core/request_machine.h"
#include "fuchsialoom/node/event_service.h"
#include "fuchsialoom/node/request_mailbox.h"
#include "fuchsialoom/support/bounded_ring.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <thread>

namespace fuchsialoom
{

/// Takes the actions that no worker waits for. Called on the duty thread, so a handler must not block;
/// one that is not set drops its action.
struct action_handlers
{
    std::function<void(const place_claim &)> placeClaim;
    std::function<void(const settle_claim &)> settleClaim;
    std::function<void(const void_claim &)> voidClaim;
    std::function<void(const spread_accusation &)> spreadAccusation;
    std::function<void(const ask_lease &)> askLease;
    std::function<void(const end_lease &)> endLease;
    std::function<void(const publish_quarantine &)> publishQuarantine;
    std::function<void(const cancel_attempt &)> cancelAttempt;
};

/// What \p request is called at an engine. An engine hands out the stream that it has under a name, so the
/// name covers all that makes the answer this request's own: another brand's or another body's request of
/// the same id has another stream.
request_id streamIdOf(const incoming_request &request);

/// Requests that wait for a target, and those that run at one.
struct open_counts
{
    std::size_t queued = 0;
    std::size_t running = 0;
};

/// Thread-safe.
class decision_service : public service
{
public:
    decision_service(domain_id domain, event_service &events);

    void start() override;
    void stop() override;

    /// Where other services put their handlers, before start().
    action_handlers &handlers()
    {
        return m_handlers;
    }

    /// Opens a request. Its actions come to the mailbox, the final answer last. \return nothing where a
    /// request of that id is open here already; the decisions don't hear of the second one.
    std::shared_ptr<request_mailbox> submit(incoming_request request);
    void post(request_event event);

    /// The targets of a first listing were posted, or it was tried and can't be read.
    void targetsListed()
    {
        m_targetsListed = true;
    }

    /// Before that, every request would be refused for want of a target.
    bool knowsTargets() const
    {
        return m_targetsListed;
    }

    std::size_t openRequests() const;
    open_counts counts() const;

    /// Whether new requests are refused because this VM is to stop.
    bool draining() const
    {
        return m_draining.load();
    }

private:
    class action_dispatcher;

    struct open_entry
    {
        std::shared_ptr<request_mailbox> mailbox;
        request_id stream; ///< what the request is called at a target
        bool running = false; ///< an attempt was handed to the worker and has not ended
    };

    void run();
    void noteEvent(const request_event &event);
    void carryOut(request_action action);
    void cancel(cancel_attempt action);
    void deliver(const request_id &request, request_action action, bool isLast);

    event_service &m_events;
    action_handlers m_handlers; ///< fixed once the duty thread runs
    bounded_ring<request_event> m_ring;
    request_machine m_machine; ///< used by the duty thread alone
    mutable std::mutex m_mutex;
    std::map<request_id, open_entry> m_open; ///< guarded by m_mutex
    std::atomic<bool> m_draining{false};
    std::atomic<bool> m_targetsListed{false};
    std::jthread m_thread;
};

} // namespace fuchsialoom
