/// \file
/// Claims and what came of them to and from protobuf.
#include "fuchsialoom/wire/claim_codec.h"

#include <algorithm>
#include <string>
#include <utility>

namespace fuchsialoom
{

/// In claim_reply: no time to come back.
static constexpr std::int64_t noRetry = -1;
/// In claim_reply: the owner tells of no window. Older VMs send this.
static constexpr std::int64_t noWindow = 0;

static std::int64_t toUnixMicros(wall_instant when)
{
    return when.time_since_epoch().count();
}

static wall_instant fromUnixMicros(std::int64_t micros)
{
    return wall_instant(microseconds(micros));
}

proto::key_claim toProto(const key_claim &from)
{
    proto::key_claim out;
    out.set_key(from.key.text());
    out.set_body(from.body.value());
    out.set_request(from.request.text());
    out.set_vm(from.vm.text());
    out.set_incarnation(from.incarnation.value());
    out.set_deadline_unix_micros(toUnixMicros(from.deadline));
    out.set_id(from.id.text());
    out.set_placed_unix_micros(toUnixMicros(from.placed));
    out.set_kept_until_unix_micros(toUnixMicros(from.keptUntil));
    return out;
}

key_claim fromProto(const proto::key_claim &from)
{
    return key_claim{idempotency_key(from.key()),
                     content_hash(from.body()),
                     request_id(from.request()),
                     vm_id(from.vm()),
                     incarnation_number(from.incarnation()),
                     fromUnixMicros(from.deadline_unix_micros()),
                     claim_id(from.id()),
                     fromUnixMicros(from.placed_unix_micros()),
                     fromUnixMicros(from.kept_until_unix_micros())};
}

/// A target's header may hold any bytes; protobuf can't read back a string that isn't UTF-8.
static std::string printable(std::string text)
{
    std::replace_if(
        text.begin(),
        text.end(),
        [](unsigned char letter) {
            return letter < 0x20 || letter > 0x7e;
        },
        '?');
    return text;
}

proto::key_outcome toProto(const key_outcome &from)
{
    proto::key_outcome out;
    out.set_key(from.key.text());
    out.set_request(from.request.text());
    out.set_known(std::string(nameOf(from.known)));
    out.set_status(from.status);
    out.set_content_type(printable(from.contentType));
    out.set_has_answer(from.answer.has_value());
    out.set_answer(from.answer.value_or(""));
    out.set_claim(from.claim.text());
    return out;
}

std::optional<key_outcome> fromProto(const proto::key_outcome &from)
{
    const std::optional<outcome> known = parseName<outcome>(from.known());
    if (!known) {
        return std::nullopt;
    }
    key_outcome out{idempotency_key(from.key()),
                    request_id(from.request()),
                    *known,
                    from.status(),
                    from.content_type(),
                    std::nullopt,
                    claim_id(from.claim())};
    if (from.has_answer()) {
        out.answer = from.answer();
    }
    return out;
}

proto::key_abandon toProto(const key_abandon &from)
{
    proto::key_abandon out;
    out.set_key(from.key.text());
    out.set_request(from.request.text());
    out.set_claim(from.claim.text());
    return out;
}

key_abandon fromProto(const proto::key_abandon &from)
{
    return key_abandon{idempotency_key(from.key()), request_id(from.request()), claim_id(from.claim())};
}

proto::claim_reply toProto(const claim_reply &from)
{
    proto::claim_reply out;
    out.set_verdict(std::string(nameOf(from.verdict)));
    if (from.recorded) {
        *out.mutable_outcome() = toProto(*from.recorded);
    }
    out.set_retry_after_micros(from.retryAfter ? microseconds(*from.retryAfter).count() : noRetry);
    out.set_window_micros(from.window ? microseconds(*from.window).count() : noWindow);
    return out;
}

std::optional<claim_reply> fromProto(const proto::claim_reply &from)
{
    const std::optional<claim_verdict> verdict = parseName<claim_verdict>(from.verdict());
    if (!verdict) {
        return std::nullopt;
    }
    claim_reply out{*verdict, std::nullopt, std::nullopt, std::nullopt};
    if (*verdict == claim_verdict::Recorded) {
        out.recorded = fromProto(from.outcome());
        if (!out.recorded) {
            return std::nullopt;
        }
    }
    if (from.retry_after_micros() >= 0) {
        out.retryAfter = std::chrono::duration_cast<milliseconds>(microseconds(from.retry_after_micros()));
    }
    if (from.window_micros() > noWindow) {
        out.window = std::chrono::duration_cast<milliseconds>(microseconds(from.window_micros()));
    }
    return out;
}

proto::settle_request toProto(const key_outcomes &from)
{
    proto::settle_request out;
    for (const key_outcome &result : from.outcomes) {
        *out.add_outcomes() = toProto(result);
    }
    for (const key_abandon &abandon : from.abandons) {
        *out.add_abandons() = toProto(abandon);
    }
    return out;
}

std::optional<key_outcomes> fromProto(const proto::settle_request &from)
{
    key_outcomes out;
    for (const proto::key_outcome &result : from.outcomes()) {
        std::optional<key_outcome> known = fromProto(result);
        if (!known) {
            return std::nullopt;
        }
        out.outcomes.push_back(std::move(*known));
    }
    for (const proto::key_abandon &abandon : from.abandons()) {
        out.abandons.push_back(fromProto(abandon));
    }
    return out;
}

} // namespace fuchsialoom
