/// \file
/// Processes that a test starts.
#include "child_process.h"

#include "free_port.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <csignal>
#include <cstddef>
#include <stdexcept>
#include <thread>
#include <utility>

#include <spawn.h>
#include <sys/mman.h>
#include <sys/wait.h>
#include <unistd.h>

namespace fuchsialoom
{

static constexpr std::chrono::milliseconds lookInterval{5};
static constexpr int signalExit = 128;
static constexpr std::size_t mostChildren = 256;
/// A test program that hangs is ended from inside, so that it can end what it started.
static constexpr unsigned watchdogSeconds = 240;

/// Pids of the children that run; plain data, so that a signal handler may read it.
static std::array<std::atomic<pid_t>, mostChildren> runningChildren{};

static void endAllChildren(int)
{
    for (const std::atomic<pid_t> &child : runningChildren) {
        const pid_t pid = child;
        if (pid > 0) {
            ::kill(pid, SIGKILL);
        }
    }
    _exit(signalExit + SIGALRM);
}

static void replaceChild(pid_t from, pid_t to)
{
    for (std::atomic<pid_t> &child : runningChildren) {
        pid_t expected = from;
        if (child.compare_exchange_strong(expected, to)) {
            return;
        }
    }
    throw std::runtime_error("too many children");
}

static void startWatchdog()
{
    static const bool started = [] {
        std::signal(SIGALRM, endAllChildren);
        std::signal(SIGTERM, endAllChildren);
        std::signal(SIGINT, endAllChildren);
        alarm(watchdogSeconds);
        return true;
    }();
    (void)started;
}

bool waitFor(const std::function<bool()> &condition, std::chrono::seconds limit)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= end) {
            return false;
        }
        std::this_thread::sleep_for(lookInterval);
    }
    return true;
}

std::string freeAddress()
{
    return "127.0.0.1:" + std::to_string(testing_rig::freePort());
}

child_process::child_process(std::string name, const std::string &program, const std::vector<std::string> &words)
    : m_name(std::move(name))
    , m_output(memfd_create("output", MFD_CLOEXEC))
{
    startWatchdog();
    std::string path = std::string(FUCHSIALOOM_BINARY_DIR) + '/' + program;
    std::vector<std::string> owned = words;
    std::vector<char *> argv{path.data()};
    for (std::string &word : owned) {
        argv.push_back(word.data());
    }
    argv.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, m_output, STDOUT_FILENO);
    posix_spawn_file_actions_adddup2(&actions, m_output, STDERR_FILENO);
    // Otherwise the child keeps the stand-ins' listeners open after they have closed them.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    const int problem = posix_spawn(&m_pid, path.c_str(), &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (problem != 0) {
        throw std::runtime_error("'" + path + "' can't be started");
    }
    replaceChild(0, m_pid);
}

child_process::child_process(child_process &&other) noexcept
    : m_name(std::move(other.m_name))
    , m_pid(std::exchange(other.m_pid, 0))
    , m_output(std::exchange(other.m_output, -1))
    , m_exit(other.m_exit)
{
}

child_process::~child_process()
{
    kill();
    if (m_output >= 0) {
        close(m_output);
    }
}

void child_process::send(int signal) const
{
    if (m_pid != 0) {
        ::kill(m_pid, signal);
    }
}

void child_process::kill()
{
    send(SIGKILL);
    while (!ended()) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
}

bool child_process::ended()
{
    if (m_pid == 0) {
        return true;
    }
    int status = 0;
    if (waitpid(m_pid, &status, WNOHANG) != m_pid) {
        return false;
    }
    m_exit = WIFEXITED(status) ? WEXITSTATUS(status) : signalExit + WTERMSIG(status);
    replaceChild(m_pid, 0);
    m_pid = 0;
    return true;
}

std::optional<int> child_process::waitForExit(std::chrono::seconds limit)
{
    waitFor(
        [this] {
            return ended();
        },
        limit);
    return m_exit;
}

std::string child_process::outputFrom(off_t first, off_t size) const
{
    std::string text(static_cast<std::size_t>(size - first), '\0');
    const ssize_t read = pread(m_output, text.data(), text.size(), first);
    text.resize(read < 0 ? 0 : static_cast<std::size_t>(read));
    return text;
}

std::string child_process::output() const
{
    static constexpr off_t mostBytes = 4000;
    const off_t size = lseek(m_output, 0, SEEK_END);
    return outputFrom(std::max<off_t>(0, size - mostBytes), size);
}

std::string child_process::wholeOutput() const
{
    return outputFrom(0, lseek(m_output, 0, SEEK_END));
}

} // namespace fuchsialoom
