/// \file
/// At most once: owners, appends and reads.
#include "fuchsialoom/core/claim_machine.h"

#include "fuchsialoom/core/streams.h"
#include "fuchsialoom/support/hash.h"

#include <algorithm>
#include <string>
#include <utility>

namespace fuchsialoom
{

/// An entry VM that had to read a stream because its owner was silent stops after this long without use.
static constexpr seconds followUnused{600};
/// Retention is measured by so many records of a window.
static constexpr int retentionSamples = 1024;

void claim_machine::start(open_claim &open)
{
    if (!isElsewhere(open.partition)) {
        startHere(open);
        return;
    }
    open.at = phase::Asked;
    open.askDeadline = std::min(open.deadline, m_time.now + m_options.ownerTimeout);
    // From now on the owner may append it at any time.
    open.mayStand = true;
    open.mayLandTwice = true;
    m_actions.push_back(ask_claim_owner{*ownerOf(open.partition), open.claim, open.askDeadline});
}

void claim_machine::startHere(open_claim &open)
{
    claim_stream &stream = m_streams[open.partition];
    if (!mayTry(stream)) {
        giveUp(claim_id(open.claim.id));
        return;
    }
    stream.follow(m_time.now);
    if (!open.mayStand && stream.table().find(open.claim.key) != nullptr) {
        open.at = phase::Refreshing;
        open.needsRead = stream.wantRead(m_time.now);
        return;
    }
    appendNow(open);
}

void claim_machine::appendNow(open_claim &open)
{
    open.at = phase::Appending;
    open.position.reset();
    m_streams[open.partition].queueClaim(open.claim);
}

void claim_machine::handle(const claim_owner_answered &event)
{
    const auto found = m_open.find(event.claim);
    if (found == m_open.end() || found->second.at != phase::Asked) {
        return;
    }
    open_claim &open = found->second;
    if (!event.reply) {
        startHere(open);
        return;
    }
    if (event.reply->window) {
        m_ownersPromise[open.partition] = *event.reply->window;
    }
    if (event.reply->verdict == claim_verdict::LogUnavailable
        || (event.reply->verdict == claim_verdict::Won && m_time.now >= open.deadline)) {
        giveUp(event.claim);
        return;
    }
    answer(event.claim, *event.reply);
}

void claim_machine::handle(const claim_append_answered &event)
{
    if (event.kind == claim_append::Ends) {
        endsAnswered(event.partition, event.status == claim_append_status::Appended);
        return;
    }
    claim_stream &stream = m_streams[event.partition];
    if (event.status != claim_append_status::Appended) {
        const event_kind kind = event.status == claim_append_status::Uncertain ? event_kind::AppendUncertain : event_kind::LogUnavailable;
        emit(timeline_event(kind, claimStream(event.partition).text()));
    }
    if (event.status == claim_append_status::Refused) {
        stream.markDown(m_time.now, m_options);
    }
    for (const claim_id &id : stream.claimsAnswered()) {
        const auto found = m_open.find(id);
        if (found != m_open.end()) {
            claimAppended(found->second, event);
        }
    }
}

void claim_machine::claimAppended(open_claim &open, const claim_append_answered &event)
{
    if (event.status == claim_append_status::Refused) {
        open.mayStand = open.mayLandTwice || open.appends > 1;
        giveUp(claim_id(open.claim.id));
        return;
    }
    open.at = phase::Reading;
    if (event.status == claim_append_status::Appended) {
        open.position = event.offset;
    }
    open.needsRead = m_streams[open.partition].wantRead(m_time.now);
}

void claim_machine::handle(const claim_ends_answered &event)
{
    endsAnswered(event.partition, event.appended);
}

void claim_machine::endsAnswered(std::uint32_t partition, bool appended)
{
    for (const ask_number ask : m_streams[partition].endsAnswered(appended, m_time.now, m_options)) {
        m_actions.push_back(answer_ends_peer{ask, true});
    }
}

void claim_machine::handle(const peer_ends_arrived &event)
{
    const bool empty = event.ends.outcomes.empty() && event.ends.abandons.empty();
    if (empty || load() >= m_options.openLimit) {
        m_actions.push_back(answer_ends_peer{event.ask, empty});
        return;
    }
    const idempotency_key &key = event.ends.outcomes.empty() ? event.ends.abandons.front().key : event.ends.outcomes.front().key;
    m_streams[claimPartitionOf(key, m_options.partitions)].queueEnds(event.ends, event.ask);
}

void claim_machine::handle(const claim_records_read &event)
{
    claim_stream &stream = m_streams[event.partition];
    const bool folded = event.available && stream.awaits();
    if (folded) {
        if (!stream.beginPage(event)) {
            emit(timeline_event(event_kind::RecordSkipped, claimStream(event.partition).text()).with(event_field::LogOffset, event.first));
        }
        foldPage(event);
        stream.noteRetention(event.first, m_time.wall);
    }
    const claim_stream::read_end end = stream.endRead(event, folded, m_time.now, m_options);
    if (!event.available) {
        readFailed(event.partition);
        return;
    }
    afterRead(event.partition, end.number, end.caughtUp);
}

void claim_machine::foldPage(const claim_records_read &event)
{
    claim_stream &stream = m_streams[event.partition];
    for (const log_entry &entry : event.entries) {
        stream.fold(entry, m_options.window / retentionSamples);
        const auto *claims = entry.record ? std::get_if<key_claims>(&entry.record->body) : nullptr;
        if (claims == nullptr) {
            continue;
        }
        for (const key_claim &claim : claims->claims) {
            const auto found = m_open.find(claim.id);
            if (found != m_open.end() && found->second.at != phase::Asked) {
                seen(found->second);
            }
        }
    }
}

std::vector<claim_id> claim_machine::openIn(std::uint32_t partition) const
{
    std::vector<claim_id> found;
    for (const auto &[id, open] : m_open) {
        if (open.partition == partition) {
            found.push_back(id);
        }
    }
    std::sort(found.begin(), found.end());
    return found;
}

void claim_machine::readFailed(std::uint32_t partition)
{
    emit(timeline_event(event_kind::LogUnavailable, claimStream(partition).text()));
    m_streams[partition].markDown(m_time.now, m_options);
    giveUpWaiting(partition);
}

/// A log that neither answers nor refuses costs its first claims this much and no more.
void claim_machine::noteOverdue(std::uint32_t partition)
{
    claim_stream &stream = m_streams[partition];
    if (stream.takeOverdueAppend(m_time.now, m_options)) {
        stream.wantRead(m_time.now);
    }
    if (stream.takeOverdueRead(m_time.now)) {
        readFailed(partition);
    }
}

/// Whatever waits for the log, also for the answer to an append, is refused: a claim that may have landed
/// is voided later.
void claim_machine::giveUpWaiting(std::uint32_t partition)
{
    for (const claim_id &id : openIn(partition)) {
        if (m_open.at(id).at != phase::Asked) {
            giveUp(id);
        }
    }
}

void claim_machine::afterRead(std::uint32_t partition, std::uint64_t read, bool caughtUp)
{
    for (const claim_id &id : openIn(partition)) {
        afterRead(m_open.at(id), read, caughtUp);
    }
}

void claim_machine::afterRead(open_claim &open, std::uint64_t read, bool caughtUp)
{
    const bool waits = open.at == phase::Reading || open.at == phase::Refreshing;
    if (!waits || read < open.needsRead || !caughtUp) {
        return;
    }
    claim_stream &stream = m_streams[open.partition];
    if (open.at == phase::Refreshing) {
        const held_claim *held = stream.table().find(open.claim.key);
        if (held == nullptr) {
            appendNow(open);
        } else {
            answer(claim_id(open.claim.id), judge(*held, open));
        }
        return;
    }
    if (open.position) {
        // The log answered the append and doesn't show it yet.
        open.needsRead = stream.wantRead(m_time.now + m_options.readAgain);
        return;
    }
    if (open.asker || open.appends >= m_options.appendTries) {
        giveUp(claim_id(open.claim.id));
        return;
    }
    open.mayLandTwice = true;
    appendNow(open);
}

void claim_machine::handle(const claim_members_changed &event)
{
    std::vector<std::string> names{m_options.vm.text()};
    for (const claim_member &member : event.known) {
        if (member.vm == m_options.vm) {
            continue;
        }
        incarnation_number &latest = m_known[member.vm];
        latest = std::max(latest, member.incarnation);
        if (member.reachable) {
            names.push_back(member.vm.text());
        }
    }
    for (std::uint32_t partition = 0; partition < m_options.partitions; ++partition) {
        const std::size_t best = rendezvous(claimStream(partition).text(), names, 1).front();
        const vm_id owner(names[best]);
        if (m_owners[partition] != owner) {
            m_ownersPromise.erase(partition);
        }
        m_owners[partition] = owner;
    }
    // The owner that was asked may be gone; appending the claim twice is harmless.
    std::vector<claim_id> ownNow;
    for (const auto &[id, open] : m_open) {
        if (open.at == phase::Asked && !isElsewhere(open.partition)) {
            ownNow.push_back(id);
        }
    }
    for (const claim_id &id : ownNow) {
        startHere(m_open.at(id));
    }
}

void claim_machine::followStreams()
{
    for (std::uint32_t partition = 0; partition < m_options.partitions; ++partition) {
        claim_stream &stream = m_streams[partition];
        if (!isElsewhere(partition)) {
            stream.follow(m_time.now);
        } else if (stream.followed() && m_time.now >= stream.lastUsed() + followUnused && openIn(partition).empty()) {
            stream.leave();
        }
    }
}

void claim_machine::startIo(std::uint32_t partition)
{
    claim_stream &stream = m_streams[partition];
    if (std::optional<key_claims> claims = stream.startClaims(m_time.now, m_options)) {
        emit(timeline_event(event_kind::ClaimAppended, claimStream(partition).text()).with(event_field::Count, claims->claims.size()));
        for (const key_claim &claim : claims->claims) {
            open_claim &open = m_open.at(claim.id);
            open.mayStand = true;
            ++open.appends;
        }
        m_actions.push_back(append_claims{partition, claim_append::Claims, std::move(*claims)});
    }
    if (std::optional<key_outcomes> ends = stream.startEnds(m_time.now, m_options)) {
        // Appended by this VM where the owner was no help the last time.
        if (isElsewhere(partition) && !stream.endsFailed()) {
            m_actions.push_back(send_claim_ends{*ownerOf(partition), partition, std::move(*ends)});
        } else {
            m_actions.push_back(append_claims{partition, claim_append::Ends, std::move(*ends)});
        }
    }
    if (const std::optional<log_offset> from = stream.startRead(m_time.now, m_options)) {
        m_actions.push_back(read_claims{partition, *from});
    }
}

} // namespace fuchsialoom
