/// \file
/// A process that a test starts, pauses and ends by its id. None outlives its test.
#pragma once

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace fuchsialoom
{

/// Looks every few milliseconds until \p condition holds. \return false where it doesn't within \p limit,
/// which is generous: it bounds a failing test and judges no speed.
bool waitFor(const std::function<bool()> &condition, std::chrono::seconds limit = std::chrono::seconds(30));

/// "127.0.0.1:PORT" with a port that nothing uses, so that a process can come back on it.
std::string freeAddress();

class child_process
{
public:
    /// Starts \p program of the build folder. Its output is kept for messages.
    child_process(std::string name, const std::string &program, const std::vector<std::string> &words);
    child_process(child_process &&other) noexcept;
    child_process &operator=(child_process &&) = delete;
    child_process(const child_process &) = delete;
    child_process &operator=(const child_process &) = delete;
    /// Kills it where it still runs.
    ~child_process();

    void send(int signal) const;
    pid_t id() const
    {
        return m_pid;
    }
    /// kill -9, and waits until it is gone.
    void kill();
    /// Whether it has ended, without waiting.
    bool ended();
    /// Waits for its end. \return its exit code, 128 + N for signal N, or nothing where it runs on.
    std::optional<int> waitForExit(std::chrono::seconds limit = std::chrono::seconds(30));

    const std::string &name() const
    {
        return m_name;
    }
    /// The end of what it wrote.
    std::string output() const;
    /// All that it wrote.
    std::string wholeOutput() const;

private:
    std::string outputFrom(off_t first, off_t size) const;

    std::string m_name;
    pid_t m_pid = 0; ///< 0 once it was waited for
    int m_output = -1; ///< memory file with what it writes
    std::optional<int> m_exit;
};

} // namespace fuchsialoom
