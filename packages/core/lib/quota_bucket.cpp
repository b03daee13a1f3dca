/// \file
/// Two token buckets and the count of a window.
#include "fuchsialoom/core/quota_bucket.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace fuchsialoom
{

/// Least credit that a full bucket holds, in seconds of its rate: a smaller one would be spent and refilled between two
/// messages of VMs to each other.
static constexpr double minBurstSeconds = 0.25;
/// Burst of the bucket that pays the whole burst out evenly.
static constexpr double evenBurstSeconds = 0.5;
/// A bucket below this fraction of its burst is tight.
static constexpr double tightFraction = 0.5;
static constexpr double minShare = 1e-4;

quota_bucket::quota_bucket(instant now, quota_limits limits)
    : m_limits(limits)
    , m_startedAt(now)
    , m_updatedAt(now)
{
    m_slot = slotNumber(now);
}

double quota_bucket::rate() const
{
    return m_share * m_limits.perSecond;
}

double quota_bucket::burst() const
{
    return std::max(m_share * m_limits.burst, minBurstSeconds * rate());
}

double quota_bucket::evenBurst() const
{
    return std::min(burst(), evenBurstSeconds * rate());
}

double quota_bucket::evenRate() const
{
    // A full bucket at the start of a window is part of what the window allows.
    return rate() + (burst() - evenBurst()) / m_limits.windowSeconds;
}

bool quota_bucket::paysBurstOut(instant now) const
{
    return m_limits.windowSeconds > 0
        && (m_knowsHistory || std::chrono::duration<double>(now - m_startedAt).count() >= m_limits.windowSeconds);
}

double quota_bucket::neededFor(double cost) const
{
    return std::min(cost, burst());
}

std::int64_t quota_bucket::slotNumber(instant at) const
{
    const double slotSeconds = std::max(m_limits.windowSeconds, 1.0) / slotCount;
    return static_cast<std::int64_t>(std::chrono::duration<double>(at.time_since_epoch()).count() / slotSeconds);
}

void quota_bucket::expireSlots(instant now)
{
    const std::int64_t current = slotNumber(now);
    for (std::int64_t passed = 0; m_slot < current && passed < static_cast<std::int64_t>(slotCount); ++passed) {
        m_slot += 1;
        double &slot = m_slots[static_cast<std::size_t>(m_slot) % slotCount];
        m_spent -= slot;
        slot = 0;
    }
    m_slot = std::max(m_slot, current);
}

double quota_bucket::leftOfWindow() const
{
    if (m_limits.windowSeconds <= 0) {
        return std::numeric_limits<double>::infinity();
    }
    return rate() * m_limits.windowSeconds + burst() - m_spent;
}

void quota_bucket::advance(instant now)
{
    const double seconds = std::max(0.0, std::chrono::duration<double>(now - m_updatedAt).count());
    m_updatedAt = std::max(m_updatedAt, now);
    m_burstCredit = std::min(burst(), m_burstCredit + seconds * rate());
    if (paysBurstOut(now)) {
        m_evenCredit = std::min(evenBurst(), m_evenCredit + seconds * evenRate());
    }
    expireSlots(now);
}

void quota_bucket::setLimits(instant now, quota_limits limits)
{
    advance(now);
    m_limits = limits;
    m_slot = slotNumber(now);
    m_burstCredit = std::min(m_burstCredit, burst());
    m_evenCredit = std::min(m_evenCredit, evenBurst());
}

void quota_bucket::setShare(instant now, double share)
{
    advance(now);
    const double before = m_share;
    m_share = std::clamp(share, minShare, 1.0);
    const double ratio = m_share / before;
    // VMs out of reach are taken to have spent like this side.
    for (double &slot : m_slots) {
        slot *= ratio;
    }
    m_spent *= ratio;
    for (double *credit : {&m_burstCredit, &m_evenCredit}) {
        *credit *= *credit > 0 && ratio < 1 ? ratio : 1;
    }
}

bool quota_bucket::take(instant now, double cost)
{
    if (credit(now) < neededFor(cost)) {
        return false;
    }
    spend(now, cost);
    return true;
}

void quota_bucket::spend(instant now, double cost)
{
    advance(now);
    // What is spent beyond the rate out of the other bucket isn't a debt of this one; the window counts it.
    const double lowest = m_limits.windowSeconds > 0 ? -burst() : -std::numeric_limits<double>::infinity();
    m_burstCredit = std::clamp(m_burstCredit - cost, lowest, burst());
    m_evenCredit = std::min(m_evenCredit - cost, evenBurst());
    m_slots[static_cast<std::size_t>(m_slot) % slotCount] += cost;
    m_spent += cost;
}

void quota_bucket::setCredit(instant now, double target)
{
    spend(now, credit(now) - target);
}

void quota_bucket::fill(instant now)
{
    advance(now);
    m_slots.fill(0);
    m_spent = 0;
    m_burstCredit = burst();
    m_evenCredit = evenBurst();
    m_knowsHistory = true;
}

double quota_bucket::credit(instant now) const
{
    quota_bucket at = *this;
    at.advance(now);
    return std::min(at.leftOfWindow(), std::max(at.m_burstCredit, at.paysBurstOut(now) ? at.m_evenCredit : at.m_burstCredit));
}

bool quota_bucket::isTight(instant now) const
{
    return credit(now) < tightFraction * burst();
}

milliseconds quota_bucket::timeUntil(instant now, double cost) const
{
    quota_bucket at = *this;
    at.advance(now);
    const double needed = neededFor(cost);
    if (at.credit(now) >= needed) {
        return milliseconds(0);
    }
    double seconds = std::max(0.0, needed - at.m_burstCredit) / rate();
    if (at.paysBurstOut(now) && needed <= evenBurst()) {
        seconds = std::min(seconds, std::max(0.0, needed - at.m_evenCredit) / evenRate());
    }
    static constexpr double millisecondsPerSecond = 1000;
    return milliseconds(std::max<std::int64_t>(1, static_cast<std::int64_t>(std::ceil(millisecondsPerSecond * seconds))));
}

} // namespace fuchsialoom
