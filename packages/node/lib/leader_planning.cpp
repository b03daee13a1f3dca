/// \file
/// Reads what the leader plans by, and plans.
#include "fuchsialoom/node/leader_planning.h"

#include "fuchsialoom/core/streams.h"
#include "fuchsialoom/node/node_clock.h"

#include <algorithm>
#include <condition_variable>
#include <set>
#include <utility>

namespace fuchsialoom
{

static constexpr milliseconds watchEvery{1000};
static constexpr milliseconds fleetReadEvery{2000};
static constexpr milliseconds appendTimeout{2000};
/// An older report of another domain's target doesn't show that it still holds a model.
static constexpr milliseconds reportAge{5000};

leader_planning::leader_planning(const process_options &options, planning_surroundings around)
    : m_vm(options.vm)
    , m_domain(options.domain)
    , m_around(std::move(around))
    , m_homes(options.domain)
{
}

void leader_planning::start()
{
    m_watchThread = std::jthread([this](const std::stop_token &stop) {
        watchDomain(stop);
    });
    m_fleetThread = std::jthread([this](const std::stop_token &stop) {
        followFleet(stop);
    });
}

void leader_planning::requestStop()
{
    m_watchThread.request_stop();
    m_fleetThread.request_stop();
}

void leader_planning::join()
{
    m_watchThread.join();
    m_fleetThread.join();
}

std::optional<endpoint> leader_planning::addressOf(const target_id &target) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_addresses.find(target);
    return found == m_addresses.end() ? std::nullopt : std::optional(found->second);
}

bool leader_planning::homesKnown() const
{
    const std::lock_guard lock(m_mutex);
    return m_homes.isKnown();
}

/// Returns early on \p stop.
static void pause(const std::stop_token &stop, milliseconds time)
{
    std::mutex mutex;
    std::condition_variable_any never;
    std::unique_lock lock(mutex);
    never.wait_for(lock, stop, time, [] {
        return false;
    });
}

void leader_planning::watchDomain(const std::stop_token &stop)
{
    while (!stop.stop_requested()) {
        readListing();
        readSettings();
        readFleet();
        plan();
        pause(stop, watchEvery);
    }
}

void leader_planning::followFleet(const std::stop_token &stop)
{
    log_offset from(1);
    while (!stop.stop_requested()) {
        // Asked without a wait: what is in this stream is no hurry, and a read kept open costs the log more.
        record_page page = m_around.log.read(fleetStream(), from, std::chrono::steady_clock::now());
        if (page.status == read_status::Unavailable) {
            pause(stop, fleetReadEvery);
            continue;
        }
        from = std::max(from, page.first);
        if (!page.entries.empty()) {
            from = log_offset(page.entries.back().offset.value() + 1);
        }
        const bool reachedEnd = from >= page.next;
        stepFleet(fleet_records_read{std::move(page.entries), reachedEnd});
        if (reachedEnd) {
            pause(stop, fleetReadEvery);
        }
    }
}

void leader_planning::stepFleet(const fleet_event &event)
{
    std::vector<fleet_action> actions;
    {
        const std::lock_guard lock(m_mutex);
        actions = m_homes.step(monotonicNow(), event);
    }
    for (fleet_action &action : actions) {
        if (auto *report = std::get_if<fleet_report>(&action)) {
            m_around.events.emit(std::move(report->event));
        } else if (auto *append = std::get_if<append_capacity>(&action)) {
            append_job job{append_class::Leadership,
                           fleetStream(),
                           m_around.log.nextRecordId(),
                           append->capacity,
                           std::chrono::steady_clock::now() + appendTimeout,
                           [](const append_result &) {}};
            m_around.log.post(std::move(job));
        }
    }
}

std::vector<vm_id> leader_planning::candidates() const
{
    if (m_candidates) {
        return m_candidates();
    }
    std::vector<vm_id> vms{m_vm};
    for (const listed_vm &vm : m_listing.vms) {
        if (vm.domain == m_domain && vm.state == listed_state::Live && vm.id != m_vm) {
            vms.push_back(vm.id);
        }
    }
    return vms;
}

void leader_planning::readListing()
{
    if (const std::optional<dated_listing> latest = m_listings ? m_listings->latest() : std::nullopt) {
        m_listing = *latest->listing;
    }
    m_around.post(domain_vms{candidates()});
    const std::shared_ptr<const settings_tree> tree = m_around.settings.tree();
    std::vector<target_memory> targets;
    std::map<target_id, endpoint> addresses;
    for (const listed_target &target : m_listing.targets) {
        if (target.kind != target_kind::Engine || target.domain != m_domain) {
            continue;
        }
        const setting_path pool = target.pool.empty() ? setting_path() : setting_path::ofPool(target.pool);
        targets.push_back(target_memory{target.id,
                                        target.memoryBytes,
                                        tree->flagAt(pool, setting_key::ChecksFencing),
                                        tree->flagAt(pool, setting_key::HonoursOrderExpiry)});
        addresses.emplace(target.id, target.address);
    }
    {
        const std::lock_guard lock(m_mutex);
        m_addresses = std::move(addresses);
    }
    m_around.post(domain_targets{std::move(targets)});
}

/// The domain's part of a number that all domains share; at least 1, so that one cut off can repair itself.
static std::uint32_t shareOf(std::int64_t whole, std::size_t domains)
{
    return static_cast<std::uint32_t>(std::max<std::int64_t>(1, whole / static_cast<std::int64_t>(std::max<std::size_t>(1, domains))));
}

void leader_planning::readSettings()
{
    std::set<domain_id> domains{m_domain};
    for (const listed_target &target : m_listing.targets) {
        domains.insert(target.domain);
    }
    const std::shared_ptr<const settings_tree> tree = m_around.settings.tree();
    leader_settings settings;
    settings.lease = milliseconds(tree->integerAt({}, setting_key::LeaseMs));
    settings.orderExpiry = milliseconds(tree->integerAt({}, setting_key::OrderExpiryMs));
    settings.weightSlots = shareOf(tree->integerAt({}, setting_key::WeightLoadSlots), domains.size());
    settings.weightLoadsPerMinute = shareOf(tree->integerAt({}, setting_key::WeightLoadsPerMinute), domains.size());
    m_around.post(leader_settings_changed{settings});
}

/// The models whose memory is managed, each with its adapters, as the homes need them.
static std::vector<model_need> needsOf(const settings_tree &tree)
{
    std::vector<model_need> needs;
    for (const model_in_service &model : modelsInService(tree)) {
        std::uint64_t bytes = model.bytes;
        for (const resident_adapter &adapter : model.adapters) {
            bytes += adapter.bytes;
        }
        if (model.bytes > 0) {
            needs.push_back(model_need{model.model, bytes, model.replicas});
        }
    }
    return needs;
}

std::optional<domain_capacity> leader_planning::capacityOf(const leader_status &now) const
{
    if (!now.leading || !now.term) {
        return std::nullopt;
    }
    domain_capacity capacity{m_domain, now.term->claim, 0, 0, 0};
    for (const target_status &target : now.targets) {
        if (!target.reachable || target.capacityBytes == 0) {
            continue;
        }
        capacity.acceleratorBytes += target.capacityBytes;
        ++capacity.targets;
        const auto listed = std::ranges::find(m_listing.targets, target.target, &listed_target::id);
        capacity.accelerators += listed == m_listing.targets.end() ? 0 : listed->accelerators;
    }
    return capacity;
}

copies_seen leader_planning::copiesElsewhere() const
{
    copies_seen seen;
    if (!m_around.foreignLoads) {
        return seen;
    }
    const instant oldest = monotonicNow() - reportAge;
    for (const foreign_load &load : m_around.foreignLoads()) {
        for (const resident_model &model : load.report.models) {
            if (load.report.takenAt >= oldest) {
                seen.domains[model.model].insert(load.domain);
            }
        }
    }
    return seen;
}

void leader_planning::readFleet()
{
    const std::shared_ptr<const settings_tree> tree = m_around.settings.tree();
    if (!m_around.settings.readOnce()) {
        return;
    }
    if (m_needsAt != tree->applied()) {
        m_needs = needsOf(*tree);
        m_needsAt = tree->applied();
    }
    fleet_settings_changed settings{m_needs, {}, milliseconds(tree->integerAt({}, setting_key::SilentDomainMs))};
    for (const listed_target &target : m_listing.targets) {
        if (target.kind == target_kind::Engine) {
            settings.domains.insert(target.domain);
        }
    }
    stepFleet(settings);
    stepFleet(copiesElsewhere());
    stepFleet(capacity_seen{capacityOf(m_around.status())});
}

/// Settings that still come in, as after a start, are no ground for orders.
bool leader_planning::settingsAreSteady(const settings_tree &tree)
{
    const bool same = std::exchange(m_lastSeenSettings, tree.applied()) == tree.applied();
    return same && m_around.settings.readOnce();
}

/// The targets to plan for. What one that is lost held belongs elsewhere.
static std::vector<planner_target> plannerTargets(const leader_status &now)
{
    std::vector<planner_target> targets;
    for (const target_status &target : now.targets) {
        if (target.capacityBytes > 0 && !target.lost) {
            const target_memory memory{target.target, target.capacityBytes, false, false};
            targets.push_back(planner_target{memory, target.resident, target.openLoads});
        }
    }
    return targets;
}

void leader_planning::plan()
{
    const std::shared_ptr<const settings_tree> tree = m_around.settings.tree();
    const leader_status now = m_around.status();
    if (!settingsAreSteady(*tree) || !now.decides) {
        return;
    }
    planner_input input;
    input.targets = plannerTargets(now);
    {
        const std::lock_guard lock(m_mutex);
        if (!m_homes.hasRead()) {
            return;
        }
        for (const model_in_service &model : modelsInService(*tree)) {
            input.duties.emplace(model.model, m_homes.dutyOf(model.model, model.replicas, monotonicNow()));
        }
    }
    m_around.post(placement_wanted{m_planner.plan(*tree, input)});
}

} // namespace fuchsialoom
