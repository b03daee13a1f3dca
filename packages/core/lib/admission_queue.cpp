/// \file
/// Requests that wait for a target.
#include "fuchsialoom/core/admission_queue.h"

#include <algorithm>
#include <cassert>
#include <tuple>

namespace fuchsialoom
{

/// Virtual time that one departure costs a brand of share 1.
static constexpr std::uint64_t departureCost = 1'000'000'000;
static constexpr milliseconds defaultRetryAfter{1000};
static constexpr milliseconds shortestRetryAfter{50};
static constexpr milliseconds longestRetryAfter{60000};

static lane_key withoutAlone(lane_key lane)
{
    lane.alone = request_id();
    return lane;
}

void admission_queue::push(queued_request request)
{
    const request_id id = request.id;
    const order_key order{request.band, request.priority, request.deadline, ++m_arrivals};
    const auto [position, isNew] = m_requests.emplace(id, entry{std::move(request), order});
    assert(isNew && "a request is queued once");
    const entry &added = position->second;
    m_lanes[added.request.lane][added.request.brand].emplace(order, &added);
    m_shares[added.request.brand] = std::max<std::uint32_t>(added.request.share, 1);
    if (added.request.bounded) {
        m_services[service_key(added.request.brand, added.request.service)].emplace(order, id);
    }
}

bool admission_queue::remove(const request_id &id)
{
    const auto found = m_requests.find(id);
    if (found == m_requests.end()) {
        return false;
    }
    const entry &gone = found->second;
    const auto lane = m_lanes.find(gone.request.lane);
    const auto line = lane->second.find(gone.request.brand);
    line->second.erase(gone.order);
    if (line->second.empty()) {
        lane->second.erase(line);
    }
    if (lane->second.empty()) {
        m_lanes.erase(lane);
    }
    const auto service = m_services.find(service_key(gone.request.brand, gone.request.service));
    if (service != m_services.end()) {
        service->second.erase(gone.order);
        if (service->second.empty()) {
            m_services.erase(service);
        }
    }
    m_requests.erase(found);
    return true;
}

std::uint64_t admission_queue::startTag(const brand_id &brand) const
{
    const auto found = m_finishTags.find(brand);
    return found == m_finishTags.end() ? m_virtualTime : std::max(found->second, m_virtualTime);
}

const queued_request *admission_queue::next(const std::set<lane_key> &blocked) const
{
    const entry *best = nullptr;
    std::uint64_t bestTag = 0;
    for (const auto &[lane, lines] : m_lanes) {
        if (blocked.contains(lane)) {
            continue;
        }
        for (const auto &[brand, line] : lines) {
            const entry *head = line.begin()->second;
            const std::uint64_t tag = startTag(brand);
            const int band = head->order.band;
            if (best == nullptr || std::tie(band, tag, head->order) < std::tie(best->order.band, bestTag, best->order)) {
                best = head;
                bestTag = tag;
            }
        }
    }
    return best == nullptr ? nullptr : &best->request;
}

void admission_queue::depart(instant now, const request_id &id)
{
    const auto found = m_requests.find(id);
    assert(found != m_requests.end() && "only queued requests depart");
    const queued_request &request = found->second.request;
    const std::uint64_t start = startTag(request.brand);
    m_finishTags[request.brand] = start + departureCost / std::max<std::uint32_t>(request.share, 1);
    m_virtualTime = start;
    if (request.lane.alone.empty()) {
        m_meters[request.lane].departed(now);
    }
    remove(id);
}

void admission_queue::settle(instant now)
{
    for (auto &[lane, meter] : m_meters) {
        meter.setBacklogged(now, m_lanes.contains(lane));
    }
    for (const auto &[lane, lines] : m_lanes) {
        if (lane.alone.empty()) {
            m_meters[lane].setBacklogged(now, true);
        }
    }
}

std::optional<request_id> admission_queue::overflow(const brand_id &brand, const service_id &service, std::size_t limit) const
{
    const auto found = m_services.find(service_key(brand, service));
    if (found == m_services.end() || found->second.size() <= limit) {
        return std::nullopt;
    }
    return found->second.rbegin()->second;
}

/// How many requests of a lane go before the one at \p position in the line of \p brand, with the
/// brands drained by weight.
std::size_t admission_queue::aheadIn(const lane_lines &lines, const brand_id &brand, std::size_t position) const
{
    std::size_t ahead = position;
    const std::uint64_t ownShare = m_shares.at(brand);
    for (const auto &[other, line] : lines) {
        if (other != brand) {
            ahead += std::min<std::size_t>(line.size(), (position + 1) * m_shares.at(other) / ownShare);
        }
    }
    return ahead;
}

const drain_meter *admission_queue::meterOf(const lane_key &lane) const
{
    const auto found = m_meters.find(withoutAlone(lane));
    return found == m_meters.end() ? nullptr : &found->second;
}

void admission_queue::collectUnreachable(instant now, const lane_key &lane, const lane_lines &lines, std::vector<request_id> &found) const
{
    const drain_meter *meter = lane.alone.empty() ? meterOf(lane) : nullptr;
    const std::optional<double> rate = meter != nullptr && meter->isFresh(now) ? meter->perSecond(now) : std::nullopt;
    for (const auto &[brand, line] : lines) {
        std::size_t position = 0; // only those that stay count: a refusal lets the others move up
        for (const auto &[order, one] : line) {
            const double secondsLeft = std::chrono::duration<double>(order.deadline - now).count();
            const bool late = rate && static_cast<double>(aheadIn(lines, brand, position) + 1) > secondsLeft * *rate;
            if (late || order.deadline <= now) {
                found.push_back(one->request.id);
            } else {
                ++position;
            }
        }
    }
}

std::vector<request_id> admission_queue::unreachable(instant now) const
{
    std::vector<request_id> found;
    for (const auto &[lane, lines] : m_lanes) {
        collectUnreachable(now, lane, lines, found);
    }
    return found;
}

std::vector<request_id> admission_queue::unreachable(instant now, const lane_key &lane) const
{
    std::vector<request_id> found;
    const auto lines = m_lanes.find(lane);
    if (lines != m_lanes.end()) {
        collectUnreachable(now, lane, lines->second, found);
    }
    return found;
}

milliseconds admission_queue::retryAfter(instant now, const lane_key &lane) const
{
    const drain_meter *meter = meterOf(lane);
    const std::optional<double> rate = meter != nullptr ? meter->perSecond(now) : std::nullopt;
    if (!rate) {
        return defaultRetryAfter;
    }
    std::size_t waiting = 1;
    const auto lines = m_lanes.find(withoutAlone(lane));
    if (lines != m_lanes.end()) {
        for (const auto &[brand, line] : lines->second) {
            waiting += line.size();
        }
    }
    const double longest = std::chrono::duration<double>(longestRetryAfter).count();
    const double wanted = *rate > 0 ? std::min(static_cast<double>(waiting) / *rate, longest) : longest;
    return std::max(shortestRetryAfter, std::chrono::duration_cast<milliseconds>(std::chrono::duration<double>(wanted)));
}

} // namespace fuchsialoom
