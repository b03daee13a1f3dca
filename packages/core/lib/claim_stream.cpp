/// \file
/// One partition of the claims stream at one VM.
#include "fuchsialoom/core/claim_stream.h"

#include <algorithm>
#include <cassert>
#include <iterator>
#include <utility>

namespace fuchsialoom
{

void claim_stream::follow(instant now)
{
    if (m_followed) {
        return;
    }
    m_followed = true;
    m_nextRead = now;
}

void claim_stream::leave()
{
    m_followed = false;
    m_nextRead = farFuture;
    m_table = claim_table();
    m_retention = retention_meter();
}

void claim_stream::queueClaim(key_claim claim)
{
    m_claims.push_back(std::move(claim));
}

bool claim_stream::withdrawClaim(const claim_id &claim)
{
    const auto found = std::find_if(m_claims.begin(), m_claims.end(), [&](const key_claim &one) {
        return one.id == claim;
    });
    if (found == m_claims.end()) {
        return false;
    }
    m_claims.erase(found);
    return true;
}

static std::size_t countOf(const key_outcomes &ends)
{
    return ends.outcomes.size() + ends.abandons.size();
}

void claim_stream::queueEnds(key_outcomes ends, std::optional<ask_number> ask)
{
    m_endsQueued += countOf(ends);
    m_ends.push_back(queued_ends{std::move(ends), ask});
}

std::optional<key_claims> claim_stream::startClaims(instant now, const claim_options &options)
{
    if (m_claims.empty() || !m_claimsInFlight.empty() || now < m_nextClaims) {
        return std::nullopt;
    }
    key_claims batch;
    while (!m_claims.empty() && batch.claims.size() < options.claimsAnAppend) {
        m_claimsInFlight.push_back(m_claims.front().id);
        batch.claims.push_back(std::move(m_claims.front()));
        m_claims.pop_front();
    }
    m_nextClaims = now + options.gather;
    m_appendDue = now + options.appendPatience;
    return batch;
}

std::optional<key_outcomes> claim_stream::startEnds(instant now, const claim_options &options)
{
    if (m_ends.empty() || m_endsInFlight > 0 || now < m_nextEnds) {
        return std::nullopt;
    }
    key_outcomes batch;
    while (m_endsInFlight < m_ends.size() && countOf(batch) < options.claimsAnAppend) {
        const key_outcomes &unit = m_ends[m_endsInFlight].ends;
        batch.outcomes.insert(batch.outcomes.end(), unit.outcomes.begin(), unit.outcomes.end());
        batch.abandons.insert(batch.abandons.end(), unit.abandons.begin(), unit.abandons.end());
        ++m_endsInFlight;
    }
    m_nextEnds = now + options.gather;
    return batch;
}

std::vector<claim_id> claim_stream::claimsAnswered()
{
    m_appendDue = farFuture;
    return std::exchange(m_claimsInFlight, {});
}

bool claim_stream::takeOverdueAppend(instant now, const claim_options &options)
{
    if (now < m_appendDue) {
        return false;
    }
    m_appendDue = now + options.appendPatience;
    return true;
}

bool claim_stream::takeOverdueRead(instant now)
{
    if (now < m_readDue) {
        return false;
    }
    m_readDue = farFuture;
    return true;
}

std::vector<ask_number> claim_stream::endsAnswered(bool appended, instant now, const claim_options &options)
{
    const std::size_t carried = std::exchange(m_endsInFlight, 0);
    std::vector<ask_number> asks;
    m_endsFailed = !appended;
    if (!appended) {
        m_nextEnds = now + options.retryPause;
        return asks;
    }
    for (std::size_t i = 0; i < carried; ++i) {
        if (m_ends.front().ask) {
            asks.push_back(*m_ends.front().ask);
        }
        m_endsQueued -= countOf(m_ends.front().ends);
        m_ends.pop_front();
    }
    return asks;
}

std::optional<log_offset> claim_stream::startRead(instant now, const claim_options &options)
{
    if (!m_followed || m_reading || now < m_nextRead) {
        return std::nullopt;
    }
    m_reading = true;
    m_readDue = now + options.readPatience;
    m_nextRead = farFuture;
    ++m_readsStarted;
    m_readFrom = log_offset(m_table.applied().value() + 1);
    return m_readFrom;
}

std::uint64_t claim_stream::wantRead(instant now)
{
    m_nextRead = std::min(m_nextRead, now);
    return m_readsStarted + 1;
}

bool claim_stream::beginPage(const claim_records_read &page)
{
    const bool lost = !m_table.applied().isNone() && page.first.value() > m_table.applied().value() + 1;
    if (lost) {
        m_table = claim_table();
    }
    return !lost;
}

void claim_stream::fold(const log_entry &entry, milliseconds spacing)
{
    m_table.apply(entry);
    const auto *claims = entry.record ? std::get_if<key_claims>(&entry.record->body) : nullptr;
    if (claims != nullptr && !claims->claims.empty()) {
        m_retention.recordSeen(entry.offset, claims->claims.front().placed, spacing);
    }
}

claim_stream::read_end claim_stream::endRead(const claim_records_read &page, bool folded, instant now, const claim_options &options)
{
    assert(m_reading && "a page answers a read");
    m_reading = false;
    m_readDue = farFuture;
    const bool caughtUp = folded && (page.entries.empty() || page.entries.back().offset.value() + 1 >= page.next.value());
    const instant next = !page.available ? now + options.retryPause : caughtUp ? now + options.refresh : now;
    m_nextRead = std::min(m_nextRead, next);
    return read_end{m_readsStarted, caughtUp};
}

} // namespace fuchsialoom
