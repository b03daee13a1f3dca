/// \file
/// The fleet on virtual time.
#include "fleet_world.h"

#include <algorithm>

namespace fuchsialoom
{

fleet_world::fleet_world(fleet_world_options options)
    : m_options(options)
    , m_random(options.seed)
    , m_vms(options.vms)
{
    for (std::size_t vm = 0; vm < m_vms.size(); ++vm) {
        vm_record &record = m_vms[vm].record;
        record.vm = vm_id("vm-" + std::to_string(vm));
        record.domain = domain_id("d" + std::to_string(vm % m_options.domains));
        record.address = {"10.0." + std::to_string(vm / 200) + "." + std::to_string(vm % 200), 7380};
        record.capacity = vm < 3 * m_options.domains ? 500 : 120;
        m_byAddress[record.address] = vm;
    }
}

fleet_events fleet_world::eventsOf(std::size_t vm)
{
    vm_state &state = m_vms[vm];
    fleet_events events;
    events.compose = [&state] {
        peer_digest digest;
        digest.flights = state.own;
        digest.demand = state.ownDemand;
        if (state.fence) {
            digest.holder = holder_word{*state.fence, milliseconds(0)};
        }
        return digest;
    };
    events.changedFlights = [&state] {
        flight_counts changed;
        for (const target_key key : state.changed) {
            changed[key] = state.own.contains(key) ? state.own.at(key) : target_flights();
        }
        state.changed.clear();
        return changed;
    };
    events.onFlights = [this, &state](const vm_id &source, const flight_counts &flights, bool isWhole) {
        if (isWhole) {
            state.seen.set(m_now, source, flights);
        } else {
            state.seen.change(m_now, source, flights);
        }
    };
    events.onForgotten = [&state](const vm_id &source) {
        state.seen.forget(source);
    };
    events.onDemand = [&state](const vm_id &source, const std::vector<demand_entry> &demand) {
        state.demand[source] = demand;
    };
    events.onWant = [&state](const adapter_want &want) {
        state.wants.insert(want);
    };
    events.onNews = [&state](const residency_news &news) {
        state.news.insert(news);
    };
    events.onHolder = [this, &state](milliseconds) {
        state.holderHeardAt = m_now;
    };
    events.onRenounced = [](const renounced_fence &) {};
    events.onConfigVersion = [](const vm_id &, std::uint64_t) {};
    events.onLiveVms = [&state](std::size_t live) {
        state.live = live;
        state.lowestLive = std::min(state.lowestLive, live);
    };
    events.onChange = [&state](fleet_change change, const vm_id &) {
        state.silentRelays += change == fleet_change::RelaySilent ? 1 : 0;
    };
    return events;
}

void fleet_world::start(std::size_t vm)
{
    vm_state &state = m_vms[vm];
    state.incarnation += 1;
    state.seen = flight_ledger();
    state.own.clear();
    state.changed.clear();
    state.node = std::make_unique<fleet_node>(state.record, state.incarnation, eventsOf(vm));
}

void fleet_world::startAll()
{
    std::vector<std::size_t> order;
    for (std::size_t vm = 0; vm < m_vms.size(); ++vm) {
        order.push_back(vm);
    }
    std::shuffle(order.begin(), order.end(), m_random);
    const milliseconds all{300};
    const instant from = m_now;
    for (std::size_t at = 0; at < order.size(); ++at) {
        while (m_now < from + all * static_cast<int>(at) / static_cast<int>(order.size())) {
            step();
        }
        start(order[at]);
        for (std::size_t earlier = 0; earlier < at; ++earlier) {
            m_vms[order[at]].node->know(m_now, m_vms[order[earlier]].record);
        }
    }
    run(milliseconds(100));
    for (vm_state &state : m_vms) {
        for (const vm_state &other : m_vms) {
            state.node->know(m_now, other.record);
        }
    }
}

void fleet_world::restart(std::size_t vm)
{
    start(vm);
    for (const vm_state &other : m_vms) {
        m_vms[vm].node->know(m_now, other.record);
    }
}

void fleet_world::kill(std::size_t vm)
{
    m_vms[vm].node.reset();
    m_vms[vm].own.clear();
}

void fleet_world::freeze(std::size_t vm, bool frozen)
{
    m_vms[vm].frozen = frozen;
}

void fleet_world::cut(const domain_id &domain, bool isCut)
{
    if (isCut) {
        m_cut.insert(domain);
    } else {
        m_cut.erase(domain);
    }
}

void fleet_world::begin(std::size_t vm, target_key target, std::uint32_t requests)
{
    vm_state &state = m_vms[vm];
    state.own[target] = {requests, requests * 100};
    if (requests == 0) {
        state.own.erase(target);
    }
    state.changed.insert(target);
    state.node->noteFlights(m_now);
}

void fleet_world::launch(std::size_t from, const endpoint &to, const std::shared_ptr<const peer_datagram> &datagram)
{
    m_vms[from].sent += 1;
    std::uniform_real_distribution<double> share(0, 1);
    if (share(m_random) < m_options.loss) {
        return;
    }
    const auto delay =
        microseconds(500) + microseconds(m_random() % static_cast<std::uint64_t>(microseconds(m_options.longestDelay).count()));
    m_flying.emplace(m_now + delay, flying{datagram, from, to});
}

void fleet_world::send(std::size_t from, const fleet_outbox &out)
{
    for (const auto &one : out.digests) {
        const auto datagram = std::make_shared<const peer_datagram>(one.digest);
        for (const endpoint &to : one.to) {
            launch(from, to, datagram);
        }
    }
    for (const auto &one : out.notes) {
        const auto datagram = std::make_shared<const peer_datagram>(one.note);
        for (const endpoint &to : one.to) {
            launch(from, to, datagram);
        }
    }
    for (const auto &one : out.relayWords) {
        for (const auto &[to, yours] : one.to) {
            launch(from, to, std::make_shared<const peer_datagram>(member_word{one.word, yours}));
        }
    }
}

void fleet_world::deliver(const flying &one)
{
    const auto to = m_byAddress.find(one.to);
    if (to == m_byAddress.end() || !m_vms[to->second].node || m_vms[to->second].frozen) {
        return;
    }
    const domain_id &source = m_vms[one.from].record.domain;
    const domain_id &target = m_vms[to->second].record.domain;
    if (source != target && (m_cut.contains(source) || m_cut.contains(target))) {
        return;
    }
    vm_state &state = m_vms[to->second];
    state.received += 1;
    state.node->onDatagram(m_now, *one.datagram, m_vms[one.from].record.address);
}

void fleet_world::step()
{
    m_now += milliseconds(1);
    while (!m_flying.empty() && m_flying.begin()->first <= m_now) {
        const flying one = m_flying.begin()->second;
        m_flying.erase(m_flying.begin());
        deliver(one);
    }
    for (std::size_t vm = 0; vm < m_vms.size(); ++vm) {
        vm_state &state = m_vms[vm];
        if (state.node && !state.frozen && m_now >= state.node->nextAt()) {
            send(vm, state.node->advance(m_now));
        }
    }
}

void fleet_world::run(milliseconds length)
{
    const instant until = m_now + length;
    while (m_now < until) {
        step();
    }
}

std::uint32_t fleet_world::othersAt(std::size_t vm, target_key target) const
{
    std::uint32_t sum = 0;
    for (std::size_t other = 0; other < m_vms.size(); ++other) {
        const auto found = m_vms[other].own.find(target);
        sum += other != vm && m_vms[other].node && found != m_vms[other].own.end() ? found->second.requests : 0;
    }
    return sum;
}

std::vector<std::size_t> fleet_world::relays() const
{
    std::vector<std::size_t> found;
    for (std::size_t vm = 0; vm < m_vms.size(); ++vm) {
        if (m_vms[vm].node && m_vms[vm].node->isRelay()) {
            found.push_back(vm);
        }
    }
    return found;
}

void fleet_world::resetLowest()
{
    for (vm_state &state : m_vms) {
        state.lowestLive = state.live;
        state.silentRelays = 0;
        state.sent = 0;
        state.received = 0;
    }
}

} // namespace fuchsialoom
