/// \file
/// Homes from the fleet's stream, and the own domain's capacity into it.
#include "fuchsialoom/core/fleet_homes.h"

#include <algorithm>
#include <utility>

namespace fuchsialoom
{

/// A domain counts as led for this many repeats of its capacity, so that one lost append doesn't silence it.
static constexpr int repeatsALease = 2;

fleet_homes::fleet_homes(domain_id domain, fleet_homes_options options)
    : m_domain(std::move(domain))
    , m_options(options)
    , m_watch(domain_watch_options{})
{
}

std::vector<fleet_action> fleet_homes::step(instant now, const fleet_event &event)
{
    m_now = now;
    std::visit(
        [this](const auto &body) {
            handle(body);
        },
        event);
    return std::exchange(m_actions, {});
}

milliseconds fleet_homes::leaseShown() const
{
    return m_options.repeatEvery * repeatsALease;
}

void fleet_homes::handle(const fleet_records_read &event)
{
    for (const log_entry &entry : event.entries) {
        const auto *capacity = entry.record ? std::get_if<domain_capacity>(&entry.record->body) : nullptr;
        if (capacity != nullptr) {
            fold(*capacity);
        }
    }
    if (!event.reachedEnd) {
        return;
    }
    m_watch.logRead(m_now);
    m_firstRead = m_firstRead.value_or(m_now);
    m_lastRead = m_now;
    replan();
}

/// A leader that was superseded may still append what it knew: only the newest claim's capacity counts.
void fleet_homes::fold(const domain_capacity &capacity)
{
    const auto known = m_capacities.find(capacity.domain);
    if (known != m_capacities.end() && capacity.fence < known->second.fence) {
        return;
    }
    m_capacities[capacity.domain] = capacity;
    m_watch.leaseSeen(capacity.domain, m_now);
}

void fleet_homes::handle(const fleet_settings_changed &event)
{
    m_settings = event;
    domain_watch_options watch;
    watch.lease = leaseShown();
    watch.silentAfter = event.silentAfter;
    watch.returnsAfter = event.silentAfter;
    watch.outageAfter = m_options.readWithin;
    m_watch.configure(watch);
    replan();
}

void fleet_homes::handle(const copies_seen &event)
{
    m_copies = event.domains;
}

void fleet_homes::handle(const capacity_seen &event)
{
    m_own = event.capacity;
    publish();
}

void fleet_homes::handle(const fleet_time_passed &)
{
    publish();
}

bool fleet_homes::watchedLongEnough(instant now) const
{
    return m_firstRead && now >= *m_firstRead + leaseShown() + m_settings.silentAfter;
}

bool fleet_homes::mayKnow() const
{
    if (m_capacities.empty() || !m_firstRead) {
        return false;
    }
    const bool allPublished = std::ranges::all_of(m_settings.domains, [this](const domain_id &domain) {
        return m_capacities.contains(domain);
    });
    return (allPublished && !m_settings.domains.empty()) || watchedLongEnough(m_now);
}

void fleet_homes::replan()
{
    m_known = m_known || mayKnow();
    if (!m_known) {
        return;
    }
    homes_input input;
    input.models = m_settings.models;
    for (const auto &[domain, capacity] : m_capacities) {
        input.capacities.push_back(capacity);
        // A new claim of the same capacity changes no home.
        input.capacities.back().fence = {};
    }
    input.phases = m_watch.phases();
    if (input == m_input) {
        return;
    }
    m_input = std::move(input);
    const homes_plan before = std::exchange(m_homes, planHomes(m_input));
    noteChanges(before);
}

void fleet_homes::noteChanges(const homes_plan &before)
{
    for (const model_homes &homes : m_homes.homes) {
        const model_homes *old = before.find(homes.model);
        if (old == nullptr || *old != homes) {
            m_changedAt[homes.model] = m_now;
        }
    }
    std::erase_if(m_changedAt, [this](const auto &item) {
        return m_homes.find(item.first) == nullptr;
    });
    // Every VM computes the same homes; the leader alone says them.
    if (!m_own) {
        return;
    }
    for (timeline_event &event : homeEvents(before, m_homes)) {
        m_actions.emplace_back(fleet_report{std::move(event)});
    }
}

static bool sameMemory(const domain_capacity &left, const domain_capacity &right)
{
    return left.acceleratorBytes == right.acceleratorBytes && left.targets == right.targets && left.accelerators == right.accelerators;
}

static bool isLess(const domain_capacity &left, const domain_capacity &right)
{
    return left.acceleratorBytes < right.acceleratorBytes || left.targets < right.targets;
}

/// The capacity to publish: what is published, until another has lasted long enough.
domain_capacity fleet_homes::settled()
{
    const auto known = m_capacities.find(m_domain);
    domain_capacity published = known != m_capacities.end() ? known->second : domain_capacity{m_domain, {}, 0, 0, 0};
    published.fence = m_own->fence;
    if (sameMemory(*m_own, published)) {
        m_candidate.reset();
        return published;
    }
    if (!m_candidate || !sameMemory(*m_candidate, *m_own)) {
        m_candidate = m_own;
        m_candidateSince = m_now;
    }
    const milliseconds wait = isLess(*m_own, published) ? m_settings.silentAfter : m_options.settleFor;
    return m_now >= m_candidateSince + wait ? *m_own : published;
}

void fleet_homes::publish()
{
    // Before the end of the stream was read, the last published capacity isn't known.
    if (!m_own || !m_firstRead) {
        m_candidate.reset();
        return;
    }
    const auto known = m_capacities.find(m_domain);
    const domain_capacity next = settled();
    const bool isKnown = known != m_capacities.end();
    if (!isKnown && next.targets == 0) {
        return;
    }
    const bool isChanged = !isKnown || !sameMemory(known->second, next) || known->second.fence != next.fence;
    // A change whose append was lost is made anew after `settleFor`.
    const milliseconds wait = isChanged ? m_options.settleFor : m_options.repeatEvery;
    if (m_publishedAt && m_now < *m_publishedAt + wait) {
        return;
    }
    m_publishedAt = m_now;
    m_actions.emplace_back(append_capacity{next});
}

bool fleet_homes::mayGo(const model_homes &homes, instant now) const
{
    const auto changed = m_changedAt.find(homes.model);
    const bool isSteady = changed != m_changedAt.end() && now >= changed->second + m_options.steadyFor;
    const bool isRecent = m_lastRead && now <= *m_lastRead + m_options.readWithin;
    const auto copies = m_copies.find(homes.model);
    if (!watchedLongEnough(now) || !isSteady || !isRecent || copies == m_copies.end()) {
        return false;
    }
    return std::ranges::includes(copies->second, homes.domains);
}

model_duty fleet_homes::dutyOf(const model_id &model, std::uint32_t replicas, instant now) const
{
    const model_homes *homes = m_known ? m_homes.find(model) : nullptr;
    if (homes == nullptr || homes->domains.empty()) {
        return model_duty{true, replicas, false};
    }
    const std::uint32_t copies = copiesPerHome(replicas, homes->domains.size());
    if (std::ranges::binary_search(homes->domains, m_domain)) {
        return model_duty{true, copies, false};
    }
    return model_duty{false, 0, mayGo(*homes, now)};
}

} // namespace fuchsialoom
