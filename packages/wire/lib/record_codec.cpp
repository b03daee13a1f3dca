/// \file
/// Records of the log to and from bytes, through protobuf.
#include "fuchsialoom/wire/record_codec.h"

#include "fuchsialoom/wire/claim_codec.h"

#include "records.pb.h"

#include <google/protobuf/stubs/logging.h>

#include <type_traits>

namespace fuchsialoom
{

static constexpr std::uint32_t recordFormat = 1;

/// Thrown inside this file where decoded bytes hold a value that no writer of this format makes.
struct bad_value
{
};

static std::int64_t toUnixMicros(wall_instant when)
{
    return when.time_since_epoch().count();
}

static wall_instant fromUnixMicros(std::int64_t micros)
{
    return wall_instant(microseconds(micros));
}

template<named_enum Enum>
static Enum parseEnum(const std::string &name)
{
    const std::optional<Enum> value = parseName<Enum>(name);
    if (!value) {
        throw bad_value{};
    }
    return *value;
}

// To protobuf: one function for each record body.

static void encode(const settings_change &from, proto::log_record &to)
{
    proto::settings_change &out = *to.mutable_settings_change();
    out.set_operator_name(from.operatorName);
    for (const setting_edit &edit : from.edits) {
        proto::setting_edit &item = *out.add_edits();
        item.set_path(edit.path.text());
        item.set_key(std::string(nameOf(edit.key)));
        item.set_has_value(edit.value.has_value());
        item.set_value(edit.value.value_or(""));
        item.set_based_on(edit.basedOn.value());
    }
}

static void encode(const settings_snapshot &from, proto::log_record &to)
{
    proto::settings_snapshot &out = *to.mutable_settings_snapshot();
    out.set_through(from.through.value());
    for (const setting_entry &entry : from.entries) {
        proto::setting_entry &item = *out.add_entries();
        item.set_path(entry.path.text());
        item.set_key(std::string(nameOf(entry.key)));
        item.set_value(entry.value);
        item.set_version(entry.version.value());
    }
    for (const folded_change &folded : from.recent) {
        proto::folded_change &item = *out.add_recent();
        item.set_id(folded.id.text());
        item.set_offset(folded.offset.value());
        item.set_operator_name(folded.operatorName);
        if (folded.refusal) {
            item.set_refusal_kind(std::string(nameOf(folded.refusal->kind)));
            item.set_refusal_detail(folded.refusal->detail);
        }
    }
    out.set_written_unix_micros(toUnixMicros(from.writtenAt));
}

static void encode(const leadership_claim &from, proto::log_record &to)
{
    proto::leadership_claim &out = *to.mutable_leadership_claim();
    out.set_domain(from.domain.text());
    out.set_holder(from.holder.text());
    out.set_incarnation(from.incarnation.value());
    out.set_supersedes(from.supersedes.value());
}

static void encode(const leadership_renewal &from, proto::log_record &to)
{
    proto::leadership_renewal &out = *to.mutable_leadership_renewal();
    out.set_domain(from.domain.text());
    out.set_claim(from.claim.value());
    out.set_release(from.release);
}

static void encode(const order_intent &from, proto::log_record &to)
{
    proto::order_intent &out = *to.mutable_order_intent();
    out.set_id(from.id.text());
    out.set_domain(from.domain.text());
    out.set_fence(from.fence.value());
    out.set_target(from.target.text());
    out.set_target_incarnation(from.targetIncarnation.value());
    out.set_operation(std::string(nameOf(from.operation)));
    out.set_model(from.model.text());
    out.set_version(from.version.text());
    out.set_adapter(from.adapter.text());
    out.set_bytes(from.bytes);
    out.set_expires_unix_micros(from.expires ? toUnixMicros(*from.expires) : 0);
}

static void encode(const order_resolved &from, proto::log_record &to)
{
    proto::order_resolved &out = *to.mutable_order_resolved();
    out.set_domain(from.domain.text());
    out.set_fence(from.fence.value());
    out.set_intent(from.intent.value());
    out.set_resolution(std::string(nameOf(from.resolution)));
}

static void encode(const key_claims &from, proto::log_record &to)
{
    proto::key_claims &out = *to.mutable_key_claims();
    for (const key_claim &claim : from.claims) {
        *out.add_claims() = toProto(claim);
    }
}

static void encode(const key_outcomes &from, proto::log_record &to)
{
    proto::key_outcomes &out = *to.mutable_key_outcomes();
    for (const key_outcome &result : from.outcomes) {
        *out.add_outcomes() = toProto(result);
    }
    for (const key_abandon &abandon : from.abandons) {
        *out.add_abandons() = toProto(abandon);
    }
}

static void encode(const domain_capacity &from, proto::log_record &to)
{
    proto::domain_capacity &out = *to.mutable_domain_capacity();
    out.set_domain(from.domain.text());
    out.set_fence(from.fence.value());
    out.set_accelerator_bytes(from.acceleratorBytes);
    out.set_targets(from.targets);
    out.set_accelerators(from.accelerators);
}

static void encode(const weight_share_loan &from, proto::log_record &to)
{
    proto::weight_share_loan &out = *to.mutable_weight_share_loan();
    out.set_from(from.from.text());
    out.set_to(from.to.text());
    out.set_loads_per_minute(from.loadsPerMinute);
    out.set_slots(from.slots);
    out.set_until_unix_micros(toUnixMicros(from.until));
}

static void encode(const quarantine_notice &from, proto::log_record &to)
{
    proto::quarantine_notice &out = *to.mutable_quarantine_notice();
    out.set_fingerprint(from.fingerprint.value());
    out.set_until_unix_micros(toUnixMicros(from.until));
}

std::string encodeRecord(const log_record &record)
{
    proto::log_record out;
    out.set_format(recordFormat);
    out.set_id(record.id.text());
    out.set_author(record.author.text());
    out.set_incarnation(record.incarnation.value());
    std::visit(
        [&](const auto &body) {
            encode(body, out);
        },
        record.body);
    return out.SerializeAsString();
}

// From protobuf.

static settings_change decode(const proto::settings_change &from, const record_id &id)
{
    settings_change out{id, from.operator_name(), {}};
    for (const proto::setting_edit &edit : from.edits()) {
        std::optional<std::string> value;
        if (edit.has_value()) {
            value = edit.value();
        }
        out.edits.push_back(
            setting_edit{setting_path::parse(edit.path()), parseEnum<setting_key>(edit.key()), value, log_offset(edit.based_on())});
    }
    return out;
}

static settings_snapshot decode(const proto::settings_snapshot &from)
{
    settings_snapshot out{log_offset(from.through()), {}, {}, fromUnixMicros(from.written_unix_micros())};
    for (const proto::setting_entry &entry : from.entries()) {
        out.entries.push_back(setting_entry{
            setting_path::parse(entry.path()), parseEnum<setting_key>(entry.key()), entry.value(), log_offset(entry.version())});
    }
    for (const proto::folded_change &item : from.recent()) {
        folded_change folded{record_id(item.id()), log_offset(item.offset()), item.operator_name(), std::nullopt};
        if (!item.refusal_kind().empty()) {
            folded.refusal = failure{parseEnum<error_kind>(item.refusal_kind()), item.refusal_detail(), outcome::NotRun, std::nullopt};
        }
        out.recent.push_back(std::move(folded));
    }
    return out;
}

static leadership_claim decode(const proto::leadership_claim &from)
{
    return leadership_claim{
        domain_id(from.domain()), vm_id(from.holder()), incarnation_number(from.incarnation()), log_offset(from.supersedes())};
}

static leadership_renewal decode(const proto::leadership_renewal &from)
{
    return leadership_renewal{domain_id(from.domain()), log_offset(from.claim()), from.release()};
}

static order_intent decode(const proto::order_intent &from)
{
    order_intent out;
    out.id = order_id(from.id());
    out.domain = domain_id(from.domain());
    out.fence = log_offset(from.fence());
    out.target = target_id(from.target());
    out.targetIncarnation = incarnation_number(from.target_incarnation());
    out.operation = parseEnum<order_operation>(from.operation());
    out.model = model_id(from.model());
    out.version = version_id(from.version());
    out.adapter = adapter_id(from.adapter());
    out.bytes = from.bytes();
    if (from.expires_unix_micros() != 0) {
        out.expires = fromUnixMicros(from.expires_unix_micros());
    }
    return out;
}

static order_resolved decode(const proto::order_resolved &from)
{
    return order_resolved{
        domain_id(from.domain()), log_offset(from.fence()), log_offset(from.intent()), parseEnum<order_resolution>(from.resolution())};
}

static key_claims decode(const proto::key_claims &from)
{
    key_claims out;
    for (const proto::key_claim &claim : from.claims()) {
        out.claims.push_back(fromProto(claim));
    }
    return out;
}

static key_outcomes decode(const proto::key_outcomes &from)
{
    key_outcomes out;
    for (const proto::key_outcome &result : from.outcomes()) {
        const std::optional<key_outcome> known = fromProto(result);
        if (!known) {
            throw bad_value{};
        }
        out.outcomes.push_back(*known);
    }
    for (const proto::key_abandon &abandon : from.abandons()) {
        out.abandons.push_back(fromProto(abandon));
    }
    return out;
}

static domain_capacity decode(const proto::domain_capacity &from)
{
    return domain_capacity{
        domain_id(from.domain()), log_offset(from.fence()), from.accelerator_bytes(), from.targets(), from.accelerators()};
}

static weight_share_loan decode(const proto::weight_share_loan &from)
{
    return weight_share_loan{
        domain_id(from.from()), domain_id(from.to()), from.loads_per_minute(), from.slots(), fromUnixMicros(from.until_unix_micros())};
}

static quarantine_notice decode(const proto::quarantine_notice &from)
{
    return quarantine_notice{content_hash(from.fingerprint()), fromUnixMicros(from.until_unix_micros())};
}

static record_body decodeBody(const proto::log_record &from)
{
    switch (from.body_case()) {
    case proto::log_record::kSettingsChange:
        return decode(from.settings_change(), record_id(from.id()));
    case proto::log_record::kSettingsSnapshot:
        return decode(from.settings_snapshot());
    case proto::log_record::kLeadershipClaim:
        return decode(from.leadership_claim());
    case proto::log_record::kLeadershipRenewal:
        return decode(from.leadership_renewal());
    case proto::log_record::kOrderIntent:
        return decode(from.order_intent());
    case proto::log_record::kOrderResolved:
        return decode(from.order_resolved());
    case proto::log_record::kKeyClaims:
        return decode(from.key_claims());
    case proto::log_record::kKeyOutcomes:
        return decode(from.key_outcomes());
    case proto::log_record::kDomainCapacity:
        return decode(from.domain_capacity());
    case proto::log_record::kWeightShareLoan:
        return decode(from.weight_share_loan());
    case proto::log_record::kQuarantineNotice:
        return decode(from.quarantine_notice());
    case proto::log_record::BODY_NOT_SET:
        throw bad_value{};
    }
    throw bad_value{};
}

std::optional<log_record> decodeRecord(std::string_view bytes)
{
    // A reader reports what it passes over by an event; the library's own lines would only repeat it.
    const google::protobuf::LogSilencer silencer;
    proto::log_record from;
    if (!from.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) || from.format() != recordFormat || from.id().empty()) {
        return std::nullopt;
    }
    try {
        return log_record{record_id(from.id()), vm_id(from.author()), incarnation_number(from.incarnation()), decodeBody(from)};
    } catch (const bad_value &) {
        return std::nullopt;
    } catch (const error &) {
        return std::nullopt;
    }
}

} // namespace fuchsialoom
