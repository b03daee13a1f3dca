/// \file
/// Digests as CBOR arrays.
#include "fuchsialoom/gateway/peer_digest.h"

#include "fuchsialoom/support/errors.h"

#include <nlohmann/json.hpp>

namespace fuchsialoom
{

using nlohmann::json;

/// Digests of another layout are dropped, so that VMs of two releases can run side by side.
static constexpr int layoutNumber = 2;
/// What changed of a VM's flights alone.
static constexpr int noteLayoutNumber = 3;

namespace
{

template<typename Entry, typename Encode>
json listOf(const std::vector<Entry> &entries, Encode encode)
{
    json list = json::array();
    for (const Entry &one : entries) {
        list.push_back(encode(one));
    }
    return list;
}

template<typename Entry, typename Decode>
std::vector<Entry> entriesOf(const json &list, Decode decode)
{
    std::vector<Entry> entries;
    for (const json &one : list) {
        entries.push_back(decode(one));
    }
    return entries;
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
            one.at(3).get<std::uint32_t>(),
            one.at(4).get<std::uint32_t>()};
}

json encodeWant(const adapter_want &one)
{
    return json::array({one.service.text(), one.model.text(), one.adapter.text()});
}

adapter_want decodeWant(const json &one)
{
    return {service_id(one.at(0).get<std::string>()), model_id(one.at(1).get<std::string>()), adapter_id(one.at(2).get<std::string>())};
}

json encodeNews(const residency_news &one)
{
    return json::array({one.target.text(), one.model.text(), one.adapter.text(), one.present});
}

residency_news decodeNews(const json &one)
{
    return {target_id(one.at(0).get<std::string>()),
            model_id(one.at(1).get<std::string>()),
            adapter_id(one.at(2).get<std::string>()),
            one.at(3).get<bool>()};
}

json encodeRenounced(const std::optional<renounced_fence> &word)
{
    return word ? json::array({word->fence, word->sinceLastOrder.count()}) : json();
}

json encodeFlights(const flight_counts &flights)
{
    json list = json::array();
    for (const auto &[target, count] : flights) {
        list.push_back(target.text());
        list.push_back(count.requests);
        list.push_back(count.unreadTokens);
    }
    return list;
}

flight_counts decodeFlights(const json &list)
{
    flight_counts flights;
    for (std::size_t at = 0; at + 2 < list.size(); at += 3) {
        flights[target_id(list.at(at).get<std::string>())] = {list.at(at + 1).get<std::uint32_t>(), list.at(at + 2).get<std::uint32_t>()};
    }
    return flights;
}

peer_digest decodeFields(const json &fields)
{
    peer_digest digest;
    std::size_t at = 1;
    const auto next = [&fields, &at]() -> const json & {
        return fields.at(at++);
    };
    digest.vm = vm_id(next().get<std::string>());
    digest.incarnation = next().get<std::uint64_t>();
    digest.sequence = next().get<std::uint64_t>();
    digest.configVersion = next().get<std::uint64_t>();
    digest.leaving = next().get<bool>();
    const json &fence = next();
    if (!fence.is_null()) {
        digest.dutyFence = fence.get<std::uint64_t>();
    }
    digest.dutyWait = milliseconds(next().get<std::int64_t>());
    const json &renounced = next();
    if (!renounced.is_null()) {
        digest.renounced = renounced_fence{renounced.at(0).get<std::uint64_t>(), milliseconds(renounced.at(1).get<std::int64_t>())};
    }
    digest.flights = decodeFlights(next());
    digest.demand = entriesOf<demand_entry>(next(), decodeDemand);
    digest.wants = entriesOf<adapter_want>(next(), decodeWant);
    digest.news = entriesOf<residency_news>(next(), decodeNews);
    digest.peers = entriesOf<endpoint>(next(), [](const json &one) {
        return parseEndpoint(one.get<std::string>());
    });
    return digest;
}

flight_note decodeNote(const json &fields)
{
    flight_note note;
    note.vm = vm_id(fields.at(1).get<std::string>());
    note.incarnation = fields.at(2).get<std::uint64_t>();
    note.sequence = fields.at(3).get<std::uint64_t>();
    note.changed = decodeFlights(fields.at(4));
    return note;
}

std::string cborOf(const json &fields)
{
    std::string bytes;
    json::to_cbor(fields, nlohmann::detail::output_adapter<char>(bytes));
    return bytes;
}

} // namespace

std::string encodeDigest(const peer_digest &digest)
{
    json fields = json::array({layoutNumber,
                               digest.vm.text(),
                               digest.incarnation,
                               digest.sequence,
                               digest.configVersion,
                               digest.leaving,
                               digest.dutyFence ? json(*digest.dutyFence) : json(),
                               digest.dutyWait.count(),
                               encodeRenounced(digest.renounced),
                               encodeFlights(digest.flights),
                               listOf(digest.demand, encodeDemand),
                               listOf(digest.wants, encodeWant),
                               listOf(digest.news, encodeNews),
                               listOf(digest.peers, [](const endpoint &one) {
                                   return json(toText(one));
                               })});
    return cborOf(fields);
}

std::string encodeNote(const flight_note &note)
{
    return cborOf(json::array({noteLayoutNumber, note.vm.text(), note.incarnation, note.sequence, encodeFlights(note.changed)}));
}

std::optional<peer_datagram> decodeDatagram(std::string_view bytes)
{
    try {
        // Sizes beyond all bounds are thrown even where the library is told not to throw.
        const json fields = json::from_cbor(bytes.begin(), bytes.end(), true, false);
        if (!fields.is_array() || fields.empty()) {
            return std::nullopt;
        }
        if (fields[0] == layoutNumber) {
            return decodeFields(fields);
        }
        if (fields[0] == noteLayoutNumber) {
            return decodeNote(fields);
        }
        return std::nullopt;
    } catch (const json::exception &) {
        return std::nullopt;
    } catch (const error &) {
        return std::nullopt;
    }
}

} // namespace fuchsialoom
