/// \file
/// Turns a wanted placement into the next safe orders.
#include "fuchsialoom/core/order_steps.h"

#include <algorithm>
#include <utility>

namespace fuchsialoom
{

static constexpr microseconds minute{60000000};
/// Loads that may begin together after a quiet time, in slots.
static constexpr int burst = 1;

void load_allowance::configure(std::uint32_t slots, std::uint32_t loadsPerMinute)
{
    m_slots = slots;
    m_interval = minute / std::max<std::uint32_t>(1, loadsPerMinute);
}

bool load_allowance::allows(instant now, std::size_t running) const
{
    return running < m_slots && m_nextAt <= now + m_interval * (m_slots * burst);
}

void load_allowance::take(instant now)
{
    m_nextAt = std::max(m_nextAt, now) + m_interval;
}

std::size_t loadsUnderWay(const memory_ledger &ledger, instant stuckBefore)
{
    std::size_t count = 0;
    for (const auto &[id, account] : ledger.accounts()) {
        count += account.state ? account.state->loading.size() : 0;
        count += static_cast<std::size_t>(std::count_if(account.open.begin(), account.open.end(), [&](const open_order &order) {
            return isLoad(order.intent.operation) && order.openedAt >= stuckBefore;
        }));
    }
    return count;
}

step_chooser::step_chooser(const memory_ledger &ledger, const residency_goal &wanted, instant now, instant stuckBefore)
    : m_ledger(ledger)
    , m_wanted(wanted)
    , m_now(now)
    , m_stuckBefore(stuckBefore)
{
    for (const auto &[id, account] : m_ledger.accounts()) {
        if (!account.isFresh()) {
            continue;
        }
        std::set<model_id> held;
        for (const resident_model &model : account.state->models) {
            if (held.insert(model.model).second && m_ledger.isCertain(account, model.model, m_now)) {
                ++m_copies[model.model];
            }
        }
    }
}

static bool takesWeights(const order_step &step)
{
    return isLoad(step.operation);
}

next_steps step_chooser::choose(const load_allowance &share) const
{
    next_steps steps;
    load_allowance left = share;
    std::size_t running = loadsUnderWay(m_ledger, m_stuckBefore);
    std::set<target_id> used;
    for (const auto &[id, account] : m_ledger.accounts()) {
        const std::optional<step_result> next = nextFor(account);
        if (!next) {
            continue;
        }
        if (const auto *withheld = std::get_if<withheld_step>(&*next)) {
            steps.withheld.push_back(*withheld);
            continue;
        }
        const order_step &step = std::get<order_step>(*next);
        if (used.contains(step.target) || (takesWeights(step) && !left.allows(m_now, running))) {
            continue;
        }
        used.insert(step.target);
        if (takesWeights(step)) {
            left.take(m_now);
            ++running;
        }
        steps.orders.push_back(step);
    }
    return steps;
}

const target_placement *step_chooser::wantedOn(const target_id &target) const
{
    const auto found = m_wanted.targets.find(target);
    return found == m_wanted.targets.end() ? nullptr : &found->second;
}

bool step_chooser::isBusy(const target_account &account) const
{
    return std::any_of(account.open.begin(), account.open.end(), [&](const open_order &order) {
        return order.openedAt >= m_stuckBefore;
    });
}

std::optional<step_chooser::step_result> step_chooser::nextFor(const target_account &account) const
{
    if (isBusy(account) || !account.isFresh() || !account.reachable) {
        return std::nullopt;
    }
    const std::vector<order_step> missing = missingLoads(account);
    std::optional<step_result> blocked;
    for (const order_step &step : missing) {
        std::optional<step_result> next = load(account, step);
        if (next && std::holds_alternative<order_step>(*next)) {
            return next;
        }
        if (!blocked) {
            blocked = std::move(next);
        }
    }
    if (std::optional<order_step> extra = dropExtra(account)) {
        return *extra;
    }
    return blocked;
}

/// Whether the target holds the version of \p model that is wanted there. Adapters come and go with it.
static bool holdsWanted(const target_account &account, const target_placement &wanted, const model_id &model)
{
    return std::any_of(wanted.models.begin(), wanted.models.end(), [&](const resident_model &item) {
        return item.model == model && account.holds(artifact{item.model, {}, item.version});
    });
}

std::vector<order_step> step_chooser::missingLoads(const target_account &account) const
{
    std::vector<order_step> missing;
    const target_placement *content = wantedOn(account.target.id);
    if (content == nullptr) {
        return missing;
    }
    for (const resident_model &model : content->models) {
        const artifact what{model.model, {}, model.version};
        if (!account.holds(what) && !account.isLoading(what)) {
            missing.push_back(order_step{account.target.id, order_operation::LoadModel, what, model.bytes});
        }
    }
    const auto copiesOf = [&](const order_step &step) {
        const auto found = m_copies.find(step.what.model);
        return found == m_copies.end() ? std::size_t{0} : found->second;
    };
    std::stable_sort(missing.begin(), missing.end(), [&](const order_step &left, const order_step &right) {
        return copiesOf(left) < copiesOf(right);
    });
    for (const resident_adapter &adapter : content->adapters) {
        const artifact what{adapter.model, adapter.adapter, adapter.version};
        if (!account.holds(what) && holdsWanted(account, *content, adapter.model)) {
            missing.push_back(order_step{account.target.id, order_operation::LoadAdapter, what, adapter.bytes});
        }
    }
    return missing;
}

static order_intent probe(const order_step &step)
{
    order_intent intent;
    intent.target = step.target;
    intent.operation = step.operation;
    intent.model = step.what.model;
    intent.adapter = step.what.adapter;
    intent.version = step.what.version;
    intent.bytes = step.bytes;
    return intent;
}

ledger_verdict step_chooser::check(const order_step &step) const
{
    return m_ledger.check(probe(step), m_wanted.inService, m_now, m_stuckBefore);
}

std::optional<step_chooser::step_result> step_chooser::load(const target_account &account, const order_step &wantedLoad) const
{
    const ledger_verdict verdict = check(wantedLoad);
    if (verdict == ledger_verdict::Allowed) {
        return wantedLoad;
    }
    if (verdict == ledger_verdict::NoRoom) {
        return makeRoom(account, wantedLoad);
    }
    return withheld_step{wantedLoad, verdict};
}

std::optional<step_chooser::step_result> step_chooser::makeRoom(const target_account &account, const order_step &wantedLoad) const
{
    const std::vector<order_step> candidates = unwanted(account);
    for (const order_step &step : candidates) {
        if (check(step) == ledger_verdict::Allowed) {
            return step;
        }
    }
    for (const order_step &step : candidates) {
        if (check(step) != ledger_verdict::LastCopy) {
            continue;
        }
        if (std::optional<step_result> elsewhere = bridge(account, resident_model{step.what.model, step.what.version, step.bytes})) {
            return elsewhere;
        }
        return withheld_step{step, ledger_verdict::LastCopy};
    }
    return withheld_step{wantedLoad, ledger_verdict::NoRoom};
}

/// The version of \p model that the placement wants, or the one that is there.
static resident_model wantedVersion(const residency_goal &wanted, const resident_model &model)
{
    for (const auto &[id, content] : wanted.targets) {
        for (const resident_model &item : content.models) {
            if (item.model == model.model) {
                return item;
            }
        }
    }
    return model;
}

std::optional<step_chooser::step_result> step_chooser::bridge(const target_account &account, const resident_model &victim) const
{
    const resident_model copy = wantedVersion(m_wanted, victim);
    for (const auto &[id, other] : m_ledger.accounts()) {
        const order_step step{id, order_operation::LoadModel, artifact{copy.model, {}, copy.version}, copy.bytes};
        if (id == account.target.id) {
            continue;
        }
        if (other.isLoading(step.what) || other.holds(step.what)) {
            return withheld_step{step, ledger_verdict::OpenOrder}; // under way already
        }
        if (!isBusy(other) && check(step) == ledger_verdict::Allowed) {
            return step;
        }
    }
    return std::nullopt;
}

std::vector<order_step> step_chooser::unwanted(const target_account &account) const
{
    std::vector<order_step> steps;
    const target_placement *content = wantedOn(account.target.id);
    if (content == nullptr) {
        return steps;
    }
    const target_placement &wanted = *content;
    for (const resident_adapter &adapter : account.state->adapters) {
        const bool keeps = std::any_of(wanted.adapters.begin(), wanted.adapters.end(), [&](const resident_adapter &item) {
            return item.model == adapter.model && item.adapter == adapter.adapter && item.version == adapter.version;
        });
        if (!keeps || !holdsWanted(account, wanted, adapter.model)) {
            const artifact what{adapter.model, adapter.adapter, adapter.version};
            steps.push_back(order_step{account.target.id, order_operation::UnloadAdapter, what, adapter.bytes});
        }
    }
    std::vector<order_step> retired;
    for (const resident_model &model : account.state->models) {
        const bool keeps = std::any_of(wanted.models.begin(), wanted.models.end(), [&](const resident_model &item) {
            return item.model == model.model && item.version == model.version;
        });
        if (keeps) {
            continue;
        }
        const order_step step{account.target.id, order_operation::UnloadModel, artifact{model.model, {}, model.version}, model.bytes};
        std::vector<order_step> &list = m_wanted.inService.contains(model.model) ? steps : retired;
        list.push_back(step);
    }
    // What no service uses goes first.
    steps.insert(steps.begin(), retired.begin(), retired.end());
    return steps;
}

bool step_chooser::allWantedHeld(const model_id &model) const
{
    bool wanted = false;
    for (const auto &[id, content] : m_wanted.targets) {
        for (const resident_model &item : content.models) {
            if (item.model != model) {
                continue;
            }
            const target_account *account = m_ledger.find(id);
            const bool held = account != nullptr && account->holds(artifact{model, {}, item.version});
            if (!held || !m_ledger.isCertain(*account, model, m_now)) {
                return false;
            }
            wanted = true;
        }
    }
    return wanted;
}

std::optional<order_step> step_chooser::dropExtra(const target_account &account) const
{
    for (const order_step &step : unwanted(account)) {
        if (allWantedHeld(step.what.model) && check(step) == ledger_verdict::Allowed) {
            return step;
        }
    }
    return std::nullopt;
}

} // namespace fuchsialoom
