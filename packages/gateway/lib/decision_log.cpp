/// \file
/// The bounded log of an event loop.
#include "fuchsialoom/gateway/decision_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>

namespace fuchsialoom
{

/// Lines about requests in a second: ten times what a VM's share of the design load writes (58 requests
/// a second, two lines each), so only floods are cut.
static constexpr std::uint32_t maxRequestLinesPerSecond = 1200;
/// Bytes that wait for a slow reader.
static constexpr std::size_t maxBufferedBytes = 262144;

/// Values stay one word: what would end it is replaced.
static void appendWord(std::string &text, std::string_view value)
{
    for (const char letter : value) {
        text.push_back(letter <= ' ' || letter == 0x7f || letter == '"' ? '_' : letter);
    }
}

log_line::log_line(std::string_view decision)
    : m_text("event=")
{
    m_text.append(decision);
}

log_line::log_line(std::string_view decision, const request_id &request)
    : log_line(decision)
{
    with("request", request.text());
}

log_line &log_line::with(std::string_view key, std::string_view value) &
{
    m_text.append(" ").append(key).append("=");
    appendWord(m_text, value);
    return *this;
}

log_line &&log_line::with(std::string_view key, std::string_view value) &&
{
    with(key, value);
    return std::move(*this);
}

decision_log::decision_log(int output, std::string vm)
    : m_output(output)
    , m_vm(std::move(vm))
{
    const int flags = ::fcntl(m_output, F_GETFL);
    if (flags >= 0) {
        ::fcntl(m_output, F_SETFL, flags | O_NONBLOCK);
    }
}

void decision_log::append(instant now, const log_line &line)
{
    if (m_buffer.size() + line.text().size() > maxBufferedBytes) {
        m_dropped += 1;
        m_droppedTotal += 1;
        return;
    }
    const auto wall = std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    const auto loop = std::chrono::duration_cast<milliseconds>(now.time_since_epoch()).count();
    m_buffer.append("time=").append(std::to_string(wall)).append(" mono=").append(std::to_string(loop));
    m_buffer.append(" vm=").append(m_vm).append(" ").append(line.text()).append("\n");
}

void decision_log::write(instant now, const log_line &line)
{
    if (m_dropped > 0 && m_buffer.size() < maxBufferedBytes / 2) {
        const std::uint64_t dropped = m_dropped;
        m_dropped = 0;
        append(now, log_line("log-dropped").with("lines", dropped));
    }
    append(now, line);
}

void decision_log::writeRequest(instant now, const log_line &line)
{
    if (now - m_secondStart >= seconds(1)) {
        m_secondStart = now;
        m_linesThisSecond = 0;
    }
    m_linesThisSecond += 1;
    if (m_linesThisSecond > maxRequestLinesPerSecond) {
        m_dropped += 1;
        m_droppedTotal += 1;
        return;
    }
    write(now, line);
}

void decision_log::flush()
{
    while (!m_buffer.empty()) {
        const ssize_t written = ::write(m_output, m_buffer.data(), m_buffer.size());
        if (written <= 0) {
            return;
        }
        m_buffer.erase(0, static_cast<std::size_t>(written));
    }
}

} // namespace fuchsialoom
