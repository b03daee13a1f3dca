/// \file
/// What a VM tells others, and when.
#include "fuchsialoom/fleet/fleet_node.h"

#include "fuchsialoom/fleet/pacing.h"

#include <algorithm>
#include <set>
#include <utility>

namespace fuchsialoom
{

/// A change that others wait for goes out so soon; what changes meanwhile goes along.
static constexpr milliseconds hasteDelay{4};
/// Adapters that requests waited for within this are still wanted.
static constexpr milliseconds wantHold{400};
/// What targets hold now is told again for so long, since datagrams are lost now and then.
static constexpr milliseconds newsRepeat{1000};
/// Entries of demand in a digest, the largest first: what fits beside the flights of all targets.
static constexpr std::size_t mostDemand = 500;

word_origin fleet_node::nextOrigin()
{
    m_sequence += 1;
    return {m_self.vm, m_incarnation, m_sequence};
}

void fleet_node::hasten(instant now)
{
    const instant soonest = m_lastWholeAt + pacing::wholeEvery(receivers()) / 2;
    m_wholeAt = std::min(m_wholeAt, std::max(now + hasteDelay, soonest));
}

void fleet_node::hastenNote(instant now)
{
    if (m_noteAt == farFuture) {
        const milliseconds spacing = pacing::noteEvery(receivers(), m_self.capacity);
        m_noteAt = std::max(now + pacing::noteEvery(1, m_self.capacity), m_lastNoteAt + spacing);
    }
}

void fleet_node::noteFlights(instant now)
{
    hastenNote(now);
}

void fleet_node::raiseWant(instant now, const adapter_want &want)
{
    const auto [found, isNew] = m_wants.insert_or_assign(want, now);
    if (isNew) {
        m_newWants.push_back(want);
        hastenNote(now);
    }
}

void fleet_node::tellNews(instant now, const std::vector<residency_news> &news)
{
    for (const residency_news &one : news) {
        residency_news opposite = one;
        opposite.present = !one.present;
        m_news.erase(opposite);
        std::erase(m_freshNews, opposite);
        m_news[one] = now;
        m_freshNews.push_back(one);
    }
    hastenNote(now);
}

instant fleet_node::nextAt() const
{
    const instant signAt = m_choice.isRelay() ? m_lastNoteAt + pacing::signOfLife : farFuture;
    return std::min({m_wholeAt, m_noteAt, signAt});
}

std::size_t fleet_node::receivers() const
{
    return m_choice.isRelay() ? m_members.size() + m_mesh.size() : 1;
}

/// The relays of all domains by the ranking, whoever else speaks as a relay, and addresses of unknown VMs.
std::vector<endpoint> fleet_node::meshAddresses() const
{
    std::set<endpoint> addresses;
    for (const domain_id &domain : m_roster.domains()) {
        for (const vm_record &record : m_roster.relaysOf(domain)) {
            addresses.insert(record.address);
        }
    }
    for (const auto &[vm, peer] : m_relays) {
        addresses.insert(peer.address);
    }
    for (const auto &[address, until] : m_seeds) {
        addresses.insert(address);
    }
    for (const auto &[vm, member] : m_members) {
        addresses.erase(member.address);
    }
    addresses.erase(m_self.address);
    return {addresses.begin(), addresses.end()};
}

std::vector<demand_entry> fleet_node::groupDemand(const std::vector<demand_entry> &own) const
{
    std::map<std::pair<model_id, adapter_id>, demand_entry> sums;
    const auto add = [&sums](const std::vector<demand_entry> &entries) {
        for (const demand_entry &entry : entries) {
            demand_entry &sum = sums[{entry.model, entry.adapter}];
            sum.model = entry.model;
            sum.adapter = entry.adapter;
            sum.arrivals += entry.arrivals;
            sum.waiting += entry.waiting;
            sum.running += entry.running;
        }
    };
    add(own);
    for (const auto &[vm, member] : m_members) {
        add(member.demand);
    }
    std::vector<demand_entry> entries;
    entries.reserve(sums.size());
    for (const auto &[key, sum] : sums) {
        entries.push_back(sum);
    }
    if (entries.size() > mostDemand) {
        std::ranges::stable_sort(entries, std::ranges::greater(), [](const demand_entry &entry) {
            return entry.waiting + entry.running;
        });
        entries.resize(mostDemand);
    }
    return entries;
}

std::optional<holder_word> fleet_node::holderAt(instant now) const
{
    if (!m_holder || now >= m_holder->until) {
        return std::nullopt;
    }
    const auto wait = std::chrono::duration_cast<milliseconds>(m_holder->ordersFrom - now);
    return holder_word{m_holder->fence, std::max(milliseconds(0), wait)};
}

template<typename Key>
static std::vector<Key> keysOf(const std::map<Key, instant> &entries)
{
    std::vector<Key> keys;
    keys.reserve(entries.size());
    for (const auto &[key, since] : entries) {
        keys.push_back(key);
    }
    return keys;
}

fleet_outbox::relay_out fleet_node::relayOut(instant now, bool isWhole, flight_counts flights)
{
    fleet_outbox::relay_out out;
    out.word.origin = nextOrigin();
    out.word.isWhole = isWhole;
    out.word.due = pacing::wholeEvery(receivers());
    out.word.liveVms = static_cast<std::uint32_t>(m_liveVms);
    out.word.holder = holderAt(now);
    out.word.flights = std::move(flights);
    for (const auto &[vm, member] : m_members) {
        out.to.emplace_back(member.address, m_group.toldBy(vm));
    }
    return out;
}

void fleet_node::sendRequest(relay_request request, std::vector<endpoint> to, fleet_outbox &out)
{
    if (to.empty()) {
        return;
    }
    peer_digest digest;
    digest.origin = nextOrigin();
    digest.request = request;
    out.digests.push_back({std::move(digest), std::move(to)});
}

/// Without these, others would count this VM's flights by two words until one of them lapses.
void fleet_node::sendRequests(fleet_outbox &out)
{
    sendRequest(relay_request::Leave, std::exchange(m_formerRelays, {}), out);
    sendRequest(relay_request::NotRelay, std::exchange(m_mistaken, {}), out);
}

void fleet_node::sendWhole(instant now, fleet_outbox &out)
{
    std::erase_if(m_wants, [now](const auto &entry) {
        return now - entry.second > wantHold;
    });
    for (auto *told : {&m_news, &m_heardNews}) {
        std::erase_if(*told, [now](const auto &entry) {
            return now - entry.second > newsRepeat;
        });
    }
    peer_digest digest = m_events.compose();
    m_events.changedFlights(); // the whole digest tells them
    m_holdsDuty = digest.holder.has_value();
    digest.due = pacing::wholeEvery(receivers());
    digest.wants = keysOf(m_wants);
    digest.news = keysOf(m_news);
    m_events.onDemand(m_self.vm, digest.demand);
    m_group.set(now, m_self.vm, digest.flights);
    m_all.set(now, m_self.vm, digest.flights);
    m_newWants.clear();
    m_freshNews.clear();
    m_freshHeardNews.clear();
    if (!m_choice.isRelay()) {
        digest.origin = nextOrigin();
        digest.request = relay_request::Relay;
        if (const vm_record *relay = m_roster.find(*m_choice.relay())) {
            out.digests.push_back({std::move(digest), {relay->address}});
        }
        return;
    }
    if (!m_members.empty()) {
        fleet_outbox::relay_out toMembers = relayOut(now, true, m_all.sums());
        toMembers.word.leaving = digest.leaving;
        toMembers.word.configVersion = digest.configVersion;
        if (digest.holder) {
            toMembers.word.holder = digest.holder;
        }
        toMembers.word.news = keysOf(m_news);
        for (const residency_news &one : keysOf(m_heardNews)) {
            toMembers.word.news.push_back(one);
        }
        for (const vm_record &one : liveRelays()) {
            if (one.domain == m_self.domain) {
                toMembers.word.relays.push_back(one.vm);
            }
        }
        out.relayWords.push_back(std::move(toMembers));
    }
    for (const auto &[vm, peer] : m_relays) {
        if (peer.live) {
            digest.relays.push_back(peer.address);
        }
    }
    if (!digest.holder && m_holder && m_holder->isMember) {
        digest.holder = holderAt(now);
    }
    digest.origin = nextOrigin();
    digest.vms = static_cast<std::uint32_t>(1 + m_members.size());
    digest.demand = groupDemand(digest.demand);
    digest.flights = m_group.sums();
    m_group.takeChanged();
    m_all.takeChanged();
    out.digests.push_back({std::move(digest), m_mesh});
}

void fleet_node::sendNotes(instant now, fleet_outbox &out)
{
    const flight_counts own = m_events.changedFlights();
    if (!m_choice.isRelay()) {
        const vm_record *relay = m_roster.find(*m_choice.relay());
        flight_note note;
        note.changed = own;
        note.wants = std::exchange(m_newWants, {});
        note.news = std::exchange(m_freshNews, {});
        if (relay && (!note.changed.empty() || !note.wants.empty() || !note.news.empty())) {
            note.origin = nextOrigin();
            out.notes.push_back({std::move(note), {relay->address}});
        }
        return;
    }
    m_group.change(now, m_self.vm, own);
    m_all.change(now, m_self.vm, own);
    flight_counts changed = m_all.takeChanged();
    std::vector<residency_news> heardNews = std::exchange(m_freshHeardNews, {});
    if (!m_members.empty() && (!changed.empty() || !heardNews.empty() || !m_freshNews.empty())) {
        fleet_outbox::relay_out toMembers = relayOut(now, false, std::move(changed));
        toMembers.word.news = std::move(heardNews);
        toMembers.word.news.insert(toMembers.word.news.end(), m_freshNews.begin(), m_freshNews.end());
        out.relayWords.push_back(std::move(toMembers));
    }
    flight_note note;
    note.origin = nextOrigin();
    note.changed = m_group.takeChanged();
    note.wants = std::exchange(m_newWants, {});
    note.news = std::exchange(m_freshNews, {});
    out.notes.push_back({std::move(note), m_mesh}); // a sign of life where it is empty
}

fleet_outbox fleet_node::advance(instant now)
{
    fleet_outbox out;
    expire(now);
    updateRole(now);
    m_mesh = m_choice.isRelay() ? meshAddresses() : std::vector<endpoint>();
    sendRequests(out);
    if (now >= m_wholeAt) {
        sendWhole(now, out);
        m_lastWholeAt = now;
        m_wholeAt = now + pacing::wholeEvery(receivers());
        m_noteAt = farFuture;
        m_lastNoteAt = now;
    } else if (now >= nextAt()) {
        m_noteAt = farFuture;
        sendNotes(now, out);
        m_lastNoteAt = now;
    }
    return out;
}

} // namespace fuchsialoom
