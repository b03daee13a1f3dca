/// \file
/// The streams of an engine stand-in.
#include "engine_streams.h"

#include "answer_text.h"

#include <algorithm>

namespace fuchsialoom
{

using json = nlohmann::json;
using std::chrono::milliseconds;

/// How often a thread that waits looks whether its connection was silenced or closed.
static constexpr milliseconds lookInterval{20};
/// A connection that went silent is given up after this, so that its thread comes back.
static constexpr std::chrono::seconds longestHold{60};

engine_streams::engine_streams(const standin_options &options, const engine_faults &faults, engine_oracle &oracle)
    : m_tokens(static_cast<std::uint64_t>(options.number("tokens", 8)))
    , m_interval(options.number("interval_ms", 5))
    , m_faults(faults)
    , m_oracle(oracle)
    , m_slots(static_cast<std::size_t>(options.number("capacity", 64)))
{
}

/// Tokens start..n are made one interval after another.
engine_streams::clock::time_point engine_streams::running_stream::madeAt(std::uint64_t token, milliseconds interval) const
{
    const std::uint64_t before = token < firstToken ? 0 : token - firstToken + 1;
    return startedAt + interval * before;
}

/// A body may name its own length, as `max_tokens`.
std::uint64_t engine_streams::lengthOf(const std::string &body) const
{
    const json parsed = json::parse(body, nullptr, false);
    if (!parsed.is_object() || !parsed.contains("max_tokens") || !parsed["max_tokens"].is_number_unsigned()) {
        return m_tokens;
    }
    return parsed["max_tokens"].get<std::uint64_t>();
}

bool engine_streams::start(const stream_request &request)
{
    if (request.delivered != answerText(request.body, 0, request.deliveredTokens)) {
        m_oracle.wrongContinuation(request.id);
    }
    const std::lock_guard lock(m_mutex);
    if (m_streams.contains(request.id)) {
        return false;
    }
    running_stream stream;
    stream.attempt = request.attempt;
    stream.firstToken = request.deliveredTokens;
    stream.endToken = lengthOf(request.body);
    stream.body = request.body;
    const auto slot = std::min_element(m_slots.begin(), m_slots.end());
    stream.slot = static_cast<std::size_t>(slot - m_slots.begin());
    stream.startedAt = std::max(clock::now(), *slot);
    *slot = stream.madeAt(stream.endToken, m_interval);
    m_streams.emplace(request.id, std::move(stream));
    m_oracle.ran(request.id, request.body);
    return true;
}

std::optional<engine_streams::running_stream> engine_streams::find(const std::string &id) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_streams.find(id);
    if (found == m_streams.end()) {
        return std::nullopt;
    }
    return found->second;
}

bool engine_streams::knows(const std::string &id) const
{
    return find(id).has_value();
}

void engine_streams::cancel(const std::string &id)
{
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_streams.find(id);
        if (found == m_streams.end()) {
            return;
        }
        // Streams that queue behind it keep their start: the estimate was made when they came.
        m_slots[found->second.slot] = std::min(m_slots[found->second.slot], clock::now());
        m_streams.erase(found);
    }
    m_changed.notify_all();
}

static bool writeFrame(httplib::DataSink &sink, const json &frame)
{
    const std::string event = "data: " + frame.dump() + "\n\n";
    return sink.write(event.data(), event.size());
}

static json frameOf(const std::string &id, std::uint64_t attempt, std::uint64_t offset, const std::string &text)
{
    return json{{"stream", id}, {"attempt", attempt}, {"offset", offset}, {"text", text}};
}

static json lastFrameOf(const std::string &id, std::uint64_t attempt, std::uint64_t offset)
{
    return json{{"stream", id}, {"attempt", attempt}, {"offset", offset}, {"finish", "stop"}};
}

void engine_streams::hold(httplib::DataSink &sink) const
{
    const clock::time_point end = clock::now() + longestHold;
    std::unique_lock lock(m_mutex);
    while (clock::now() < end && sink.is_writable()) {
        m_changed.wait_for(lock, lookInterval);
    }
}

/// \return false where the connection went silent or closed, or the stream was cancelled.
bool engine_streams::waitUntil(httplib::DataSink &sink, const std::string &id, clock::time_point when, std::uint64_t silences) const
{
    std::unique_lock lock(m_mutex);
    for (;;) {
        if (m_faults.silences != silences) {
            lock.unlock();
            hold(sink);
            return false;
        }
        if (!m_streams.contains(id)) {
            return false;
        }
        const clock::time_point now = clock::now();
        if (now >= when) {
            return true;
        }
        m_changed.wait_until(lock, std::min(when, now + lookInterval));
    }
}

bool engine_streams::writeForeignFrames(httplib::DataSink &sink,
                                        const std::string &id,
                                        const running_stream &stream,
                                        std::uint64_t offset) const
{
    std::string otherId = "other-" + id;
    std::string otherBody = "other";
    {
        const std::lock_guard lock(m_mutex);
        for (const auto &[candidate, running] : m_streams) {
            if (candidate != id) {
                otherId = candidate;
                otherBody = running.body;
            }
        }
    }
    const bool crossed = writeFrame(sink, frameOf(otherId, stream.attempt, offset, answerToken(otherBody, offset)))
        && writeFrame(sink, lastFrameOf(otherId, stream.attempt, offset));
    const bool old = crossed && writeFrame(sink, frameOf(id, stream.attempt - 1, offset, "old "))
        && writeFrame(sink, lastFrameOf(id, stream.attempt - 1, offset));
    if (!old || offset <= stream.firstToken) {
        return old;
    }
    const std::uint64_t late = offset - 1;
    return writeFrame(sink, frameOf(id, stream.attempt, late, answerToken(stream.body, late)));
}

bool engine_streams::write(httplib::DataSink &sink, const std::string &id, std::uint64_t from, std::uint64_t silences) const
{
    const std::optional<running_stream> stream = find(id);
    if (!stream) {
        return false;
    }
    for (std::uint64_t token = std::max(from, stream->firstToken); token < stream->endToken; ++token) {
        if (!waitUntil(sink, id, stream->madeAt(token, m_interval), silences)) {
            return false;
        }
        if (m_faults.crossFrames && !writeForeignFrames(sink, id, *stream, token)) {
            return false;
        }
        if (!writeFrame(sink, frameOf(id, stream->attempt, token, answerToken(stream->body, token)))) {
            return false;
        }
    }
    return writeFrame(sink, lastFrameOf(id, stream->attempt, stream->endToken));
}

std::vector<std::string> engine_streams::running() const
{
    const std::lock_guard lock(m_mutex);
    const clock::time_point now = clock::now();
    std::vector<std::string> ids;
    for (const auto &[id, stream] : m_streams) {
        if (stream.endToken > 0 && stream.madeAt(stream.endToken - 1, m_interval) > now) {
            ids.push_back(id);
        }
    }
    return ids;
}

std::string engine_streams::exported(const std::string &id) const
{
    const std::optional<running_stream> stream = find(id);
    return stream ? stream->body : std::string();
}

} // namespace fuchsialoom
