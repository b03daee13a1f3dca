/// \file
/// Strict reading of requests: an own check of the head's lines, then the parser library.
#include "fuchsialoom/http/request_reader.h"

#include "body_framing.h"
#include "fuchsialoom/http/byte_account.h"
#include "fuchsialoom/support/http_syntax.h"

#include <http_parser.h>

#include <algorithm>

namespace fuchsialoom
{

static constexpr std::string_view headEnd = "\r\n\r\n";

std::string_view received_request::path() const
{
    return std::string_view(target).substr(0, target.find('?'));
}

std::size_t received_request::keptBytes() const
{
    return headers.keptBytes() + fuchsialoom::keptBytes(target) + fuchsialoom::keptBytes(body);
}

int statusOf(reading_problem problem)
{
    switch (problem) {
    case reading_problem::HeadTooLarge:
        return 431;
    case reading_problem::BodyTooLarge:
        return 413;
    case reading_problem::TimedOut:
        return 408;
    case reading_problem::NoMemory:
        return 503;
    case reading_problem::None:
    case reading_problem::Malformed:
    case reading_problem::AmbiguousFraming:
        break;
    }
    return 400;
}

struct request_reader::state
{
    explicit state(request_limits allowed)
        : limits(allowed)
    {
        http_parser_init(&parser, HTTP_REQUEST);
        parser.data = this;
    }

    http_parser parser{};
    request_limits limits;
    std::string head; ///< bytes of the head, until it is whole
    bool headWhole = false;
    bool headEnded = false; ///< further fields are those of a trailer, which are dropped: RFC 9110 section 6.5.1
    bool complete = false;
    bool valueBegun = false; ///< the field being read has a part of its value
    std::string fieldName;
    std::string fieldValue;
    std::size_t fieldBytes = 0; ///< memory of the request's fields, once the head is whole
    received_request request;
    reading_problem problem = reading_problem::None;

    void endField()
    {
        if (!fieldName.empty()) {
            request.headers.add(std::move(fieldName), std::move(fieldValue));
        }
        fieldName.clear();
        fieldValue.clear();
        valueBegun = false;
    }
};

namespace
{

/// No bare line ends, no folded lines, no space before a colon, no control characters.
bool isCleanLine(std::string_view line, bool first)
{
    if (first) {
        return !line.empty() && line.front() != ' ' && std::none_of(line.begin(), line.end(), isControl);
    }
    return isFieldLine(line);
}

bool isCleanHead(std::string_view head)
{
    bool first = true;
    while (!head.empty()) {
        const std::size_t end = head.find("\r\n");
        if (end == 0) {
            return !first;
        }
        if (!isCleanLine(head.substr(0, end), first)) {
            return false;
        }
        first = false;
        head.remove_prefix(end + 2);
    }
    return false;
}

} // namespace

/// The callbacks of the parser library, which know the reader through its `data` pointer.
struct request_callbacks
{
    template<typename State>
    static State &of(http_parser *parser)
    {
        return *static_cast<State *>(parser->data);
    }
};

request_reader::request_reader(request_limits limits)
    : m_state(std::make_unique<state>(limits))
{
}

request_reader::~request_reader() = default;

request_limits request_reader::limits() const
{
    return m_state->limits;
}

void request_reader::setLimits(request_limits limits)
{
    m_state->limits = limits;
}

bool request_reader::isComplete() const
{
    return m_state->complete;
}

reading_problem request_reader::problem() const
{
    return m_state->problem;
}

bool request_reader::hasStarted() const
{
    return m_state->headWhole || !m_state->head.empty();
}

bool request_reader::hasHead() const
{
    return m_state->headWhole;
}

bool request_reader::expectsContinue() const
{
    return m_state->headWhole && !m_state->complete && m_state->request.headers.hasToken("Expect", "100-continue");
}

std::size_t request_reader::heldBytes() const
{
    return keptBytes(m_state->head) + m_state->fieldBytes + keptBytes(m_state->request.body);
}

received_request request_reader::take()
{
    received_request taken = std::move(m_state->request);
    discard();
    return taken;
}

void request_reader::discard()
{
    const request_limits limits = m_state->limits;
    m_state = std::make_unique<state>(limits);
}

std::size_t request_reader::consume(std::string_view bytes)
{
    state &self = *m_state;
    static const http_parser_settings settings = [] {
        http_parser_settings made;
        http_parser_settings_init(&made);
        made.on_url = [](http_parser *parser, const char *at, std::size_t length) {
            request_callbacks::of<state>(parser).request.target.append(at, length);
            return 0;
        };
        made.on_header_field = [](http_parser *parser, const char *at, std::size_t length) {
            state &reader = request_callbacks::of<state>(parser);
            if (reader.headEnded) {
                return 0;
            }
            if (reader.valueBegun) {
                reader.endField();
            }
            reader.fieldName.append(at, length);
            return 0;
        };
        made.on_header_value = [](http_parser *parser, const char *at, std::size_t length) {
            state &reader = request_callbacks::of<state>(parser);
            if (reader.headEnded) {
                return 0;
            }
            reader.valueBegun = true;
            reader.fieldValue.append(at, length);
            return 0;
        };
        made.on_headers_complete = [](http_parser *parser) {
            state &reader = request_callbacks::of<state>(parser);
            reader.endField();
            reader.headEnded = true;
            reader.request.method = http_method_str(static_cast<http_method>(parser->method));
            reader.request.keepAlive = http_should_keep_alive(parser) != 0;
            // The connection stays HTTP/1.1, whatever the caller offers.
            parser->upgrade = 0;
            const header_list &headers = reader.request.headers;
            const bool isHttp11 = parser->http_major == 1 && parser->http_minor == 1;
            reader.request.takesChunks = isHttp11;
            if (parser->http_major != 1 || parser->method == HTTP_CONNECT || headers.count("Host") != 1
                || !reader.request.target.starts_with('/')) {
                reader.problem = reading_problem::Malformed;
                return -1;
            }
            if (!isUnambiguous(headers, isHttp11)) {
                reader.problem = reading_problem::AmbiguousFraming;
                return -1;
            }
            if (parser->content_length != ULLONG_MAX && parser->content_length > reader.limits.bodyBytes) {
                reader.problem = reading_problem::BodyTooLarge;
                return -1;
            }
            return 0;
        };
        made.on_body = [](http_parser *parser, const char *at, std::size_t length) {
            state &reader = request_callbacks::of<state>(parser);
            if (reader.request.body.size() + length > reader.limits.bodyBytes) {
                reader.problem = reading_problem::BodyTooLarge;
                return -1;
            }
            reader.request.body.append(at, length);
            return 0;
        };
        made.on_message_complete = [](http_parser *parser) {
            request_callbacks::of<state>(parser).complete = true;
            http_parser_pause(parser, 1);
            return 0;
        };
        return made;
    }();

    const auto parse = [&self](std::string_view text) {
        const std::size_t parsed = http_parser_execute(&self.parser, &settings, text.data(), text.size());
        const http_errno result = HTTP_PARSER_ERRNO(&self.parser);
        if (result != HPE_OK && !self.complete && self.problem == reading_problem::None) {
            self.problem = result == HPE_UNEXPECTED_CONTENT_LENGTH ? reading_problem::AmbiguousFraming : reading_problem::Malformed;
        }
        return parsed;
    };

    if (bytes.empty() || self.complete || self.problem != reading_problem::None) {
        return 0;
    }
    if (self.headWhole) {
        return parse(bytes);
    }
    const std::size_t before = self.head.size();
    self.head.append(bytes);
    // Empty lines before a request are allowed, RFC 9112 section 2.2.
    std::size_t skipped = 0;
    while (self.head.compare(0, 2, "\r\n") == 0) {
        self.head.erase(0, 2);
        skipped += 2;
    }
    const std::size_t searchFrom = before > headEnd.size() ? before - headEnd.size() : 0;
    const std::size_t end = self.head.find(headEnd, searchFrom);
    if (end == std::string::npos) {
        if (self.head.size() > self.limits.headBytes) {
            self.problem = reading_problem::HeadTooLarge;
        }
        return bytes.size();
    }
    const std::size_t headSize = end + headEnd.size();
    if (headSize > self.limits.headBytes) {
        self.problem = reading_problem::HeadTooLarge;
        return bytes.size();
    }
    const std::size_t taken = headSize + skipped - before;
    self.head.resize(headSize);
    self.headWhole = true;
    if (!isCleanHead(self.head)) {
        self.problem = reading_problem::Malformed;
        return taken;
    }
    parse(self.head);
    freeMemory(self.head);
    self.fieldBytes = self.request.headers.keptBytes();
    if (self.complete || self.problem != reading_problem::None) {
        return taken;
    }
    const std::string_view body = bytes.substr(taken);
    // To the parser library, no bytes mean that the sender has closed the connection.
    return body.empty() ? taken : taken + parse(body);
}

} // namespace fuchsialoom
