/// \file
/// The loads in the digests between VMs.
#include "fuchsialoom/wire/load_exchange.h"

#include <utility>

namespace fuchsialoom
{

/// Far more than a domain has; whoever sends more names makes us forget, never grow.
static constexpr std::size_t mostTargets = 4096;
static constexpr std::size_t mostVms = 1024;

/// The number of what \p report describes; a new one whenever that changed.
std::uint32_t load_exchange::numberOf(const load_report &report, std::uint64_t hash)
{
    description &known = m_own[report.target];
    const bool isSame = known.incarnation == report.incarnation && known.capacity == report.capacity && known.residency == hash;
    if (known.number == 0 || !isSame) {
        known = description{++m_lastNumber, report.incarnation, report.capacity, hash};
    }
    return known.number;
}

void load_exchange::fill(instant now, const vm_id &receiver, std::span<const watched_target> found, proto::peer_digest &digest)
{
    keepBounds();
    sent_descriptions &sent = m_sent[receiver];
    for (const watched_target &target : found) {
        const load_report &report = *target.report;
        const instant answeredAt = target.answeredHereAt.value_or(report.takenAt);
        const std::uint64_t hash = residencyOf(report);
        const std::uint32_t number = numberOf(report, hash);
        const auto known = sent.numbers.find(report.target);
        if (sent.knowsNumbers && known != sent.numbers.end() && known->second == number) {
            *digest.add_loads() = encodeNumberedLoad(report, number, answeredAt, now);
            continue;
        }
        const auto before = sent.residencies.find(report.target);
        const bool isNews = before == sent.residencies.end() || before->second != hash;
        proto::load_digest &entry = *digest.add_loads();
        entry = encodeLoad(report, answeredAt, now, isNews);
        entry.set_description(number);
        sent.residencies[report.target] = hash;
        sent.numbers[report.target] = number;
    }
    if (const auto lacking = m_lacking.extract(receiver)) {
        for (const target_id &target : lacking.mapped()) {
            digest.add_lacking(target.text());
        }
    }
    if (const auto lacking = m_lackingNumbers.extract(receiver)) {
        digest.mutable_lacking_descriptions()->Assign(lacking.mapped().begin(), lacking.mapped().end());
    }
}

void load_exchange::forget(const vm_id &receiver)
{
    m_sent.erase(receiver);
}

void load_exchange::keepBounds()
{
    const auto bound = [](auto &map, std::size_t most) {
        if (map.size() > most) {
            map.clear();
        }
    };
    bound(m_own, mostTargets);
    bound(m_sent, mostVms);
    bound(m_told, mostVms);
    bound(m_lacking, mostVms);
    bound(m_lackingNumbers, mostVms);
    bound(m_known, mostTargets);
}

/// Notes what the number of a whole entry stands for.
void load_exchange::keepDescription(const vm_id &sender, const proto::peer_digest &digest, const proto::load_digest &entry)
{
    const incarnation_number incarnation(digest.incarnation());
    told_descriptions &told = m_told[sender];
    if (told.sender != incarnation || told.latest.size() > mostTargets) {
        told = told_descriptions{incarnation, {}, {}};
    }
    const target_id target(entry.target());
    const description news{entry.description(), incarnation_number(entry.incarnation()), entry.capacity(), entry.residency()};
    description &known = told.latest[target];
    if (known.number != news.number) {
        told.targets.erase(known.number);
    }
    known = news;
    told.targets[news.number] = target;
}

/// Puts in what the entry's number stands for. \return whether it is known here.
bool load_exchange::expand(const vm_id &sender, const proto::peer_digest &digest, proto::load_digest &entry) const
{
    const auto told = m_told.find(sender);
    if (told == m_told.end() || told->second.sender != incarnation_number(digest.incarnation())) {
        return false;
    }
    const auto target = told->second.targets.find(entry.description());
    if (target == told->second.targets.end()) {
        return false;
    }
    const description &known = told->second.latest.at(target->second);
    entry.set_target(target->second.text());
    entry.set_incarnation(known.incarnation.value());
    entry.set_capacity(known.capacity);
    entry.set_residency(known.residency);
    entry.set_tokens_per_second(entry.tokens());
    return true;
}

/// Puts in models and adapters where the sender left them out. \return whether they are known here.
bool load_exchange::complete(const vm_id &sender, received_load &load)
{
    residency &known = m_known[load.report.target];
    if (load.hasResidency) {
        known = residency{load.residency, load.report.models, load.report.adapters};
        return true;
    }
    if (known.hash == load.residency && known.hash != 0) {
        load.report.models = known.models;
        load.report.adapters = known.adapters;
        return true;
    }
    std::set<target_id> &lacking = m_lacking[sender];
    if (lacking.size() < mostTargets) {
        lacking.insert(load.report.target);
    }
    return false;
}

std::vector<received_load> load_exchange::read(instant now, const vm_id &sender, const proto::peer_digest &digest)
{
    keepBounds();
    sent_descriptions &sent = m_sent[sender];
    sent.knowsNumbers = digest.heard_incarnation() != 0;
    for (const std::string &target : digest.lacking()) {
        sent.residencies.erase(target_id(target));
        sent.numbers.erase(target_id(target));
    }
    const std::set<std::uint32_t> unknown(digest.lacking_descriptions().begin(), digest.lacking_descriptions().end());
    std::erase_if(sent.numbers, [&](const auto &entry) {
        const bool isUnknown = unknown.contains(entry.second);
        if (isUnknown) {
            sent.residencies.erase(entry.first);
        }
        return isUnknown;
    });
    std::vector<received_load> whole;
    for (proto::load_digest entry : digest.loads()) {
        if (!entry.target().empty() && entry.description() != 0) {
            keepDescription(sender, digest, entry);
        }
        if (entry.target().empty() && !expand(sender, digest, entry)) {
            std::set<std::uint32_t> &lacking = m_lackingNumbers[sender];
            if (lacking.size() < mostTargets) {
                lacking.insert(entry.description());
            }
            continue;
        }
        std::optional<received_load> load = decodeLoad(entry, now);
        if (load && complete(sender, *load)) {
            whole.push_back(std::move(*load));
        }
    }
    return whole;
}

} // namespace fuchsialoom
