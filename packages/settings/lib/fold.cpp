/// \file
/// The fold of the settings stream.
#include "fuchsialoom/settings/fold.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace fuchsialoom
{

std::optional<folded_change> settings_fold::apply(log_offset offset, const settings_change &change)
{
    if (offset <= applied()) {
        return std::nullopt;
    }
    if (const folded_change *first = find(change.id)) {
        m_tree.skipTo(offset);
        return *first;
    }
    folded_change folded{change.id, offset, change.operatorName, m_tree.apply(offset, change).refusal};
    remember(folded);
    return folded;
}

void settings_fold::skipTo(log_offset offset)
{
    m_tree.skipTo(offset);
}

static bool isPlausible(log_offset through, std::span<const setting_entry> entries, std::span<const folded_change> recent)
{
    const bool isOrdered = std::is_sorted(recent.begin(), recent.end(), [](const folded_change &left, const folded_change &right) {
        return left.offset < right.offset;
    });
    const bool isCovered = recent.empty() || recent.back().offset <= through;
    if (!isOrdered || !isCovered || recent.size() > settings_fold::rememberedChanges) {
        return false;
    }
    return std::all_of(entries.begin(), entries.end(), [&](const setting_entry &entry) {
        return !entry.version.isNone() && entry.version <= through;
    });
}

bool settings_fold::load(log_offset through, std::span<const setting_entry> entries, std::span<const folded_change> recent)
{
    if (through <= applied() || !isPlausible(through, entries, recent)) {
        return false;
    }
    try {
        for (const setting_entry &entry : entries) {
            checkSetting(entry.path, entry.key, entry.value);
        }
    } catch (const error &) {
        return false;
    }
    m_tree.load(through, entries);
    m_recent.clear();
    m_offsets.clear();
    for (const folded_change &folded : recent) {
        remember(folded);
    }
    return true;
}

const folded_change *settings_fold::find(const record_id &id) const
{
    const auto known = m_offsets.find(id);
    if (known == m_offsets.end()) {
        return nullptr;
    }
    const auto found = std::lower_bound(m_recent.begin(), m_recent.end(), known->second, [](const folded_change &entry, log_offset offset) {
        return entry.offset < offset;
    });
    assert(found != m_recent.end() && found->id == id && "every indexed change is remembered");
    return &*found;
}

void settings_fold::remember(folded_change folded)
{
    // A snapshot from elsewhere may repeat an id; the first stands.
    if (!m_offsets.emplace(folded.id, folded.offset).second) {
        return;
    }
    m_recent.push_back(std::move(folded));
    if (m_recent.size() > rememberedChanges) {
        m_offsets.erase(m_recent.front().id);
        m_recent.pop_front();
    }
}

} // namespace fuchsialoom
