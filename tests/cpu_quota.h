/// \file
/// Gives a process a share of a core, as a quota of processor time in each period: once that is used, the process stands still until
/// the period ends.
#pragma once

#include "child_process.h"

#include <atomic>
#include <chrono>
#include <thread>

namespace fuchsialoom
{

/// Processor time that \p process has used so far. Source: the kernel's statistics of its main thread.
std::chrono::nanoseconds processorTimeOf(const child_process &process);

class cpu_quota
{
public:
    /// \p share: of a core.
    cpu_quota(const child_process &process, double share);
    cpu_quota(const cpu_quota &) = delete;
    cpu_quota &operator=(const cpu_quota &) = delete;
    /// Lets it run freely again.
    ~cpu_quota();

private:
    void enforce(double share) const;

    const child_process &m_process;
    std::atomic<bool> m_isOver = false;
    std::thread m_thread;
};

} // namespace fuchsialoom
