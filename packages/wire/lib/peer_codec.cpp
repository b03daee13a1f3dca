/// \file
/// What VMs tell each other, to and from protocol messages.
#include "fuchsialoom/wire/peer_codec.h"

#include "fuchsialoom/support/errors.h"
#include "fuchsialoom/support/hash.h"

#include <algorithm>
#include <cmath>

namespace fuchsialoom
{

/// A wall clock further ahead than this is wrong, and must not drag ours along.
static constexpr seconds mostClockSkew{60};
static constexpr double mostTokensPerSecond = 1e9;
/// Flags in the residency's hash say that an empty set has one too.
static constexpr std::uint64_t residencySeed = 1;

static microseconds bounded(std::int64_t micros)
{
    return std::clamp(microseconds(micros), microseconds(0), longestSpan);
}

static std::optional<endpoint> tryParse(const std::string &text)
{
    try {
        return parseEndpoint(text);
    } catch (const error &) {
        return std::nullopt;
    }
}

static std::optional<vm_contact> makeContact(const std::string &vm,
                                             std::uint64_t incarnation,
                                             const std::string &domain,
                                             const std::string &peerAddress,
                                             const std::string &adminAddress)
{
    const std::optional<endpoint> peer = tryParse(peerAddress);
    const std::optional<endpoint> admin = tryParse(adminAddress);
    if (vm.empty() || incarnation == 0 || domain.empty() || !peer || !admin) {
        return std::nullopt;
    }
    return vm_contact{vm_id(vm), incarnation_number(incarnation), domain_id(domain), *peer, *admin, false};
}

void encodeIdentity(const vm_contact &contact, proto::peer_digest &to)
{
    to.set_vm(contact.vm.text());
    to.set_incarnation(contact.incarnation.value());
    to.set_draining(contact.draining);
}

void encodeContact(const vm_contact &contact, proto::peer_digest &to)
{
    encodeIdentity(contact, to);
    to.set_domain(contact.domain.text());
    to.set_peer_address(toText(contact.peer));
    to.set_admin_address(toText(contact.admin));
}

std::optional<vm_contact> decodeContact(const proto::peer_digest &from)
{
    std::optional<vm_contact> contact =
        makeContact(from.vm(), from.incarnation(), from.domain(), from.peer_address(), from.admin_address());
    if (contact) {
        contact->draining = from.draining();
    }
    return contact;
}

void encodeMention(const vm_contact &contact, proto::peer_digest &to)
{
    proto::known_peer &out = *to.add_peers();
    out.set_vm(contact.vm.text());
    out.set_incarnation(contact.incarnation.value());
    out.set_domain(contact.domain.text());
    out.set_peer_address(toText(contact.peer));
    out.set_admin_address(toText(contact.admin));
}

std::vector<vm_contact> decodeMentions(const proto::peer_digest &from)
{
    std::vector<vm_contact> mentioned;
    for (const proto::known_peer &peer : from.peers()) {
        if (auto contact = makeContact(peer.vm(), peer.incarnation(), peer.domain(), peer.peer_address(), peer.admin_address())) {
            mentioned.push_back(std::move(*contact));
        }
    }
    return mentioned;
}

void encodeStamp(hlc_stamp stamp, proto::hlc_stamp &to)
{
    to.set_wall_micros(stamp.wallMicros);
    to.set_counter(stamp.counter);
}

std::optional<hlc_stamp> decodeStamp(const proto::hlc_stamp &from, wall_instant now)
{
    const std::int64_t latest = (now + mostClockSkew).time_since_epoch().count();
    if (from.wall_micros() < 0 || from.wall_micros() > latest) {
        return std::nullopt;
    }
    return hlc_stamp{from.wall_micros(), from.counter()};
}

void encodeQuarantine(const quarantine_learned &entry, instant now, proto::peer_digest &to)
{
    proto::quarantine_entry &out = *to.add_quarantine();
    out.set_fingerprint(entry.fingerprint.value());
    out.set_remaining_micros((entry.until - now).count());
}

std::vector<quarantine_learned> decodeQuarantine(const proto::peer_digest &from, instant now)
{
    std::vector<quarantine_learned> entries;
    for (const proto::quarantine_entry &entry : from.quarantine()) {
        if (entry.remaining_micros() > 0) {
            entries.push_back(quarantine_learned{content_hash(entry.fingerprint()), now + bounded(entry.remaining_micros())});
        }
    }
    return entries;
}

proto::accusation_notice encodeAccusation(const accusation &what, const vm_id &accuser)
{
    proto::accusation_notice notice;
    notice.set_target(what.target.text());
    notice.set_incarnation(what.incarnation.value());
    for (const content_hash fingerprint : what.fingerprints) {
        notice.add_fingerprints(fingerprint.value());
    }
    notice.set_accuser(accuser.text());
    notice.set_leaving(what.leaving);
    return notice;
}

std::optional<accusation> decodeAccusation(const proto::accusation_notice &from)
{
    if (from.target().empty() || from.fingerprints().empty()) {
        return std::nullopt;
    }
    accusation what{target_id(from.target()), incarnation_number(from.incarnation()), {}, from.leaving()};
    for (const std::uint64_t fingerprint : from.fingerprints()) {
        what.fingerprints.emplace_back(fingerprint);
    }
    return what;
}

proto::target_lease encodeLease(const target_lease &lease, instant now)
{
    proto::target_lease out;
    out.set_target(lease.target.text());
    out.set_holder(lease.holder.text());
    out.set_request(lease.request.text());
    out.set_remaining_micros((lease.until - now).count());
    return out;
}

std::optional<target_lease> decodeLease(const proto::target_lease &from, instant now)
{
    if (from.target().empty() || from.holder().empty() || from.request().empty()) {
        return std::nullopt;
    }
    return target_lease{target_id(from.target()), vm_id(from.holder()), request_id(from.request()), now + bounded(from.remaining_micros())};
}

std::uint64_t residencyOf(const load_report &report)
{
    std::string text;
    for (const resident_model &model : report.models) {
        text += model.model.text() + '\n' + model.version.text() + '\n' + std::to_string(model.bytes) + '\n';
    }
    for (const resident_adapter &adapter : report.adapters) {
        text += '\t' + adapter.model.text() + '\n' + adapter.adapter.text() + '\n' + adapter.version.text() + '\n'
            + std::to_string(adapter.bytes) + '\n';
    }
    return hashOf(text, residencySeed).value();
}

static void encodeResidency(const load_report &report, proto::load_digest &to)
{
    for (const resident_model &model : report.models) {
        proto::resident_model &out = *to.add_models();
        out.set_model(model.model.text());
        out.set_version(model.version.text());
        out.set_bytes(model.bytes);
    }
    for (const resident_adapter &adapter : report.adapters) {
        proto::resident_adapter &out = *to.add_adapters();
        out.set_model(adapter.model.text());
        out.set_adapter(adapter.adapter.text());
        out.set_version(adapter.version.text());
        out.set_bytes(adapter.bytes);
    }
}

proto::load_digest encodeLoad(const load_report &report, instant answeredAt, instant now, bool withResidency)
{
    proto::load_digest out;
    out.set_target(report.target.text());
    out.set_incarnation(report.incarnation.value());
    out.set_age_micros((now - report.takenAt).count());
    out.set_heard_age_micros((now - answeredAt).count());
    out.set_running(report.running);
    out.set_queued(report.queued);
    out.set_capacity(report.capacity);
    out.set_tokens_per_second(report.tokensPerSecond);
    out.set_residency(residencyOf(report));
    if (withResidency) {
        encodeResidency(report, out);
    }
    return out;
}

proto::load_digest encodeNumberedLoad(const load_report &report, std::uint32_t number, instant answeredAt, instant now)
{
    proto::load_digest out;
    out.set_description(number);
    out.set_age_micros((now - report.takenAt).count());
    out.set_heard_age_micros((now - answeredAt).count());
    out.set_running(report.running);
    out.set_queued(report.queued);
    out.set_tokens(static_cast<float>(report.tokensPerSecond));
    return out;
}

static void decodeResidency(const proto::load_digest &from, load_report &report)
{
    for (const proto::resident_model &model : from.models()) {
        report.models.push_back(resident_model{model_id(model.model()), version_id(model.version()), model.bytes()});
    }
    for (const proto::resident_adapter &adapter : from.adapters()) {
        report.adapters.push_back(
            resident_adapter{model_id(adapter.model()), adapter_id(adapter.adapter()), version_id(adapter.version()), adapter.bytes()});
    }
}

std::optional<received_load> decodeLoad(const proto::load_digest &from, instant now)
{
    if (from.target().empty()) {
        return std::nullopt;
    }
    received_load load;
    load.report.target = target_id(from.target());
    load.report.incarnation = incarnation_number(from.incarnation());
    load.report.takenAt = now - bounded(from.age_micros());
    load.report.running = from.running();
    load.report.queued = from.queued();
    load.report.capacity = std::max(1U, from.capacity());
    const double tokens = from.tokens_per_second();
    load.report.tokensPerSecond = std::isfinite(tokens) ? std::clamp(tokens, 0.0, mostTokensPerSecond) : 0.0;
    decodeResidency(from, load.report);
    load.answeredAt = now - bounded(from.heard_age_micros());
    load.residency = from.residency();
    load.hasResidency = residencyOf(load.report) == load.residency;
    return load;
}

void encodeEvent(const timeline_event &event, proto::event_entry &to)
{
    to.set_kind(std::string(nameOf(event.kind)));
    to.set_subject(event.subject);
    encodeStamp(event.stamp, *to.mutable_stamp());
    to.set_vm(event.vm.text());
    for (const event_value &value : event.values) {
        proto::event_value &out = *to.add_values();
        out.set_field(std::string(nameOf(value.field)));
        out.set_text(value.text);
    }
}

std::optional<timeline_event> decodeEvent(const proto::event_entry &from)
{
    const std::optional<event_kind> kind = parseName<event_kind>(from.kind());
    if (!kind) {
        return std::nullopt;
    }
    timeline_event event(*kind, from.subject());
    event.stamp = hlc_stamp{from.stamp().wall_micros(), from.stamp().counter()};
    event.vm = vm_id(from.vm());
    for (const proto::event_value &value : from.values()) {
        if (const std::optional<event_field> field = parseName<event_field>(value.field())) {
            event.values.push_back(event_value{*field, value.text()});
        }
    }
    return event;
}

} // namespace fuchsialoom
