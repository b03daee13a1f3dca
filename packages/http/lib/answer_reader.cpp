/// \file
/// Strict reading of answers: an own check of the head's lines and of the framing, then the parser library.
#include "fuchsialoom/http/answer_reader.h"

#include "body_framing.h"
#include "fuchsialoom/http/byte_account.h"
#include "fuchsialoom/support/http_syntax.h"

#include <http_parser.h>

#include <cassert>
#include <climits>
#include <utility>

namespace fuchsialoom
{

/// Heads beyond this are no answers, with the interim answers and empty lines before them; guards the memory against a server that
/// never ends its head. The same holds for a trailer.
static constexpr std::size_t mostHeadBytes = 65536;
static constexpr std::string_view lineEnd = "\r\n";

struct answer_reader::state
{
    explicit state(bool toHeadRequest)
        : toHead(toHeadRequest)
    {
        startHead();
    }

    http_parser parser{};
    bool toHead;
    bool started = false;
    bool headWhole = false;
    bool complete = false;
    bool reusable = false;
    bool valueBegun = false;
    answer_problem problem = answer_problem::None;
    std::size_t bytesBeforeBody = 0;
    std::size_t trailerBytes = 0; ///< of its fields, which are dropped: RFC 9110 section 6.5.1
    std::string headText; ///< the head, or the interim one before it, as far as it has come
    std::size_t lineAt = 0; ///< where its last line begins
    std::string fieldName;
    std::string fieldValue;
    chunk_syntax chunks;
    answer_head head;
    answer_progress progress; ///< of the call under way

    void startHead()
    {
        http_parser_init(&parser, HTTP_RESPONSE);
        parser.data = this;
        freeMemory(headText);
        lineAt = 0;
    }

    void fail(answer_problem why)
    {
        if (problem == answer_problem::None) {
            problem = why;
        }
    }

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

    /// \return what the parser library wants to hear: other than 0 to stop.
    int countTrailer(std::size_t length)
    {
        trailerBytes += length;
        return trailerBytes > mostHeadBytes ? -1 : 0;
    }

    bool parserFailed() const
    {
        return !complete && HTTP_PARSER_ERRNO(&parser) != HPE_OK;
    }

    std::size_t readHead(std::string_view bytes);
    void endLine();
    void endHead();
    std::size_t readBody(std::string_view bytes);
    std::size_t parse(const char *data, std::size_t size);
    answer_progress takeProgress();
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

answer_problem answer_reader::problem() const
{
    return m_state->problem;
}

answer_progress answer_reader::consume(std::string_view bytes)
{
    state &self = *m_state;
    assert(!self.complete && "reset() comes before the next message");
    self.started = self.started || !bytes.empty();
    const std::size_t offered = bytes.size();
    while (!bytes.empty() && !self.complete && self.problem == answer_problem::None) {
        bytes.remove_prefix(self.headWhole ? self.readBody(bytes) : self.readHead(bytes));
    }
    self.progress.taken = offered - bytes.size();
    return self.takeProgress();
}

answer_progress answer_reader::finish()
{
    state &self = *m_state;
    if (self.headWhole) {
        self.parse(nullptr, 0); // to the parser library, no bytes mean that the sender has closed the connection
    }
    self.progress.broken = !self.complete;
    return self.takeProgress();
}

answer_progress answer_reader::state::takeProgress()
{
    progress.broken = progress.broken || problem != answer_problem::None;
    return std::exchange(progress, {});
}

/// Takes bytes up to the end of a line. \return how many.
std::size_t answer_reader::state::readHead(std::string_view bytes)
{
    const std::size_t lineFeed = bytes.find('\n');
    const std::size_t taken = lineFeed == std::string_view::npos ? bytes.size() : lineFeed + 1;
    headText.append(bytes.substr(0, taken));
    bytesBeforeBody += taken;
    if (bytesBeforeBody > mostHeadBytes) {
        fail(answer_problem::HeadTooLarge);
    } else if (lineFeed != std::string_view::npos) {
        endLine();
    } else if (lineAt == 0 && headText != "\r" && !mayBeStatusLine(headText)) {
        fail(answer_problem::StatusLine);
    }
    return taken;
}

void answer_reader::state::endLine()
{
    const bool isFirst = lineAt == 0;
    std::string_view line = std::string_view(headText).substr(lineAt);
    if (!line.ends_with(lineEnd)) {
        fail(isFirst ? answer_problem::StatusLine : answer_problem::Field);
        return;
    }
    line.remove_suffix(lineEnd.size());
    lineAt = headText.size();
    if (line.empty() && isFirst) {
        startHead(); // empty lines before an answer are passed over
    } else if (line.empty()) {
        endHead();
    } else if (isFirst && !isStatusLine(line)) {
        fail(answer_problem::StatusLine);
    } else if (!isFirst && !isFieldLine(line)) {
        fail(answer_problem::Field);
    }
}

void answer_reader::state::endHead()
{
    parse(headText.data(), headText.size());
    if (parserFailed()) {
        fail(answer_problem::Framing);
    } else if (!headWhole) {
        startHead(); // it was an interim answer
    }
    freeMemory(headText);
}

std::size_t answer_reader::state::readBody(std::string_view bytes)
{
    if (head.framing == answer_framing::Chunks && !chunks.accepts(bytes)) {
        fail(answer_problem::Chunks);
        return bytes.size();
    }
    const std::size_t taken = parse(bytes.data(), bytes.size());
    if (parserFailed()) {
        fail(answer_problem::Body);
    }
    return taken;
}

std::size_t answer_reader::state::parse(const char *data, std::size_t size)
{
    static const http_parser_settings settings = [] {
        http_parser_settings made;
        http_parser_settings_init(&made);
        made.on_header_field = [](http_parser *parser, const char *at, std::size_t length) {
            state &self = *static_cast<state *>(parser->data);
            if (self.headWhole) {
                return self.countTrailer(length);
            }
            if (self.valueBegun) {
                self.endField();
            }
            self.fieldName.append(at, length);
            return 0;
        };
        made.on_header_value = [](http_parser *parser, const char *at, std::size_t length) {
            state &self = *static_cast<state *>(parser->data);
            if (self.headWhole) {
                return self.countTrailer(length);
            }
            self.valueBegun = true;
            self.fieldValue.append(at, length);
            return 0;
        };
        made.on_headers_complete = [](http_parser *parser) {
            static constexpr int skipBody = 1;
            state &self = *static_cast<state *>(parser->data);
            self.endField();
            parser->upgrade = 0;
            if (self.isInterim()) {
                self.head = {};
                return skipBody;
            }
            if (!isUnambiguous(self.head.headers, parser->http_minor > 0)) {
                self.fail(answer_problem::Framing);
                return -1;
            }
            self.head.status = parser->status_code;
            self.head.framing = self.framing();
            self.headWhole = true;
            self.progress.headCame = true;
            return self.head.framing == answer_framing::Bodiless ? skipBody : 0;
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

    return http_parser_execute(&parser, &settings, data, size);
}

} // namespace fuchsialoom
