/// \file
/// At most once: what becomes of a claim. Appending, reading and owners are in claim_machine_io.cpp.
#include "fuchsialoom/core/claim_machine.h"

#include "fuchsialoom/core/streams.h"

#include <algorithm>
#include <cassert>
#include <tuple>
#include <utility>

namespace fuchsialoom
{

static constexpr std::size_t unknownRemembered = 4096;
static constexpr seconds wonForgotten{600};

claim_machine::claim_machine(claim_options options)
    : m_options(std::move(options))
    , m_streams(m_options.partitions)
    , m_owners(m_options.partitions)
{
    m_known[m_options.vm] = m_options.incarnation;
}

std::vector<claim_action> claim_machine::step(claim_time time, const claim_event &event)
{
    m_time = time;
    std::visit(
        [&](const auto &one) {
            handle(one);
        },
        event);
    followStreams();
    for (std::uint32_t partition = 0; partition < m_options.partitions; ++partition) {
        startIo(partition);
    }
    return std::exchange(m_actions, {});
}

std::size_t claim_machine::load() const
{
    std::size_t count = m_open.size() + m_won.size();
    for (const claim_stream &stream : m_streams) {
        count += stream.queuedEnds();
    }
    return count;
}

milliseconds claim_machine::window() const
{
    milliseconds shortest = std::min(m_options.window, seenToKeep().value_or(m_options.window));
    for (const auto &[partition, promise] : m_ownersPromise) {
        shortest = std::min(shortest, promise);
    }
    return shortest;
}

/// The log keeps every stream for the same time, and a quiet stream's first kept record is young: the
/// longest of what the streams show tells the most.
std::optional<milliseconds> claim_machine::seenToKeep() const
{
    std::optional<milliseconds> longest;
    for (const claim_stream &stream : m_streams) {
        longest = std::max(longest, stream.retention().kept(m_time.wall));
    }
    return longest;
}

void claim_machine::emit(timeline_event event)
{
    m_actions.push_back(emit_event{std::move(event)});
}

claim_reply claim_machine::unavailable() const
{
    return claim_reply{claim_verdict::LogUnavailable, std::nullopt, m_options.retryAfter, std::nullopt};
}

key_claim claim_machine::makeClaim(const place_claim &event)
{
    const std::string name =
        m_options.vm.text() + '/' + std::to_string(m_options.incarnation.value()) + '/' + std::to_string(++m_lastClaim);
    const auto remaining = std::max(event.deadline - m_time.now, microseconds(0));
    return key_claim{event.key,
                     event.body,
                     event.request,
                     m_options.vm,
                     m_options.incarnation,
                     m_time.wall + remaining,
                     claim_id(name),
                     m_time.wall,
                     m_time.wall + remaining + m_options.window};
}

void claim_machine::handle(const place_claim &event)
{
    open_claim open;
    open.claim = makeClaim(event);
    open.partition = claimPartitionOf(event.key, m_options.partitions);
    open.deadline = event.deadline;
    open.number = event.number;
    claim_stream &stream = m_streams[open.partition];
    const bool numberUsed = event.number.isNone() || m_deciding.contains(event.number) || m_won.contains(event.number);
    if (numberUsed || load() >= m_options.openLimit || !mayTry(stream)) {
        decide(open, unavailable());
        return;
    }
    stream.markUsed(m_time.now);
    const claim_id id = open.claim.id;
    m_deciding[event.number] = id;
    start(m_open.emplace(id, std::move(open)).first->second);
}

void claim_machine::handle(const peer_claim_arrived &event)
{
    const std::uint32_t partition = claimPartitionOf(event.claim.key, m_options.partitions);
    claim_stream &stream = m_streams[partition];
    if (load() >= m_options.openLimit || !mayTry(stream) || m_open.contains(event.claim.id)) {
        m_actions.push_back(answer_claim_peer{event.ask, unavailable()});
        return;
    }
    stream.markUsed(m_time.now);
    open_claim open;
    open.claim = event.claim;
    open.partition = partition;
    open.deadline = event.deadline;
    open.asker = event.ask;
    startHere(m_open.emplace(event.claim.id, std::move(open)).first->second);
}

void claim_machine::handle(const settle_claim &event)
{
    const key_outcome &result = event.result;
    const auto found = m_won.find(event.number);
    if (found == m_won.end()) {
        return;
    }
    const std::uint32_t partition = claimPartitionOf(result.key, m_options.partitions);
    const claim_id claim = found->second.id;
    m_won.erase(found);
    if (result.known == outcome::NotRun) {
        abandon(partition, key_abandon{result.key, result.request, claim});
        return;
    }
    key_outcome recorded = result;
    recorded.claim = claim;
    emit(timeline_event(event_kind::OutcomeRecorded, result.request.text()).with(event_field::Outcome, result.known));
    m_streams[partition].queueEnds(key_outcomes{{std::move(recorded)}, {}}, std::nullopt);
}

void claim_machine::handle(const void_claim &event)
{
    if (const auto deciding = m_deciding.find(event.number); deciding != m_deciding.end()) {
        giveUp(claim_id(deciding->second));
        return;
    }
    const auto won = m_won.find(event.number);
    if (won == m_won.end()) {
        return;
    }
    key_abandon what = event.abandon;
    what.claim = won->second.id;
    m_won.erase(won);
    const std::uint32_t partition = claimPartitionOf(what.key, m_options.partitions);
    abandon(partition, std::move(what));
}

void claim_machine::handle(const claim_window_changed &event)
{
    m_options.window = event.window;
}

/// An owner may reach a log that this VM can't: claims that it was asked for go on.
void claim_machine::handle(const claim_log_changed &event)
{
    m_logAvailable = event.available;
    for (std::uint32_t partition = 0; !event.available && partition < m_options.partitions; ++partition) {
        giveUpWaiting(partition);
    }
}

void claim_machine::handle(const list_unknown_claims &event)
{
    unknown_claims_listed listed{event.ask, {}, 0};
    for (const claim_stream &stream : m_streams) {
        const claim_table &table = stream.table();
        const std::size_t room = listed.claims.size() + event.most;
        for (const auto &[sequence, claim] : table.unsettled()) {
            const held_claim &held = *claim.held;
            const vm_id &holder = table.holderOf(held);
            if (!table.inForce(held) || !claim.key->text().starts_with(event.scope) || !isUnknown(held, holder)) {
                continue;
            }
            ++listed.total;
            if (listed.claims.size() < room) {
                listed.claims.push_back(unknown_claim{*claim.key, held.request, holder, claim.placed, held.deadline, held.keptUntil});
            }
        }
    }
    std::sort(listed.claims.begin(), listed.claims.end(), [](const unknown_claim &one, const unknown_claim &other) {
        return std::tie(one.placed, one.key) < std::tie(other.placed, other.key);
    });
    listed.claims.resize(std::min(listed.claims.size(), event.most));
    m_actions.push_back(std::move(listed));
}

void claim_machine::handle(const time_passed &)
{
    for (std::uint32_t partition = 0; partition < m_options.partitions; ++partition) {
        noteOverdue(partition);
    }
    expireClaims();
    expireWon();
}

void claim_machine::abandon(std::uint32_t partition, key_abandon what)
{
    emit(timeline_event(event_kind::ClaimAbandoned, what.request.text()).with(event_field::Record, what.claim));
    m_streams[partition].queueEnds(key_outcomes{{}, {std::move(what)}}, std::nullopt);
}

void claim_machine::giveUp(const claim_id &claim)
{
    const auto found = m_open.find(claim);
    assert(found != m_open.end() && "only an open claim is given up");
    const open_claim &open = found->second;
    m_streams[open.partition].withdrawClaim(claim);
    // Whether a peer's claim is void is that peer's to say: it may be reading back the claim itself.
    if (open.mayStand && !open.asker) {
        abandon(open.partition, key_abandon{open.claim.key, open.claim.request, claim});
    }
    answer(claim, unavailable());
}

void claim_machine::answer(const claim_id &claim, claim_reply reply)
{
    const auto found = m_open.find(claim);
    const open_claim open = std::move(found->second);
    m_open.erase(found);
    if (open.at == phase::Appending) {
        m_streams[open.partition].withdrawClaim(claim);
    }
    if (open.asker) {
        reply.window = window();
        m_actions.push_back(answer_claim_peer{*open.asker, std::move(reply)});
        return;
    }
    m_deciding.erase(open.number);
    if (reply.verdict == claim_verdict::Won) {
        m_won[open.number] = won_claim{claim, open.deadline};
    }
    decide(open, std::move(reply));
}

void claim_machine::decide(const open_claim &open, claim_reply reply)
{
    const request_id &request = open.claim.request;
    switch (reply.verdict) {
    case claim_verdict::Won:
        emit(timeline_event(event_kind::ClaimWon, request.text()).with(event_field::Record, open.claim.id));
        break;
    case claim_verdict::Recorded:
        emit(timeline_event(event_kind::OutcomeReplayed, request.text()).with(event_field::Cause, reply.recorded->request));
        break;
    case claim_verdict::LogUnavailable:
        emit(timeline_event(event_kind::LogUnavailable, request.text()).with(event_field::Record, open.claim.id));
        break;
    case claim_verdict::InProgress:
    case claim_verdict::Unknown:
    case claim_verdict::KeyReused:
        emit(timeline_event(event_kind::ClaimLost, request.text()).with(event_field::Record, open.claim.id));
        break;
    }
    m_actions.push_back(claim_decided{request, reply.verdict, std::move(reply.recorded), reply.retryAfter, open.number});
}

/// The claim was folded: the table says what holds at its position.
void claim_machine::seen(open_claim &open)
{
    const claim_id id = open.claim.id;
    const held_claim *held = m_streams[open.partition].table().find(open.claim.key);
    if (held == nullptr || (held->id == id && m_time.now >= open.deadline)) {
        giveUp(id);
        return;
    }
    if (held->id == id) {
        answer(id, claim_reply{claim_verdict::Won, std::nullopt, std::nullopt, std::nullopt});
        return;
    }
    if (open.mayLandTwice && !open.asker) {
        abandon(open.partition, key_abandon{open.claim.key, open.claim.request, id});
    }
    answer(id, judge(*held, open));
}

claim_reply claim_machine::judge(const held_claim &held, const open_claim &open)
{
    if (held.body != open.claim.body) {
        return claim_reply{claim_verdict::KeyReused, std::nullopt, std::nullopt, std::nullopt};
    }
    if (held.state == claim_state::Settled && held.result->known == outcome::Ran) {
        const held_result &ran = *held.result;
        key_outcome recorded{open.claim.key, held.request, ran.known, ran.status, ran.contentType, ran.answer, held.id};
        return claim_reply{claim_verdict::Recorded, std::move(recorded), std::nullopt, std::nullopt};
    }
    if (isUnknown(held, m_streams[open.partition].table().holderOf(held))) {
        tellUnknown(held, open);
        return claim_reply{claim_verdict::Unknown, std::nullopt, std::nullopt, std::nullopt};
    }
    return claim_reply{claim_verdict::InProgress, std::nullopt, m_options.retryAfter, std::nullopt};
}

/// Of a claim of which no run is recorded.
bool claim_machine::isUnknown(const held_claim &held, const vm_id &holder) const
{
    const bool late = m_time.wall > held.deadline + m_options.skewMargin;
    return held.state == claim_state::Settled || late || m_unknown.contains(held.id) || holderGone(held, holder);
}

bool claim_machine::holderGone(const held_claim &held, const vm_id &holder) const
{
    const auto found = m_known.find(holder);
    return found != m_known.end() && held.incarnation < found->second;
}

/// An operator reconciles these: the event names the request that may have run and the VM that had it.
void claim_machine::tellUnknown(const held_claim &held, const open_claim &open)
{
    if (!m_unknown.insert(held.id).second) {
        return;
    }
    m_unknownOrder.push_back(held.id);
    if (m_unknownOrder.size() > unknownRemembered) {
        m_unknown.erase(m_unknownOrder.front());
        m_unknownOrder.pop_front();
    }
    emit(timeline_event(event_kind::ClaimUnknown, held.request.text())
             .with(event_field::Record, held.id)
             .with(event_field::Value, open.claim.key));
}

void claim_machine::expireClaims()
{
    std::vector<claim_id> late;
    std::vector<claim_id> unanswered;
    for (const auto &[id, open] : m_open) {
        if (m_time.now >= open.deadline) {
            late.push_back(id);
        } else if (open.at == phase::Asked && m_time.now >= open.askDeadline) {
            unanswered.push_back(id);
        }
    }
    for (const claim_id &id : late) {
        giveUp(id);
    }
    for (const claim_id &id : unanswered) {
        startHere(m_open.at(id));
    }
}

/// A request that ended without a word leaves its key unknown; its claim isn't kept here for ever.
void claim_machine::expireWon()
{
    std::erase_if(m_won, [&](const auto &entry) {
        return m_time.now >= entry.second.deadline + wonForgotten;
    });
}

} // namespace fuchsialoom
