/// \file
/// Reads the quarantines that the fleet's stream holds.
#include "fuchsialoom/core/quarantine_reader.h"

#include <algorithm>
#include <utility>

namespace fuchsialoom
{

static constexpr std::size_t mostLearned = 10000;
/// As long as the setting quarantine-ms may be: no VM whose clock ran ahead makes one longer.
static constexpr milliseconds longestQuarantine{86400000};

quarantine_reader::quarantine_reader(std::uint64_t seed)
    : m_backoff(backoff_limits{}, seed)
{
}

std::vector<quarantine_reader_action> quarantine_reader::step(quarantine_time time, const quarantine_reader_event &event)
{
    m_time = time;
    std::visit(
        [&](const auto &one) {
            handle(one);
        },
        event);
    if (!m_isFinished && !m_isReading && m_time.now >= m_nextRead) {
        m_isReading = true;
        m_actions.emplace_back(read_quarantines{m_from});
    }
    return std::exchange(m_actions, {});
}

void quarantine_reader::handle(const time_passed &)
{
}

void quarantine_reader::handle(const quarantines_read &event)
{
    const record_page &page = event.page;
    m_isReading = false;
    if (page.status != read_status::Ok) {
        m_nextRead = m_backoff.failed(m_time.now);
        return;
    }
    m_backoff.succeeded();
    m_end = m_end.isNone() ? page.next : m_end;
    m_from = std::max(m_from, page.first);
    for (const log_entry &entry : page.entries) {
        take(entry);
    }
    // A page without records has shown the end, wherever that was before.
    m_isFinished = page.entries.empty() || m_from >= m_end;
}

void quarantine_reader::take(const log_entry &entry)
{
    if (entry.offset < m_from) {
        return;
    }
    m_from = log_offset(entry.offset.value() + 1);
    const auto *notice = entry.record ? std::get_if<quarantine_notice>(&entry.record->body) : nullptr;
    if (notice != nullptr) {
        learn(*notice);
    }
}

void quarantine_reader::learn(const quarantine_notice &notice)
{
    const wall_instant end = std::min(notice.until, m_time.wall + longestQuarantine);
    if (end <= m_time.wall || (m_until.size() >= mostLearned && !m_until.contains(notice.fingerprint))) {
        return;
    }
    wall_instant &until = m_until[notice.fingerprint];
    if (end > until) {
        until = end;
        m_actions.emplace_back(quarantine_learned{notice.fingerprint, m_time.now + (end - m_time.wall)});
    }
}

} // namespace fuchsialoom
