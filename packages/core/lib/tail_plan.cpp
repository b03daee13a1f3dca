/// \file
/// Which VMs of a domain read a stream from the platform's log, and by whom the others go.
#include "fuchsialoom/core/tail_plan.h"

#include "fuchsialoom/support/hash.h"

#include <algorithm>
#include <string>
#include <utility>

namespace fuchsialoom
{

static constexpr std::size_t tailersPerDomain = 2;
/// A tailer's word holds for this long from the log's own answer on: some heartbeats and a long poll.
static constexpr milliseconds wordHolds{2000};
/// A peer that is ahead must hand over a record within this.
static constexpr milliseconds handOver{1000};

tail_plan::tail_plan(stream_name stream, vm_id self)
    : m_stream(std::move(stream))
    , m_self(std::move(self))
{
}

tail_actions tail_plan::step(instant now, const tail_event &event)
{
    tail_actions actions;
    std::erase_if(m_told, [now](const auto &entry) {
        return entry.second.until <= now;
    });
    std::visit(
        [&](const auto &what) {
            handle(now, what, actions);
        },
        event);
    return actions;
}

void tail_plan::handle(instant, const tail_readers_known &event, tail_actions &)
{
    m_stale = event.stale;
    std::vector<std::string> names;
    for (const vm_id &vm : event.live) {
        names.push_back(vm.text());
    }
    const std::vector<std::size_t> chosen = rendezvous(m_stream.text(), names, tailersPerDomain);
    m_isTailer = names.empty() || std::any_of(chosen.begin(), chosen.end(), [&](std::size_t index) {
                     return names[index] == m_self.text();
                 });
}

void tail_plan::handle(instant now, const tail_position_told &event, tail_actions &)
{
    const instant provenAt = std::min(event.provenAt, now);
    if (event.peer != m_self && provenAt + wordHolds > now) {
        m_told[event.peer] = told_position{event.applied, event.first, provenAt, provenAt + wordHolds};
    }
}

std::vector<vm_id> tail_plan::aheadOf(log_offset applied) const
{
    std::vector<vm_id> ahead;
    for (const auto &[peer, told] : m_told) {
        if (told.applied > applied) {
            ahead.push_back(peer);
        }
    }
    return ahead;
}

/// Whether peers say that there is more and none has handed it over in time.
bool tail_plan::isLeftBehind(instant now, log_offset applied)
{
    if (!m_behindUntil || m_behindAt != applied) {
        m_behindUntil = now + handOver;
        m_behindAt = applied;
    }
    return now >= *m_behindUntil;
}

void tail_plan::handle(instant now, const tail_due &event, tail_actions &actions)
{
    const std::vector<vm_id> ahead = aheadOf(event.applied);
    if (ahead.empty()) {
        m_behindUntil.reset();
    }
    const bool leftBehind = !ahead.empty() && isLeftBehind(now, event.applied);
    if (m_isTailer || m_stale || event.isAwaited || m_told.empty() || leftBehind) {
        actions.readLog = true;
        return;
    }
    if (!ahead.empty()) {
        actions.readPeer = ahead[m_turn++ % ahead.size()];
    }
    actions.proof = proofOf(event.applied);
}

/// The latest instant at which a peer had nothing that is missing here.
std::optional<tail_proof> tail_plan::proofOf(log_offset applied) const
{
    std::optional<tail_proof> proof;
    for (const auto &[peer, told] : m_told) {
        const bool isLater = !proof || told.provenAt > proof->at;
        if (told.applied <= applied && isLater) {
            proof = tail_proof{told.provenAt, told.first};
        }
    }
    return proof;
}

} // namespace fuchsialoom
