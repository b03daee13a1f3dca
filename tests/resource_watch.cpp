/// \file
/// What a process takes of its machine, as the system reports it.
#include "resource_watch.h"

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <system_error>

namespace fuchsialoom
{

static constexpr std::chrono::milliseconds lookInterval{5};

/// \return the value of the field \p name of the status of \p process, bytes; 0 if there is none.
static std::size_t statusBytes(pid_t process, const std::string &name)
{
    static constexpr std::size_t bytesPerKb = 1024;
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    for (std::string word; status >> word;) {
        if (word == name) {
            std::size_t kb = 0;
            status >> kb;
            return kb * bytesPerKb;
        }
    }
    return 0;
}

/// \return the bytes that have arrived at sockets of \p ports and aren't read.
static std::size_t unreadBytes(const std::set<std::uint16_t> &ports)
{
    static constexpr int hexadecimal = 16;
    std::ifstream table("/proc/net/tcp");
    std::string line;
    std::getline(table, line); // the names of the columns
    std::size_t unread = 0;
    while (std::getline(table, line)) {
        std::istringstream columns(line);
        std::string number;
        std::string local;
        std::string remote;
        std::string state;
        std::string queues;
        columns >> number >> local >> remote >> state >> queues;
        static const std::string listening = "0A";
        const std::size_t colon = local.find(':');
        const std::size_t queue = queues.find(':');
        if (state == listening || colon == std::string::npos || queue == std::string::npos) {
            continue;
        }
        if (ports.contains(static_cast<std::uint16_t>(std::stoul(local.substr(colon + 1), nullptr, hexadecimal)))) {
            unread += std::stoul(queues.substr(queue + 1), nullptr, hexadecimal);
        }
    }
    return unread;
}

resource_watch::resource_watch(pid_t process, std::set<std::uint16_t> ports)
    : m_process(process)
    , m_ports(std::move(ports))
    , m_thread([this] {
        while (!m_isOver) {
            look();
            std::this_thread::sleep_for(lookInterval);
        }
    })
{
}

resource_watch::~resource_watch()
{
    m_isOver = true;
    m_thread.join();
}

std::size_t resource_watch::peakMemory() const
{
    return std::max<std::size_t>(m_peakMemory, statusBytes(m_process, "VmHWM:"));
}

void resource_watch::look()
{
    m_peakMemory = std::max<std::size_t>(m_peakMemory, statusBytes(m_process, "VmRSS:") + unreadBytes(m_ports));
    std::error_code ended; // the process may be gone
    std::size_t descriptors = 0;
    for (std::filesystem::directory_iterator entry("/proc/" + std::to_string(m_process) + "/fd", ended), end; !ended && entry != end;
         entry.increment(ended)) {
        descriptors += 1;
    }
    m_peakDescriptors = std::max<std::size_t>(m_peakDescriptors, descriptors);
}

} // namespace fuchsialoom
