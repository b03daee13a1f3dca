/// \file
/// What a process takes of its machine, looked at by a thread of its own: memory with the bytes that its sockets haven't read, and
/// descriptors.
#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <set>
#include <thread>

#include <sys/types.h>

namespace fuchsialoom
{

class resource_watch
{
public:
    /// \p ports: where the process listens.
    resource_watch(pid_t process, std::set<std::uint16_t> ports);
    ~resource_watch();
    resource_watch(const resource_watch &) = delete;
    resource_watch &operator=(const resource_watch &) = delete;

    /// Largest sum of the resident memory and of what has arrived at the ports and isn't read, bytes. Never less than the peak of the
    /// resident memory that the system reports.
    std::size_t peakMemory() const;
    std::size_t peakDescriptors() const
    {
        return m_peakDescriptors;
    }

private:
    void look();

    pid_t m_process;
    std::set<std::uint16_t> m_ports;
    std::atomic<std::size_t> m_peakMemory = 0;
    std::atomic<std::size_t> m_peakDescriptors = 0;
    std::atomic<bool> m_isOver = false;
    std::thread m_thread;
};

} // namespace fuchsialoom
