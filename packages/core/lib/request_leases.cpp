/// \file
/// The request path's decisions: leases of targets for the attempts of accused requests. Inside a VM its
/// own table keeps them apart; the lease keeps apart those of several VMs.
#include "fuchsialoom/core/request_machine.h"
#include "fuchsialoom/core/router.h"

namespace fuchsialoom
{

/// Longer than a call to the keeper may take. An unreachable keeper delays; membership replaces it.
static constexpr milliseconds leaseWait{400};
/// A target whose lease another VM holds is asked about again after this.
static constexpr milliseconds leaseAskEvery{100};
/// An attempt ends shortly after its deadline, and its lease not before.
static constexpr seconds leaseSlack{1};

/// \p open waits for the lease of \p target; other accused requests here look elsewhere meanwhile.
void request_machine::askLease(open_request &open, const target_id &target)
{
    open.leaseAsked = target;
    open.leaseAnswerBy = m_now + leaseWait;
    m_targets.setLeased(target, open.leaseAnswerBy);
    act(ask_lease{open.request.id, target, open.request.deadline + leaseSlack});
}

/// An answer that doesn't come must not keep the request from asking elsewhere.
void request_machine::sweepLease(open_request &open)
{
    if (open.leaseAsked && open.leaseAnswerBy <= m_now) {
        open.leaseAsked.reset();
    }
}

void request_machine::handle(const lease_answered &event)
{
    const auto found = m_open.find(event.request);
    const bool isOpen = found != m_open.end();
    const bool awaited = isOpen && found->second.phase == request_phase::Queued && found->second.leaseAsked == event.target;
    if (!awaited) {
        const bool inUse = isOpen && found->second.holdsLease && found->second.target == event.target;
        if (event.granted && !inUse) {
            endLease(event.request, event.target, m_now);
        }
        return;
    }
    open_request &open = found->second;
    open.leaseAsked.reset();
    m_targets.setLeased(event.target, std::nullopt);
    if (!event.granted) {
        m_targets.setLeased(event.target, m_now + leaseAskEvery);
    } else if (!startUnderLease(open, event.target)) {
        endLease(event.request, event.target, m_now);
    }
}

/// The target may have been lost, filled or set to leave since it was chosen, and the deadline have passed.
/// \return whether the attempt started.
bool request_machine::startUnderLease(open_request &open, const target_id &target)
{
    if (open.request.deadline <= m_now) {
        return false;
    }
    route_query query{open.request, open.tried, true};
    query.leased = &target;
    const route chosen = findRoute(m_targets, m_cache, query);
    if (chosen.target == nullptr) {
        return false;
    }
    m_queue.depart(m_now, open.request.id);
    dispatch(open, chosen);
    open.holdsLease = true;
    return true;
}

void request_machine::endLease(const request_id &request, const target_id &target, instant until)
{
    act(end_lease{request, target, until});
}

} // namespace fuchsialoom
