/// \file
/// The accelerator-memory ledger of one failure domain: for every target what is resident, what is
/// loading, and what may yet land. An order is allowed only if the worst case of all three fits.
///
/// Why it holds for targets that neither check fencing nor honour an expiry. Every order is an intent
/// in the domain's stream first, and its author sends it only after reading it back as valid. So an
/// order that can ever land belongs to an intent that every later leader has folded before it acts,
/// and counts until it is *proved* that it can't land any more. The proofs:
///
///   - the target answered (it lands once, so it can't land later);
///   - the author says so: it never sent it, and won't;
///   - a fresh read, asked for after the intent was read back, shows its effect, and nothing else can
///     have caused that: no other intent for the same model was open meanwhile, and the target is still
///     in the incarnation for which the intent was made (a restarted target may come up with the model
///     resident, or without it, on its own);
///   - its expiry has passed, where the target honours one;
///   - a higher fencing number is in force, where the target checks it.
///
/// A restart of the target is no proof: targets don't look at the incarnation an order was made for,
/// and a paused author can still open a connection to the same address. It clears residency, not what
/// is open. Only an order that was *answered* is over with the old incarnation.
///
/// An intent whose order was truly lost would therefore block its model on that target for ever. So
/// after a time another intent for the same model is allowed beside it. Neither is then the sole
/// explanation of what the target holds, so neither is resolved by a read; the bytes of a load stay
/// counted, and a copy under an open unload is never counted as reachable. The cost is room for that
/// one model on that one target; targets that check fencing or honour an expiry don't have it.
///
/// A target must not carry out one order twice: nothing can be proved against that. A target that
/// checks fencing must keep its number over a restart, or refuse orders until it is fenced anew.
#pragma once

#include "fuchsialoom/core/records.h"
#include "fuchsialoom/core/residency_goal.h"
#include "fuchsialoom/core/targets.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace fuchsialoom
{

/// What an order is about: a version of a model, or of one of its adapters.
struct artifact
{
    model_id model;
    adapter_id adapter; ///< empty: the model itself
    version_id version;

    friend auto operator<=>(const artifact &, const artifact &) = default;
};

artifact artifactOf(const order_intent &intent);
bool isLoad(order_operation operation);
bool isUnload(order_operation operation);

/// An order that may yet land.
struct open_order
{
    order_intent intent;
    log_offset offset; ///< none: not read back from the log, or not in the log (targets that check fencing)
    vm_id author;
    incarnation_number authorIncarnation;
    instant openedAt; ///< when it was read back; a read asked for before it proves nothing
    /// No other order for the same model and adapter was open since this one was made, so that what the
    /// target holds can only come from this one. Once false it stays false.
    bool sole = true;
    /// The target took it, so it can't land again; kept until a fresh read shows what became of it.
    std::optional<instant> acceptedAt;
    std::optional<order_resolution> settled; ///< the target, or the author's send, proved its end

    friend bool operator==(const open_order &, const open_order &) = default;
};

/// Why an order isn't allowed.
enum class ledger_verdict {
    Allowed,
    UnknownTarget,
    NeedsFreshRead,
    NotFenced,
    OpenOrder, ///< another order for the same model is open on that target
    NoRoom,
    LastCopy,
    ModelMissing, ///< an adapter needs its model resident
    AdapterResident, ///< a model goes after its adapters
    NoEffect, ///< the target holds it already, or doesn't hold it
};

template<>
struct name_table<ledger_verdict>
{
    static constexpr auto entries = std::to_array<enum_name<ledger_verdict>>({
        {ledger_verdict::Allowed, "allowed"},
        {ledger_verdict::UnknownTarget, "unknown-target"},
        {ledger_verdict::NeedsFreshRead, "needs-fresh-read"},
        {ledger_verdict::NotFenced, "not-fenced"},
        {ledger_verdict::OpenOrder, "open-order"},
        {ledger_verdict::NoRoom, "no-room"},
        {ledger_verdict::LastCopy, "last-copy"},
        {ledger_verdict::ModelMissing, "model-missing"},
        {ledger_verdict::AdapterResident, "adapter-resident"},
        {ledger_verdict::NoEffect, "no-effect"},
    });
};

/// A provable end of an open order.
struct provable_end
{
    order_id order;
    log_offset intent;
    order_resolution resolution = order_resolution::Done;
};

/// One target's account.
struct target_account
{
    target_memory target;
    std::optional<target_state> state; ///< the latest read
    instant freshAfter{}; ///< a read not asked for after this is too old to decide by
    bool reachable = false; ///< the latest read was answered
    std::optional<instant> lostFrom; ///< set while reads fail: from then on nothing is to be planned on the target
    std::vector<open_order> open;
    fencing_number fencedWith; ///< own number that the target has accepted in this term; none: not fenced
    fencing_number highestUsed; ///< own numbers grow: an order of an old number of ours is dead as well

    bool isFresh() const
    {
        return state && state->askedAt > freshAfter;
    }
    /// Whether reads have failed for so long that its models belong elsewhere.
    bool isLost(instant now) const
    {
        return lostFrom && *lostFrom <= now;
    }
    /// Bytes that may be in use at once: resident, loading and every open load, each artifact once.
    std::uint64_t worstBytes() const;
    /// Artifacts that open loads may still make resident, each listed once.
    target_placement openLoads() const;
    std::uint64_t openBytes() const;
    std::uint64_t capacity() const;
    bool holds(const artifact &what) const;
    bool isLoading(const artifact &what) const;
};

/// A fold of the domain's intents and resolutions, plus reads of its targets. Invariant: the worst case
/// of an account never exceeds the target's capacity by an order that check() allowed.
class memory_ledger
{
public:
    /// Adds, changes and forgets targets.
    void setTargets(const std::vector<target_memory> &targets);

    /// \name The stream. The caller passes valid records only, see domain_leader.
    /// @{
    /// An intent found again under a known order id only moves: its record was carried over before the
    /// log's retention could end it.
    void applyIntent(instant now, log_offset offset, const log_record &record, const order_intent &intent);
    /// \return the order that ended, or nothing.
    std::optional<order_id> applyResolved(instant now, log_offset intent);
    /// @}

    /// Opens an order before it is in the log, or one that needs no log.
    void open(instant now, const order_intent &intent, const vm_id &author, incarnation_number incarnation);
    /// Closes one that no target can have seen or ever will see.
    void close(const order_id &order, instant now);
    void settle(const order_id &order, order_resolution how);
    void accept(const order_id &order, instant now);

    void observe(const target_state &state);
    void unreachable(const target_id &target, instant now);

    /// Whether this VM acts without the log. Then copies on targets that don't check fencing are not
    /// certain: whoever reaches the log may order them away.
    void setWithoutLog(bool withoutLog)
    {
        m_withoutLog = withoutLog;
    }

    /// A new term: what was read before, and own fencing, counts no more.
    void startTerm(instant now);
    void fenced(const target_id &target, fencing_number number, instant now);
    void unfence(const target_id &target);
    /// A number of ours goes to the target: later ones are higher.
    void noteNumber(const target_id &target, fencing_number number);

    /// Forgets every open order: the records that made them are lost to this VM.
    void forgetOpen();

    /// Whether \p intent may be made now. \p stuckBefore: orders opened earlier no longer keep others out.
    ledger_verdict check(const order_intent &intent, const std::set<model_id> &inService, instant now, instant stuckBefore) const;

    /// The ends that are proved now.
    std::vector<provable_end> provable(const target_account &account, wall_instant wall) const;

    /// Targets that hold \p model for certain: freshly read, reachable, no unload open.
    std::size_t certainCopies(const model_id &model, const target_id &except, instant now) const;
    bool isCertain(const target_account &account, const model_id &model, instant now) const;

    const open_order *find(const order_id &order) const;
    const open_order *findIntent(log_offset offset) const;
    const target_account *find(const target_id &target) const;
    const std::map<target_id, target_account> &accounts() const
    {
        return m_accounts;
    }

private:
    open_order *findOpen(const order_id &order);
    bool isNew(const order_id &order);
    void add(target_account &account, open_order order);
    ledger_verdict checkLoad(const target_account &account, const order_intent &intent) const;
    ledger_verdict
    checkUnload(const target_account &account, const order_intent &intent, const std::set<model_id> &inService, instant now) const;

    std::map<target_id, target_account> m_accounts; ///< also targets that only intents name
    bool m_withoutLog = false;
    std::set<target_id> m_known; ///< targets of the latest listing
    std::set<order_id> m_seen; ///< orders lately read from the log: one read twice is opened once
    std::deque<order_id> m_seenInOrder; ///< the same, oldest first; bounded
};

} // namespace fuchsialoom
