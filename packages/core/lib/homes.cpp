/// \file
/// Home domains by rendezvous hashing, bounded by each domain's memory.
#include "fuchsialoom/core/homes.h"

#include "fuchsialoom/core/bin_packing.h"
#include "fuchsialoom/support/hash.h"

#include <algorithm>
#include <string>

namespace fuchsialoom
{

namespace
{

/// A model survives the loss of one domain where memory allows.
constexpr std::size_t homesWanted = 2;
/// Share of a domain's memory that homes beyond the first leave free for demand and for swaps.
constexpr std::uint64_t reserveDivisor = 8;

struct domain_space
{
    domain_id domain;
    std::vector<std::uint64_t> free; ///< by bin
    std::uint64_t reserve = 0;

    std::uint64_t freeBytes() const
    {
        std::uint64_t sum = 0;
        for (const std::uint64_t bytes : free) {
            sum += bytes;
        }
        return sum;
    }
};

/// The tightest bin with room for \p bytes, or null.
std::uint64_t *tightestBin(domain_space &space, std::uint64_t bytes)
{
    std::uint64_t *best = nullptr;
    for (std::uint64_t &free : space.free) {
        if (free >= bytes && (best == nullptr || free < *best)) {
            best = &free;
        }
    }
    return best;
}

/// Homes over one set of domains; indices are those of the sorted models and domains.
class home_assignment
{
public:
    home_assignment(const std::vector<model_need> &models, std::vector<domain_space> spaces)
        : m_models(models)
        , m_spaces(std::move(spaces))
        , m_homes(models.size())
        , m_bySize(models.size())
    {
        std::vector<std::string> names;
        for (const domain_space &space : m_spaces) {
            names.push_back(space.domain.text());
        }
        for (std::size_t model = 0; model < models.size(); ++model) {
            m_bySize[model] = model;
            m_preference.push_back(rendezvous(models[model].model.text(), names, names.size()));
        }
        std::ranges::stable_sort(m_bySize, std::ranges::greater(), [&models](std::size_t model) {
            return models[model].bytes;
        });
    }

    void run()
    {
        placeFirstHomes();
        std::size_t most = homesWanted;
        for (const model_need &model : m_models) {
            most = std::max<std::size_t>(most, model.replicasMin);
        }
        for (std::size_t round = 2; round <= std::min(most, m_spaces.size()); ++round) {
            placeFurtherHomes(round);
        }
    }

    std::vector<domain_id> homesOf(std::size_t model) const
    {
        std::vector<domain_id> domains;
        for (const std::size_t home : m_homes[model]) {
            domains.push_back(m_spaces[home].domain);
        }
        std::ranges::sort(domains);
        return domains;
    }

private:
    bool tryHome(std::size_t model, std::size_t home)
    {
        std::uint64_t *bin = tightestBin(m_spaces[home], m_models[model].bytes);
        if (bin == nullptr) {
            return false;
        }
        *bin -= m_models[model].bytes;
        m_homes[model].push_back(home);
        return true;
    }

    bool tryAnyHome(std::size_t model)
    {
        return std::ranges::any_of(m_preference[model], [&](std::size_t home) {
            return tryHome(model, home);
        });
    }

    void placeFirstHomes()
    {
        const std::vector<domain_space> empty = m_spaces;
        bool complete = true;
        for (const std::size_t model : m_bySize) {
            complete = tryAnyHome(model) && complete;
        }
        if (complete) {
            return;
        }
        reset(empty);
        if (packFirstHomes()) {
            return;
        }
        // Memory is too small: smallest first keeps the most models reachable.
        for (auto model = m_bySize.rbegin(); model != m_bySize.rend(); ++model) {
            tryAnyHome(*model);
        }
    }

    void reset(const std::vector<domain_space> &empty)
    {
        m_spaces = empty;
        m_homes.assign(m_models.size(), {});
    }

    bool packFirstHomes()
    {
        std::vector<packing_item> items;
        for (const model_need &model : m_models) {
            items.push_back(packing_item{model.bytes, std::nullopt});
        }
        std::vector<std::uint64_t> bins;
        std::vector<std::size_t> binHome;
        for (std::size_t home = 0; home < m_spaces.size(); ++home) {
            for (const std::uint64_t free : m_spaces[home].free) {
                bins.push_back(free);
                binHome.push_back(home);
            }
        }
        const auto packed = packAll(items, bins);
        if (!packed) {
            return false;
        }
        for (std::size_t model = 0; model < m_models.size(); ++model) {
            m_homes[model].push_back(binHome[(*packed)[model]]);
            bins[(*packed)[model]] -= m_models[model].bytes;
        }
        std::size_t next = 0;
        for (domain_space &space : m_spaces) {
            for (std::uint64_t &free : space.free) {
                free = bins[next++];
            }
        }
        return true;
    }

    /// Gives each model that wants that many its home number \p round.
    void placeFurtherHomes(std::size_t round)
    {
        for (const std::size_t model : m_bySize) {
            const std::size_t wanted = std::max<std::size_t>(homesWanted, m_models[model].replicasMin);
            if (wanted < round || m_homes[model].size() + 1 != round) {
                continue;
            }
            for (const std::size_t home : m_preference[model]) {
                const bool isHome = std::ranges::find(m_homes[model], home) != m_homes[model].end();
                const domain_space &space = m_spaces[home];
                const bool leavesReserve = space.freeBytes() >= m_models[model].bytes + space.reserve;
                if (!isHome && leavesReserve && tryHome(model, home)) {
                    break;
                }
            }
        }
    }

    const std::vector<model_need> &m_models;
    std::vector<domain_space> m_spaces;
    std::vector<std::vector<std::size_t>> m_homes; ///< by model
    std::vector<std::size_t> m_bySize; ///< models by decreasing size, then by name
    std::vector<std::vector<std::size_t>> m_preference; ///< by model: all domains, best first
};

domain_phase phaseOf(const homes_input &input, const domain_id &domain)
{
    const auto found = input.phases.find(domain);
    return found != input.phases.end() ? found->second : domain_phase::Serving;
}

std::vector<domain_space> spacesOf(const homes_input &input, bool withReturning)
{
    std::vector<domain_space> spaces;
    for (const domain_capacity &capacity : input.capacities) {
        const domain_phase phase = phaseOf(input, capacity.domain);
        const bool counts = phase == domain_phase::Serving || (withReturning && phase == domain_phase::Returning);
        if (!counts || capacity.targets == 0) {
            continue;
        }
        const std::uint64_t binBytes = capacity.acceleratorBytes / capacity.targets;
        domain_space space{capacity.domain, {}, capacity.acceleratorBytes / reserveDivisor};
        space.free.assign(capacity.targets, binBytes);
        spaces.push_back(std::move(space));
    }
    std::ranges::sort(spaces, {}, &domain_space::domain);
    return spaces;
}

/// Adds the homes that \p full gives in returning domains: until such a domain has proved itself, the
/// homes that stood in for it stay.
void addReturning(const homes_input &input, std::vector<domain_id> &homes, const std::vector<domain_id> &full)
{
    for (const domain_id &domain : full) {
        if (phaseOf(input, domain) == domain_phase::Returning) {
            homes.push_back(domain);
        }
    }
    std::ranges::sort(homes);
}

} // namespace

homes_plan planHomes(const homes_input &input)
{
    std::vector<model_need> models = input.models;
    std::ranges::sort(models, {}, &model_need::model);
    home_assignment steady(models, spacesOf(input, false));
    steady.run();
    home_assignment full(models, spacesOf(input, true));
    full.run();
    homes_plan plan;
    for (std::size_t model = 0; model < models.size(); ++model) {
        model_homes homes{models[model].model, steady.homesOf(model)};
        addReturning(input, homes.domains, full.homesOf(model));
        if (homes.domains.empty()) {
            plan.unreachable.push_back(homes.model);
        } else if (homes.domains.size() == 1) {
            plan.singleHomed.push_back(homes.model);
        }
        plan.homes.push_back(std::move(homes));
    }
    return plan;
}

const model_homes *homes_plan::find(const model_id &model) const
{
    const auto found = std::ranges::lower_bound(homes, model, {}, &model_homes::model);
    return found != homes.end() && found->model == model ? &*found : nullptr;
}

std::uint32_t copiesPerHome(std::uint32_t replicasMin, std::size_t homes)
{
    const auto domains = static_cast<std::uint32_t>(std::max<std::size_t>(homes, 1));
    return std::max(1U, (replicasMin + domains - 1) / domains);
}

std::vector<timeline_event> homeEvents(const homes_plan &before, const homes_plan &after)
{
    std::vector<timeline_event> events;
    for (const model_homes &homes : after.homes) {
        const model_homes *old = before.find(homes.model);
        if (old != nullptr && *old == homes) {
            continue;
        }
        if (homes.domains.empty()) {
            events.push_back(
                timeline_event(event_kind::ModelUnreachable, homes.model.text()).with(event_field::Cause, "no domain has memory for it"));
            continue;
        }
        std::string domains;
        for (const domain_id &domain : homes.domains) {
            domains += (domains.empty() ? "" : ",") + domain.text();
        }
        events.push_back(timeline_event(event_kind::HomeChanged, homes.model.text()).with(event_field::Domain, domains));
    }
    return events;
}

} // namespace fuchsialoom
