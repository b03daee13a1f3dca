/// \file
/// A failure domain in virtual time for tests of the domain's leader.
#include "leader_world.h"

#include <algorithm>
#include <sstream>

namespace fuchsialoom::test
{

static const domain_id theDomain("embakasi");
static constexpr std::size_t vmCount = 3;
static constexpr milliseconds tickEvery{100};

std::uint64_t fake_target::usedBytes() const
{
    std::uint64_t used = 0;
    for (const resident_model &model : models) {
        used += model.bytes;
    }
    for (const resident_model &model : loading) {
        used += model.bytes;
    }
    for (const resident_adapter &adapter : adapters) {
        used += adapter.bytes;
    }
    return used;
}

leader_world::leader_world(const world_options &options)
    : m_options(options)
    , m_vms(vmCount)
{
    for (const target_manner manner : options.manners) {
        fake_target target;
        target.id = target_id("t" + std::to_string(m_targets.size()));
        target.manner = manner;
        target.capacity = options.capacity;
        m_targets.push_back(target);
    }
    for (std::size_t vm = 0; vm < vmCount; ++vm) {
        m_vms[vm].clockOffset = seconds(static_cast<int>(vm) * 1000);
        introduce(vm);
    }
}

instant leader_world::clockOf(const fake_vm &vm) const
{
    return instant(m_now + vm.clockOffset);
}

void leader_world::introduce(std::size_t vm)
{
    fake_vm &node = m_vms[vm];
    node.leader = std::make_unique<domain_leader>(theDomain, vm_id("vm" + std::to_string(vm)), incarnation_number(node.incarnation));
    std::vector<vm_id> names;
    for (std::size_t other = 0; other < vmCount; ++other) {
        names.emplace_back("vm" + std::to_string(other));
    }
    std::vector<target_memory> memory;
    for (const fake_target &target : m_targets) {
        memory.push_back(target_memory{
            target.id, target.capacity, target.manner == target_manner::ChecksFencing, target.manner == target_manner::HonoursExpiry});
    }
    leader_settings settings;
    settings.orderExpiry = milliseconds(10000);
    settings.weightLoadsPerMinute = 600;
    feed(vm, leader_settings_changed{settings});
    feed(vm, domain_vms{names});
    feed(vm, domain_targets{memory});
    feed(vm, placement_wanted{m_wanted});
}

void leader_world::want(const residency_goal &wanted)
{
    m_wanted = wanted;
    for (std::size_t vm = 0; vm < vmCount; ++vm) {
        feed(vm, placement_wanted{wanted});
    }
}

void leader_world::feed(std::size_t vm, const leader_event &event)
{
    fake_vm &node = m_vms[vm];
    for (leader_action &action : node.leader->step(clockOf(node), wall_instant(m_now), event)) {
        if (auto *append = std::get_if<append_record>(&action)) {
            node.appends.push_back(std::move(*append));
        } else if (auto *send = std::get_if<send_order>(&action)) {
            node.outbox.push_back(std::move(*send));
        } else if (auto *read = std::get_if<read_target_state>(&action)) {
            node.reads.push_back(read->target);
        }
    }
}

void leader_world::tick(std::size_t vm)
{
    takeAnswers(vm);
    if (!m_vms[vm].paused) {
        feed(vm, leader_time_passed{});
    }
}

void leader_world::advance(milliseconds span)
{
    m_now += span;
}

void leader_world::readLog(std::size_t vm)
{
    fake_vm &node = m_vms[vm];
    if (node.paused) {
        return;
    }
    if (m_logDown) {
        feed(vm, log_read_failed{});
        return;
    }
    const auto from = static_cast<std::ptrdiff_t>(node.leader->nextOffset().value() - 1);
    log_records_read page{clockOf(node), log_offset(1), log_offset(m_log.size() + 1), {}, true};
    page.entries.assign(m_log.begin() + from, m_log.end());
    feed(vm, page);
}

void leader_world::appendOne(std::size_t vm, unsigned pick)
{
    fake_vm &node = m_vms[vm];
    if (node.appends.empty() || node.paused) {
        return;
    }
    append_record append = std::move(node.appends.front());
    node.appends.pop_front();
    constexpr unsigned kinds = 8;
    if (m_logDown || pick % kinds == 0) {
        feed(vm, append_refused{append.id});
        return;
    }
    log_record record{append.id, vm_id("vm" + std::to_string(vm)), incarnation_number(node.incarnation), append.body};
    if (pick % kinds == 1) {
        m_lateAppends.push_back(std::move(append));
        m_lateAuthors.emplace_back(vm, node.incarnation);
        return;
    }
    m_log.push_back(log_entry{log_offset(m_log.size() + 1), std::move(record)});
}

void leader_world::sendOne(std::size_t vm, bool checked)
{
    fake_vm &node = m_vms[vm];
    if (node.outbox.empty()) {
        return;
    }
    const send_order send = std::move(node.outbox.front());
    node.outbox.pop_front();
    // Unchecked: the VM was paused between its look at the clock and the send.
    if (checked && clockOf(node) >= send.notAfter) {
        feed(vm, order_answered{send.order.id, order_answer::NotSent, {}});
        return;
    }
    m_wire.push_back(sent_order{send.order, vm, node.incarnation});
}

fake_target &leader_world::targetOf(const target_id &id)
{
    return *std::find_if(m_targets.begin(), m_targets.end(), [&](const fake_target &target) {
        return target.id == id;
    });
}

void leader_world::readOne(std::size_t vm)
{
    fake_vm &node = m_vms[vm];
    if (node.reads.empty() || node.paused) {
        return;
    }
    const fake_target &target = targetOf(node.reads.front());
    node.reads.pop_front();
    target_state state;
    state.target = target.id;
    state.incarnation = incarnation_number(target.incarnation);
    state.fence = fencing_number(target.fence);
    state.askedAt = clockOf(node);
    state.memoryBytes = target.capacity;
    state.models = target.models;
    state.loading = target.loading;
    state.adapters = target.adapters;
    advance(milliseconds(1));
    feed(vm, target_state_read{state});
}

static bool isResident(const fake_target &target, const model_id &model)
{
    return std::any_of(target.models.begin(), target.models.end(), [&](const resident_model &item) {
        return item.model == model;
    });
}

order_answer leader_world::carryOut(fake_target &target, const target_order &order)
{
    if (target.manner == target_manner::ChecksFencing && order.fence.value() < target.fence) {
        return order_answer::StaleFence;
    }
    if (target.manner == target_manner::ChecksFencing) {
        target.fence = order.fence.value();
    }
    if (target.manner == target_manner::HonoursExpiry && order.expires && wall_instant(m_now) > *order.expires) {
        return order_answer::Expired;
    }
    const resident_model model{order.model, order.version, order.bytes};
    const resident_adapter adapter{order.model, order.adapter, order.version, order.bytes};
    const bool known = std::find(target.models.begin(), target.models.end(), model) != target.models.end()
        || std::find(target.loading.begin(), target.loading.end(), model) != target.loading.end();
    switch (order.operation) {
    case order_operation::LoadModel:
        if (!known) {
            target.loading.push_back(model);
        }
        break;
    case order_operation::UnloadModel:
        std::erase(target.models, model);
        std::erase(target.loading, model);
        break;
    case order_operation::LoadAdapter:
        if (std::find(target.adapters.begin(), target.adapters.end(), adapter) == target.adapters.end()) {
            target.adapters.push_back(adapter);
        }
        break;
    case order_operation::UnloadAdapter:
        std::erase(target.adapters, adapter);
        break;
    default:
        break;
    }
    return order_answer::Accepted;
}

void leader_world::checkCapacity(const fake_target &target)
{
    if (m_fault.empty() && target.usedBytes() > target.capacity) {
        m_fault = "overcommit of " + target.id.text();
    }
}

void leader_world::checkLastCopy(const target_order &order)
{
    if (order.operation != order_operation::UnloadModel || !m_wanted.inService.contains(order.model) || m_anyCopyLostOtherwise) {
        return;
    }
    const bool left = std::any_of(m_targets.begin(), m_targets.end(), [&](const fake_target &target) {
        return isResident(target, order.model);
    });
    if (m_fault.empty() && !left) {
        m_fault = "last copy of " + order.model.text() + " unloaded";
    }
}

void leader_world::land(const sent_order &sent, bool answer)
{
    fake_target &target = targetOf(sent.order.target);
    const bool hadCopy = isResident(target, sent.order.model);
    const order_answer said = carryOut(target, sent.order);
    ++m_landed;
    checkCapacity(target);
    if (hadCopy && said == order_answer::Accepted) {
        checkLastCopy(sent.order);
    }
    fake_vm &author = m_vms[sent.vm];
    if (answer && author.incarnation == sent.vmIncarnation) {
        author.answers.push_back(order_answered{sent.order.id, said, fencing_number(target.fence)});
        takeAnswers(sent.vm);
    }
}

void leader_world::takeAnswers(std::size_t vm)
{
    while (!m_vms[vm].paused && !m_vms[vm].answers.empty()) {
        const order_answered answer = m_vms[vm].answers.front();
        m_vms[vm].answers.pop_front();
        feed(vm, answer);
    }
}

void leader_world::hold(std::size_t target, const resident_model &model)
{
    m_targets[target].models.push_back(model);
}

void leader_world::landOne(unsigned pick)
{
    if (m_wire.empty()) {
        return;
    }
    const std::size_t index = pick % m_wire.size();
    const sent_order sent = m_wire[index];
    constexpr unsigned kinds = 5;
    const unsigned kind = pick / 7 % kinds;
    m_wire.erase(m_wire.begin() + static_cast<std::ptrdiff_t>(index));
    if (kind == 0 && m_options.losesMessages) {
        return;
    }
    if (kind == 1 && m_options.losesMessages) {
        land(sent, false);
        return;
    }
    if (kind == 2) {
        land(sent, false); // delivered twice in a row
    }
    land(sent, true);
}

void leader_world::finishLoads(unsigned pick)
{
    fake_target &target = m_targets[pick % m_targets.size()];
    target.models.insert(target.models.end(), target.loading.begin(), target.loading.end());
    target.loading.clear();
}

void leader_world::restartTarget(fake_target &target)
{
    ++target.incarnation;
    m_anyCopyLostOtherwise = m_anyCopyLostOtherwise || !target.models.empty();
    target.models.clear();
    target.loading.clear();
    target.adapters.clear();
}

void leader_world::replaceVm(std::size_t vm)
{
    fake_vm &node = m_vms[vm];
    ++node.incarnation;
    node.paused = false;
    node.outbox.clear();
    node.appends.clear();
    node.reads.clear();
    node.answers.clear();
    introduce(vm);
}

/// Every VM that runs does its work once, so that there is something to disturb.
void leader_world::workAll(unsigned pick)
{
    advance(tickEvery);
    for (std::size_t vm = 0; vm < vmCount; ++vm) {
        tick(vm);
        appendOne(vm, pick / vmCount);
        readLog(vm);
        readOne(vm);
        readOne(vm);
        if (!m_vms[vm].paused) {
            sendOne(vm, true);
        }
    }
    if (pick % 2 == 0) {
        landOne(pick / 2);
        finishLoads(pick / 2);
    }
}

void leader_world::act(unsigned choice, unsigned pick)
{
    const std::size_t vm = pick % vmCount;
    constexpr unsigned kinds = 40;
    switch (choice % kinds) {
    case 0:
        m_vms[vm].paused = true;
        break;
    case 1:
    case 2:
        m_vms[vm].paused = false;
        break;
    case 3:
        m_logDown = pick % 4 == 0;
        break;
    case 4:
        if (m_options.kills && pick % 5 == 0) {
            replaceVm(pick / 5 % vmCount);
        }
        break;
    case 5:
        if (m_options.restarts && pick % 5 == 0) {
            restartTarget(m_targets[pick / 5 % m_targets.size()]);
        }
        break;
    case 6:
        sendOne(vm, false);
        break;
    case 7:
        if (!m_lateAppends.empty()) {
            const auto [author, incarnation] = m_lateAuthors.back();
            append_record late = std::move(m_lateAppends.back());
            m_lateAppends.pop_back();
            m_lateAuthors.pop_back();
            log_record record{late.id, vm_id("vm" + std::to_string(author)), incarnation_number(incarnation), std::move(late.body)};
            m_log.push_back(log_entry{log_offset(m_log.size() + 1), std::move(record)});
        }
        break;
    case 8:
        advance(milliseconds(pick % 4000));
        break;
    case 9:
    case 10:
    case 11:
    case 12:
    case 13:
    case 14:
    case 15:
        workAll(pick);
        break;
    default:
        advance(milliseconds(20 + pick % 50));
        switch (choice % 7) {
        case 0:
            readLog(vm);
            break;
        case 1:
            appendOne(vm, pick / vmCount);
            break;
        case 2:
            if (!m_vms[vm].paused) {
                sendOne(vm, true);
            }
            break;
        case 3:
            readOne(vm);
            break;
        case 4:
            landOne(pick);
            break;
        case 5:
            finishLoads(pick);
            break;
        default:
            tick(vm);
            break;
        }
    }
}

void leader_world::settle(milliseconds span)
{
    m_logDown = false;
    const milliseconds end = m_now + span;
    while (m_now < end && m_fault.empty()) {
        advance(tickEvery);
        for (std::size_t vm = 0; vm < vmCount; ++vm) {
            m_vms[vm].paused = false;
            tick(vm);
            while (!m_vms[vm].appends.empty()) {
                appendOne(vm, 2);
            }
            readLog(vm);
            while (!m_vms[vm].outbox.empty()) {
                sendOne(vm, true);
            }
        }
        while (!m_wire.empty()) {
            const sent_order sent = m_wire.front();
            m_wire.erase(m_wire.begin());
            land(sent, true);
        }
        for (std::size_t vm = 0; vm < vmCount; ++vm) {
            while (!m_vms[vm].reads.empty()) {
                readOne(vm);
            }
        }
        for (unsigned target = 0; target < m_targets.size(); ++target) {
            finishLoads(target);
        }
    }
}

bool leader_world::reached() const
{
    for (const auto &[id, content] : m_wanted.targets) {
        const auto target = std::find_if(m_targets.begin(), m_targets.end(), [&, name = id](const fake_target &item) {
            return item.id == name;
        });
        const auto holds = [&](const resident_model &model) {
            return std::find(target->models.begin(), target->models.end(), model) != target->models.end();
        };
        const auto holdsAdapter = [&](const resident_adapter &adapter) {
            return std::find(target->adapters.begin(), target->adapters.end(), adapter) != target->adapters.end();
        };
        if (!std::all_of(content.models.begin(), content.models.end(), holds)
            || !std::all_of(content.adapters.begin(), content.adapters.end(), holdsAdapter)) {
            return false;
        }
    }
    return true;
}

std::size_t leader_world::claims() const
{
    return static_cast<std::size_t>(std::count_if(m_log.begin(), m_log.end(), [](const log_entry &entry) {
        return std::holds_alternative<leadership_claim>(entry.record->body);
    }));
}

std::string leader_world::describe() const
{
    std::ostringstream text;
    for (const fake_target &target : m_targets) {
        text << target.id.text() << ':';
        for (const resident_model &model : target.models) {
            text << ' ' << model.model.text() << '@' << model.version.text();
        }
        for (const fake_vm &vm : m_vms) {
            const target_account *account = vm.leader->ledger().find(target.id);
            text << " [" << vm.leader->lease().holds(clockOf(vm)) << ' ' << account->isFresh() << ' ' << account->worstBytes() << " open";
            for (const open_order &order : account->open) {
                text << ' ' << nameOf(order.intent.operation) << ' ' << order.intent.model.text();
            }
            text << ']';
        }
        text << '\n';
    }
    return text.str();
}

} // namespace fuchsialoom::test
