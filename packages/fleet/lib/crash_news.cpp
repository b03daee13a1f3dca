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

void crash_outbox::put(const item_key &key, const item &news, bool toRelays)
{
    if (m_items.size() >= maxItems && !m_items.contains(key)) {
        return;
    }
    item &one = m_items[key];
    one.at = news.at;
    one.isAcquitted = one.isAcquitted || news.isAcquitted;
    one.isTrial = one.isTrial || news.isTrial;
    one.parts = news.parts;
    one.isPart = news.isPart;
    one.forRelays = toRelays ? messagesPerItem : one.forRelays;
    one.forMembers = messagesPerItem;
}

void crash_outbox::add(instant now, const crash_news &news, bool toRelays)
{
    for (const crash_report &one : news.reports) {
        put({one.fingerprint, one.target}, {now - one.age, one.isAcquitted, one.isTrial, one.parts, one.isPart}, toRelays);
    }
    for (const quarantine_report &one : news.quarantines) {
        put({one.fingerprint, target_id()}, {now + one.left}, toRelays);
    }
    for (const trial_claim &one : news.trials) {
        if (m_trials.size() < maxItems || m_trials.contains(one.service)) {
            trial_item &latest = m_trials[one.service];
            latest.at = now - one.age;
            latest.claim = one;
            latest.forRelays = toRelays ? messagesPerItem : 0;
            latest.forMembers = messagesPerItem;
        }
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
            const auto age = std::chrono::duration_cast<milliseconds>(now - one.at);
            news.reports.push_back({fingerprint, target, one.isAcquitted, age, one.isTrial, one.parts, one.isPart});
        } else if (one.at > now) {
            news.quarantines.push_back({fingerprint, std::chrono::ceil<milliseconds>(one.at - now)});
        }
    }
    for (auto &[service, one] : m_trials) {
        const std::uint32_t left = one.left(on);
        if (left == 0 || (onlyNew && left != messagesPerItem) || news.trials.size() >= maxItemsPerMessage) {
            continue;
        }
        one.left(on) -= 1;
        news.trials.push_back(one.claim);
        news.trials.back().age = std::chrono::duration_cast<milliseconds>(now - one.at);
    }
    dropSent();
    return news;
}

void crash_outbox::discard(channel on)
{
    for (auto &[key, one] : m_items) {
        one.left(on) = 0;
    }
    for (auto &[service, one] : m_trials) {
        one.left(on) = 0;
    }
    dropSent();
}

void crash_outbox::dropSent()
{
    const auto isSent = [](const auto &entry) {
        return entry.second.forRelays == 0 && entry.second.forMembers == 0;
    };
    std::erase_if(m_items, isSent);
    std::erase_if(m_trials, isSent);
}

} // namespace fuchsialoom
