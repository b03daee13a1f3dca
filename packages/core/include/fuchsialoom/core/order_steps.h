/// \file
/// Turns a wanted placement into the next safe orders, one for each target at a time.
#pragma once

#include "fuchsialoom/core/memory_ledger.h"
#include "fuchsialoom/core/residency_goal.h"

#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace fuchsialoom
{

/// The weight store's rate and slots as one domain may use them.
class load_allowance
{
public:
    void configure(std::uint32_t slots, std::uint32_t loadsPerMinute);

    /// Whether a load may begin at \p now while \p running are under way.
    bool allows(instant now, std::size_t running) const;
    void take(instant now);

private:
    std::uint32_t m_slots = 3;
    microseconds m_interval{1000000}; ///< between loads at the allowed rate
    instant m_nextAt{}; ///< the rate allows the next load from here on, less the burst
};

/// An order to make, not yet checked by anyone else.
struct order_step
{
    target_id target;
    order_operation operation = order_operation::LoadModel;
    artifact what;
    std::uint64_t bytes = 0;
};

/// A step that the ledger doesn't allow now.
struct withheld_step
{
    order_step step;
    ledger_verdict why = ledger_verdict::Allowed;

    /// Whether it is withheld for a reason that waiting alone may not cure.
    bool isBlocked() const
    {
        return why == ledger_verdict::NoRoom || why == ledger_verdict::LastCopy;
    }
};

struct next_steps
{
    std::vector<order_step> orders; ///< at most one for each target
    std::vector<withheld_step> withheld;
};

/// Chooses steps. A missing load goes first, of the model with the fewest copies; where it doesn't fit,
/// something unwanted makes room; where that is a last copy, the same model is first loaded on another
/// target with room; without any, the step is withheld. Unwanted copies of a wanted model go once all
/// its wanted copies are there; models that nobody wants go only to make room.
class step_chooser
{
public:
    step_chooser(const memory_ledger &ledger, const residency_goal &wanted, instant now, instant stuckBefore);

    next_steps choose(const load_allowance &share) const;

    /// What the ledger says of \p step now.
    ledger_verdict check(const order_step &step) const;

private:
    using step_result = std::variant<order_step, withheld_step>;

    std::optional<step_result> nextFor(const target_account &account) const;
    std::optional<step_result> load(const target_account &account, const order_step &wantedLoad) const;
    std::optional<step_result> makeRoom(const target_account &account, const order_step &wantedLoad) const;
    std::optional<step_result> bridge(const target_account &account, const resident_model &victim) const;
    std::optional<order_step> dropExtra(const target_account &account) const;
    std::vector<order_step> missingLoads(const target_account &account) const;
    std::vector<order_step> unwanted(const target_account &account) const;
    bool allWantedHeld(const model_id &model) const;
    bool isBusy(const target_account &account) const;
    const target_placement *wantedOn(const target_id &target) const;

    const memory_ledger &m_ledger;
    const residency_goal &m_wanted;
    const instant m_now;
    const instant m_stuckBefore;
    std::map<model_id, std::size_t> m_copies; ///< certain copies of each model, counted once
};

/// Loads that use the weight store now: open ones that aren't stuck, and what targets report as loading.
std::size_t loadsUnderWay(const memory_ledger &ledger, instant stuckBefore);

} // namespace fuchsialoom
