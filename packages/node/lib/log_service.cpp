/// \file
/// The platform's log for the services of a node.
#include "fuchsialoom/node/log_service.h"

#include "fuchsialoom/node/node_clock.h"
#include "fuchsialoom/support/hash.h"
#include "fuchsialoom/wire/record_codec.h"

#include <algorithm>
#include <utility>

namespace fuchsialoom
{

static constexpr std::uint32_t recordsAPage = 500;
static constexpr std::size_t mostWaiting = 4096;
static constexpr std::size_t workers = 8;
static constexpr std::uint32_t secondsAMinute = 60;
/// A read answered this much after its wait ended is as bad as none: who waits for claims was refused.
static constexpr milliseconds slowAnswer{1000};

log_service::log_service(vm_id vm,
                         incarnation_number incarnation,
                         const std::optional<endpoint> &platform,
                         event_service &events,
                         std::uint32_t appendsPerMinute)
    : m_vm(std::move(vm))
    , m_incarnation(incarnation)
    , m_events(events)
    , m_availability(backoff_limits{}, hashOf(m_vm.text()).value())
    , m_budget(appendsPerMinute, std::max(1U, appendsPerMinute / secondsAMinute), mostWaiting)
{
    if (platform) {
        m_log.emplace<http_log>(*platform);
    }
}

void log_service::start()
{
    for (std::size_t worker = 0; worker < workers; ++worker) {
        m_workers.emplace_back([this] {
            work();
        });
    }
}

void log_service::stop()
{
    {
        const std::lock_guard lock(m_jobsMutex);
        m_stopping = true;
    }
    m_jobCame.notify_all();
    m_workers.clear();
    for (auto &[use, job] : m_jobs) {
        job.done(append_result{append_status::Refused, {}});
    }
    m_jobs.clear();
}

record_id log_service::nextRecordId()
{
    const std::uint64_t number = ++m_lastRecord;
    return record_id(m_vm.text() + '/' + std::to_string(m_incarnation.value()) + '/' + std::to_string(number));
}

bool log_service::isAvailable() const
{
    const std::lock_guard lock(m_availabilityMutex);
    return m_availability.isAvailable();
}

instant log_service::nextTry() const
{
    const std::lock_guard lock(m_availabilityMutex);
    return m_availability.nextTry();
}

/// Only reads tell: of an append, a single lost answer is no outage.
void log_service::note(bool answered, instant due)
{
    std::optional<timeline_event> change;
    {
        const std::lock_guard lock(m_availabilityMutex);
        change = answered ? m_availability.answered(monotonicNow(), due) : m_availability.failed(monotonicNow());
    }
    if (change) {
        m_events.emit(std::move(*change));
    }
}

/// Waits for this append's turn. Whoever waits hands out the grants, also those of others.
bool log_service::takeBudget(real_deadline deadline, append_class use)
{
    if (std::holds_alternative<memory_log>(m_log)) {
        return true;
    }
    std::unique_lock lock(m_budgetMutex);
    const append_ticket ticket = ++m_lastTicket;
    if (!m_budget.enqueue(ticket, use)) {
        return false;
    }
    while (true) {
        while (const std::optional<append_ticket> granted = m_budget.grant(monotonicNow())) {
            m_grants.insert(*granted);
            m_granted.notify_all();
        }
        if (m_grants.erase(ticket) > 0) {
            return true;
        }
        if (std::chrono::steady_clock::now() >= deadline) {
            m_budget.withdraw(ticket);
            return false;
        }
        m_granted.wait_until(lock, std::min(deadline, toRealDeadline(m_budget.nextGrant(monotonicNow()))));
    }
}

append_result
log_service::append(const stream_name &stream, const record_id &id, record_body body, real_deadline deadline, append_class use)
{
    if (!isAvailable() || !takeBudget(deadline, use)) {
        return append_result{append_status::Refused, {}};
    }
    const std::string bytes = encodeRecord(log_record{id, m_vm, m_incarnation, std::move(body)});
    const append_result result = std::visit(
        [&](auto &log) {
            return log.append(stream, bytes, deadline);
        },
        m_log);
    if (result.status == append_status::Uncertain) {
        m_events.emit(timeline_event(event_kind::AppendUncertain, id.text()).with(event_field::Stream, stream));
    }
    return result;
}

bool log_service::post(append_job job)
{
    {
        const std::lock_guard lock(m_jobsMutex);
        if (m_stopping || m_jobs.size() >= mostWaiting) {
            return false;
        }
        const append_class use = job.use;
        m_jobs.emplace(use, std::move(job));
    }
    m_jobCame.notify_one();
    return true;
}

std::optional<append_job> log_service::nextJob()
{
    std::unique_lock lock(m_jobsMutex);
    m_jobCame.wait(lock, [this] {
        return m_stopping || !m_jobs.empty();
    });
    if (m_stopping) {
        return std::nullopt;
    }
    std::optional<append_job> job(std::move(m_jobs.begin()->second));
    m_jobs.erase(m_jobs.begin());
    return job;
}

void log_service::work()
{
    while (std::optional<append_job> job = nextJob()) {
        job->done(append(job->stream, job->id, std::move(job->body), job->deadline, job->use));
    }
}

read_result log_service::readRaw(const stream_name &stream, log_offset from, real_deadline deadline)
{
    const instant due = monotonicNow() + std::chrono::duration_cast<microseconds>(deadline - std::chrono::steady_clock::now()) + slowAnswer;
    read_result raw = std::visit(
        [&](auto &log) {
            return log.read(stream, from, recordsAPage, deadline);
        },
        m_log);
    note(raw.status == read_status::Ok, due);
    return raw;
}

record_page log_service::decode(const read_result &raw)
{
    record_page page{raw.status, raw.first, raw.next, {}};
    page.entries.reserve(raw.entries.size());
    for (const raw_log_entry &entry : raw.entries) {
        page.entries.push_back(log_entry{entry.offset, decodeRecord(entry.bytes)});
    }
    return page;
}

record_page log_service::read(const stream_name &stream, log_offset from, real_deadline deadline)
{
    record_page page = decode(readRaw(stream, from, deadline));
    for (const log_entry &entry : page.entries) {
        if (!entry.record) {
            m_events.emit(timeline_event(event_kind::RecordSkipped, stream.text()).with(event_field::LogOffset, entry.offset));
        }
    }
    return page;
}

} // namespace fuchsialoom
