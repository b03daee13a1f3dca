/// \file
/// The loads in the digests between VMs. What seldom changes of a target - its name, incarnation, capacity,
/// models and adapters - has a number, which stands for it once the receiver was told: it is most of the
/// bytes. Models and adapters travel only when they changed, or when the receiver says that it lacks them.
#pragma once

#include "fuchsialoom/core/watch_plan.h"
#include "fuchsialoom/wire/peer_codec.h"

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <vector>

namespace fuchsialoom
{

/// Not thread-safe; the owner serialises.
class load_exchange
{
public:
    /// Adds what \p found holds to the digest for \p receiver, and what is lacking here.
    void fill(instant now, const vm_id &receiver, std::span<const watched_target> found, proto::peer_digest &digest);

    /// Whether \p receiver got the last digest is unknown: all goes to it whole again.
    void forget(const vm_id &receiver);

    /// The loads of a peer's digest that are whole; the rest is asked for with the next digest to it.
    std::vector<received_load> read(instant now, const vm_id &sender, const proto::peer_digest &digest);

private:
    struct residency
    {
        std::uint64_t hash = 0; ///< of models and adapters
        std::vector<resident_model> models;
        std::vector<resident_adapter> adapters;
    };

    /// What a number stands for. A number never stands for anything else while its sender runs.
    struct description
    {
        std::uint32_t number = 0;
        incarnation_number incarnation;
        std::uint32_t capacity = 0;
        std::uint64_t residency = 0;
    };

    /// What one sender told in one incarnation.
    struct told_descriptions
    {
        incarnation_number sender;
        std::map<std::uint32_t, target_id> targets;
        std::map<target_id, description> latest; ///< each of them is in `targets`, and no other
    };

    /// What one receiver should have.
    struct sent_descriptions
    {
        std::map<target_id, std::uint32_t> numbers;
        std::map<target_id, std::uint64_t> residencies;
        bool knowsNumbers = false; ///< its digests show that it understands them
    };

    std::uint32_t numberOf(const load_report &report, std::uint64_t hash);
    void keepDescription(const vm_id &sender, const proto::peer_digest &digest, const proto::load_digest &entry);
    bool expand(const vm_id &sender, const proto::peer_digest &digest, proto::load_digest &entry) const;
    bool complete(const vm_id &sender, received_load &load);
    void keepBounds();

    std::map<target_id, description> m_own; ///< bounded
    std::uint32_t m_lastNumber = 0; ///< never decreases
    std::map<vm_id, sent_descriptions> m_sent; ///< bounded
    std::map<vm_id, told_descriptions> m_told; ///< bounded
    std::map<vm_id, std::set<target_id>> m_lacking; ///< residencies to ask each sender for; bounded
    std::map<vm_id, std::set<std::uint32_t>> m_lackingNumbers; ///< to ask each sender for; bounded
    std::map<target_id, residency> m_known; ///< bounded
};

} // namespace fuchsialoom
