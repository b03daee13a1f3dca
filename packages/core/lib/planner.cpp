/// \file
/// The simplest planner.
#include "fuchsialoom/core/planner.h"

#include <algorithm>
#include <optional>

namespace fuchsialoom
{

static void addAdapter(model_in_service &entry, const settings_tree &settings, const setting_path &path)
{
    const std::optional<std::string> name = path.nameAt(path_level::Adapter);
    const auto bytes = static_cast<std::uint64_t>(settings.integerAt(path, setting_key::AdapterBytes));
    if (!name || bytes == 0 || !settings.flagAt(path, setting_key::InService)) {
        return;
    }
    const adapter_id adapter(*name);
    const bool known = std::any_of(entry.adapters.begin(), entry.adapters.end(), [&](const resident_adapter &item) {
        return item.adapter == adapter;
    });
    if (!known) {
        const version_id version(settings.valueAt(path, setting_key::AdapterVersion));
        entry.adapters.push_back(resident_adapter{entry.model, adapter, version, bytes});
    }
}

static std::optional<setting_path> modelPathOf(setting_path path)
{
    while (path.level() == path_level::Adapter) {
        path = *path.parent();
    }
    return path.level() == path_level::Model ? std::optional(path) : std::nullopt;
}

std::vector<model_in_service> modelsInService(const settings_tree &settings)
{
    std::map<model_id, model_in_service> models;
    for (const setting_entry &entry : settings.entries()) {
        const std::optional<setting_path> path = modelPathOf(entry.path);
        if (!path || !settings.flagAt(*path, setting_key::InService)) {
            continue;
        }
        const model_id id(*path->nameAt(path_level::Model));
        model_in_service &model = models[id];
        model.model = id;
        model.version = version_id(settings.valueAt(*path, setting_key::ModelVersion));
        model.bytes = std::max(model.bytes, static_cast<std::uint64_t>(settings.integerAt(*path, setting_key::ModelBytes)));
        model.replicas = std::max(model.replicas, static_cast<std::uint32_t>(settings.integerAt(*path, setting_key::ReplicasMin)));
        addAdapter(model, settings, entry.path);
    }
    std::vector<model_in_service> ordered;
    ordered.reserve(models.size());
    for (auto &[id, model] : models) {
        ordered.push_back(std::move(model));
    }
    return ordered;
}

namespace
{

/// Room that the plan has left on one target.
struct planned_target
{
    const planner_target *target;
    std::uint64_t left;
    target_placement content;
};

bool holdsModel(const planner_target &target, const model_id &model)
{
    return std::any_of(target.resident.models.begin(), target.resident.models.end(), [&](const resident_model &item) {
        return item.model == model;
    });
}

bool hasPlanned(const planned_target &target, const model_id &model)
{
    return std::any_of(target.content.models.begin(), target.content.models.end(), [&](const resident_model &item) {
        return item.model == model;
    });
}

void place(planned_target &target, const model_in_service &model)
{
    target.left -= model.bytes;
    target.content.models.push_back(resident_model{model.model, model.version, model.bytes});
}

bool isPlanned(const planned_target &target, const resident_model &load)
{
    return std::any_of(target.content.models.begin(), target.content.models.end(), [&](const resident_model &item) {
        return item.model == load.model && item.version == load.version;
    });
}

/// Bytes to reserve on \p target for open loads of anything other than \p candidate and the models planned there.
std::uint64_t unplannedOpenBytes(const planned_target &target, const model_in_service &candidate)
{
    std::uint64_t bytes = 0;
    for (const resident_model &load : target.target->openLoads.models) {
        const bool isCandidate = load.model == candidate.model && load.version == candidate.version;
        bytes += isCandidate || isPlanned(target, load) ? 0 : load.bytes;
    }
    for (const resident_adapter &load : target.target->openLoads.adapters) {
        bytes += load.bytes;
    }
    return bytes;
}

/// Whether \p model fits on \p target. A resident model needs no load, so open loads don't count against it.
bool hasRoom(const planned_target &target, const model_in_service &model, bool isResident)
{
    const std::uint64_t reserved = isResident ? 0 : unplannedOpenBytes(target, model);
    return target.left >= reserved && target.left - reserved >= model.bytes;
}

std::uint32_t placeOn(std::vector<planned_target> &targets, const model_in_service &model, std::uint32_t copies, bool holders)
{
    for (planned_target &target : targets) {
        const bool suits = holdsModel(*target.target, model.model) == holders && !hasPlanned(target, model.model);
        if (copies > 0 && suits && hasRoom(target, model, holders)) {
            place(target, model);
            --copies;
        }
    }
    return copies;
}

/// One copy, where there is one, of each model that is homed elsewhere and \p mayGo.
void placeGuests(std::vector<planned_target> &targets, const std::vector<model_in_service> &models, const planner_input &input, bool mayGo)
{
    for (const model_in_service &model : models) {
        const model_duty duty = dutyOf(input, model);
        if (!duty.homed && duty.mayGo == mayGo && model.bytes > 0) {
            placeOn(targets, model, 1, true);
        }
    }
}

void placeAdapters(std::vector<planned_target> &targets, const model_in_service &model)
{
    for (planned_target &target : targets) {
        for (const resident_adapter &adapter : model.adapters) {
            if (hasPlanned(target, model.model) && target.left >= adapter.bytes) {
                target.left -= adapter.bytes;
                target.content.adapters.push_back(adapter);
            }
        }
    }
}

} // namespace

model_duty dutyOf(const planner_input &input, const model_in_service &model)
{
    const auto found = input.duties.find(model.model);
    return found == input.duties.end() ? model_duty{true, model.replicas, false} : found->second;
}

residency_goal first_fit_planner::plan(const settings_tree &settings, const planner_input &input) const
{
    const std::vector<model_in_service> models = modelsInService(settings);
    std::vector<planned_target> targets;
    for (const planner_target &target : input.targets) {
        targets.push_back(planned_target{&target, target.memory.capacityBytes, {}});
    }
    residency_goal wanted;
    std::map<model_id, std::uint32_t> missing;
    for (const model_in_service &model : models) {
        const model_duty duty = dutyOf(input, model);
        if (!duty.mayGo) {
            wanted.inService.insert(model.model);
        }
        missing[model.model] = model.bytes == 0 || !duty.homed ? 0 : placeOn(targets, model, duty.copies, true);
    }
    placeGuests(targets, models, input, false);
    for (const model_in_service &model : models) {
        placeOn(targets, model, missing[model.model], false);
    }
    placeGuests(targets, models, input, true);
    for (const model_in_service &model : models) {
        placeAdapters(targets, model);
    }
    for (planned_target &target : targets) {
        wanted.targets.emplace(target.target->memory.id, std::move(target.content));
    }
    return wanted;
}

} // namespace fuchsialoom
