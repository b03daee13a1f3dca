/// \file
/// When a snapshot of the settings is due.
#include "fuchsialoom/core/snapshot_schedule.h"

#include "fuchsialoom/support/hash.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace fuchsialoom
{

snapshot_schedule::snapshot_schedule(vm_id self, snapshot_rules rules)
    : m_self(std::move(self))
    , m_rules(rules)
{
}

void snapshot_schedule::snapshotSeen(log_offset through, wall_instant writtenAt)
{
    if (m_through && through < *m_through) {
        return;
    }
    m_through = through;
    m_writtenAt = std::max(m_writtenAt, writtenAt);
    m_changes = 0;
    m_edits = 0;
    m_firstChange.reset();
    m_wantedSince.reset();
}

void snapshot_schedule::changeSeen(instant now, std::size_t edits)
{
    ++m_changes;
    m_edits += edits;
    m_firstChange = m_firstChange.value_or(now);
}

void snapshot_schedule::logSeen(log_offset first, log_offset next)
{
    m_first = first;
    m_next = next;
}

bool snapshot_schedule::isFull() const
{
    return m_changes >= m_rules.mostChanges || m_edits >= m_rules.mostEdits;
}

bool snapshot_schedule::isWanted(instant now, wall_instant wall) const
{
    if (!m_through) {
        return m_firstChange && (m_first.value() > 1 || isFull() || now - *m_firstChange >= m_rules.firstAfter);
    }
    const std::uint64_t kept = m_next.value() - std::min(m_first.value(), m_next.value());
    const std::uint64_t margin = m_through->value() + 1 - std::min(m_first.value(), m_through->value() + 1);
    const bool isNearTrim = m_first.value() > 1 && margin * 2 < kept;
    return isNearTrim || isFull() || wall - m_writtenAt >= m_rules.longestAge;
}

std::size_t snapshot_schedule::rank(std::span<const std::string> members) const
{
    const std::string item = "settings-snapshot/" + std::to_string(m_through.value_or(log_offset()).value());
    const std::vector<std::size_t> order = rendezvous(item, members, members.size());
    const auto self = std::find_if(order.begin(), order.end(), [&](std::size_t index) {
        return members[index] == m_self.text();
    });
    return static_cast<std::size_t>(self - order.begin());
}

bool snapshot_schedule::isDue(instant now, wall_instant wall, std::span<const std::string> members)
{
    if (!isWanted(now, wall)) {
        m_wantedSince.reset();
        return false;
    }
    m_wantedSince = m_wantedSince.value_or(now);
    return now >= m_notBefore && now >= *m_wantedSince + m_rules.standIn * static_cast<seconds::rep>(rank(members));
}

void snapshot_schedule::writing(instant now)
{
    m_notBefore = now + m_rules.standIn;
}

} // namespace fuchsialoom
