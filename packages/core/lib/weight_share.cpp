/// \file
/// Floors, windows and loans of the weight store's rate and slots.
#include "fuchsialoom/core/weight_share.h"

#include <algorithm>
#include <utility>

namespace fuchsialoom
{

weight_shares::weight_shares(weight_limits limits, std::vector<domain_id> domains)
    : m_limits(limits)
    , m_domains(std::move(domains))
{
    std::ranges::sort(m_domains);
    m_domains.erase(std::unique(m_domains.begin(), m_domains.end()), m_domains.end());
}

weight_shares::amounts weight_shares::amounts::take(const amounts &wanted)
{
    const amounts taken{std::min(perMinute, wanted.perMinute), std::min(slots, wanted.slots)};
    perMinute -= taken.perMinute;
    slots -= taken.slots;
    return taken;
}

weight_shares::amounts weight_shares::amountsOf(const weight_share_loan &loan)
{
    return amounts{loan.loadsPerMinute * microLoadsPerLoad, loan.slots};
}

bool weight_shares::inForce(const weight_share_loan &loan, wall_instant now) const
{
    return now <= loan.until + m_limits.clockSkew;
}

std::optional<std::size_t> weight_shares::rankOf(const domain_id &domain) const
{
    const auto found = std::ranges::lower_bound(m_domains, domain);
    if (found == m_domains.end() || *found != domain) {
        return std::nullopt;
    }
    return static_cast<std::size_t>(found - m_domains.begin());
}

weight_shares::amounts weight_shares::owned(const domain_id &domain) const
{
    const std::optional<std::size_t> rank = rankOf(domain);
    if (!rank) {
        return {};
    }
    const auto domains = static_cast<std::uint32_t>(m_domains.size());
    const micro_loads perMinute = m_limits.loadsPerMinute * microLoadsPerLoad / domains;
    const std::uint32_t whole = m_limits.slots / domains;
    const bool ownsExtra = *rank < m_limits.slots % domains;
    // With fewer slots than domains each owns one slot during its windows.
    const std::uint32_t slots = whole == 0 ? std::min(m_limits.slots, 1U) : whole + (ownsExtra ? 1 : 0);
    return amounts{perMinute, slots};
}

std::size_t weight_shares::sharersOf(std::size_t rank) const
{
    const std::size_t slots = m_limits.slots;
    if (slots >= m_domains.size()) {
        return 1;
    }
    const std::size_t slot = rank % slots;
    return (m_domains.size() - slot + slots - 1) / slots;
}

std::optional<wall_instant> weight_shares::windowEnd(std::size_t rank, wall_instant now) const
{
    const auto sharers = static_cast<std::int64_t>(sharersOf(rank));
    const auto turn = static_cast<std::int64_t>(rank / m_limits.slots);
    const microseconds window = m_limits.window;
    const std::int64_t current = now.time_since_epoch() / window;
    const wall_instant begin{current * window};
    const bool isOwn = current % sharers == turn;
    if (!isOwn || now < begin + m_limits.clockSkew) {
        return std::nullopt;
    }
    return begin + window;
}

static void endBy(weight_allowance &allowance, wall_instant end)
{
    allowance.slotsEnd = allowance.slotsEnd ? std::min(*allowance.slotsEnd, end) : end;
}

void weight_shares::addSlots(weight_allowance &allowance, std::uint32_t slots, const domain_id &owner, wall_instant now) const
{
    const std::optional<std::size_t> rank = rankOf(owner);
    if (!rank || slots == 0) {
        return;
    }
    if (sharersOf(*rank) > 1) {
        const std::optional<wall_instant> end = windowEnd(*rank, now);
        if (!end) {
            return;
        }
        endBy(allowance, *end);
    }
    allowance.slots += slots;
}

weight_allowance weight_shares::floorOf(const domain_id &domain, wall_instant now) const
{
    const amounts floor = owned(domain);
    weight_allowance allowance{floor.perMinute, 0, std::nullopt};
    addSlots(allowance, floor.slots, domain, now);
    return allowance;
}

weight_shares::amounts weight_shares::unlent(const domain_id &domain, wall_instant now) const
{
    amounts left = owned(domain);
    for (const std::vector<weight_share_loan> *loans : {&m_loans, &m_reserved}) {
        for (const weight_share_loan &loan : *loans) {
            if (loan.from == domain && inForce(loan, now)) {
                left.take(amountsOf(loan));
            }
        }
    }
    return left;
}

void weight_shares::addBorrowed(weight_allowance &allowance, const domain_id &owner, const domain_id &taker, wall_instant now) const
{
    amounts left = owned(owner);
    for (const weight_share_loan &loan : m_loans) {
        if (loan.from != owner || !inForce(loan, now)) {
            continue;
        }
        const amounts given = left.take(amountsOf(loan));
        if (loan.to != taker || now >= loan.until) {
            continue;
        }
        allowance.perMinute += given.perMinute;
        const std::uint32_t before = allowance.slots;
        addSlots(allowance, given.slots, owner, now);
        if (allowance.slots > before) {
            endBy(allowance, loan.until);
        }
    }
}

weight_allowance weight_shares::allowanceOf(const domain_id &domain, wall_instant now) const
{
    const amounts left = unlent(domain, now);
    weight_allowance allowance{left.perMinute, 0, std::nullopt};
    addSlots(allowance, left.slots, domain, now);
    for (const domain_id &owner : m_domains) {
        if (owner != domain) {
            addBorrowed(allowance, owner, domain, now);
        }
    }
    return allowance;
}

void weight_shares::apply(const weight_share_loan &loan)
{
    const auto held = std::ranges::find(m_reserved, loan);
    if (held != m_reserved.end()) {
        m_reserved.erase(held);
    }
    const bool known = rankOf(loan.from) && rankOf(loan.to);
    if (known && loan.from != loan.to) {
        m_loans.push_back(loan);
    }
}

bool weight_shares::reserve(const weight_share_loan &loan, wall_instant now)
{
    const amounts left = unlent(loan.from, now);
    const amounts wanted = amountsOf(loan);
    if (left.perMinute < wanted.perMinute || left.slots < wanted.slots) {
        return false;
    }
    m_reserved.push_back(loan);
    return true;
}

void weight_shares::forgetEnded(wall_instant now)
{
    const auto ended = [&](const weight_share_loan &loan) {
        return !inForce(loan, now);
    };
    std::erase_if(m_loans, ended);
    std::erase_if(m_reserved, ended);
}

} // namespace fuchsialoom
