/// \file
/// Simulation of a fleet on virtual time.
#include "simulated_fleet.h"

#include <algorithm>

namespace fuchsialoom
{

simulated_fleet::simulated_fleet(simulated_fleet_options options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
    , m_vms(m_options.vms)
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

fleet_events simulated_fleet::eventsOf(std::size_t vm)
{
    vm_state &state = m_vms[vm];
    fleet_events events;
    events.onCrashNews = [this, vm](const crash_news &news) {
        crash_news &known = m_vms.at(vm).crashes;
        crash_news unknown;
        for (const quarantine_report &one : news.quarantines) {
            const bool isKnown = std::ranges::any_of(known.quarantines, [&one](const quarantine_report &other) {
                return other.fingerprint == one.fingerprint;
            });
            if (!isKnown) {
                known.quarantines.push_back(one);
                unknown.quarantines.push_back(one);
            }
        }
        return unknown;
    };
    events.knownCrashes = [this, vm] {
        return m_vms.at(vm).crashes;
    };
    events.makeDigest = [&state] {
        peer_digest digest;
        digest.inFlight = state.own;
        digest.demand = state.ownDemand;
        if (!state.reachesTargets) {
            digest.withoutPath.emplace_back(state.record.vm);
        }
        if (state.hearsBrittle) {
            digest.brittle.emplace_back("s");
        }
        if (state.fence) {
            digest.holder = holder_announcement{*state.fence, milliseconds(0)};
        }
        return digest;
    };
    events.takeChangedInFlight = [&state] {
        in_flight_counts changed;
        for (const target_key key : state.changed) {
            changed[key] = state.own.contains(key) ? state.own.at(key) : target_in_flight();
        }
        state.changed.clear();
        return changed;
    };
    events.onInFlightCounts = [this, &state](const vm_id &source, const in_flight_counts &inFlight, bool isFull) {
        if (isFull) {
            state.seen.set(m_now, source, inFlight);
        } else {
            state.seen.change(m_now, source, inFlight);
        }
    };
    events.onSourceRemoved = [&state](const vm_id &source) {
        state.seen.forget(source);
    };
    events.onDemandReport = [&state](const vm_id &source, const std::vector<demand_entry> &demand) {
        state.demand[source] = demand;
    };
    events.onAdapterRequest = [&state](const adapter_request &adapterRequest) {
        state.adapterRequests.insert(adapterRequest);
    };
    events.onResidencyChange = [&state](const residency_change &residencyChange) {
        state.residencyChanges.insert(residencyChange);
        residency_change key = residencyChange;
        key.present = true;
        state.latestResidency[key] = residencyChange.present;
    };
    events.onBrittleServices = [&state](const std::vector<service_id> &services) {
        state.knowsBrittle = !services.empty();
    };
    events.onHolderAnnounced = [this, &state](milliseconds) {
        state.holderHeardAt = m_now;
    };
    events.onRenounced = [](const renounced_fence &) {};
    events.onConfigVersion = [](const vm_id &, std::uint64_t) {};
    events.onLiveVms = [&state](std::size_t live) {
        state.live = live;
        state.lowestLive = std::min(state.lowestLive, live);
    };
    events.onChange = [&state](fleet_change change, const vm_id &) {
        state.suspectedRelays += change == fleet_change::RelaySilent ? 1 : 0;
    };
    if (m_options.extendEvents) {
        m_options.extendEvents(vm, events);
    }
    return events;
}

void simulated_fleet::start(std::size_t vm)
{
    vm_state &state = m_vms[vm];
    state.incarnation += 1;
    state.seen = in_flight_tracker();
    state.own.clear();
    state.changed.clear();
    state.knowsBrittle = false;
    state.live = 1;
    state.quotas = std::make_unique<team_quotas>();
    state.quotas->configure(m_now, m_options.quotas);
    state.node = std::make_unique<fleet_node>(state.record, state.incarnation, *state.quotas, eventsOf(vm));
}

void simulated_fleet::startAll()
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
            m_vms[order[at]].node->addRecord(m_now, m_vms[order[earlier]].record);
        }
    }
    run(milliseconds(100));
    for (vm_state &state : m_vms) {
        for (const vm_state &other : m_vms) {
            state.node->addRecord(m_now, other.record);
        }
    }
}

void simulated_fleet::restart(std::size_t vm)
{
    start(vm);
    for (const vm_state &other : m_vms) {
        m_vms[vm].node->addRecord(m_now, other.record);
    }
}

void simulated_fleet::setQuotas(const std::map<team_id, quota_limits> &quotas)
{
    m_options.quotas = quotas;
    for (vm_state &state : m_vms) {
        if (state.node) {
            state.quotas->configure(m_now, quotas);
        }
    }
}

void simulated_fleet::quarantineAt(std::size_t vm, content_hash fingerprint)
{
    const crash_news news{{}, {{fingerprint, milliseconds(600000)}}};
    m_vms[vm].crashes.quarantines.push_back(news.quarantines.front());
    m_vms[vm].node->broadcastCrashNews(m_now, news);
}

void simulated_fleet::readQuarantineInStore(const domain_id &domain, content_hash fingerprint)
{
    const crash_news news{{}, {{fingerprint, milliseconds(600000)}}};
    for (vm_state &vm : m_vms) {
        if (vm.node && vm.record.domain == domain && vm.node->isRelay()) {
            vm.crashes.quarantines.push_back(news.quarantines.front());
            vm.node->forwardCrashNews(m_now, news);
        }
    }
}

void simulated_fleet::setReachesTargets(std::size_t vm, bool reaches)
{
    m_vms[vm].reachesTargets = reaches;
    m_vms[vm].node->scheduleEarlyDigest(m_now);
}

void simulated_fleet::setHearsBrittle(std::size_t vm, bool hears)
{
    m_vms[vm].hearsBrittle = hears;
    m_vms[vm].node->scheduleEarlyDigest(m_now);
}

void simulated_fleet::kill(std::size_t vm)
{
    m_vms[vm].crashes = {};
    m_vms[vm].node.reset();
    m_vms[vm].own.clear();
}

void simulated_fleet::freeze(std::size_t vm, bool frozen)
{
    m_vms[vm].frozen = frozen;
}

void simulated_fleet::partition(const domain_id &domain, bool isPartitioned)
{
    if (isPartitioned) {
        m_partitioned.insert(domain);
    } else {
        m_partitioned.erase(domain);
    }
}

void simulated_fleet::setInFlight(std::size_t vm, target_key target, std::uint32_t requests)
{
    vm_state &state = m_vms[vm];
    state.own[target] = {requests, requests * 100};
    if (requests == 0) {
        state.own.erase(target);
    }
    state.changed.insert(target);
    state.node->onInFlightChanged(m_now);
}

void simulated_fleet::transmit(std::size_t from, const endpoint &to, const std::shared_ptr<const peer_datagram> &datagram)
{
    m_vms[from].sent += 1;
    std::uniform_real_distribution<double> share(0, 1);
    if (share(m_random) < m_options.loss) {
        return;
    }
    const auto delay =
        microseconds(500) + microseconds(m_random() % static_cast<std::uint64_t>(microseconds(m_options.longestDelay).count()));
    m_inTransit.emplace(m_now + delay, in_transit{datagram, from, to});
}

void simulated_fleet::send(std::size_t from, const fleet_outbox &out)
{
    for (const auto &one : out.digests) {
        const auto datagram = std::make_shared<const peer_datagram>(one.digest);
        for (const endpoint &to : one.to) {
            transmit(from, to, datagram);
        }
    }
    for (const auto &one : out.deltas) {
        const auto datagram = std::make_shared<const peer_datagram>(one.delta);
        for (const endpoint &to : one.to) {
            transmit(from, to, datagram);
        }
    }
    for (const auto &one : out.relayUpdates) {
        for (const auto &[to, receiver] : one.to) {
            transmit(from, to, std::make_shared<const peer_datagram>(member_update{one.message, receiver}));
        }
    }
}

void simulated_fleet::deliver(const in_transit &one)
{
    const auto to = m_byAddress.find(one.to);
    if (to == m_byAddress.end() || !m_vms[to->second].node || m_vms[to->second].frozen) {
        return;
    }
    const domain_id &source = m_vms[one.from].record.domain;
    const domain_id &target = m_vms[to->second].record.domain;
    if (source != target && (m_partitioned.contains(source) || m_partitioned.contains(target))) {
        return;
    }
    vm_state &state = m_vms[to->second];
    state.received += 1;
    state.node->onDatagram(m_now, *one.datagram, m_vms[one.from].record.address);
}

void simulated_fleet::step()
{
    m_now += milliseconds(1);
    while (!m_inTransit.empty() && m_inTransit.begin()->first <= m_now) {
        const in_transit one = m_inTransit.begin()->second;
        m_inTransit.erase(m_inTransit.begin());
        deliver(one);
    }
    for (std::size_t vm = 0; vm < m_vms.size(); ++vm) {
        vm_state &state = m_vms[vm];
        if (state.node && !state.frozen && m_now >= state.node->nextAt()) {
            send(vm, state.node->advance(m_now));
        }
    }
    if (m_options.onStep) {
        m_options.onStep(m_now);
    }
}

void simulated_fleet::run(milliseconds length)
{
    const instant until = m_now + length;
    while (m_now < until) {
        step();
    }
}

std::uint32_t simulated_fleet::inFlightOfOthers(std::size_t vm, target_key target) const
{
    std::uint32_t sum = 0;
    for (std::size_t other = 0; other < m_vms.size(); ++other) {
        const auto found = m_vms[other].own.find(target);
        sum += other != vm && m_vms[other].node && found != m_vms[other].own.end() ? found->second.requests : 0;
    }
    return sum;
}

std::vector<std::size_t> simulated_fleet::relays() const
{
    std::vector<std::size_t> found;
    for (std::size_t vm = 0; vm < m_vms.size(); ++vm) {
        if (m_vms[vm].node && m_vms[vm].node->isRelay()) {
            found.push_back(vm);
        }
    }
    return found;
}

void simulated_fleet::resetCounters()
{
    for (vm_state &state : m_vms) {
        state.lowestLive = state.live;
        state.suspectedRelays = 0;
        state.sent = 0;
        state.received = 0;
    }
}

} // namespace fuchsialoom
