/// \file
/// The parts of messages between VMs as JSON values, which messages.cpp puts into datagrams.
#pragma once

#include "fuchsialoom/fleet/messages.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdint>
#include <optional>
#include <vector>

namespace fuchsialoom
{

/// Upper bound of valid counts of requests; their total over all VMs stays far from overflow.
inline constexpr std::uint32_t maxRequests = 100'000;

template<typename Entry, typename Encode>
nlohmann::json encodeList(const std::vector<Entry> &entries, Encode encode)
{
    nlohmann::json list = nlohmann::json::array();
    for (const Entry &one : entries) {
        list.push_back(encode(one));
    }
    return list;
}

template<typename Entry, typename Decode>
std::vector<Entry> decodeList(const nlohmann::json &list, Decode decode)
{
    std::vector<Entry> entries;
    for (const nlohmann::json &one : list) {
        entries.push_back(decode(one));
    }
    return entries;
}

inline milliseconds decodeTime(const nlohmann::json &one, milliseconds most)
{
    return std::clamp(milliseconds(one.get<std::int64_t>()), milliseconds(0), most);
}

/// Reads the fields of an array in order.
class field_reader
{
public:
    explicit field_reader(const nlohmann::json &fields)
        : m_fields(fields)
    {
    }

    const nlohmann::json &next()
    {
        return m_fields.at(m_at++);
    }
    template<typename Value>
    Value next()
    {
        return next().get<Value>();
    }
    /// The next field, or null in a message of an earlier release, which ends before it.
    const nlohmann::json &nextOptional()
    {
        static const nlohmann::json absent;
        return m_at < m_fields.size() ? next() : absent;
    }

private:
    const nlohmann::json &m_fields;
    std::size_t m_at = 1; // skips the layout
};

/// \name Each decode function throws a JSON or fuchsialoom error for a value that encodes nothing valid.
/// @{
nlohmann::json encodeOrigin(const message_origin &origin);
message_origin decodeOrigin(const nlohmann::json &one);
nlohmann::json encodeDemand(const demand_entry &one);
demand_entry decodeDemand(const nlohmann::json &one);
nlohmann::json encodeAdapterRequest(const adapter_request &one);
adapter_request decodeAdapterRequest(const nlohmann::json &one);
nlohmann::json encodeResidencyChange(const residency_change &one);
residency_change decodeResidencyChange(const nlohmann::json &one);
nlohmann::json encodeRenounced(const std::optional<renounced_fence> &message);
std::optional<renounced_fence> decodeRenounced(const nlohmann::json &one);
nlohmann::json encodeHolder(const std::optional<holder_announcement> &message);
std::optional<holder_announcement> decodeHolder(const nlohmann::json &one);
nlohmann::json encodeInFlight(const in_flight_counts &inFlight);
in_flight_counts decodeInFlight(const nlohmann::json &list);
nlohmann::json encodeSpending(const team_spending &one);
team_spending decodeSpending(const nlohmann::json &one);
nlohmann::json encodeBalance(const team_balance &one);
team_balance decodeBalance(const nlohmann::json &one);
nlohmann::json encodeCrashReport(const crash_report &one);
crash_report decodeCrashReport(const nlohmann::json &one);
nlohmann::json encodeQuarantine(const quarantine_report &one);
quarantine_report decodeQuarantine(const nlohmann::json &one);
nlohmann::json encodeTrial(const trial_claim &one);
trial_claim decodeTrial(const nlohmann::json &one);
nlohmann::json encodeCrashNews(const crash_news &news);
crash_news decodeCrashNews(const nlohmann::json &one);
nlohmann::json encodeService(const service_id &service);
service_id decodeService(const nlohmann::json &one);
nlohmann::json encodeVmKey(vm_key vm);
vm_key decodeVmKey(const nlohmann::json &one);
/// @}

} // namespace fuchsialoom
