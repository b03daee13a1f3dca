/// \file
/// Encoding of messages between VMs as CBOR arrays.
#include "fuchsialoom/fleet/messages.h"

#include "fuchsialoom/support/errors.h"
#include "message_parts.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace fuchsialoom
{

using nlohmann::json;

namespace
{

/// Type and layout version of a datagram. Datagrams of other layouts are dropped, so that VMs of two releases can run side by side.
enum class message_layout {
    Digest = 4,
    Note = 5,
    Member = 6,
};

constexpr milliseconds maxAnnouncedInterval{10'000};
/// Bound on nested arrays, since the parser uses stack space for each level.
constexpr int maxNestingDepth = 8;

/// Builds a document, but rejects one that is nested too deeply.
class depth_limited_builder : public nlohmann::detail::json_sax_dom_parser<json>
{
public:
    explicit depth_limited_builder(json &result)
        : json_sax_dom_parser(result, false)
    {
    }

    bool start_array(std::size_t size) // NOLINT(readability-identifier-naming): the library's name
    {
        m_depth += 1;
        return m_depth <= maxNestingDepth && json_sax_dom_parser::start_array(size);
    }
    bool end_array() // NOLINT(readability-identifier-naming)
    {
        m_depth -= 1;
        return json_sax_dom_parser::end_array();
    }
    bool start_object(std::size_t) // NOLINT(readability-identifier-naming): messages have no objects
    {
        return false;
    }

private:
    int m_depth = 0;
};

/// \return null for bytes that aren't a valid document.
json parse(std::string_view bytes)
{
    json document;
    depth_limited_builder builder(document);
    // The library throws on excessive sizes even with exceptions disabled.
    const bool isComplete = json::sax_parse(bytes.begin(), bytes.end(), &builder, json::input_format_t::cbor);
    return isComplete ? document : json();
}

peer_digest decodeDigest(const json &fields)
{
    field_reader read(fields);
    peer_digest digest;
    digest.origin = decodeOrigin(read.next());
    digest.request = static_cast<relay_request>(std::clamp(read.next<int>(), 0, static_cast<int>(relay_request::NotRelay)));
    digest.vms = std::min(maxRequests, read.next<std::uint32_t>());
    digest.nextWithin = decodeTime(read.next(), maxAnnouncedInterval);
    digest.configVersion = read.next<std::uint64_t>();
    digest.leaving = read.next<bool>();
    digest.holder = decodeHolder(read.next());
    digest.renounced = decodeRenounced(read.next());
    digest.inFlight = decodeInFlight(read.next());
    digest.demand = decodeList<demand_entry>(read.next(), decodeDemand);
    digest.adapterRequests = decodeList<adapter_request>(read.next(), decodeAdapterRequest);
    digest.residencyChanges = decodeList<residency_change>(read.next(), decodeResidencyChange);
    digest.relays = decodeList<endpoint>(read.next(), [](const json &one) {
        return parseEndpoint(one.get<std::string>());
    });
    digest.spending = decodeList<team_spending>(read.nextOptional(), decodeSpending);
    digest.crashes = decodeCrashNews(read.nextOptional());
    digest.withoutPath = decodeList<vm_key>(read.nextOptional(), decodeVmKey);
    digest.brittle = decodeList<service_id>(read.nextOptional(), decodeService);
    return digest;
}

delta_message decodeNote(const json &fields)
{
    field_reader read(fields);
    delta_message delta;
    delta.origin = decodeOrigin(read.next());
    delta.changed = decodeInFlight(read.next());
    delta.adapterRequests = decodeList<adapter_request>(read.next(), decodeAdapterRequest);
    delta.residencyChanges = decodeList<residency_change>(read.next(), decodeResidencyChange);
    delta.spending = decodeList<team_spending>(read.nextOptional(), decodeSpending);
    delta.crashes = decodeCrashNews(read.nextOptional());
    return delta;
}

relay_update decodeRelayWord(const json::binary_t &bytes)
{
    const json fields = parse(std::string_view(reinterpret_cast<const char *>(bytes.data()), bytes.size()));
    field_reader read(fields);
    relay_update message;
    message.origin = decodeOrigin(read.next());
    message.isFull = read.next<bool>();
    message.leaving = read.next<bool>();
    message.nextWithin = decodeTime(read.next(), maxAnnouncedInterval);
    message.liveVms = std::min(maxRequests, read.next<std::uint32_t>());
    message.configVersion = read.next<std::uint64_t>();
    message.holder = decodeHolder(read.next());
    message.residencyChanges = decodeList<residency_change>(read.next(), decodeResidencyChange);
    message.relays = decodeList<vm_id>(read.next(), [](const json &one) {
        return vm_id(one.get<std::string>());
    });
    message.inFlight = decodeInFlight(read.next());
    message.balances = decodeList<team_balance>(read.nextOptional(), decodeBalance);
    const json &reach = read.nextOptional();
    message.reach = reach.is_number() ? std::clamp(reach.get<double>(), 0.0, 1.0) : 1.0;
    message.crashes = decodeCrashNews(read.nextOptional());
    message.withoutPath = decodeList<vm_key>(read.nextOptional(), decodeVmKey);
    message.brittle = decodeList<service_id>(read.nextOptional(), decodeService);
    return message;
}

member_update decodeMemberWord(const json &fields)
{
    field_reader read(fields);
    member_update message;
    message.message = decodeRelayWord(read.next().get_binary());
    message.receiver.inFlight = decodeInFlight(read.next());
    message.receiver.spending = decodeList<team_spending>(read.nextOptional(), decodeSpending);
    return message;
}

std::string toCbor(const json &fields)
{
    std::string bytes;
    json::to_cbor(fields, nlohmann::detail::output_adapter<char>(bytes));
    return bytes;
}

} // namespace

std::string encodeDigest(const peer_digest &digest)
{
    return toCbor(json::array({static_cast<int>(message_layout::Digest),
                               encodeOrigin(digest.origin),
                               static_cast<int>(digest.request),
                               digest.vms,
                               digest.nextWithin.count(),
                               digest.configVersion,
                               digest.leaving,
                               encodeHolder(digest.holder),
                               encodeRenounced(digest.renounced),
                               encodeInFlight(digest.inFlight),
                               encodeList(digest.demand, encodeDemand),
                               encodeList(digest.adapterRequests, encodeAdapterRequest),
                               encodeList(digest.residencyChanges, encodeResidencyChange),
                               encodeList(digest.relays,
                                          [](const endpoint &one) {
                                              return json(toText(one));
                                          }),
                               encodeList(digest.spending, encodeSpending),
                               encodeCrashNews(digest.crashes),
                               encodeList(digest.withoutPath, encodeVmKey),
                               encodeList(digest.brittle, encodeService)}));
}

std::string encodeDelta(const delta_message &delta)
{
    return toCbor(json::array({static_cast<int>(message_layout::Note),
                               encodeOrigin(delta.origin),
                               encodeInFlight(delta.changed),
                               encodeList(delta.adapterRequests, encodeAdapterRequest),
                               encodeList(delta.residencyChanges, encodeResidencyChange),
                               encodeList(delta.spending, encodeSpending),
                               encodeCrashNews(delta.crashes)}));
}

std::string encodeRelayUpdate(const relay_update &message)
{
    return toCbor(json::array({static_cast<int>(message_layout::Member),
                               encodeOrigin(message.origin),
                               message.isFull,
                               message.leaving,
                               message.nextWithin.count(),
                               message.liveVms,
                               message.configVersion,
                               encodeHolder(message.holder),
                               encodeList(message.residencyChanges, encodeResidencyChange),
                               encodeList(message.relays,
                                          [](const vm_id &one) {
                                              return json(one.text());
                                          }),
                               encodeInFlight(message.inFlight),
                               encodeList(message.balances, encodeBalance),
                               message.reach,
                               encodeCrashNews(message.crashes),
                               encodeList(message.withoutPath, encodeVmKey),
                               encodeList(message.brittle, encodeService)}));
}

std::string encodeMemberUpdate(const std::string &encodedUpdate, const receiver_part &receiver)
{
    const std::vector<std::uint8_t> bytes(encodedUpdate.begin(), encodedUpdate.end());
    return toCbor(json::array({static_cast<int>(message_layout::Member),
                               json::binary(bytes),
                               encodeInFlight(receiver.inFlight),
                               encodeList(receiver.spending, encodeSpending)}));
}

std::optional<peer_datagram> decodeDatagram(std::string_view bytes)
{
    try {
        const json fields = parse(bytes);
        if (!fields.is_array() || fields.empty() || !fields[0].is_number_integer()) {
            return std::nullopt;
        }
        switch (static_cast<message_layout>(fields[0].get<int>())) {
        case message_layout::Digest:
            return decodeDigest(fields);
        case message_layout::Note:
            return decodeNote(fields);
        case message_layout::Member:
            return decodeMemberWord(fields);
        }
        return std::nullopt;
    } catch (const json::exception &) {
        return std::nullopt;
    } catch (const error &) {
        return std::nullopt;
    }
}

} // namespace fuchsialoom
