/// \file
/// Encoding of the parts of messages.
#include "message_parts.h"

#include "fuchsialoom/support/errors.h"

namespace fuchsialoom
{

using nlohmann::json;

/// Upper bounds of valid counts; their totals over all VMs stay far from overflow.
static constexpr std::uint32_t maxTokens = 1'000'000;
static constexpr std::int64_t maxCost = 1'000'000'000'000'000;
static constexpr milliseconds maxOrderWait{60'000};
/// Longest quarantine that is accepted from a peer, and the oldest death.
static constexpr milliseconds maxQuarantine{24 * 3600 * 1000};

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

} // namespace fuchsialoom
