/// \file
/// One request between two VMs: a VM without a path to the targets passes it on, and the other one takes or declines it.
#include "exchange.h"

#include <algorithm>
#include <cassert>

namespace fuchsialoom
{

/// A VM that lives accepts a connection within a round trip between failure domains, 1 ms.
static constexpr milliseconds peerConnectTimeout{100};
static constexpr int statusFailed = 502;

/// Whether \p status promises that the request hasn't run and won't.
static bool isPromise(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

bool exchange::leavesToPeer() const
{
    return !m_passedOn && (m_needsPeer || m_gateway.passesOn());
}

void exchange::decline()
{
    if (m_history.mayHaveRun || m_streamStarted) {
        failRequest(statusFailed, nameOf(refusal::NoPath));
        return;
    }
    const instant now = loopNow();
    m_gateway.m_log.writeRequest(now,
                                 log_line("declined", m_facts.id)
                                     .with("path", m_gateway.m_paths.isLost() ? "lost" : "whole")
                                     .with("config", m_configVersion)
                                     .with("others", m_gateway.m_passedOnOpen));
    m_gateway.m_counters.refused += 1;
    m_caller->respond(statusDeclined, {}, {});
    finish("refused", "declined");
}

void exchange::endWithoutPath(refusal why, milliseconds retryAfter)
{
    if (m_history.mayHaveRun || m_streamStarted) {
        failRequest(statusFailed, nameOf(why));
    } else {
        refuse(why, retryAfter);
    }
}

std::string exchange::serializeForPeer(const attempt &one) const
{
    const std::uint32_t used = m_history.targetsTried + (m_successor ? 1 : 0);
    passed_on_mark mark;
    mark.age = std::chrono::duration_cast<milliseconds>(loopNow() - m_arrivedAt);
    mark.attempts = m_history.attempts > used ? m_history.attempts - used : 1;
    mark.isCharged = m_cost > 0;
    mark.configVersion = m_configVersion;
    mark.resumeAfter = one.scanner.lastId();
    header_list headers = m_request.headers;
    headers.dropConnectionFields();
    headers.erase("Content-Length");
    headers.erase("Expect");
    writeMark(headers, mark);
    return serializeWith(headers);
}

void exchange::passOn(const serving_peer &peer)
{
    assert(!m_attempt);
    if (m_attemptNumber == 0) {
        m_queueTime = loopNow() - m_arrivedAt;
    }
    m_attempt = newAttempt();
    launchAtPeer(*m_attempt, peer);
}

void exchange::launchAtPeer(attempt &one, const serving_peer &peer)
{
    const instant now = loopNow();
    if (!m_needsPeer) {
        m_needsPeer = true;
        m_history.connectFailures = 0; // of this VM's path; now they count peers that don't take the request
    }
    if (!m_history.mayHaveRun && !m_successor) {
        refundTeam(); // the peer charges it
    }
    m_gateway.m_log.writeRequest(now,
                                 log_line("passed-on", m_facts.id)
                                     .with("peer", peer.vm)
                                     .with("path", m_gateway.m_paths.isLost() ? "lost" : "whole")
                                     .with("waited-ms", std::chrono::duration_cast<milliseconds>(now - m_arrivedAt))
                                     .with("declined", m_declines)
                                     .with("attempt", m_history.targetsTried + (m_successor ? 2 : 1))
                                     .with("beside", m_successor ? m_attempt->target.text() : "none"));
    m_gateway.m_counters.passedOn += 1;
    m_attemptNumber += 1;
    one.number = m_attemptNumber;
    one.peer = peer.vm;
    one.sentAt = now;
    one.lastEventAt = now;
    one.lastByteAt = now;
    one.usesSlot = false;
    one.scanner = m_successor ? m_attempt->scanner : m_eventScanner;
    one.scanner.restart();
    one.link = m_gateway.m_peerLinks.acquire(target_id(peer.vm.text()), peer.address);
    m_gateway.m_peerChoice.begin(peer.vm);
    one.link->send(serializeForPeer(one), m_request.method == "HEAD", now + peerConnectTimeout, callbacksForAttempt(one.number));
    armTimer();
}

void exchange::onPeerAnswer(attempt &one)
{
    const int status = one.head.status;
    if (status == statusDeclined) {
        m_gateway.m_peerChoice.avoid(loopNow(), *one.peer);
        handleAttemptEnd(one, attempt_outcome::Declined);
        return;
    }
    if (one.relaysEvents) {
        onStreamEnd(one);
        return;
    }
    if (m_streamStarted || (!one.isSigned && (m_history.mayHaveRun || m_successor))) {
        // The peer's statement that the request hasn't run isn't true of this VM's attempts.
        handleAttemptEnd(one, isPromise(status) ? attempt_outcome::NotRun : attempt_outcome::Broken);
        return;
    }
    settleOn(one);
    header_list headers = m_attempt->head.headers;
    headers.dropConnectionFields();
    m_caller->respond(status, std::move(headers), m_attempt->body);
    if (m_attempt->isSigned) {
        finish("answered", "peer");
    } else if (isPromise(status)) {
        m_gateway.m_counters.refused += 1;
        finish("refused", "peer");
    } else {
        m_gateway.m_counters.failed += 1;
        finish("failed", "peer");
    }
}

void exchange::onPathLost()
{
    const auto self = shared_from_this();
    for (const std::optional<attempt> *one : {&m_successor, &m_attempt}) {
        if (*one && !(*one)->peer) {
            const std::shared_ptr<http_link> link = (*one)->link;
            link->withdraw();
        }
    }
    if (!m_done && loopNow() >= stallDeadline()) {
        onSilence(loopNow());
    }
    armTimer();
}

} // namespace fuchsialoom
