/// \file
/// Reading of answers through the parser library.
#include "fuchsialoom/http/answer_reader.h"

#include <http_parser.h>

#include <cassert>
#include <climits>

namespace fuchsialoom
{

/// Heads beyond this are no answers, with the interim answers and empty lines before them; guards the memory against a server that
/// never ends its head.
static constexpr std::size_t mostHeadBytes = 65536;

struct answer_reader::state
{
    explicit state(bool toHeadRequest)
        : toHead(toHeadRequest)
    {
        http_parser_init(&parser, HTTP_RESPONSE);
        parser.data = this;
    }

    http_parser parser{};
    bool toHead;
    bool started = false;
    bool headWhole = false;
    bool complete = false;
    bool reusable = false;
    bool valueBegun = false;
    std::size_t headBytes = 0; ///< of the fields
    std::size_t bytesBeforeBody = 0;
    std::string fieldName;
    std::string fieldValue;
    answer_head head;
    answer_progress progress; ///< of the call under way

    bool isInterim() const
    {
        return parser.status_code >= 100 && parser.status_code < 200;
    }

    /// Valid when the head is whole, before the body is parsed.
    answer_framing framing() const
    {
        if (toHead || parser.status_code == 204 || parser.status_code == 304) {
            return answer_framing::Bodiless;
        }
        if (parser.flags & F_CHUNKED) {
            return answer_framing::Chunks;
        }
        return parser.content_length == ULLONG_MAX ? answer_framing::Connection : answer_framing::Length;
    }

    void endField()
    {
        if (!fieldName.empty()) {
            head.headers.add(std::move(fieldName), std::move(fieldValue));
        }
        fieldName.clear();
        fieldValue.clear();
        valueBegun = false;
    }

    int countHead(std::size_t length)
    {
        headBytes += length;
        return headBytes > mostHeadBytes ? -1 : 0;
    }
};

answer_reader::answer_reader()
    : m_state(std::make_unique<state>(false))
{
}

answer_reader::~answer_reader() = default;

void answer_reader::reset(bool toHead)
{
    m_state = std::make_unique<state>(toHead);
}

const answer_head &answer_reader::head() const
{
    return m_state->head;
}

bool answer_reader::allowsReuse() const
{
    return m_state->complete && m_state->reusable;
}

bool answer_reader::hasStarted() const
{
    return m_state->started;
}

answer_progress answer_reader::consume(std::string_view bytes)
{
    assert(!m_state->complete && "reset() comes before the next message");
    if (bytes.empty()) {
        return {};
    }
    m_state->started = true;
    return run(bytes.data(), bytes.size());
}

answer_progress answer_reader::finish()
{
    return run(nullptr, 0);
}

answer_progress answer_reader::run(const char *data, std::size_t size)
{
    static const http_parser_settings settings = [] {
        http_parser_settings made;
        http_parser_settings_init(&made);
        made.on_header_field = [](http_parser *parser, const char *at, std::size_t length) {
            state &self = *static_cast<state *>(parser->data);
            if (self.valueBegun) {
                self.endField();
            }
            self.fieldName.append(at, length);
            return self.countHead(length);
        };
        made.on_header_value = [](http_parser *parser, const char *at, std::size_t length) {
            state &self = *static_cast<state *>(parser->data);
            self.valueBegun = true;
            self.fieldValue.append(at, length);
            return self.countHead(length);
        };
        made.on_headers_complete = [](http_parser *parser) {
            state &self = *static_cast<state *>(parser->data);
            self.endField();
            parser->upgrade = 0;
            if (self.isInterim()) {
                self.head = {};
                return 0;
            }
            self.head.status = parser->status_code;
            self.head.framing = self.framing();
            self.headWhole = true;
            self.progress.headCame = true;
            return self.toHead ? 1 : 0;
        };
        made.on_body = [](http_parser *parser, const char *at, std::size_t length) {
            static_cast<state *>(parser->data)->progress.body.append(at, length);
            return 0;
        };
        made.on_message_complete = [](http_parser *parser) {
            state &self = *static_cast<state *>(parser->data);
            if (self.isInterim()) {
                return 0;
            }
            self.complete = true;
            self.reusable = http_should_keep_alive(parser) != 0;
            self.progress.complete = true;
            http_parser_pause(parser, 1);
            return 0;
        };
        return made;
    }();

    state &self = *m_state;
    self.progress = {};
    self.progress.taken = http_parser_execute(&self.parser, &settings, data, size);
    self.bytesBeforeBody += self.headWhole ? 0 : self.progress.taken;
    const bool failed = HTTP_PARSER_ERRNO(&self.parser) != HPE_OK || self.bytesBeforeBody > mostHeadBytes;
    self.progress.broken = !self.complete && (failed || size == 0);
    return std::move(self.progress);
}

} // namespace fuchsialoom
