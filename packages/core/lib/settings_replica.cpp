/// \file
/// One VM's copy of the settings.
#include "fuchsialoom/core/settings_replica.h"

#include "fuchsialoom/core/streams.h"

#include <utility>

namespace fuchsialoom
{

settings_replica::settings_replica(vm_id self, replica_rules rules)
    : m_rules(rules)
    , m_schedule(std::move(self), rules.snapshots)
    , m_freshness(rules.staleAfter)
{
}

std::vector<timeline_event> settings_replica::take(instant now, tail_id source, const record_page &page)
{
    const follow_result result = m_follower.take(source, page);
    if (result.gapFound) {
        m_events.push_back(timeline_event(event_kind::SettingsGap, settingsStream().text())
                               .with(event_field::LogOffset, page.first)
                               .with(event_field::Cause, "records after " + std::to_string(tree().applied().value()) + " are gone"));
    }
    for (settings_news &news : m_follower.fold().takeNews()) {
        std::visit(
            [&](auto &item) {
                handle(now, item);
            },
            news);
    }
    if (source == tail_id::Log && page.status == read_status::Ok) {
        m_schedule.logSeen(page.first, page.next);
        const log_offset head(page.next.isNone() ? 0 : page.next.value() - 1);
        m_freshness.logAnswered(now, head, tree().applied());
    }
    return std::exchange(m_events, {});
}

void settings_replica::handle(instant now, change_seen &news)
{
    m_schedule.changeSeen(now, news.edits.size());
    const folded_change &folded = news.folded;
    const bool isRepeat = folded.offset != news.offset;
    if (isRepeat) {
        m_events.push_back(timeline_event(event_kind::RecordSkipped, folded.id.text())
                               .with(event_field::Cause, "repeat of offset " + std::to_string(folded.offset.value()))
                               .with(event_field::LogOffset, news.offset));
        return;
    }
    timeline_event event(folded.refusal ? event_kind::SettingsRefused : event_kind::SettingsApplied, folded.id.text());
    event.with(event_field::LogOffset, std::to_string(news.offset.value()));
    if (folded.refusal) {
        event.with(event_field::Cause, folded.refusal->detail);
    }
    m_events.push_back(std::move(event));
    keepHistory(std::move(news));
}

void settings_replica::handle(instant, snapshot_seen &news)
{
    m_schedule.snapshotSeen(news.through, news.writtenAt);
    if (!news.loaded) {
        return;
    }
    m_events.push_back(timeline_event(event_kind::SnapshotLoaded, settingsStream().text())
                           .with(event_field::LogOffset, news.offset)
                           .with(event_field::Version, news.through));
    m_history.clear();
    for (const folded_change &folded : m_follower.fold().fold().recent()) {
        keepHistory(change_seen{folded.offset, folded, {}});
    }
}

void settings_replica::handle(instant, record_passed &news)
{
    ++m_passed;
    m_events.push_back(timeline_event(event_kind::RecordSkipped, settingsStream().text())
                           .with(event_field::Cause, std::string("unknown or corrupt"))
                           .with(event_field::LogOffset, news.offset));
}

void settings_replica::keepHistory(change_seen seen)
{
    if (seen.edits.size() > m_rules.mostEditsShown) {
        seen.edits.resize(m_rules.mostEditsShown);
    }
    m_history.push_back(std::move(seen));
    if (m_history.size() > m_rules.mostHistory) {
        m_history.pop_front();
    }
}

void settings_replica::peersAsked(log_offset highest)
{
    m_follower.notePeer(highest);
    m_freshness.peersAnswered(highest, tree().applied());
}

void settings_replica::provenByPeer(instant at, log_offset first)
{
    m_schedule.logSeen(first, log_offset(tree().applied().value() + 1));
    m_freshness.logAnswered(at, tree().applied(), tree().applied());
}

std::optional<timeline_event> settings_replica::tick(instant now)
{
    const freshness state = m_freshness.state(now);
    if (state == m_reported) {
        return std::nullopt;
    }
    m_reported = state;
    const event_kind kind = state == freshness::Current ? event_kind::SettingsCurrent : event_kind::SettingsStale;
    return timeline_event(kind, settingsStream().text()).with(event_field::LogOffset, tree().applied());
}

std::optional<settings_snapshot> settings_replica::snapshotDue(instant now, wall_instant wall, std::span<const std::string> members)
{
    if (m_follower.isSeeking() || m_freshness.state(now) != freshness::Current || !m_schedule.isDue(now, wall, members)) {
        return std::nullopt;
    }
    m_schedule.writing(now);
    return m_follower.fold().snapshot(wall);
}

replica_status settings_replica::status(instant now) const
{
    return replica_status{
        tree().applied(), m_follower.head(), m_freshness.state(now), m_follower.isSeeking(), m_follower.isLogBehind(), m_passed};
}

} // namespace fuchsialoom
