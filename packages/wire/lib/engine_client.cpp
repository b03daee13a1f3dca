/// \file
/// A target as the request path meets it, over HTTP.
#include "fuchsialoom/wire/engine_client.h"

#include "fuchsialoom/support/http_syntax.h"
#include "http_client.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace fuchsialoom
{

using json = nlohmann::json;

static constexpr int httpOk = 200;
static constexpr int httpCreated = 201;
static constexpr int httpNotFound = 404;
static constexpr std::size_t mostAnswerBytes = 64UL * 1024 * 1024;
static constexpr std::string_view eventPrefix = "data: ";

engine_client::engine_client(endpoint target)
    : m_target(std::move(target))
{
}

/// Ids and names are checked where they come in, so that they need no escapes here.
static std::string streamPath(const request_id &request)
{
    return "/streams/" + request.text();
}

static attempt_end endOf(httplib::Error problem)
{
    switch (problem) {
    case httplib::Error::Connection:
    case httplib::Error::BindIPAddress:
    case httplib::Error::ConnectionTimeout:
        return attempt_end::NotSent;
    default:
        return attempt_end::Lost;
    }
}

/// httplib takes any three digits for a status, and any text for the name of a field.
static bool isSoundHead(const httplib::Response &answer)
{
    static constexpr int firstStatus = 200;
    static constexpr int lastStatus = 599;
    return answer.status >= firstStatus && answer.status <= lastStatus
        && std::all_of(answer.headers.begin(), answer.headers.end(), [](const auto &field) {
               return isFieldName(field.first);
           });
}

static bool saysNotRun(const std::string &answer)
{
    const json body = json::parse(answer, nullptr, false);
    const auto said = body.is_object() ? body.find("outcome") : body.end();
    return said != body.end() && said->is_string() && said->get<std::string>() == nameOf(outcome::NotRun);
}

static httplib::Headers headersOf(const target_request &request)
{
    return httplib::Headers{{"X-Request-Id", request.request.text()},
                            {"X-Attempt", std::to_string(request.attempt.value())},
                            {"X-Priority", std::to_string(request.priority)}};
}

/// httplib reports a read timeout and a broken connection alike; only the first takes the whole timeout.
class silence_watch
{
public:
    silence_watch(milliseconds progress, real_deadline deadline)
        : m_deadline(deadline)
        , m_lastBytes(std::chrono::steady_clock::now())
    {
        const real_deadline::duration left = deadline - m_lastBytes;
        m_endsAtDeadline = left <= progress;
        m_timeout = std::max<real_deadline::duration>(m_endsAtDeadline ? left : progress, shortestTimeout);
    }

    /// Sets the read timeout that this watch stands for.
    void applyTo(httplib::Client &client) const
    {
        client.set_read_timeout(std::chrono::duration_cast<microseconds>(m_timeout));
    }

    void sawBytes()
    {
        m_lastBytes = std::chrono::steady_clock::now();
    }

    bool deadlinePassed() const
    {
        return std::chrono::steady_clock::now() >= m_deadline;
    }

    /// Why a read failed.
    attempt_end endOfRead() const
    {
        if (deadlinePassed()) {
            return attempt_end::DeadlinePassed;
        }
        const bool timedOut = std::chrono::steady_clock::now() - m_lastBytes >= m_timeout - timerSlack;
        if (!timedOut) {
            return attempt_end::Lost;
        }
        return m_endsAtDeadline ? attempt_end::DeadlinePassed : attempt_end::Silent;
    }

private:
    static constexpr milliseconds shortestTimeout{1};
    static constexpr milliseconds timerSlack{1};

    real_deadline m_deadline;
    real_deadline m_lastBytes;
    bool m_endsAtDeadline = false; ///< the deadline was nearer than the progress timeout from the start
    real_deadline::duration m_timeout{}; ///< at least shortestTimeout; httplib fixes it for the connection
};

start_result engine_client::start(const target_request &request, milliseconds progress, real_deadline deadline)
{
    httplib::Client client = connectTo(m_target, deadline);
    const silence_watch watch(progress, deadline);
    watch.applyTo(client);
    const json body{{"model", request.model.text()},
                    {"version", request.version.text()},
                    {"adapter", request.adapter.text()},
                    {"body", request.body},
                    {"delivered", request.delivered},
                    {"delivered_tokens", request.deliveredTokens}};
    const httplib::Result answer = client.Post(streamPath(request.request), headersOf(request), body.dump(), "application/json");
    if (!answer) {
        return start_result{answer.error() == httplib::Error::Read ? watch.endOfRead() : endOf(answer.error()), false};
    }
    if (answer->status == httpOk || answer->status == httpCreated) {
        return start_result{attempt_end::Completed, answer->status == httpOk};
    }
    return start_result{saysNotRun(answer->body) ? attempt_end::Refused : attempt_end::Lost, false};
}

static std::optional<token_frame> decodeFrame(std::string_view line)
{
    const json from = json::parse(line, nullptr, false);
    if (!from.is_object()) {
        return std::nullopt;
    }
    try {
        token_frame frame;
        frame.request = request_id(from.at("stream").get<std::string>());
        frame.attempt = attempt_number(from.at("attempt").get<std::uint64_t>());
        frame.offset = from.at("offset").get<std::uint64_t>();
        frame.text = from.value("text", "");
        if (from.contains("finish")) {
            frame.finish = from.at("finish").get<std::string>();
        }
        return frame;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

/// Cuts server-sent events out of a byte stream and hands their frames on.
class frame_reader
{
public:
    explicit frame_reader(const frame_sink &sink)
        : m_sink(sink)
    {
    }

    /// \return false when the sink wants no more, or a line is too long to be a frame.
    bool feed(const char *data, std::size_t size)
    {
        m_pending.append(data, size);
        std::size_t lineStart = 0;
        std::size_t lineEnd = 0;
        while ((lineEnd = m_pending.find('\n', lineStart)) != std::string::npos) {
            if (!handleLine(std::string_view(m_pending).substr(lineStart, lineEnd - lineStart))) {
                return false;
            }
            lineStart = lineEnd + 1;
        }
        m_pending.erase(0, lineStart);
        return m_pending.size() <= longestLine;
    }

    bool finished() const
    {
        return m_finished;
    }

private:
    bool handleLine(std::string_view line)
    {
        if (!line.starts_with(eventPrefix)) {
            return true;
        }
        const std::optional<token_frame> frame = decodeFrame(line.substr(eventPrefix.size()));
        if (!frame) {
            return true;
        }
        const frame_reply reply = m_sink(*frame);
        m_finished = reply == frame_reply::Finished;
        return reply == frame_reply::More;
    }

    static constexpr std::size_t longestLine = 16UL * 1024 * 1024;

    const frame_sink &m_sink;
    std::string m_pending; ///< the bytes of a line that hasn't ended yet
    bool m_finished = false;
};

attempt_end
engine_client::follow(const request_id &request, std::uint64_t from, milliseconds progress, real_deadline deadline, const frame_sink &sink)
{
    httplib::Client client = connectTo(m_target, deadline);
    silence_watch watch(progress, deadline);
    watch.applyTo(client);
    frame_reader reader(sink);
    int status = 0;
    const httplib::Result answer = client.Get(
        streamPath(request) + "?from=" + std::to_string(from),
        [&](const httplib::Response &response) {
            watch.sawBytes();
            status = response.status;
            return status == httpOk;
        },
        [&](const char *data, std::size_t size) {
            watch.sawBytes();
            return reader.feed(data, size) && !watch.deadlinePassed();
        });
    if (reader.finished()) {
        return attempt_end::Completed;
    }
    if (status == httpNotFound) {
        return attempt_end::StreamForgotten;
    }
    if (watch.deadlinePassed()) {
        return attempt_end::DeadlinePassed;
    }
    if (answer || answer.error() != httplib::Error::Read) {
        return answer ? attempt_end::Lost : endOf(answer.error());
    }
    return watch.endOfRead();
}

void engine_client::cancel(const request_id &request, real_deadline deadline)
{
    connectTo(m_target, deadline).Delete(streamPath(request));
}

plain_answer engine_client::call(const service_id &service, const target_request &request, real_deadline deadline)
{
    httplib::Client client = connectTo(m_target, deadline);
    std::string body;
    httplib::Request outgoing;
    outgoing.method = "POST";
    outgoing.path = "/call/" + service.text();
    outgoing.headers = headersOf(request);
    outgoing.set_header("Content-Type", "application/json");
    outgoing.body = request.body;
    outgoing.content_receiver = [&](const char *data, std::size_t size, std::uint64_t, std::uint64_t) {
        body.append(data, size);
        return body.size() <= mostAnswerBytes && std::chrono::steady_clock::now() < deadline;
    };
    const httplib::Result answer = client.send(outgoing);
    if (!answer) {
        const bool late = std::chrono::steady_clock::now() >= deadline;
        const attempt_end end = endOf(answer.error());
        return plain_answer{late && end != attempt_end::NotSent ? attempt_end::DeadlinePassed : end, 0, {}, {}};
    }
    if (!isSoundHead(*answer)) {
        return plain_answer{attempt_end::Lost, 0, {}, {}};
    }
    const bool refused = answer->status >= 500 && saysNotRun(body);
    return plain_answer{refused ? attempt_end::Refused : attempt_end::Completed,
                        static_cast<std::uint32_t>(answer->status),
                        answer->get_header_value("Content-Type"),
                        std::move(body)};
}

} // namespace fuchsialoom
