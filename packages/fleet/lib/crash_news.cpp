/// \file
/// Implements the queue of crash news.
#include "fuchsialoom/fleet/crash_news.h"

#include <algorithm>

namespace fuchsialoom
{

/// Messages that contain an item: the loss of all of them is as unlikely as that of a relay's digests, by whose loss it
/// counts as gone.
static constexpr std::uint32_t messagesPerItem = 4;
/// Items in one message, so that it stays a small part of a digest.
static constexpr std::size_t maxItemsPerMessage = 64;
static constexpr std::size_t maxItems = 4096;

void crash_outbox::put(const item_key &key, instant at, bool isAcquitted, bool toRelays)
{
    if (m_items.size() >= maxItems && !m_items.contains(key)) {
        return;
    }
    item &one = m_items[key];
    one.at = at;
    one.isAcquitted = one.isAcquitted || isAcquitted;
    one.forRelays = toRelays ? messagesPerItem : one.forRelays;
    one.forMembers = messagesPerItem;
}

void crash_outbox::add(instant now, const crash_news &news, bool toRelays)
{
    for (const crash_report &one : news.reports) {
        put({one.fingerprint, one.target}, now - one.age, one.isAcquitted, toRelays);
    }
    for (const quarantine_report &one : news.quarantines) {
        put({one.fingerprint, target_id()}, now + one.left, false, toRelays);
    }
}

crash_news crash_outbox::take(instant now, channel on, bool onlyNew)
{
    std::vector<std::pair<const item_key, item> *> due;
    for (auto &entry : m_items) {
        const std::uint32_t left = entry.second.left(on);
        if (onlyNew ? left == messagesPerItem : left > 0) {
            due.push_back(&entry);
        }
    }
    if (due.size() > maxItemsPerMessage) {
        std::ranges::stable_sort(due, std::ranges::greater(), [on](auto *entry) {
            return entry->second.left(on);
        });
        due.resize(maxItemsPerMessage);
    }
    crash_news news;
    for (auto *entry : due) {
        const auto &[fingerprint, target] = entry->first;
        item &one = entry->second;
        one.left(on) -= 1;
        if (!target.empty()) {
            news.reports.push_back({fingerprint, target, one.isAcquitted, std::chrono::duration_cast<milliseconds>(now - one.at)});
        } else if (one.at > now) {
            news.quarantines.push_back({fingerprint, std::chrono::ceil<milliseconds>(one.at - now)});
        }
    }
    dropSent();
    return news;
}

void crash_outbox::discard(channel on)
{
    for (auto &[key, one] : m_items) {
        one.left(on) = 0;
    }
    dropSent();
}

void crash_outbox::dropSent()
{
    std::erase_if(m_items, [](const auto &entry) {
        return entry.second.forRelays == 0 && entry.second.forMembers == 0;
    });
}

} // namespace fuchsialoom
