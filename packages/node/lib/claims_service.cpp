/// \file
/// Hosts the claim machine.
#include "fuchsialoom/node/claims_service.h"

#include "fuchsialoom/core/streams.h"
#include "fuchsialoom/node/node_clock.h"
#include "fuchsialoom/wire/claim_codec.h"

#include <algorithm>
#include <utility>

namespace fuchsialoom
{

static constexpr std::size_t ringCapacity = 65536;
static constexpr std::size_t callCapacity = 4096;
static constexpr milliseconds tickEvery{5};
static constexpr milliseconds lookEvery{500};
static constexpr milliseconds appendTimeout{2000};
static constexpr milliseconds stopTimeout{2000};
static constexpr milliseconds listTimeout{2000};
static constexpr unsigned logThreads = 4; ///< for appends, and as many for reads
static constexpr unsigned callThreads = 4;

claims_service::claims_service(const claim_options &options, claim_surroundings around)
    : m_vm(options.vm)
    , m_peerWait(options.ownerTimeout)
    , m_around(around)
    , m_machine(options)
    , m_ring(ringCapacity)
    , m_appends(std::size_t{2} * options.partitions)
    , m_reads(options.partitions)
    , m_calls(callCapacity)
    , m_window(options.window.count())
{
    action_handlers &handlers = m_around.decisions.handlers();
    handlers.placeClaim = [this](const place_claim &action) {
        post(action);
    };
    handlers.settleClaim = [this](const settle_claim &action) {
        post(action);
    };
    handlers.voidClaim = [this](const void_claim &action) {
        post(action);
    };
    if (m_around.peers == nullptr) {
        return;
    }
    m_around.peers->handlers().claim = [this](const proto::claim_request &request) {
        return serveClaim(request);
    };
    m_around.peers->handlers().settle = [this](const proto::settle_request &request) {
        serveEnds(request);
    };
}

/// Never waits: the decision thread calls it. What a full ring drops was never claimed, or leaves its
/// key unknown; both are told truly.
void claims_service::post(claim_event event)
{
    if (!m_ring.tryPush(std::move(event))) {
        m_around.events.emit(
            timeline_event(event_kind::LogUnavailable, m_vm.text()).with(event_field::Cause, std::string("claims ring full")));
    }
}

void claims_service::start()
{
    m_threads.emplace_back([this] {
        run();
    });
    for (unsigned i = 0; i < logThreads; ++i) {
        m_threads.emplace_back([this] {
            appendAll();
        });
        m_threads.emplace_back([this] {
            readAll();
        });
    }
    for (unsigned i = 0; i < callThreads && m_around.peers != nullptr; ++i) {
        m_threads.emplace_back([this] {
            callAll();
        });
    }
}

void claims_service::stop()
{
    const instant deadline = monotonicNow() + stopTimeout;
    while (m_load > 0 && monotonicNow() < deadline) {
        std::this_thread::sleep_for(tickEvery);
    }
    m_calls.close();
    m_reads.close();
    m_appends.close();
    m_ring.close();
    m_threads.clear();
}

void claims_service::run()
{
    while (!m_ring.closed()) {
        const std::optional<claim_event> event = m_ring.popUntil(std::chrono::steady_clock::now() + tickEvery);
        if (monotonicNow() >= m_nextLook) {
            m_nextLook = monotonicNow() + lookEvery;
            readSettings();
            readMembers();
        }
        readLogState();
        step(event ? *event : claim_event(time_passed{}));
    }
}

void claims_service::step(const claim_event &event)
{
    std::vector<claim_action> actions = m_machine.step(claim_time{monotonicNow(), wallNow()}, event);
    m_load = m_machine.load();
    m_window = m_machine.window().count();
    for (claim_action &action : actions) {
        std::visit(
            [&](auto &one) {
                carryOut(one);
            },
            action);
    }
}

void claims_service::readSettings()
{
    const auto tree = m_around.settings.tree();
    const milliseconds wanted(tree->integerAt(setting_path(), setting_key::DedupWindowMs));
    const milliseconds kept(tree->integerAt(setting_path(), setting_key::LogRetentionMs));
    step(claim_window_changed{std::min(wanted, kept)});
}

void claims_service::readLogState()
{
    const bool available = m_around.log.isAvailable();
    if (available != m_logAvailable) {
        m_logAvailable = available;
        step(claim_log_changed{available});
    }
}

void claims_service::readMembers()
{
    if (m_around.peers == nullptr) {
        return;
    }
    std::vector<claim_member> members;
    for (const peer_view &peer : m_around.peers->peers()) {
        members.push_back(claim_member{peer.vm, peer.incarnation, peer.reachable});
    }
    if (members != m_members) {
        m_members = members;
        step(claim_members_changed{std::move(members)});
    }
}

void claims_service::carryOut(append_claims &action)
{
    m_appends.tryPush(std::move(action));
}

void claims_service::carryOut(read_claims &action)
{
    m_reads.tryPush(action);
}

void claims_service::carryOut(ask_claim_owner &action)
{
    const claim_id claim = action.claim.id;
    if (!m_calls.tryPush(std::move(action))) {
        post(claim_owner_answered{claim, std::nullopt});
    }
}

void claims_service::carryOut(send_claim_ends &action)
{
    const std::uint32_t partition = action.partition;
    if (!m_calls.tryPush(std::move(action))) {
        post(claim_ends_answered{partition, false});
    }
}

/// Fulfils what a peer's call waits for, unless it has stopped waiting.
template<typename Answer>
static void fulfil(std::map<ask_number, std::promise<Answer>> &asks, ask_number ask, Answer answer)
{
    const auto found = asks.find(ask);
    if (found != asks.end()) {
        found->second.set_value(std::move(answer));
        asks.erase(found);
    }
}

void claims_service::carryOut(answer_claim_peer &action)
{
    const std::lock_guard lock(m_mutex);
    fulfil(m_claimAsks, action.ask, std::move(action.reply));
}

void claims_service::carryOut(answer_ends_peer &action)
{
    const std::lock_guard lock(m_mutex);
    fulfil(m_endsAsks, action.ask, bool(action.appended));
}

void claims_service::carryOut(unknown_claims_listed &action)
{
    const std::lock_guard lock(m_mutex);
    const ask_number ask = action.ask;
    fulfil(m_unknownAsks, ask, std::move(action));
}

void claims_service::carryOut(claim_decided &action)
{
    m_around.decisions.post(std::move(action));
}

void claims_service::carryOut(emit_event &action)
{
    m_around.events.emit(std::move(action.event));
}

static claim_append_status statusOf(append_status status)
{
    switch (status) {
    case append_status::Appended:
        return claim_append_status::Appended;
    case append_status::Refused:
        return claim_append_status::Refused;
    case append_status::Uncertain:
        break;
    }
    return claim_append_status::Uncertain;
}

void claims_service::appendAll()
{
    while (std::optional<append_claims> action = m_appends.pop()) {
        const append_result result = m_around.log.append(claimStream(action->partition),
                                                         m_around.log.nextRecordId(),
                                                         std::move(action->body),
                                                         std::chrono::steady_clock::now() + appendTimeout);
        m_ring.push(claim_append_answered{action->partition, action->kind, statusOf(result.status), result.offset});
    }
}

void claims_service::readAll()
{
    while (const std::optional<read_claims> action = m_reads.pop()) {
        record_page page = m_around.log.read(claimStream(action->partition), action->from, std::chrono::steady_clock::now());
        m_ring.push(claim_records_read{action->partition, page.status == read_status::Ok, page.first, page.next, std::move(page.entries)});
    }
}

void claims_service::callAll()
{
    while (const std::optional<claim_call> action = m_calls.pop()) {
        m_ring.push(std::visit(
            [&](const auto &one) {
                return call(one);
            },
            *action));
    }
}

claim_event claims_service::call(const ask_claim_owner &action)
{
    proto::claim_request request;
    *request.mutable_claim() = toProto(action.claim);
    request.set_remaining_micros((action.deadline - monotonicNow()).count());
    const auto reply = m_around.peers->claim(action.owner, request, toRealDeadline(action.deadline));
    return claim_owner_answered{action.claim.id, reply ? fromProto(*reply) : std::nullopt};
}

claim_event claims_service::call(const send_claim_ends &action)
{
    const bool appended = m_around.peers->settle(action.owner, toProto(action.ends), std::chrono::steady_clock::now() + appendTimeout);
    return claim_ends_answered{action.partition, appended};
}

/// Waits for the answer of the duty thread. \throws error(AppendUncertain) where there is none in time: a
/// peer then appends itself.
template<typename Answer>
static Answer
await(std::future<Answer> answer, milliseconds wait, std::mutex &mutex, std::map<ask_number, std::promise<Answer>> &asks, ask_number ask)
{
    if (answer.wait_for(wait) == std::future_status::ready) {
        return answer.get();
    }
    const std::lock_guard lock(mutex);
    asks.erase(ask);
    throw error(error_kind::AppendUncertain, "no answer to call " + std::to_string(ask.value()));
}

proto::claim_reply claims_service::serveClaim(const proto::claim_request &request)
{
    const auto wait =
        std::clamp(std::chrono::duration_cast<milliseconds>(microseconds(request.remaining_micros())), milliseconds(0), m_peerWait);
    std::unique_lock lock(m_mutex);
    const ask_number ask(++m_lastAsk);
    std::future<claim_reply> answer = m_claimAsks[ask].get_future();
    lock.unlock();
    post(peer_claim_arrived{ask, fromProto(request.claim()), monotonicNow() + wait});
    return toProto(await(std::move(answer), wait, m_mutex, m_claimAsks, ask));
}

void claims_service::serveEnds(const proto::settle_request &request)
{
    std::optional<key_outcomes> ends = fromProto(request);
    if (!ends) {
        throw error(error_kind::CorruptRecord, "a peer's outcome has an unknown name");
    }
    std::unique_lock lock(m_mutex);
    const ask_number ask(++m_lastAsk);
    std::future<bool> answer = m_endsAsks[ask].get_future();
    lock.unlock();
    post(peer_ends_arrived{ask, std::move(*ends)});
    if (!await(std::move(answer), appendTimeout, m_mutex, m_endsAsks, ask)) {
        throw error(error_kind::Overloaded, "no room for a peer's outcomes");
    }
}

unknown_claims_listed claims_service::unknownClaims(const std::string &scope, std::size_t most)
{
    std::unique_lock lock(m_mutex);
    const ask_number ask(++m_lastAsk);
    std::future<unknown_claims_listed> answer = m_unknownAsks[ask].get_future();
    lock.unlock();
    post(list_unknown_claims{ask, scope, most});
    return await(std::move(answer), listTimeout, m_mutex, m_unknownAsks, ask);
}

} // namespace fuchsialoom
