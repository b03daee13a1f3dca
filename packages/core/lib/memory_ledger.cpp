/// \file
/// The accelerator-memory ledger of one failure domain.
#include "fuchsialoom/core/memory_ledger.h"

#include <algorithm>
#include <utility>

namespace fuchsialoom
{

/// VMs and targets may differ by this much in wall-clock time.
static constexpr seconds clockSkew{2};
/// A copy that wasn't read for this long doesn't stand in for another.
static constexpr seconds oldestCopy{5};
/// A target that answers no read for this long is lost: longer than a restart or one slow answer takes.
static constexpr seconds lostAfter{5};
/// Orders whose ids are kept, so that a record which the log holds twice is folded once.
static constexpr std::size_t rememberedOrders = 8192;
/// Orders that may be open for one model on one target when all but the newest are stuck.
static constexpr int mostStuck = 4;

artifact artifactOf(const order_intent &intent)
{
    return artifact{intent.model, intent.adapter, intent.version};
}

bool isLoad(order_operation operation)
{
    return operation == order_operation::LoadModel || operation == order_operation::LoadAdapter;
}

bool isUnload(order_operation operation)
{
    return operation == order_operation::UnloadModel || operation == order_operation::UnloadAdapter;
}

static artifact artifactOf(const resident_model &model)
{
    return artifact{model.model, {}, model.version};
}

static artifact artifactOf(const resident_adapter &adapter)
{
    return artifact{adapter.model, adapter.adapter, adapter.version};
}

bool target_account::holds(const artifact &what) const
{
    if (!state) {
        return false;
    }
    const auto same = [&](const auto &item) {
        return artifactOf(item) == what;
    };
    return what.adapter.empty() ? std::any_of(state->models.begin(), state->models.end(), same)
                                : std::any_of(state->adapters.begin(), state->adapters.end(), same);
}

/// What loads names no adapter: an adapter that loads shows under its model.
bool target_account::isLoading(const artifact &what) const
{
    return state && std::any_of(state->loading.begin(), state->loading.end(), [&](const resident_model &item) {
               return item.model == what.model && item.version == what.version;
           });
}

static void count(std::map<artifact, std::uint64_t> &bytes, const artifact &what, std::uint64_t size)
{
    std::uint64_t &counted = bytes[what];
    counted = std::max(counted, size);
}

std::uint64_t target_account::worstBytes() const
{
    std::map<artifact, std::uint64_t> bytes;
    std::uint64_t total = 0;
    if (state) {
        for (const resident_model &model : state->models) {
            count(bytes, artifactOf(model), model.bytes);
        }
        for (const resident_adapter &adapter : state->adapters) {
            count(bytes, artifactOf(adapter), adapter.bytes);
        }
        // Not merged with others: a load under way may be of an adapter, or of a second copy.
        for (const resident_model &loading : state->loading) {
            total += loading.bytes;
        }
    }
    for (const open_order &order : open) {
        if (isLoad(order.intent.operation)) {
            count(bytes, artifactOf(order.intent), order.intent.bytes);
        }
    }
    for (const auto &[what, size] : bytes) {
        total += size;
    }
    return total;
}

target_placement target_account::openLoads() const
{
    std::map<artifact, std::uint64_t> bytes;
    for (const open_order &order : open) {
        if (isLoad(order.intent.operation)) {
            count(bytes, artifactOf(order.intent), order.intent.bytes);
        }
    }
    target_placement loads;
    for (const auto &[what, size] : bytes) {
        if (what.adapter.empty()) {
            loads.models.push_back(resident_model{what.model, what.version, size});
        } else {
            loads.adapters.push_back(resident_adapter{what.model, what.adapter, what.version, size});
        }
    }
    return loads;
}

std::uint64_t target_account::openBytes() const
{
    const target_placement loads = openLoads();
    std::uint64_t total = 0;
    for (const resident_model &model : loads.models) {
        total += model.bytes;
    }
    for (const resident_adapter &adapter : loads.adapters) {
        total += adapter.bytes;
    }
    return total;
}

std::uint64_t target_account::capacity() const
{
    const std::uint64_t reported = state ? state->memoryBytes : 0;
    return reported == 0 ? target.capacityBytes : std::min(target.capacityBytes, reported);
}

void memory_ledger::setTargets(const std::vector<target_memory> &targets)
{
    m_known.clear();
    for (const target_memory &target : targets) {
        m_accounts[target.id].target = target;
        m_known.insert(target.id);
    }
    std::erase_if(m_accounts, [&](const auto &item) {
        return !m_known.contains(item.first) && item.second.open.empty();
    });
}

static bool sameSlot(const order_intent &left, const order_intent &right)
{
    return left.model == right.model && left.adapter == right.adapter;
}

void memory_ledger::add(target_account &account, open_order order)
{
    for (open_order &other : account.open) {
        if (sameSlot(other.intent, order.intent)) {
            other.sole = false;
            order.sole = false;
        }
    }
    account.open.push_back(std::move(order));
}

void memory_ledger::open(instant now, const order_intent &intent, const vm_id &author, incarnation_number incarnation)
{
    add(m_accounts[intent.target], open_order{intent, {}, author, incarnation, now, true, {}, {}});
}

void memory_ledger::applyIntent(instant now, log_offset offset, const log_record &record, const order_intent &intent)
{
    const bool first = isNew(intent.id);
    if (open_order *known = findOpen(intent.id)) {
        known->offset = offset;
        known->openedAt = first ? now : known->openedAt;
        return;
    }
    if (!first) {
        return;
    }
    target_account &account = m_accounts[intent.target];
    account.target.id = intent.target;
    add(account, open_order{intent, offset, record.author, record.incarnation, now, true, {}, {}});
}

bool memory_ledger::isNew(const order_id &order)
{
    if (!m_seen.insert(order).second) {
        return false;
    }
    m_seenInOrder.push_back(order);
    if (m_seenInOrder.size() > rememberedOrders) {
        m_seen.erase(m_seenInOrder.front());
        m_seenInOrder.pop_front();
    }
    return true;
}

std::optional<order_id> memory_ledger::applyResolved(instant now, log_offset intent)
{
    const open_order *order = findIntent(intent);
    if (order == nullptr) {
        return std::nullopt;
    }
    const order_id id = order->intent.id;
    close(id, now);
    return id;
}

void memory_ledger::close(const order_id &order, instant now)
{
    for (auto &[id, account] : m_accounts) {
        const std::size_t closed = std::erase_if(account.open, [&](const open_order &open) {
            return open.intent.id == order;
        });
        if (closed > 0) {
            account.freshAfter = now;
        }
    }
}

void memory_ledger::settle(const order_id &order, order_resolution how)
{
    if (open_order *found = findOpen(order)) {
        found->settled = how;
    }
}

void memory_ledger::accept(const order_id &order, instant now)
{
    open_order *found = findOpen(order);
    if (found == nullptr) {
        return;
    }
    found->acceptedAt = now;
    target_account &account = m_accounts[found->intent.target];
    account.freshAfter = std::max(account.freshAfter, now);
}

void memory_ledger::observe(const target_state &state)
{
    const auto found = m_accounts.find(state.target);
    if (found == m_accounts.end()) {
        return;
    }
    target_account &account = found->second;
    if (account.state && account.state->askedAt > state.askedAt) {
        return;
    }
    if (account.state && account.state->incarnation != state.incarnation) {
        account.fencedWith = {};
    }
    if (state.fence > account.fencedWith) {
        // Someone else has fenced it since: our number is refused from now on.
        account.fencedWith = {};
    }
    account.state = state;
    account.reachable = true;
    account.lostFrom.reset();
}

void memory_ledger::unreachable(const target_id &target, instant now)
{
    const auto found = m_accounts.find(target);
    if (found == m_accounts.end()) {
        return;
    }
    found->second.reachable = false;
    if (!found->second.lostFrom) {
        found->second.lostFrom = now + lostAfter;
    }
}

void memory_ledger::startTerm(instant now)
{
    for (auto &[id, account] : m_accounts) {
        account.freshAfter = now;
        account.fencedWith = {};
    }
}

void memory_ledger::fenced(const target_id &target, fencing_number number, instant now)
{
    target_account &account = m_accounts[target];
    account.fencedWith = number;
    account.highestUsed = std::max(account.highestUsed, number);
    account.freshAfter = now;
    // What was made under a lower number can't land any more. Orders in the log are closed there.
    std::erase_if(account.open, [&](const open_order &order) {
        return order.offset.isNone() && order.intent.fence.value() < number.value();
    });
    for (open_order &order : account.open) {
        if (order.intent.fence.value() < number.value()) {
            order.settled = order_resolution::Refused;
        }
    }
}

void memory_ledger::unfence(const target_id &target)
{
    m_accounts[target].fencedWith = {};
}

void memory_ledger::noteNumber(const target_id &target, fencing_number number)
{
    target_account &account = m_accounts[target];
    account.highestUsed = std::max(account.highestUsed, number);
}

void memory_ledger::forgetOpen()
{
    for (auto &[id, account] : m_accounts) {
        account.open.clear();
        account.state.reset();
    }
    m_seen.clear();
    m_seenInOrder.clear();
}

ledger_verdict memory_ledger::check(const order_intent &intent, const std::set<model_id> &inService, instant now, instant stuckBefore) const
{
    const target_account *account = find(intent.target);
    if (account == nullptr || !m_known.contains(intent.target)) {
        return ledger_verdict::UnknownTarget;
    }
    if (account->target.checksFencing && account->fencedWith.isNone()) {
        return ledger_verdict::NotFenced;
    }
    if (!account->isFresh() || !account->reachable) {
        return ledger_verdict::NeedsFreshRead;
    }
    int stuck = 0;
    for (const open_order &order : account->open) {
        if (!sameSlot(order.intent, intent)) {
            continue;
        }
        ++stuck;
        // One that is over isn't stuck: its resolution is only not in the log yet.
        if (order.openedAt >= stuckBefore || stuck > mostStuck || order.settled) {
            return ledger_verdict::OpenOrder;
        }
    }
    if (account->holds(artifactOf(intent)) == isLoad(intent.operation)) {
        return ledger_verdict::NoEffect;
    }
    return isLoad(intent.operation) ? checkLoad(*account, intent) : checkUnload(*account, intent, inService, now);
}

ledger_verdict memory_ledger::checkLoad(const target_account &account, const order_intent &intent) const
{
    if (intent.operation == order_operation::LoadAdapter) {
        const bool modelResident = std::any_of(account.state->models.begin(), account.state->models.end(), [&](const resident_model &item) {
            return item.model == intent.model;
        });
        if (!modelResident) {
            return ledger_verdict::ModelMissing;
        }
    }
    std::uint64_t added = intent.bytes;
    for (const open_order &order : account.open) {
        if (isLoad(order.intent.operation) && artifactOf(order.intent) == artifactOf(intent)) {
            added = intent.bytes - std::min(intent.bytes, order.intent.bytes); // counted already
        }
    }
    return account.worstBytes() + added <= account.capacity() ? ledger_verdict::Allowed : ledger_verdict::NoRoom;
}

ledger_verdict memory_ledger::checkUnload(const target_account &account,
                                          const order_intent &intent,
                                          const std::set<model_id> &inService,
                                          instant now) const
{
    if (intent.operation == order_operation::UnloadAdapter) {
        return ledger_verdict::Allowed;
    }
    const bool hasAdapter =
        std::any_of(account.state->adapters.begin(), account.state->adapters.end(), [&](const resident_adapter &adapter) {
            return adapter.model == intent.model;
        });
    const bool otherVersion = std::any_of(account.state->models.begin(), account.state->models.end(), [&](const resident_model &item) {
        return item.model == intent.model && item.version != intent.version;
    });
    if (hasAdapter && !otherVersion) {
        return ledger_verdict::AdapterResident;
    }
    if (!inService.contains(intent.model) || certainCopies(intent.model, intent.target, now) > 0) {
        return ledger_verdict::Allowed;
    }
    // The target's own other version is a replacement when nothing can take it away.
    return otherVersion && isCertain(account, intent.model, now) ? ledger_verdict::Allowed : ledger_verdict::LastCopy;
}

bool memory_ledger::isCertain(const target_account &account, const model_id &model, instant now) const
{
    if (!account.isFresh() || !account.reachable || account.state->askedAt + oldestCopy < now) {
        return false;
    }
    if (account.target.checksFencing && account.fencedWith.isNone()) {
        return false; // an order of an earlier leader, which no record shows, may yet land
    }
    if (m_withoutLog && !account.target.checksFencing) {
        return false;
    }
    const bool resident = std::any_of(account.state->models.begin(), account.state->models.end(), [&](const resident_model &item) {
        return item.model == model;
    });
    const bool unloading = std::any_of(account.open.begin(), account.open.end(), [&](const open_order &order) {
        return order.intent.operation == order_operation::UnloadModel && order.intent.model == model;
    });
    return resident && !unloading;
}

std::size_t memory_ledger::certainCopies(const model_id &model, const target_id &except, instant now) const
{
    return static_cast<std::size_t>(std::count_if(m_accounts.begin(), m_accounts.end(), [&](const auto &item) {
        return item.first != except && m_known.contains(item.first) && isCertain(item.second, model, now);
    }));
}

/// Whether a fresh read shows that \p order has landed, and that nothing else can have had its effect.
static bool effectSeen(const target_account &account, const open_order &order)
{
    const target_state &state = *account.state;
    if (!order.sole || state.askedAt <= order.openedAt || state.incarnation != order.intent.targetIncarnation) {
        return false;
    }
    const artifact what = artifactOf(order.intent);
    if (isLoad(order.intent.operation)) {
        return account.holds(what) || (what.adapter.empty() && account.isLoading(what));
    }
    return !account.holds(what);
}

/// What became of an order that the target has taken.
static std::optional<order_resolution> endOfAccepted(const target_account &account, const open_order &order)
{
    const target_state &state = *account.state;
    // A load that is neither resident nor loading has failed at the target; an unload may take its time.
    const bool over = isLoad(order.intent.operation) || !account.holds(artifactOf(order.intent));
    if (state.askedAt <= *order.acceptedAt || !over) {
        return std::nullopt;
    }
    return state.incarnation == order.intent.targetIncarnation ? order_resolution::Done : order_resolution::TargetRestarted;
}

std::vector<provable_end> memory_ledger::provable(const target_account &account, wall_instant wall) const
{
    std::vector<provable_end> ends;
    for (const open_order &order : account.open) {
        std::optional<order_resolution> how = order.settled;
        if (!how && order.acceptedAt && account.state) {
            how = endOfAccepted(account, order);
        } else if (!how && account.state && effectSeen(account, order)) {
            how = order_resolution::Done;
        }
        const bool honoured = account.target.honoursExpiry && order.intent.expires;
        if (!how && honoured && *order.intent.expires + clockSkew < wall) {
            how = order_resolution::Expired;
        }
        if (how) {
            ends.push_back(provable_end{order.intent.id, order.offset, *how});
        }
    }
    return ends;
}

const open_order *memory_ledger::find(const order_id &order) const
{
    for (const auto &[id, account] : m_accounts) {
        for (const open_order &open : account.open) {
            if (open.intent.id == order) {
                return &open;
            }
        }
    }
    return nullptr;
}

open_order *memory_ledger::findOpen(const order_id &order)
{
    return const_cast<open_order *>(std::as_const(*this).find(order));
}

const open_order *memory_ledger::findIntent(log_offset offset) const
{
    for (const auto &[id, account] : m_accounts) {
        for (const open_order &open : account.open) {
            if (open.offset == offset) {
                return &open;
            }
        }
    }
    return nullptr;
}

const target_account *memory_ledger::find(const target_id &target) const
{
    const auto found = m_accounts.find(target);
    return found == m_accounts.end() ? nullptr : &found->second;
}

} // namespace fuchsialoom
