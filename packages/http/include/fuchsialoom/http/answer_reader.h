/// \file
/// Reads answers from the bytes of a connection to a server, one message after the other, and tells
/// what came as soon as it came.
#pragma once

#include "fuchsialoom/http/header_list.h"
#include "fuchsialoom/support/name_table.h"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace fuchsialoom
{

/// What marks the end of an answer's body.
enum class answer_framing {
    Bodiless, ///< it has none
    Length,
    Chunks,
    Connection, ///< neither: it ends with its connection
};

template<>
struct name_table<answer_framing>
{
    static constexpr auto entries = std::to_array<enum_name<answer_framing>>({
        {answer_framing::Bodiless, "bodiless"},
        {answer_framing::Length, "length"},
        {answer_framing::Chunks, "chunks"},
        {answer_framing::Connection, "connection"},
    });
};

/// Why bytes are no answer.
enum class answer_problem {
    None,
    StatusLine, ///< not of HTTP/1.x, or with a status outside 100 to 599
    Field, ///< a line of the head isn't a field
    HeadTooLarge,
    Framing, ///< a body whose end readers would find at different places
    Chunks, ///< a chunk doesn't end where it says
    Body, ///< another problem behind the head
};

template<>
struct name_table<answer_problem>
{
    static constexpr auto entries = std::to_array<enum_name<answer_problem>>({
        {answer_problem::None, "none"},
        {answer_problem::StatusLine, "status-line"},
        {answer_problem::Field, "field"},
        {answer_problem::HeadTooLarge, "head-too-large"},
        {answer_problem::Framing, "framing"},
        {answer_problem::Chunks, "chunks"},
        {answer_problem::Body, "body"},
    });
};

struct answer_head
{
    int status = 0;
    answer_framing framing = answer_framing::Bodiless;
    header_list headers; ///< as sent, those of the connection included
};

/// What consume() found in the bytes it took.
struct answer_progress
{
    bool headCame = false; ///< head() is whole since this call
    std::string body; ///< bytes of the body, without their framing
    bool complete = false; ///< the message ended; following bytes belong to another one
    bool broken = false; ///< the bytes are no answer, or not a whole one
    std::size_t taken = 0; ///< how many bytes belong to the message
};

class answer_reader
{
public:
    answer_reader();
    ~answer_reader();
    answer_reader(const answer_reader &) = delete;
    answer_reader &operator=(const answer_reader &) = delete;

    /// Starts on a new message. \p toHead: it answers a HEAD request, so it has no body.
    void reset(bool toHead);

    answer_progress consume(std::string_view bytes);

    /// The sender closed the connection: ends a message that has no length.
    answer_progress finish();

    const answer_head &head() const;

    /// The framing lets another request follow on the same connection.
    bool allowsReuse() const;

    /// Some byte of the message has come.
    bool hasStarted() const;

    /// Why consume() found the message broken; None for one that only ended early.
    answer_problem problem() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace fuchsialoom
