/// \file
/// Encoding of messages between VMs as CBOR arrays.
#include "fuchsialoom/fleet/messages.h"

#include "fuchsialoom/support/errors.h"

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

/// Upper bounds of valid counts; their totals over all VMs stay far from overflow.
constexpr std::uint32_t maxRequests = 100'000;
constexpr std::uint32_t maxTokens = 1'000'000;
constexpr std::int64_t maxCost = 1'000'000'000'000'000;
/// Upper bounds of valid durations.
constexpr milliseconds maxAnnouncedInterval{10'000};
constexpr milliseconds maxOrderWait{60'000};
/// Longest quarantine that is accepted from a peer, and the oldest death.
constexpr milliseconds maxQuarantine{24 * 3600 * 1000};
/// Bound on nested arrays, since the parser uses stack space for each level.
constexpr int maxNestingDepth = 8;

template<typename Entry, typename Encode>
json encodeList(const std::vector<Entry> &entries, Encode encode)
{
    json list = json::array();
    for (const Entry &one : entries) {
        list.push_back(encode(one));
    }
    return list;
}

template<typename Entry, typename Decode>
std::vector<Entry> decodeList(const json &list, Decode decode)
{
    std::vector<Entry> entries;
    for (const json &one : list) {
        entries.push_back(decode(one));
    }
    return entries;
}

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

milliseconds decodeTime(const json &one, milliseconds most)
{
    return std::clamp(milliseconds(one.get<std::int64_t>()), milliseconds(0), most);
}

/// Reads the fields of an array in order.
class field_reader
{
public:
    explicit field_reader(const json &fields)
        : m_fields(fields)
    {
    }

    const json &next()
    {
        return m_fields.at(m_at++);
    }
    template<typename Value>
    Value next()
    {
        return next().get<Value>();
    }
    /// The next field, or null in a message of an earlier release, which ends before it.
    const json &nextOptional()
    {
        static const json absent;
        return m_at < m_fields.size() ? next() : absent;
    }

private:
    const json &m_fields;
    std::size_t m_at = 1; // skips the layout
};

json encodeOrigin(const message_origin &origin)
{
    return json::array({origin.vm.text(), origin.incarnation, origin.sequence});
}

message_origin decodeOrigin(const json &one)
{
    return {vm_id(one.at(0).get<std::string>()), one.at(1).get<std::uint64_t>(), one.at(2).get<std::uint64_t>()};
}

json encodeDemand(const demand_entry &one)
{
    return json::array({one.model.text(), one.adapter.text(), one.arrivals, one.waiting, one.running});
}

demand_entry decodeDemand(const json &one)
{
    return {model_id(one.at(0).get<std::string>()),
            adapter_id(one.at(1).get<std::string>()),
            one.at(2).get<std::uint64_t>(),
            std::min(maxRequests, one.at(3).get<std::uint32_t>()),
            std::min(maxRequests, one.at(4).get<std::uint32_t>())};
}

json encodeAdapterRequest(const adapter_request &one)
{
    return json::array({one.service.text(), one.model.text(), one.adapter.text()});
}

adapter_request decodeAdapterRequest(const json &one)
{
    return {service_id(one.at(0).get<std::string>()), model_id(one.at(1).get<std::string>()), adapter_id(one.at(2).get<std::string>())};
}

json encodeResidencyChange(const residency_change &one)
{
    return json::array({one.target.text(), one.model.text(), one.adapter.text(), one.present});
}

residency_change decodeResidencyChange(const json &one)
{
    return {target_id(one.at(0).get<std::string>()),
            model_id(one.at(1).get<std::string>()),
            adapter_id(one.at(2).get<std::string>()),
            one.at(3).get<bool>()};
}

json encodeRenounced(const std::optional<renounced_fence> &message)
{
    return message ? json::array({message->fence, message->sinceLastOrder.count()}) : json();
}

std::optional<renounced_fence> decodeRenounced(const json &one)
{
    if (one.is_null()) {
        return std::nullopt;
    }
    return renounced_fence{one.at(0).get<std::uint64_t>(), decodeTime(one.at(1), maxOrderWait)};
}

json encodeHolder(const std::optional<holder_announcement> &message)
{
    return message ? json::array({message->fence, message->wait.count()}) : json();
}

std::optional<holder_announcement> decodeHolder(const json &one)
{
    if (one.is_null()) {
        return std::nullopt;
    }
    return holder_announcement{one.at(0).get<std::uint64_t>(), decodeTime(one.at(1), maxOrderWait)};
}

json encodeInFlight(const in_flight_counts &inFlight)
{
    json list = json::array();
    for (const auto &[target, count] : inFlight) {
        list.push_back(target.value);
        list.push_back(count.requests);
        list.push_back(count.unreadTokens);
    }
    return list;
}

in_flight_counts decodeInFlight(const json &list)
{
    in_flight_counts inFlight;
    for (std::size_t at = 0; at + 2 < list.size(); at += 3) {
        inFlight[target_key(list.at(at).get<std::uint32_t>())] = {std::min(maxRequests, list.at(at + 1).get<std::uint32_t>()),
                                                                  std::min(maxTokens, list.at(at + 2).get<std::uint32_t>())};
    }
    return inFlight;
}

json encodeSpending(const team_spending &one)
{
    return json::array({one.team.text(), one.spent});
}

team_spending decodeSpending(const json &one)
{
    return {team_id(one.at(0).get<std::string>()), std::clamp(one.at(1).get<std::int64_t>(), -maxCost, maxCost)};
}

json encodeBalance(const team_balance &one)
{
    return json::array({one.team.text(), one.credit});
}

team_balance decodeBalance(const json &one)
{
    return {team_id(one.at(0).get<std::string>()), std::clamp(one.at(1).get<std::int64_t>(), -maxCost, maxCost)};
}

json encodeCrashReport(const crash_report &one)
{
    json encoded = json::array({one.fingerprint.value(), one.target.text(), one.isAcquitted, one.age.count(), one.isTrial});
    if (one.isPart || !one.parts.empty()) {
        json parts = json::array();
        for (const content_hash part : one.parts) {
            parts.push_back(part.value());
        }
        encoded.push_back(one.isPart);
        encoded.push_back(std::move(parts));
    }
    return encoded;
}

crash_report decodeCrashReport(const json &one)
{
    crash_report report{content_hash(one.at(0).get<std::uint64_t>()),
                        target_id(one.at(1).get<std::string>()),
                        one.at(2).get<bool>(),
                        decodeTime(one.at(3), maxQuarantine),
                        one.size() > 4 && one.at(4).get<bool>()};
    if (one.size() > 6) { // earlier builds know no parts
        report.isPart = one.at(5).get<bool>();
        for (const json &part : one.at(6)) {
            report.parts.emplace_back(part.get<std::uint64_t>());
        }
    }
    return report;
}

json encodeQuarantine(const quarantine_report &one)
{
    return json::array({one.fingerprint.value(), one.left.count()});
}

quarantine_report decodeQuarantine(const json &one)
{
    return {content_hash(one.at(0).get<std::uint64_t>()), decodeTime(one.at(1), maxQuarantine)};
}

json encodeTrial(const trial_claim &one)
{
    return json::array({one.service.text(), one.fingerprint.value(), one.claimant, one.isOver, one.age.count()});
}

trial_claim decodeTrial(const json &one)
{
    return {service_id(one.at(0).get<std::string>()),
            content_hash(one.at(1).get<std::uint64_t>()),
            one.at(2).get<std::uint64_t>(),
            one.at(3).get<bool>(),
            decodeTime(one.at(4), maxQuarantine)};
}

json encodeCrashNews(const crash_news &news)
{
    return json::array({encodeList(news.reports, encodeCrashReport),
                        encodeList(news.quarantines, encodeQuarantine),
                        encodeList(news.trials, encodeTrial)});
}

crash_news decodeCrashNews(const json &one)
{
    if (one.is_null()) {
        return {};
    }
    crash_news news;
    news.reports = decodeList<crash_report>(one.at(0), decodeCrashReport);
    news.quarantines = decodeList<quarantine_report>(one.at(1), decodeQuarantine);
    if (one.size() > 2) { // earlier builds send no claims
        news.trials = decodeList<trial_claim>(one.at(2), decodeTrial);
    }
    return news;
}

json encodeService(const service_id &service)
{
    return service.text();
}

service_id decodeService(const json &one)
{
    return service_id(one.get<std::string>());
}

json encodeVmKey(vm_key vm)
{
    return vm.value;
}

vm_key decodeVmKey(const json &one)
{
    return vm_key(one.get<std::uint32_t>());
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
