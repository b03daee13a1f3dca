/// \file
/// Chooses the target of a request.
#include "fuchsialoom/core/router.h"

#include "fuchsialoom/support/hash.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace fuchsialoom
{

// Weights of the score. A full target costs fullLoad; a whole prefix match is worth less than an idle
// target against a full one, so that a popular prefix spreads before its target saturates.
static constexpr int fullLoad = 1000;
static constexpr int wholePrefix = 400;
static constexpr int adapterHeld = 200;

static bool answersService(const listed_target &target, const service_id &service)
{
    return target.services.empty() || std::find(target.services.begin(), target.services.end(), service) != target.services.end();
}

static bool holdsAdapter(const target_entry &entry, const incoming_request &request)
{
    if (request.adapter.empty() || !entry.report) {
        return false;
    }
    const auto earlier = [](const resident_adapter &held, const incoming_request &wanted) {
        return std::tie(held.model, held.adapter, held.version) < std::tie(wanted.model, wanted.adapter, wanted.adapterVersion);
    };
    const auto &adapters = entry.report->adapters;
    const auto found = std::lower_bound(adapters.begin(), adapters.end(), request, earlier);
    return found != adapters.end() && found->model == request.model && found->adapter == request.adapter
        && found->version == request.adapterVersion;
}

static int scoreOf(const target_entry &entry, const cache_index &cache, const incoming_request &request)
{
    int score = static_cast<int>(std::uint64_t{entry.load} * fullLoad / std::max<std::uint32_t>(entry.capacity(), 1));
    if (!request.prefixBlocks.empty()) {
        const std::size_t matched = cache.matchedBlocks(entry.listed.id, request.prefixBlocks);
        score -= static_cast<int>(matched * wholePrefix / request.prefixBlocks.size());
    }
    if (holdsAdapter(entry, request)) {
        score -= adapterHeld;
    }
    return score;
}

static bool wasTried(const target_entry &entry, std::span<const tried_target> tried)
{
    return std::any_of(tried.begin(), tried.end(), [&](const tried_target &one) {
        return one.target == entry.listed.id && (one.incarnation.isNone() || one.incarnation == entry.incarnation());
    });
}

/// Collects the best of the candidates that it is shown, own domain before others.
class best_choice
{
public:
    best_choice(const cache_index &cache, const route_query &query)
        : m_cache(cache)
        , m_query(query)
        , m_seed(hashOf(query.request.id.text()).value())
    {
    }

    void consider(const target_entry &entry)
    {
        const bool isElsewhere = m_query.leased != nullptr && *m_query.leased != entry.listed.id;
        if (!entry.takesNew() || isElsewhere || wasTried(entry, m_query.tried)) {
            return;
        }
        m_best.anyServes = true;
        const bool accusedThere = m_query.apart && (entry.accusedInFlight > 0 || entry.leasedUntil);
        if (runsAt(entry) && !accusedThere) {
            m_best.target = &entry;
            m_best.score = scoreOf(entry, m_cache, m_query.request);
            m_best.runsThere = true;
            return;
        }
        if (m_best.runsThere) {
            return;
        }
        const bool fartherAway = m_best.target != nullptr && rankOf(*m_best.target) < rankOf(entry);
        if (!entry.hasRoom() || accusedThere || fartherAway) {
            return;
        }
        const int score = scoreOf(entry, m_cache, m_query.request);
        if (isBetter(entry, score)) {
            m_best.target = &entry;
            m_best.score = score;
        }
    }

    const route &result() const
    {
        return m_best;
    }

private:
    /// Lower goes first: targets that take connections, then the own domain.
    static std::pair<bool, bool> rankOf(const target_entry &entry)
    {
        return {entry.avoidUntil.has_value(), !entry.inOwnDomain};
    }

    /// Its report counts the stream, so following it takes no more room, also where the target is full.
    bool runsAt(const target_entry &entry) const
    {
        if (!m_query.stream || !m_query.tried.empty() || !entry.report || entry.avoidUntil) {
            return false;
        }
        return std::binary_search(entry.report->streams.begin(), entry.report->streams.end(), *m_query.stream);
    }

    bool isBetter(const target_entry &entry, int score) const
    {
        if (m_best.target == nullptr) {
            return true;
        }
        if (rankOf(entry) != rankOf(*m_best.target)) {
            return rankOf(entry) < rankOf(*m_best.target);
        }
        if (score != m_best.score) {
            return score < m_best.score;
        }
        return tieRank(entry) < tieRank(*m_best.target);
    }

    /// Differs between requests, so that VMs which see the same loads don't all choose one target.
    std::pair<std::uint64_t, const target_id &> tieRank(const target_entry &entry) const
    {
        static constexpr std::uint64_t oddMultiplier = 0x9E3779B97F4A7C15ULL;
        return {(entry.spread.value() ^ m_seed) * oddMultiplier, entry.listed.id};
    }

    const cache_index &m_cache;
    const route_query &m_query;
    std::uint64_t m_seed;
    route m_best;
};

/// Shows \p visit every target that may serve the request, until it returns true. \return whether it did.
template<typename Visit>
static bool visitCandidates(const target_table &targets, const incoming_request &request, const Visit &visit)
{
    if (request.kind == target_kind::Plain) {
        const auto &plain = targets.plainTargets();
        return std::any_of(plain.begin(), plain.end(), [&](const target_entry *entry) {
            return answersService(entry->listed, request.service) && visit(*entry);
        });
    }
    const auto visitPointer = [&](const target_entry *entry) {
        return visit(*entry);
    };
    const auto &holders = targets.engineHolders(request.model, request.version);
    return std::any_of(holders.begin(), holders.end(), visitPointer);
}

template<typename Visit>
static bool visitUnknown(const target_table &targets, const incoming_request &request, const Visit &visit)
{
    if (request.kind == target_kind::Plain) {
        return false;
    }
    const auto &unknown = targets.unknownEngines();
    return std::any_of(unknown.begin(), unknown.end(), [&](const target_entry *entry) {
        return visit(*entry);
    });
}

bool isServed(const target_table &targets, const incoming_request &request)
{
    const auto isLive = [](const target_entry &entry) {
        return entry.takesNew();
    };
    return visitCandidates(targets, request, isLive) || visitUnknown(targets, request, isLive);
}

route findRoute(const target_table &targets, const cache_index &cache, const route_query &query)
{
    best_choice best(cache, query);
    const auto consider = [&](const target_entry &entry) {
        best.consider(entry);
        return false;
    };
    visitCandidates(targets, query.request, consider);
    if (!best.result().anyServes) {
        visitUnknown(targets, query.request, consider);
    }
    return best.result();
}

} // namespace fuchsialoom
