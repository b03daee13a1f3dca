/// \file
/// The platform's log for the services of a node: records in, records out, whichever log it is. All
/// appends of the node share one budget, and while the log is known to be out nothing is sent.
#pragma once

#include "fuchsialoom/core/append_budget.h"
#include "fuchsialoom/core/log_availability.h"
#include "fuchsialoom/core/log_pages.h"
#include "fuchsialoom/node/event_service.h"
#include "fuchsialoom/wire/memory_log.h"
#include "fuchsialoom/wire/platform_http.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <thread>
#include <variant>
#include <vector>

namespace fuchsialoom
{

/// An append for post().
struct append_job
{
    append_class use = append_class::Other;
    stream_name stream;
    record_id id;
    record_body body;
    real_deadline deadline;
    /// Called once, on a thread of the log service, with the result.
    std::function<void(const append_result &)> done;
};

/// Thread-safe.
class log_service : public service
{
public:
    static constexpr std::uint32_t defaultAppendsPerMinute = 2000;

    /// \p platform is nothing for the embedded log, which has no budget.
    log_service(vm_id vm,
                incarnation_number incarnation,
                const std::optional<endpoint> &platform,
                event_service &events,
                std::uint32_t appendsPerMinute = defaultAppendsPerMinute);

    /// Whether the log is this VM's own, so that no other VM can read it.
    bool isEmbedded() const
    {
        return std::holds_alternative<memory_log>(m_log);
    }

    void start() override;
    /// Jobs that were not begun are refused.
    void stop() override;

    /// Appends \p body under \p id, from nextRecordId(). Blocks: never call it on a decision thread.
    /// A lost answer is settled by reading on; a retry must use the same id.
    append_result append(const stream_name &stream,
                         const record_id &id,
                         record_body body,
                         real_deadline deadline,
                         append_class use = append_class::Other);
    /// Appends without blocking the caller. \return false, calling nothing, when too many wait.
    bool post(append_job job);

    record_page read(const stream_name &stream, log_offset from, real_deadline deadline);
    read_result readRaw(const stream_name &stream, log_offset from, real_deadline deadline);
    /// The records in \p raw; those unknown or corrupt stand as nothing.
    static record_page decode(const read_result &raw);

    record_id nextRecordId();

    const vm_id &vm() const
    {
        return m_vm;
    }

    bool isAvailable() const;
    /// When the log may be asked again; the past while it is available.
    instant nextTry() const;

private:
    bool takeBudget(real_deadline deadline, append_class use);
    void work();
    std::optional<append_job> nextJob();
    void note(bool answered, instant due);

    const vm_id m_vm;
    const incarnation_number m_incarnation;
    event_service &m_events;
    std::variant<memory_log, http_log> m_log;
    std::atomic<std::uint64_t> m_lastRecord{0};

    mutable std::mutex m_availabilityMutex;
    log_availability m_availability; ///< guarded by m_availabilityMutex

    std::mutex m_budgetMutex;
    std::condition_variable m_granted;
    append_budget m_budget; ///< guarded by m_budgetMutex
    std::set<append_ticket> m_grants; ///< guarded by m_budgetMutex; granted and not yet used
    append_ticket m_lastTicket = 0; ///< guarded by m_budgetMutex

    std::mutex m_jobsMutex;
    std::condition_variable m_jobCame;
    std::multimap<append_class, append_job> m_jobs; ///< guarded by m_jobsMutex; the most urgent class first
    bool m_stopping = false; ///< guarded by m_jobsMutex; once true it stays true
    std::vector<std::jthread> m_workers;
};

} // namespace fuchsialoom
