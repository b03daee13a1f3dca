/// \file
/// Words between VMs as CBOR arrays.
#include "fuchsialoom/fleet/words.h"

#include "fuchsialoom/support/errors.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace fuchsialoom
{

using nlohmann::json;

namespace
{

/// Datagrams of another layout are dropped, so that VMs of two releases can run side by side.
enum class word_layout {
    Digest = 4,
    Note = 5,
    Member = 6,
};

/// Counts beyond these are no target's; sums of them over all VMs stay far from overflow.
constexpr std::uint32_t mostRequests = 100'000;
constexpr std::uint32_t mostTokens = 1'000'000;
/// Times beyond these are no VM's.
constexpr milliseconds longestDue{10'000};
constexpr milliseconds longestWait{60'000};
/// Arrays within arrays; the parser needs stack for each.
constexpr int mostDepth = 8;

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

/// Builds a document, but gives up on one that is nested too deeply.
class bounded_builder : public nlohmann::detail::json_sax_dom_parser<json>
{
public:
    explicit bounded_builder(json &result)
        : json_sax_dom_parser(result, false)
    {
    }

    bool start_array(std::size_t size) // NOLINT(readability-identifier-naming): the library's name
    {
        m_depth += 1;
        return m_depth <= mostDepth && json_sax_dom_parser::start_array(size);
    }
    bool end_array() // NOLINT(readability-identifier-naming)
    {
        m_depth -= 1;
        return json_sax_dom_parser::end_array();
    }
    bool start_object(std::size_t) // NOLINT(readability-identifier-naming): no word has objects
    {
        return false;
    }

private:
    int m_depth = 0;
};

/// \return null for bytes that are no document.
json parse(std::string_view bytes)
{
    json document;
    bounded_builder builder(document);
    // Sizes beyond all bounds are thrown even where the library is told not to throw.
    const bool isWhole = json::sax_parse(bytes.begin(), bytes.end(), &builder, json::input_format_t::cbor);
    return isWhole ? document : json();
}

milliseconds decodeTime(const json &one, milliseconds most)
{
    return std::clamp(milliseconds(one.get<std::int64_t>()), milliseconds(0), most);
}

/// Reads an array's fields in order.
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

private:
    const json &m_fields;
    std::size_t m_at = 1; // the layout stands first
};

json encodeOrigin(const word_origin &origin)
{
    return json::array({origin.vm.text(), origin.incarnation, origin.sequence});
}

word_origin decodeOrigin(const json &one)
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
            std::min(mostRequests, one.at(3).get<std::uint32_t>()),
            std::min(mostRequests, one.at(4).get<std::uint32_t>())};
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

std::optional<renounced_fence> decodeRenounced(const json &one)
{
    if (one.is_null()) {
        return std::nullopt;
    }
    return renounced_fence{one.at(0).get<std::uint64_t>(), decodeTime(one.at(1), longestWait)};
}

json encodeHolder(const std::optional<holder_word> &word)
{
    return word ? json::array({word->fence, word->wait.count()}) : json();
}

std::optional<holder_word> decodeHolder(const json &one)
{
    if (one.is_null()) {
        return std::nullopt;
    }
    return holder_word{one.at(0).get<std::uint64_t>(), decodeTime(one.at(1), longestWait)};
}

json encodeFlights(const flight_counts &flights)
{
    json list = json::array();
    for (const auto &[target, count] : flights) {
        list.push_back(target.value);
        list.push_back(count.requests);
        list.push_back(count.unreadTokens);
    }
    return list;
}

flight_counts decodeFlights(const json &list)
{
    flight_counts flights;
    for (std::size_t at = 0; at + 2 < list.size(); at += 3) {
        flights[target_key(list.at(at).get<std::uint32_t>())] = {std::min(mostRequests, list.at(at + 1).get<std::uint32_t>()),
                                                                 std::min(mostTokens, list.at(at + 2).get<std::uint32_t>())};
    }
    return flights;
}

peer_digest decodeDigest(const json &fields)
{
    field_reader read(fields);
    peer_digest digest;
    digest.origin = decodeOrigin(read.next());
    digest.request = static_cast<relay_request>(std::clamp(read.next<int>(), 0, static_cast<int>(relay_request::NotRelay)));
    digest.vms = std::min(mostRequests, read.next<std::uint32_t>());
    digest.due = decodeTime(read.next(), longestDue);
    digest.configVersion = read.next<std::uint64_t>();
    digest.leaving = read.next<bool>();
    digest.holder = decodeHolder(read.next());
    digest.renounced = decodeRenounced(read.next());
    digest.flights = decodeFlights(read.next());
    digest.demand = entriesOf<demand_entry>(read.next(), decodeDemand);
    digest.wants = entriesOf<adapter_want>(read.next(), decodeWant);
    digest.news = entriesOf<residency_news>(read.next(), decodeNews);
    digest.relays = entriesOf<endpoint>(read.next(), [](const json &one) {
        return parseEndpoint(one.get<std::string>());
    });
    return digest;
}

flight_note decodeNote(const json &fields)
{
    field_reader read(fields);
    flight_note note;
    note.origin = decodeOrigin(read.next());
    note.changed = decodeFlights(read.next());
    note.wants = entriesOf<adapter_want>(read.next(), decodeWant);
    note.news = entriesOf<residency_news>(read.next(), decodeNews);
    return note;
}

relay_word decodeRelayWord(const json::binary_t &bytes)
{
    const json fields = parse(std::string_view(reinterpret_cast<const char *>(bytes.data()), bytes.size()));
    field_reader read(fields);
    relay_word word;
    word.origin = decodeOrigin(read.next());
    word.isWhole = read.next<bool>();
    word.leaving = read.next<bool>();
    word.due = decodeTime(read.next(), longestDue);
    word.liveVms = std::min(mostRequests, read.next<std::uint32_t>());
    word.configVersion = read.next<std::uint64_t>();
    word.holder = decodeHolder(read.next());
    word.news = entriesOf<residency_news>(read.next(), decodeNews);
    word.relays = entriesOf<vm_id>(read.next(), [](const json &one) {
        return vm_id(one.get<std::string>());
    });
    word.flights = decodeFlights(read.next());
    return word;
}

member_word decodeMemberWord(const json &fields)
{
    field_reader read(fields);
    member_word word;
    word.word = decodeRelayWord(read.next().get_binary());
    word.yours = decodeFlights(read.next());
    return word;
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
    return cborOf(json::array({static_cast<int>(word_layout::Digest),
                               encodeOrigin(digest.origin),
                               static_cast<int>(digest.request),
                               digest.vms,
                               digest.due.count(),
                               digest.configVersion,
                               digest.leaving,
                               encodeHolder(digest.holder),
                               encodeRenounced(digest.renounced),
                               encodeFlights(digest.flights),
                               listOf(digest.demand, encodeDemand),
                               listOf(digest.wants, encodeWant),
                               listOf(digest.news, encodeNews),
                               listOf(digest.relays, [](const endpoint &one) {
                                   return json(toText(one));
                               })}));
}

std::string encodeNote(const flight_note &note)
{
    return cborOf(json::array({static_cast<int>(word_layout::Note),
                               encodeOrigin(note.origin),
                               encodeFlights(note.changed),
                               listOf(note.wants, encodeWant),
                               listOf(note.news, encodeNews)}));
}

std::string encodeRelayWord(const relay_word &word)
{
    return cborOf(json::array({static_cast<int>(word_layout::Member),
                               encodeOrigin(word.origin),
                               word.isWhole,
                               word.leaving,
                               word.due.count(),
                               word.liveVms,
                               word.configVersion,
                               encodeHolder(word.holder),
                               listOf(word.news, encodeNews),
                               listOf(word.relays,
                                      [](const vm_id &one) {
                                          return json(one.text());
                                      }),
                               encodeFlights(word.flights)}));
}

std::string encodeMemberWord(const std::string &encodedWord, const flight_counts &yours)
{
    const std::vector<std::uint8_t> bytes(encodedWord.begin(), encodedWord.end());
    return cborOf(json::array({static_cast<int>(word_layout::Member), json::binary(bytes), encodeFlights(yours)}));
}

std::optional<peer_datagram> decodeDatagram(std::string_view bytes)
{
    try {
        const json fields = parse(bytes);
        if (!fields.is_array() || fields.empty() || !fields[0].is_number_integer()) {
            return std::nullopt;
        }
        switch (static_cast<word_layout>(fields[0].get<int>())) {
        case word_layout::Digest:
            return decodeDigest(fields);
        case word_layout::Note:
            return decodeNote(fields);
        case word_layout::Member:
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
