/// \file
/// What goes into and out of the machine that leads a failure domain (domain_leader.h).
#pragma once

#include "fuchsialoom/core/records.h"
#include "fuchsialoom/core/residency_goal.h"
#include "fuchsialoom/core/targets.h"
#include "fuchsialoom/support/timeline_event.h"

#include <variant>
#include <vector>

namespace fuchsialoom
{

/// An order as it goes to a target.
struct target_order
{
    order_id id;
    fencing_number fence;
    target_id target;
    order_operation operation = order_operation::Fence;
    model_id model;
    version_id version;
    adapter_id adapter; ///< empty unless the order is about an adapter
    std::uint64_t bytes = 0;
    std::optional<wall_instant> expires;

    friend bool operator==(const target_order &, const target_order &) = default;
};

/// What is known of an order after its answer, or the lack of one.
enum class order_answer {
    Accepted,
    Refused, ///< the target said that it won't carry the order out
    StaleFence, ///< refused: the target has seen a higher number
    Expired, ///< refused: the order came past its expiry
    NotSent, ///< no byte of it can have reached the target, now or later
    Unknown, ///< the answer was lost: the order may have landed, may land later, or never
};

template<>
struct name_table<order_answer>
{
    static constexpr auto entries = std::to_array<enum_name<order_answer>>({
        {order_answer::Accepted, "accepted"},
        {order_answer::Refused, "refused"},
        {order_answer::StaleFence, "stale-fence"},
        {order_answer::Expired, "expired"},
        {order_answer::NotSent, "not-sent"},
        {order_answer::Unknown, "unknown"},
    });
};

/// \name Events.
/// @{

/// Records of the domain's stream, in order. `reachedEnd`: there were no more when it was read.
struct log_records_read
{
    instant askedAt;
    log_offset first; ///< lowest offset that the log still keeps
    log_offset next; ///< offset of the next append
    std::vector<log_entry> entries;
    bool reachedEnd = false;
};
struct log_read_failed
{
};
/// The log took nothing of the append `id`. Any other answer needs no event: reading on settles it.
struct append_refused
{
    record_id id;
};
struct target_state_read
{
    target_state state;
};
struct target_state_failed
{
    target_id target;
};
struct order_answered
{
    order_id id;
    order_answer answer = order_answer::Unknown;
    fencing_number fence; ///< with StaleFence: the highest that the target reports
};
/// The engines of the domain, in place of those known before.
struct domain_targets
{
    std::vector<target_memory> targets;
};
/// The live VMs of the domain, this one among them.
struct domain_vms
{
    std::vector<vm_id> vms;
};
struct placement_wanted
{
    residency_goal placement;
};
struct leader_settings_changed
{
    leader_settings settings;
};
struct leader_time_passed
{
};
/// This VM is leaving: it resolves what it never sent and gives the lease up.
struct leader_drain_started
{
};
/// @}

using leader_event = std::variant<log_records_read,
                                  log_read_failed,
                                  append_refused,
                                  target_state_read,
                                  target_state_failed,
                                  order_answered,
                                  domain_targets,
                                  domain_vms,
                                  placement_wanted,
                                  leader_settings_changed,
                                  leader_time_passed,
                                  leader_drain_started>;

/// \name Actions.
/// @{

/// Append to the domain's stream.
struct append_record
{
    record_id id;
    record_body body;
};
/// Send once. Right before the send the sender compares its clock with `notAfter`, and past it reports
/// NotSent instead.
struct send_order
{
    target_order order;
    instant notAfter;
};
struct read_target_state
{
    target_id target;
};
struct leader_report
{
    timeline_event event;
};
/// @}

using leader_action = std::variant<append_record, send_order, read_target_state, leader_report>;

} // namespace fuchsialoom
