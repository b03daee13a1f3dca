/// \file
/// The HTTP server for callers.
#include "fuchsialoom/node/caller_service.h"

#include "caller_connection.h"
#include "caller_format.h"
#include "caller_input.h"
#include "fuchsialoom/node/node_clock.h"
#include "fuchsialoom/wire/http_server.h"
#include "http_answers.h"
#include "stream_slots.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <optional>
#include <thread>
#include <utility>

namespace fuchsialoom
{

using json = nlohmann::json;

/// What is read of a body that is refused for its size, so that a caller who sends before it reads sees
/// the answer.
static constexpr std::size_t mostBytesDiscarded = 4UL * 1024 * 1024;
static constexpr std::size_t hardBodyLimit = 64UL * 1024 * 1024;
static constexpr milliseconds overloadedRetryAfter{1000};
static constexpr milliseconds readTimeout{5000};
/// A stalled caller is given up after this.
static constexpr milliseconds writeTimeout{30000};

class caller_service::server
{
public:
    server(const process_options &options, settings_service &settings, session_services services, dedup_window window);

    void listen();
    void stop();

    std::uint16_t port() const
    {
        return m_port;
    }

private:
    struct exchange;

    void route();
    void serveModel(exchange &with, const httplib::ContentReader &body, completion_form form);
    void servePlain(exchange &with, const httplib::ContentReader &body);
    void listModels(httplib::Response &to);
    void answerModel(exchange &with, caller_request request, completion_form form);
    void answerStream(exchange &with, std::shared_ptr<request_session> session, completion_form form);
    void answerWhole(exchange &with, request_session &session, completion_form form);
    void refuse(exchange &with, const failure &what);
    void answerReplayed(exchange &with, const key_outcome &recorded, bool stream, completion_form form);
    void countAnswer(const failure *problem);
    void accept(exchange &with, const incoming_request &request);
    void tellWindow(exchange &with);
    std::shared_ptr<void> takeSlot();
    input_context contextOf(const settings_tree &tree, const request_id &id) const;
    request_id nextId();

    const process_options &m_options;
    settings_service &m_settings;
    session_services m_services;
    const dedup_window m_window;
    stream_slots m_slots;
    std::unique_ptr<httplib::Server> m_http;
    std::atomic<std::uint64_t> m_lastId{0};
    const std::int64_t m_startedAt = wallNow().time_since_epoch().count(); ///< keeps ids of two incarnations apart
    std::uint16_t m_port = 0; ///< set by listen()
    std::jthread m_thread;
};

/// One request and its answer, as a worker holds them.
struct caller_service::server::exchange
{
    const httplib::Request &from;
    httplib::Response &to;
    request_id id; ///< the caller's, once it is read
    caller_message message;
    std::shared_ptr<void> slot; ///< held while the request is in progress
    /// Set while the answer has yet to name the deduplication window: the one in force before the claim.
    std::optional<milliseconds> owedWindow;
};

/// A failure that httplib itself answers, by its status.
static failure failureOfStatus(int status)
{
    static constexpr int notFound = 404;
    static constexpr int payloadTooLarge = 413;
    static constexpr int uriTooLong = 414;
    switch (status) {
    case notFound:
        return failure{error_kind::UnknownPath, "nothing is served at this path", outcome::NotRun, std::nullopt};
    case payloadTooLarge:
        return failure{error_kind::BodyTooLarge, "body is over " + std::to_string(hardBodyLimit) + " bytes", outcome::NotRun, std::nullopt};
    case uriTooLong:
        return failure{error_kind::HeadersTooLarge, "request line is too long", outcome::NotRun, std::nullopt};
    default:
        return failure{error_kind::MalformedRequest, "not a well-formed HTTP request", outcome::NotRun, std::nullopt};
    }
}

static caller_message headersOf(const httplib::Request &from)
{
    caller_message message;
    for (const auto &[name, value] : from.headers) {
        std::string lower = name;
        std::transform(lower.begin(), lower.end(), lower.begin(), [](unsigned char letter) {
            return static_cast<char>(std::tolower(letter));
        });
        message.headers.emplace(std::move(lower), value);
    }
    return message;
}

/// Reads the body into \p into, never more than \p limit bytes of it.
static void readBody(const httplib::Request &from, const httplib::ContentReader &reader, std::size_t limit, std::string &into)
{
    // httplib hands the parts of a form to a reader that takes forms only.
    if (from.is_multipart_form_data()) {
        throw error(error_kind::MalformedRequest, "body is a form, not JSON");
    }
    std::size_t size = 0;
    const bool whole = reader([&](const char *data, std::size_t count) {
        size += count;
        if (size <= limit) {
            into.append(data, count);
        }
        return size <= std::max(limit, mostBytesDiscarded);
    });
    if (size > limit) {
        throw error(error_kind::BodyTooLarge, "body is over " + std::to_string(limit) + " bytes");
    }
    if (!whole) {
        throw error(error_kind::MalformedRequest, "body ended early or is no valid transfer");
    }
}

caller_service::server::server(const process_options &options, settings_service &settings, session_services services, dedup_window window)
    : m_options(options)
    , m_settings(settings)
    , m_services(services)
    , m_window(std::move(window))
    , m_slots(options.streams)
    , m_http(makeServer(options.tls))
{
    const std::size_t threads = options.streams + options.refusalReserve;
    m_http->new_task_queue = [threads] {
        return new httplib::ThreadPool(threads);
    };
    m_http->set_payload_max_length(hardBodyLimit);
    m_http->set_tcp_nodelay(true);
    m_http->set_read_timeout(readTimeout);
    m_http->set_write_timeout(writeTimeout);
    // A connection holds its thread: one kept open without a request would take it from another caller.
    m_http->set_keep_alive_max_count(1);
    listenAlone(*m_http);
    route();
}

void caller_service::server::route()
{
    const auto model = [this](completion_form form) {
        return [this, form](const httplib::Request &from, httplib::Response &to, const httplib::ContentReader &body) {
            exchange with{from, to, nextId(), headersOf(from), nullptr, std::nullopt};
            serveModel(with, body, form);
        };
    };
    m_http->Post("/v1/chat/completions", model(completion_form::Chat));
    m_http->Post("/v1/completions", model(completion_form::Text));
    m_http->Get("/v1/models", [this](const httplib::Request &, httplib::Response &to) {
        listModels(to);
    });
    m_http->Post(R"(/services/([A-Za-z0-9._-]+))",
                 [this](const httplib::Request &from, httplib::Response &to, const httplib::ContentReader &body) {
                     exchange with{from, to, nextId(), headersOf(from), nullptr, std::nullopt};
                     servePlain(with, body);
                 });
    const httplib::Server::HandlerWithResponse answerError = [this](const httplib::Request &, httplib::Response &to) {
        if (!to.body.empty()) {
            return httplib::Server::HandlerResponse::Unhandled;
        }
        const failure what = failureOfStatus(to.status);
        countAnswer(&what);
        answerFailure(to, what, nextId());
        return httplib::Server::HandlerResponse::Handled;
    };
    m_http->set_error_handler(answerError);
    m_http->set_exception_handler([this](const httplib::Request &, httplib::Response &to, const std::exception_ptr &) {
        const failure what{error_kind::Internal, "the request could not be handled", outcome::Unknown, std::nullopt};
        countAnswer(&what);
        answerFailure(to, what, nextId());
    });
}

void caller_service::server::listen()
{
    const std::optional<std::uint16_t> port = bindServer(*m_http, m_options.listen.host, m_options.listen.port);
    if (!port) {
        throw error(error_kind::InvalidOption, "--listen '" + toText(m_options.listen) + "' can't be bound");
    }
    m_port = *port;
    m_thread = serveBound(*m_http);
}

void caller_service::server::stop()
{
    m_http->stop();
    m_thread.join();
}

request_id caller_service::server::nextId()
{
    return request_id(m_options.vm.text() + '-' + std::to_string(m_startedAt) + '-' + std::to_string(++m_lastId));
}

input_context caller_service::server::contextOf(const settings_tree &tree, const request_id &id) const
{
    return input_context{tree, arrival_time{monotonicNow(), wallNow()}, id};
}

/// \throws error(Overloaded) when every slot is taken.
std::shared_ptr<void> caller_service::server::takeSlot()
{
    std::shared_ptr<void> slot = m_slots.take();
    if (!slot) {
        throw error(failure{error_kind::Overloaded,
                            "all " + std::to_string(m_options.streams) + " streams of this VM are in use",
                            outcome::NotRun,
                            overloadedRetryAfter});
    }
    return slot;
}

void caller_service::server::countAnswer(const failure *problem)
{
    const label_value known(metric_label::Outcome, problem == nullptr ? outcome::Ran : problem->known);
    const label_value kind = problem == nullptr ? label_value(metric_label::Error) : label_value(metric_label::Error, problem->kind);
    m_services.metrics.add(metric::Requests, {known, kind});
}

/// The request was read: from now on its answer goes by its id and names what is promised for its key.
/// \throws error(Overloaded) when every slot is taken.
void caller_service::server::accept(exchange &with, const incoming_request &request)
{
    with.id = request.id;
    if (request.isClaimed() && m_window) {
        with.owedWindow = m_window();
    }
    with.slot = takeSlot();
}

/// Called when the request's claim is decided: the key's owner has then said what it can promise. A claim
/// keeps its key for the window in force when it was placed, so one that grew since is not promised.
void caller_service::server::tellWindow(exchange &with)
{
    if (const std::optional<milliseconds> before = std::exchange(with.owedWindow, std::nullopt)) {
        with.to.set_header("X-Dedup-Window-Ms", std::to_string(std::min(*before, m_window()).count()));
    }
}

void caller_service::server::refuse(exchange &with, const failure &what)
{
    countAnswer(&what);
    tellWindow(with);
    answerFailure(with.to, what, with.id);
}

void caller_service::server::answerStream(exchange &with, std::shared_ptr<request_session> session, completion_form form)
{
    const auto provider =
        [this, session = std::move(session), id = with.id, form, slot = with.slot, connection = caller_connection(with.from)](
            std::size_t, httplib::DataSink &sink) mutable {
            const auto send = [&](const std::string &data) {
                const std::string event = eventOf(data);
                return sink.write(event.data(), event.size());
            };
            const caller_sink caller{[&](const std::string &text) {
                                         return send(chunkOf(id, form, text));
                                     },
                                     [&] {
                                         return connection.connected();
                                     }};
            const session_result result = session->deliver(caller);
            const failure *problem = std::get_if<failure>(&result);
            countAnswer(problem);
            if (problem != nullptr) {
                // A typed end: the caller can tell it from a whole answer.
                send(errorBody(*problem, id));
            } else {
                send(lastChunkOf(id, form));
                send("[DONE]");
            }
            sink.done();
            return true;
        };
    with.to.set_chunked_content_provider("text/event-stream", provider);
}

void caller_service::server::answerWhole(exchange &with, request_session &session, completion_form form)
{
    caller_connection connection(with.from);
    const caller_sink caller{[](const std::string &) {
                                 return true;
                             },
                             [&] {
                                 return connection.connected();
                             }};
    const session_result result = session.deliver(caller);
    if (const failure *problem = std::get_if<failure>(&result)) {
        refuse(with, *problem);
        return;
    }
    countAnswer(nullptr);
    const whole_answer answer = wholeAnswerOf(with.id, form, session.text());
    with.to.set_content(answer.body, answer.contentType.c_str());
}

/// A recorded answer was made for a caller who wanted it whole; one who streams gets it as one chunk.
void caller_service::server::answerReplayed(exchange &with, const key_outcome &recorded, bool stream, completion_form form)
{
    countAnswer(nullptr);
    answerRecorded(with.to, recorded);
    const std::optional<std::string> text = stream && recorded.answer ? textOf(*recorded.answer) : std::nullopt;
    if (!text) {
        return;
    }
    const std::string events =
        eventOf(chunkOf(recorded.request, form, *text)) + eventOf(lastChunkOf(recorded.request, form)) + eventOf("[DONE]");
    with.to.set_content(events, "text/event-stream");
}

void caller_service::server::answerModel(exchange &with, caller_request request, completion_form form)
{
    request.input.wholeAnswer = [id = with.id, form](const std::string &text) {
        return wholeAnswerOf(id, form, text);
    };
    caller_connection connection(with.from);
    auto session = std::make_shared<request_session>(std::move(request.input), m_services);
    const session_result begun = session->begin([&] {
        return connection.connected();
    });
    tellWindow(with);
    if (const failure *problem = std::get_if<failure>(&begun)) {
        refuse(with, *problem);
    } else if (const key_outcome *recorded = std::get_if<key_outcome>(&begun)) {
        answerReplayed(with, *recorded, request.stream, form);
    } else if (request.stream) {
        answerStream(with, std::move(session), form);
    } else {
        answerWhole(with, *session, form);
    }
}

void caller_service::server::serveModel(exchange &with, const httplib::ContentReader &body, completion_form form)
{
    try {
        const std::shared_ptr<const settings_tree> tree = m_settings.servedTree();
        readBody(with.from, body, bodyLimitOf(with.message, std::nullopt, *tree), with.message.body);
        caller_request request = readModelRequest(with.message, form, contextOf(*tree, with.id));
        accept(with, request.input.request);
        answerModel(with, std::move(request), form);
    } catch (const error &problem) {
        refuse(with, problem.info());
    }
}

void caller_service::server::servePlain(exchange &with, const httplib::ContentReader &body)
{
    try {
        const std::shared_ptr<const settings_tree> tree = m_settings.servedTree();
        const std::string service = with.from.matches[1].str();
        readBody(with.from, body, bodyLimitOf(with.message, service, *tree), with.message.body);
        caller_request request = readPlainRequest(with.message, service, contextOf(*tree, with.id));
        accept(with, request.input.request);
        caller_connection connection(with.from);
        request_session session(std::move(request.input), m_services);
        const session_result result = session.begin([&] {
            return connection.connected();
        });
        tellWindow(with);
        if (const failure *problem = std::get_if<failure>(&result)) {
            refuse(with, *problem);
        } else if (const key_outcome *recorded = std::get_if<key_outcome>(&result)) {
            answerReplayed(with, *recorded, false, completion_form::Text);
        } else if (const whole_answer *answer = std::get_if<whole_answer>(&result)) {
            countAnswer(nullptr);
            with.to.status = static_cast<int>(answer->status);
            with.to.set_content(answer->body, answer->contentType.c_str());
        }
    } catch (const error &problem) {
        refuse(with, problem.info());
    }
}

void caller_service::server::listModels(httplib::Response &to)
{
    json models = json::array();
    for (const setting_entry &entry : m_settings.tree()->entries()) {
        const std::optional<std::string> model = entry.path.nameAt(path_level::Model);
        const json item{{"id", model.value_or("")}, {"object", "model"}, {"owned_by", entry.path.nameAt(path_level::Brand).value_or("")}};
        if (model && std::find(models.begin(), models.end(), item) == models.end()) {
            models.push_back(item);
        }
    }
    to.set_content(json{{"object", "list"}, {"data", models}}.dump(), "application/json");
}

caller_service::caller_service(const process_options &options, settings_service &settings, session_services services, dedup_window window)
    : m_server(std::make_unique<server>(options, settings, services, std::move(window)))
{
}

caller_service::~caller_service() = default;

void caller_service::start()
{
    m_server->listen();
}

void caller_service::stop()
{
    m_server->stop();
}

std::uint16_t caller_service::port() const
{
    return m_server->port();
}

} // namespace fuchsialoom
