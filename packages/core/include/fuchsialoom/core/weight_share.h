/// \file
/// How the domains share the weight store's rate and slots. Every domain owns a floor share for good,
/// the floors add up to at most the store's limit, and a loan in the log moves a part of one owner's
/// floor to another domain until a wall-clock instant. So a domain that is cut off may go on using
/// what it owns and has not lent, and nobody else uses that.
///
/// The rate is shared in millionths of a load a minute, so a floor below one load a minute is
/// carried as such: it fills a token bucket slowly. Slots are whole. With at least as many slots as
/// domains each owns one or more at all times. With fewer, domains share a slot by time windows of
/// the wall clock: each domain's window comes round in turn, begins a skew late, and a load may
/// start only where it is expected to end within it.
#pragma once

#include "fuchsialoom/core/records.h"
#include "fuchsialoom/support/ids.h"
#include "fuchsialoom/support/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace fuchsialoom
{

/// Millionths of a load a minute.
using micro_loads = std::uint64_t;
inline constexpr micro_loads microLoadsPerLoad = 1'000'000;

struct weight_limits
{
    std::uint32_t loadsPerMinute = 60; ///< of the store, over all domains
    std::uint32_t slots = 3; ///< of the store, over all domains
    milliseconds clockSkew{2000}; ///< most that two VMs' wall clocks differ
    seconds window{60}; ///< of a slot that several domains share; longer than skew and load together
};

struct weight_allowance
{
    micro_loads perMinute = 0;
    std::uint32_t slots = 0;
    std::optional<wall_instant> slotsEnd; ///< a load has to end before this; absent: no such end

    friend bool operator==(const weight_allowance &, const weight_allowance &) = default;
};

/// The shares as one VM knows them: the loans up to where it has read the log. Of an owner's loans the
/// earlier in the log go first, and what they leave goes to later ones, so all VMs agree who holds
/// what. The taker stops at a loan's end by its own clock; the owner and later takers wait until a
/// skew after it by theirs.
class weight_shares
{
public:
    /// \p domains are all that share the store, in any order.
    weight_shares(weight_limits limits, std::vector<domain_id> domains);

    /// What \p domain owns at \p now, lent or not.
    weight_allowance floorOf(const domain_id &domain, wall_instant now) const;

    /// What \p domain may use at \p now.
    weight_allowance allowanceOf(const domain_id &domain, wall_instant now) const;

    /// Takes in the next loan of the log. Loans of an owner to itself or of a domain that isn't known
    /// are passed over.
    void apply(const weight_share_loan &loan);

    /// Holds back what \p loan gives; for the owner, before it appends the loan. It stays held back
    /// until the loan's end even where the append's answer is lost. \return false, with nothing held
    /// back, where the owner has less than that left.
    bool reserve(const weight_share_loan &loan, wall_instant now);

    /// Drops what ended a skew ago.
    void forgetEnded(wall_instant now);

    std::size_t loans() const
    {
        return m_loans.size();
    }

private:
    struct amounts
    {
        micro_loads perMinute = 0;
        std::uint32_t slots = 0;

        /// As much of \p wanted as there is, taken away from here.
        amounts take(const amounts &wanted);
    };

    static amounts amountsOf(const weight_share_loan &loan);
    bool inForce(const weight_share_loan &loan, wall_instant now) const;
    std::optional<std::size_t> rankOf(const domain_id &domain) const;
    amounts owned(const domain_id &domain) const;
    amounts unlent(const domain_id &domain, wall_instant now) const;
    void addBorrowed(weight_allowance &allowance, const domain_id &owner, const domain_id &taker, wall_instant now) const;
    void addSlots(weight_allowance &allowance, std::uint32_t slots, const domain_id &owner, wall_instant now) const;
    /// Domains that share a slot with the domain of \p rank, itself included.
    std::size_t sharersOf(std::size_t rank) const;
    /// When the present window of \p domain ends; nothing where the window is another's.
    std::optional<wall_instant> windowEnd(std::size_t rank, wall_instant now) const;

    weight_limits m_limits;
    std::vector<domain_id> m_domains; ///< sorted, distinct
    std::vector<weight_share_loan> m_loans; ///< in log order
    std::vector<weight_share_loan> m_reserved; ///< not seen in the log, perhaps appended
};

} // namespace fuchsialoom
