/// \file
/// Requests that wait for a target. Bands go one after the other. Within a band, brands share what drains by weight; within
/// a brand the order is priority, then earliest deadline.
#pragma once

#include "fuchsialoom/core/drain_meter.h"
#include "fuchsialoom/core/targets.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace fuchsialoom
{

/// Requests of one lane can be served by the same targets: when the first finds no room, none does.
struct lane_key
{
    target_kind kind = target_kind::Engine;
    std::string serves; ///< model, or plain service
    version_id version;
    request_id alone; ///< set for a request with targets of its own: a retry, or an accused request

    friend auto operator<=>(const lane_key &, const lane_key &) = default;
};

struct queued_request
{
    request_id id;
    lane_key lane;
    brand_id brand;
    service_id service;
    std::uint32_t share = 1; ///< weight of the brand
    int priority = 0; ///< 0 goes first
    instant deadline;
    bool bounded = true; ///< counts against the service's limit; retries don't, they were admitted before
    int band = 0; ///< requests of lower bands go first, whosever turn it is
};

class admission_queue
{
public:
    /// \p request must not be queued already.
    void push(queued_request request);

    /// \return false when \p id was not queued.
    bool remove(const request_id &id);

    /// The request to try next, of those whose lane is not in \p blocked; nothing when none is left.
    const queued_request *next(const std::set<lane_key> &blocked) const;

    /// \p id goes to a target: takes it out and charges its brand.
    void depart(instant now, const request_id &id);

    /// To be called when all departures of a step are over, so that drain rates are measured.
    void settle(instant now);

    /// The last in order of the service's bounded requests, when there are more than \p limit.
    std::optional<request_id> overflow(const brand_id &brand, const service_id &service, std::size_t limit) const;

    /// Requests that, at the measured drain rate, can't start before their deadline.
    std::vector<request_id> unreachable(instant now) const;
    std::vector<request_id> unreachable(instant now, const lane_key &lane) const;

    /// When a lane's present backlog will have drained, bounded; a default while no rate is known.
    milliseconds retryAfter(instant now, const lane_key &lane) const;

    std::size_t size() const
    {
        return m_requests.size();
    }

private:
    /// Position within a brand.
    struct order_key
    {
        int band = 0;
        int priority = 0;
        instant deadline;
        std::uint64_t arrival = 0; ///< unique

        friend auto operator<=>(const order_key &, const order_key &) = default;
    };

    struct entry
    {
        queued_request request;
        order_key order;
    };

    using brand_line = std::map<order_key, const entry *>;
    using lane_lines = std::map<brand_id, brand_line>;
    using service_key = std::pair<brand_id, service_id>;

    std::uint64_t startTag(const brand_id &brand) const;
    std::size_t aheadIn(const lane_lines &lines, const brand_id &brand, std::size_t position) const;
    void collectUnreachable(instant now, const lane_key &lane, const lane_lines &lines, std::vector<request_id> &found) const;
    const drain_meter *meterOf(const lane_key &lane) const;

    std::map<request_id, entry> m_requests; ///< nodes don't move; the lines point into it
    std::map<lane_key, lane_lines> m_lanes; ///< no empty lane, no empty line
    std::map<service_key, std::map<order_key, request_id>> m_services; ///< the bounded requests
    std::map<lane_key, drain_meter> m_meters; ///< by lane without `alone`; kept when the lane empties
    std::map<brand_id, std::uint32_t> m_shares; ///< as last pushed
    std::map<brand_id, std::uint64_t> m_finishTags; ///< start-time fair queueing: virtual end of a brand's last departure
    std::uint64_t m_virtualTime = 0; ///< start tag of the last departure; never goes back
    std::uint64_t m_arrivals = 0;
};

} // namespace fuchsialoom
