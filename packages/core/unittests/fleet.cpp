/// \file
/// Several VMs' membership and watch plans over a fake network.
#include "fleet.h"

#include <algorithm>
#include <initializer_list>
#include <string_view>

namespace fuchsialoom
{

static constexpr std::size_t domains = 2;
/// Rounds after which a VM that reaches a target must know that it lives, whatever else fails.
static constexpr std::size_t roundsToFind = 12;

static std::string sentence(std::initializer_list<std::string_view> parts)
{
    std::string text;
    for (const std::string_view part : parts) {
        text += part;
    }
    return text;
}

fleet_vm::fleet_vm(const vm_contact &self, seconds clockOffset)
    : members(self, membership_rules{fleetHeartbeat, fleetSuspectAfter})
    , watch(self.vm, fleetSuspectAfter)
    , offset(clockOffset)
{
}

static domain_id domainOf(std::size_t index)
{
    return domain_id("d" + std::to_string(index % domains));
}

fleet::fleet(std::size_t vmsPerDomain, std::size_t targetsPerDomain)
    : m_slots(vmsPerDomain * domains)
    , m_targets(targetsPerDomain * domains)
{
    for (std::size_t index = 0; index < m_slots.size(); ++index) {
        const auto port = static_cast<std::uint16_t>(index + 1);
        start(m_slots[index], vm_contact{vm_id("vm" + std::to_string(index)), {}, domainOf(index), {"h", port}, {"a", port}, false});
    }
    for (std::size_t index = 0; index < m_targets.size(); ++index) {
        listed_target &target = m_targets[index].listed;
        target.id = target_id("t" + std::to_string(index));
        target.domain = domainOf(index);
    }
    publishList();
}

void fleet::start(slot &where, vm_contact contact)
{
    contact.incarnation = incarnation_number(m_nextIncarnation);
    const seconds offset(static_cast<std::int64_t>(m_nextIncarnation * 977));
    ++m_nextIncarnation;
    where.contact = contact;
    where.vm.emplace(contact, offset);
}

void fleet::publishList()
{
    m_list = vm_listing();
    for (const slot &where : m_slots) {
        if (where.vm) {
            const vm_contact &contact = where.contact;
            m_list.vms.push_back(listed_vm{contact.vm, contact.domain, contact.peer, contact.admin, listed_state::Live});
        }
    }
    for (const fleet_target &target : m_targets) {
        m_list.targets.push_back(target.listed);
    }
}

void fleet::cut(std::size_t from, std::size_t to)
{
    m_cuts.emplace(from % m_slots.size(), to % m_slots.size());
}

void fleet::cutTarget(std::size_t vm, std::size_t target)
{
    m_targetCuts.emplace(vm % m_slots.size(), target % m_targets.size());
}

void fleet::freeze(std::size_t vm)
{
    if (auto &process = m_slots[vm % m_slots.size()].vm) {
        process->frozen = true;
    }
}

void fleet::thaw(std::size_t vm)
{
    if (auto &process = m_slots[vm % m_slots.size()].vm) {
        process->frozen = false;
    }
}

void fleet::kill(std::size_t vm)
{
    m_slots[vm % m_slots.size()].vm.reset();
}

void fleet::replace(std::size_t vm, bool sameName)
{
    slot &where = m_slots[vm % m_slots.size()];
    vm_contact contact = where.contact;
    if (!sameName) {
        contact.vm = vm_id("new" + std::to_string(m_nextName++));
    }
    start(where, contact);
}

void fleet::killTarget(std::size_t target)
{
    m_targets[target % m_targets.size()].running = false;
}

void fleet::restartTarget(std::size_t target)
{
    fleet_target &chosen = m_targets[target % m_targets.size()];
    chosen.running = true;
    ++chosen.incarnation;
}

void fleet::freezeList(bool frozen)
{
    m_listFrozen = frozen;
}

void fleet::keepDigest(std::size_t vm)
{
    m_kept.push_back(late_digest{m_slots[vm % m_slots.size()].contact});
}

void fleet::deliverKept(std::size_t to)
{
    auto &receiver = m_slots[to % m_slots.size()].vm;
    if (!receiver || receiver->frozen) {
        return;
    }
    for (const late_digest &digest : m_kept) {
        receiver->members.step(receiver->clock(m_now), peer_heard{digest.contact, true, false});
        noteIncarnations(*receiver);
    }
}

void fleet::heal()
{
    m_cuts.clear();
    m_targetCuts.clear();
    m_listFrozen = false;
    for (slot &where : m_slots) {
        if (where.vm) {
            where.vm->frozen = false;
        }
    }
}

bool fleet::reaches(std::size_t vm, std::size_t target) const
{
    const bool sameDomain = m_slots[vm].contact.domain == m_targets[target].listed.domain;
    return sameDomain && m_targets[target].running && !m_targetCuts.contains({vm, target});
}

std::optional<std::size_t> fleet::slotAt(const endpoint &address) const
{
    for (std::size_t index = 0; index < m_slots.size(); ++index) {
        if (m_slots[index].vm && m_slots[index].contact.peer == address) {
            return index;
        }
    }
    return std::nullopt;
}

void fleet::deliver(const vm_contact &from, const fleet_vm &sender, bool hears, bool answers, fleet_vm &receiver)
{
    const instant now = receiver.clock(m_now);
    const instant sentAt = sender.clock(m_now);
    receiver.members.step(now, peer_heard{from, hears, answers});
    for (const known_peer &peer : sender.members.peers()) {
        if (peer.state == peer_state::Alive) {
            receiver.members.step(now, peer_mentioned{peer.contact});
        }
    }
    noteIncarnations(receiver);
    if (from.domain != receiver.members.self().domain) {
        return;
    }
    for (const watched_target &found : sender.watch.foundHere(sentAt)) {
        load_report report = *found.report;
        report.takenAt = now - (sentAt - report.takenAt);
        receiver.watch.step(now, report_learned{report, now - (sentAt - *found.answeredHereAt)});
    }
}

void fleet::noteIncarnations(fleet_vm &vm)
{
    for (const known_peer &peer : vm.members.peers()) {
        incarnation_number &highest = vm.highest[peer.contact.vm];
        if (peer.contact.incarnation < highest && m_wentDown.empty()) {
            m_wentDown = "an incarnation of " + peer.contact.vm.text() + " went down";
        }
        highest = std::max(highest, peer.contact.incarnation);
    }
}

void fleet::beat(std::size_t sender)
{
    fleet_vm &vm = *m_slots[sender].vm;
    const instant now = vm.clock(m_now);
    const membership_actions actions = vm.members.step(now, heartbeat_due{});
    for (const send_heartbeat &heartbeat : actions.heartbeats) {
        const std::optional<std::size_t> to = slotAt(heartbeat.to);
        if (!to || *to == sender || m_slots[*to].vm->frozen || m_cuts.contains({sender, *to})) {
            continue;
        }
        fleet_vm &receiver = *m_slots[*to].vm;
        deliver(vm.members.self(), vm, vm.members.hears(receiver.members.self().vm), false, receiver);
        if (!m_cuts.contains({*to, sender})) {
            deliver(receiver.members.self(), receiver, receiver.members.hears(vm.members.self().vm), true, vm);
        }
    }
    vm.watch.step(now, watchers_known{vm.members.dutyHolders(), vm.members.isStale()});
    probe(sender, vm.watch.step(now, watch_due{}));
}

void fleet::probe(std::size_t prober, const watch_actions &actions)
{
    fleet_vm &vm = *m_slots[prober].vm;
    const instant now = vm.clock(m_now);
    for (const listed_target &asked : actions.probes) {
        for (std::size_t index = 0; index < m_targets.size(); ++index) {
            if (m_targets[index].listed.id != asked.id) {
                continue;
            }
            if (!reaches(prober, index)) {
                vm.watch.step(now, probe_failed{asked.id});
                continue;
            }
            load_report report;
            report.target = asked.id;
            report.incarnation = incarnation_number(m_targets[index].incarnation);
            report.takenAt = now;
            vm.watch.step(now, probe_answered{report});
        }
    }
}

void fleet::noteReachability()
{
    for (std::size_t slot = 0; slot < m_slots.size(); ++slot) {
        auto &vm = m_slots[slot].vm;
        for (std::size_t target = 0; vm && target < m_targets.size(); ++target) {
            std::size_t &rounds = vm->reachableFor[m_targets[target].listed.id];
            rounds = !vm->frozen && reaches(slot, target) ? rounds + 1 : 0;
        }
    }
}

void fleet::round()
{
    m_now += fleetHeartbeat;
    if (!m_listFrozen) {
        publishList();
    }
    for (std::size_t index = 0; index < m_slots.size(); ++index) {
        auto &vm = m_slots[index].vm;
        if (!vm || vm->frozen) {
            continue;
        }
        const instant now = vm->clock(m_now);
        vm->members.step(now, vms_listed{m_list.vms});
        std::vector<listed_target> own;
        std::copy_if(m_list.targets.begin(), m_list.targets.end(), std::back_inserter(own), [&](const listed_target &target) {
            return target.domain == vm->members.self().domain;
        });
        vm->watch.step(now, targets_listed{own});
        noteIncarnations(*vm);
        beat(index);
    }
    noteReachability();
}

std::string fleet::brokenInvariant() const
{
    for (const slot &where : m_slots) {
        if (!where.vm) {
            continue;
        }
        for (const watched_target &target : where.vm->watch.targets()) {
            const auto rounds = where.vm->reachableFor.find(target.target.id);
            if (target.lost && rounds != where.vm->reachableFor.end() && rounds->second >= roundsToFind) {
                return where.contact.vm.text() + " counts " + target.target.id.text() + " as lost, which answers it";
            }
        }
    }
    return m_wentDown;
}

std::string fleet::differenceAt(const fleet_vm &vm) const
{
    const std::string name = vm.members.self().vm.text();
    std::set<vm_id> expected;
    for (const slot &where : m_slots) {
        if (where.vm && where.contact.domain == vm.members.self().domain) {
            expected.insert(where.contact.vm);
        }
    }
    const std::vector<vm_id> holders = vm.members.dutyHolders();
    if (std::set<vm_id>(holders.begin(), holders.end()) != expected) {
        return name + " does not know the domain's VMs";
    }
    std::set<domain_id> reached;
    for (const known_peer &peer : vm.members.peers()) {
        const std::optional<std::size_t> holder = slotAt(peer.contact.peer);
        const bool runs = holder && m_slots[*holder].contact.vm == peer.contact.vm;
        const bool isOwn = peer.contact.domain == vm.members.self().domain;
        if (peer.state == peer_state::Alive && !runs) {
            return name + " thinks " + peer.contact.vm.text() + " alive";
        }
        if (runs && isOwn && (peer.contact.incarnation != m_slots[*holder].contact.incarnation || !peer.reachable)) {
            return name + " is not sure of " + peer.contact.vm.text();
        }
        if (peer.reachable) {
            reached.insert(peer.contact.domain);
        }
    }
    for (const slot &where : m_slots) {
        const domain_id &domain = where.contact.domain;
        if (where.vm && domain != vm.members.self().domain && !reached.contains(domain)) {
            return name + " has no contact in " + domain.text();
        }
    }
    return targetDifferenceAt(vm);
}

std::string fleet::targetDifferenceAt(const fleet_vm &vm) const
{
    const std::string name = vm.members.self().vm.text();
    for (const watched_target &target : vm.watch.targets()) {
        const auto truth = std::find_if(m_targets.begin(), m_targets.end(), [&](const fleet_target &candidate) {
            return candidate.listed.id == target.target.id;
        });
        const std::string id = target.target.id.text();
        if (target.lost == truth->running) {
            return sentence({name, target.lost ? " counts as lost " : " counts as running ", id});
        }
        if (!truth->running) {
            continue;
        }
        if (!target.report || target.report->incarnation.value() != truth->incarnation) {
            return sentence({name, " knows a former incarnation of ", id});
        }
        const std::optional<instant> answered = target.answeredAt;
        if (!answered || vm.clock(m_now) - *answered > 2 * fleetHeartbeat) {
            return sentence({name, " has old news of ", id});
        }
        for (const slot &where : m_slots) {
            const bool sameDomain = where.vm && where.contact.domain == vm.members.self().domain;
            if (!sameDomain) {
                continue;
            }
            const std::vector<watched_target> theirs = where.vm->watch.targets();
            const auto same = std::find_if(theirs.begin(), theirs.end(), [&](const watched_target &candidate) {
                return candidate.target.id == target.target.id;
            });
            if (same == theirs.end() || same->watchers != target.watchers) {
                return sentence({name, " and ", where.contact.vm.text(), " differ in who watches ", id});
            }
        }
    }
    return {};
}

std::string fleet::difference() const
{
    for (const slot &where : m_slots) {
        if (where.vm) {
            std::string found = differenceAt(*where.vm);
            if (!found.empty()) {
                return found;
            }
        }
    }
    return {};
}

} // namespace fuchsialoom
