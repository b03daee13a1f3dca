/// \file
/// One partition of the claims stream at one VM: what waits to be appended, what is being appended or
/// read, and the fold of what was read.
#pragma once

#include "fuchsialoom/core/claim_table.h"
#include "fuchsialoom/core/claims.h"
#include "fuchsialoom/core/retention_meter.h"

#include <deque>
#include <optional>
#include <vector>

namespace fuchsialoom
{

class claim_stream
{
public:
    const claim_table &table() const
    {
        return m_table;
    }

    /// Starts to read the stream from its first kept record; no effect when it is followed already.
    void follow(instant now);
    /// Forgets the fold.
    void leave();
    bool followed() const
    {
        return m_followed;
    }

    void queueClaim(key_claim claim);
    /// Takes back a claim that no append has carried. \return false when there is none.
    bool withdrawClaim(const claim_id &claim);
    /// Outcomes and abandons stay queued until they are in the log. \p ask: whom to tell then.
    void queueEnds(key_outcomes ends, std::optional<ask_number> ask);
    std::size_t queuedEnds() const
    {
        return m_endsQueued;
    }

    /// The claims to append now; nothing when there are none, or it is too early, or one append is under way.
    std::optional<key_claims> startClaims(instant now, const claim_options &options);
    /// The same for outcomes and abandons.
    std::optional<key_outcomes> startEnds(instant now, const claim_options &options);
    /// \return the claims that the answered append carried.
    std::vector<claim_id> claimsAnswered();
    /// \return the peers whose outcomes are in the log now.
    std::vector<ask_number> endsAnswered(bool appended, instant now, const claim_options &options);

    /// Whether the last append or sending of outcomes and abandons failed.
    bool endsFailed() const
    {
        return m_endsFailed;
    }

    /// Where to read from, when a read is due now and none is under way.
    std::optional<log_offset> startRead(instant now, const claim_options &options);
    /// A read that starts from now on is wanted at once. \return the number of that read.
    std::uint64_t wantRead(instant now);
    /// False where the stream was left since the read began: its page doesn't continue the fold.
    bool awaits() const
    {
        return m_readFrom.value() == m_table.applied().value() + 1;
    }
    /// Prepares the fold of \p page. \return false where records between were trimmed before they were
    /// read: the fold then starts anew from the first kept record.
    bool beginPage(const claim_records_read &page);
    /// \p spacing: of the records by which retention() is measured.
    void fold(const log_entry &entry, milliseconds spacing);
    struct read_end
    {
        std::uint64_t number = 0;
        bool caughtUp = false; ///< the page reached the log's end
    };
    /// \p folded: the page was awaited and folded.
    read_end endRead(const claim_records_read &page, bool folded, instant now, const claim_options &options);

    /// Whether the append of claims under way is overdue; said again after each further patience.
    bool takeOverdueAppend(instant now, const claim_options &options);
    /// Whether the read under way is overdue; said once for each. Its answer is still waited for.
    bool takeOverdueRead(instant now);

    const retention_meter &retention() const
    {
        return m_retention;
    }
    void noteRetention(log_offset first, wall_instant now)
    {
        m_retention.logSeen(first, now);
    }

    /// Until then no claim is tried: the log has just failed.
    instant downUntil() const
    {
        return m_downUntil;
    }
    void markDown(instant now, const claim_options &options)
    {
        m_downUntil = now + options.retryPause;
    }
    /// Nobody waited for this stream since then.
    instant lastUsed() const
    {
        return m_lastUsed;
    }
    void markUsed(instant now)
    {
        m_lastUsed = now;
    }

private:
    struct queued_ends
    {
        key_outcomes ends;
        std::optional<ask_number> ask;
    };

    claim_table m_table;
    bool m_followed = false;
    std::deque<key_claim> m_claims; ///< not yet in an append
    std::vector<claim_id> m_claimsInFlight; ///< of the append under way; empty when there is none
    std::deque<queued_ends> m_ends; ///< the first m_endsInFlight of them are in the append under way
    instant m_appendDue = farFuture; ///< of the claims in flight
    std::size_t m_endsInFlight = 0;
    std::size_t m_endsQueued = 0; ///< single outcomes and abandons in m_ends
    bool m_endsFailed = false;
    instant m_nextClaims{}; ///< no earlier append of claims
    instant m_nextEnds{};
    instant m_nextRead = farFuture;
    std::uint64_t m_readsStarted = 0;
    log_offset m_readFrom; ///< of the latest read
    bool m_reading = false;
    instant m_readDue = farFuture; ///< of the read under way, until it is said that it is overdue
    retention_meter m_retention;
    instant m_downUntil{};
    instant m_lastUsed{};
};

} // namespace fuchsialoom
