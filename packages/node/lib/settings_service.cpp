/// \file
/// Follows the settings stream.
#include "fuchsialoom/node/settings_service.h"

#include "fuchsialoom/core/streams.h"
#include "fuchsialoom/node/node_clock.h"
#include "fuchsialoom/support/scope_guard.h"

#include <algorithm>
#include <utility>

namespace fuchsialoom
{

static constexpr milliseconds readWait{500};
static constexpr milliseconds peerPause{200};
static constexpr milliseconds peerTimeout{500};
static constexpr milliseconds appendTimeout{2000};
static constexpr seconds snapshotTimeout{10};
/// Peers asked in one round; the next round goes on with the next ones.
static constexpr std::size_t peersARound = 8;
static constexpr std::size_t keptBytes = 16UL * 1024 * 1024;
static constexpr std::size_t longestOperator = 128;

settings_service::settings_service(log_service &log, event_service &events, replica_rules rules)
    : m_log(log)
    , m_events(events)
    , m_replica(log.vm(), rules)
    , m_plan(settingsStream(), log.vm())
    , m_kept(keptBytes)
    , m_tree(std::make_shared<settings_tree>())
    , m_snapshots(1)
{
}

void settings_service::start()
{
    m_writer = std::jthread([this] {
        writeSnapshots();
    });
    m_thread = std::jthread([this](const std::stop_token &stop) {
        follow(stop);
    });
}

void settings_service::stop()
{
    m_thread.request_stop();
    m_thread.join();
    m_snapshots.close();
    m_writer.join();
}

std::shared_ptr<const settings_tree> settings_service::tree() const
{
    const std::lock_guard lock(m_mutex);
    return m_tree;
}

std::shared_ptr<const settings_tree> settings_service::servedTree() const
{
    if (!readOnce()) {
        throw error(failure{error_kind::SettingsUnavailable,
                            "this VM hasn't read the settings yet",
                            outcome::NotRun,
                            std::optional<milliseconds>(seconds(1))});
    }
    return tree();
}

bool settings_service::readOnce() const
{
    return status().fresh != freshness::Starting;
}

replica_status settings_service::status() const
{
    const std::lock_guard lock(m_mutex);
    return m_replica.status(monotonicNow());
}

std::vector<change_seen> settings_service::history() const
{
    const std::lock_guard lock(m_mutex);
    return std::vector<change_seen>(m_replica.history().begin(), m_replica.history().end());
}

read_result settings_service::tail(log_offset from, std::size_t most) const
{
    const std::lock_guard lock(m_mutex);
    const log_offset applied = m_replica.tree().applied();
    return read_result{read_status::Ok, m_kept.first(applied), log_offset(applied.value() + 1), m_kept.read(from, applied, most)};
}

std::optional<tail_position> settings_service::positionToTell() const
{
    const std::lock_guard lock(m_mutex);
    return m_plan.isTailer() ? m_position : std::nullopt;
}

void settings_service::positionTold(const tail_position_told &position)
{
    {
        const std::lock_guard lock(m_mutex);
        m_plan.step(monotonicNow(), position);
        m_wasTold = m_wasTold || position.applied > m_replica.tree().applied();
    }
    m_wake.notify_all();
}

/// By whom to go now. A log of its own is always read.
tail_actions settings_service::nextReads()
{
    tail_actions own;
    own.readLog = true;
    if (m_tails == nullptr || m_log.isEmbedded()) {
        return own;
    }
    const tail_readers_known readers = m_tails->readers();
    const std::lock_guard lock(m_mutex);
    m_wasTold = false;
    m_plan.step(monotonicNow(), readers);
    return m_plan.step(monotonicNow(), tail_due{m_replica.tree().applied(), m_awaiting > 0 || m_replica.isSeeking()});
}

void settings_service::follow(const std::stop_token &stop)
{
    while (!stop.stop_requested()) {
        const tail_actions due = nextReads();
        if (due.readLog) {
            followLog(stop);
        } else {
            followPeers(stop, due);
        }
        writeSnapshotIfDue();
    }
}

void settings_service::followLog(const std::stop_token &stop)
{
    const bool reached = readLog();
    bool isSeeking = false;
    {
        const std::lock_guard lock(m_mutex);
        isSeeking = m_replica.isSeeking();
    }
    if (!reached || isSeeking) {
        readPeers(reached);
    }
    if (!reached) {
        std::unique_lock lock(m_mutex);
        const instant wake = m_tails == nullptr ? m_log.nextTry() : std::min(m_log.nextTry(), m_nextPeers);
        m_wake.wait_until(lock, stop, toRealDeadline(wake), [] {
            return false;
        });
    }
}

/// One round by the word of peers. It ends at once where records came, as there may be more.
void settings_service::followPeers(const std::stop_token &stop, const tail_actions &due)
{
    if (due.proof) {
        takeProof(*due.proof);
    }
    real_deadline wake = std::chrono::steady_clock::now() + readWait;
    if (due.readPeer) {
        const log_offset before = tree()->applied();
        readPeer(*due.readPeer);
        if (tree()->applied() != before) {
            return;
        }
        wake = std::chrono::steady_clock::now() + peerPause;
    }
    std::unique_lock lock(m_mutex);
    m_wake.wait_until(lock, stop, wake, [this] {
        return m_wasTold || m_awaiting > 0;
    });
}

void settings_service::takeProof(const tail_proof &proof)
{
    std::optional<timeline_event> change;
    {
        const std::lock_guard lock(m_mutex);
        m_replica.provenByPeer(proof.at, proof.first);
        change = m_replica.tick(monotonicNow());
    }
    if (change) {
        m_events.emit(std::move(*change));
    }
}

/// \return whether the log answered; nothing is asked while it is backing off.
bool settings_service::readLog()
{
    if (monotonicNow() < m_log.nextTry()) {
        return false;
    }
    log_offset from;
    {
        const std::lock_guard lock(m_mutex);
        from = m_replica.nextFrom(tail_id::Log);
    }
    const read_result raw = m_log.readRaw(settingsStream(), from, std::chrono::steady_clock::now() + readWait);
    take(tail_id::Log, raw);
    return raw.status == read_status::Ok;
}

tail_id settings_service::tailOf(const vm_id &peer)
{
    const auto next = static_cast<tail_id>(m_tailIds.size() + 1);
    return m_tailIds.try_emplace(peer, next).first->second;
}

void settings_service::readPeers(bool logReached)
{
    if (m_tails == nullptr || monotonicNow() < m_nextPeers) {
        return;
    }
    const std::vector<vm_id> peers = m_tails->peers();
    log_offset highest;
    const std::size_t asked = std::min(peers.size(), peersARound);
    for (std::size_t index = 0; index < asked; ++index) {
        const read_result raw = readPeer(peers[(m_peerTurn + index) % peers.size()]);
        if (raw.status == read_status::Ok && !raw.next.isNone()) {
            highest = std::max(highest, log_offset(raw.next.value() - 1));
        }
    }
    m_peerTurn += asked;
    m_nextPeers = monotonicNow() + peerPause;
    if (!logReached) {
        const std::lock_guard lock(m_mutex);
        m_replica.peersAsked(highest);
    }
}

/// Reads what \p peer has until there is no more.
read_result settings_service::readPeer(const vm_id &peer)
{
    const tail_id source = tailOf(peer);
    while (true) {
        log_offset from;
        {
            const std::lock_guard lock(m_mutex);
            from = m_replica.nextFrom(source);
        }
        read_result raw = m_tails->read(peer, settingsStream(), from, std::chrono::steady_clock::now() + peerTimeout);
        take(source, raw);
        const std::lock_guard lock(m_mutex);
        if (raw.status != read_status::Ok || m_replica.nextFrom(source) == from) {
            return raw;
        }
    }
}

void settings_service::take(tail_id source, const read_result &raw)
{
    const record_page page = log_service::decode(raw);
    std::vector<timeline_event> events;
    {
        const std::lock_guard lock(m_mutex);
        const log_offset before = m_replica.tree().applied();
        events = m_replica.take(monotonicNow(), source, page);
        const log_offset applied = m_replica.tree().applied();
        for (const raw_log_entry &entry : raw.entries) {
            if (entry.offset <= applied) {
                m_kept.add(entry, entry.bytes.size());
            }
        }
        const bool isProven = source == tail_id::Log && page.status == read_status::Ok && page.next.value() == applied.value() + 1;
        if (isProven) {
            m_position = tail_position{applied, monotonicNow(), page.first};
        }
        // One copy for a page of records, not one for each.
        if (applied != before) {
            m_tree = std::make_shared<settings_tree>(m_replica.tree());
        }
        if (std::optional<timeline_event> change = m_replica.tick(monotonicNow())) {
            events.push_back(std::move(*change));
        }
    }
    m_folded.notify_all();
    for (timeline_event &event : events) {
        m_events.emit(std::move(event));
    }
}

void settings_service::writeSnapshotIfDue()
{
    std::vector<std::string> members{m_log.vm().text()};
    if (m_tails != nullptr) {
        for (const vm_id &peer : m_tails->peers()) {
            members.push_back(peer.text());
        }
    }
    std::optional<settings_snapshot> due;
    {
        const std::lock_guard lock(m_mutex);
        due = m_replica.snapshotDue(monotonicNow(), wallNow(), members);
    }
    if (due) {
        m_snapshots.tryPush(std::move(*due));
    }
}

/// A thread of its own, so that a slow log delays no reading.
void settings_service::writeSnapshots()
{
    while (std::optional<settings_snapshot> snapshot = m_snapshots.pop()) {
        const log_offset through = snapshot->through;
        const real_deadline deadline = std::chrono::steady_clock::now() + snapshotTimeout;
        const append_result result =
            m_log.append(settingsStream(), m_log.nextRecordId(), std::move(*snapshot), deadline, append_class::Settings);
        if (result.status == append_status::Appended) {
            m_events.emit(timeline_event(event_kind::SnapshotWritten, settingsStream().text())
                              .with(event_field::LogOffset, result.offset)
                              .with(event_field::Version, through));
        }
    }
}

static instant fromRealDeadline(real_deadline when)
{
    return instant(std::chrono::duration_cast<microseconds>(when.time_since_epoch()));
}

submission_answer settings_service::drive(const settings_change &change, real_deadline deadline)
{
    settings_submission submission(change.id, fromRealDeadline(deadline), backoff_limits{});
    std::unique_lock lock(m_mutex);
    // Whoever waits for a record reads the log, also where it goes by its peers otherwise.
    ++m_awaiting;
    m_wake.notify_all();
    const scope_guard awaited([this] {
        --m_awaiting;
    });
    while (true) {
        const submission_decision decision = submission.next(monotonicNow(), m_replica);
        if (decision.answer) {
            return *decision.answer;
        }
        if (!decision.send) {
            m_folded.wait_until(lock, toRealDeadline(decision.until));
            continue;
        }
        submission.sent();
        lock.unlock();
        const real_deadline tryUntil = std::min(deadline, std::chrono::steady_clock::now() + appendTimeout);
        const append_result result = m_log.append(settingsStream(), change.id, change, tryUntil, append_class::Settings);
        lock.lock();
        submission.answered(monotonicNow(), result);
    }
}

static event_kind eventOf(const failure &problem)
{
    switch (problem.kind) {
    case error_kind::SettingConflict:
        return event_kind::SettingsConflict;
    case error_kind::AppendUncertain:
        return event_kind::AppendUncertain;
    default:
        return event_kind::SettingsRefused;
    }
}

log_offset settings_service::submit(settings_change change, real_deadline deadline)
{
    if (change.operatorName.size() > longestOperator) {
        throw error(error_kind::InvalidSetting, "the operator's name is longer than " + std::to_string(longestOperator) + " bytes");
    }
    change.id = m_log.nextRecordId();
    checkAgainstSchema(change);
    const submission_answer answer = drive(change, deadline);
    if (const failure *problem = std::get_if<failure>(&answer)) {
        m_events.emit(timeline_event(eventOf(*problem), change.id.text())
                          .with(event_field::Operator, change.operatorName)
                          .with(event_field::Error, problem->kind)
                          .with(event_field::Cause, problem->detail));
        throw error(*problem);
    }
    const log_offset version = std::get<submission_accepted>(answer).version;
    m_events.emit(timeline_event(event_kind::SettingsAccepted, change.id.text())
                      .with(event_field::Operator, change.operatorName)
                      .with(event_field::LogOffset, version));
    return version;
}

} // namespace fuchsialoom
