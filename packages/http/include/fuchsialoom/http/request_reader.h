/// \file
/// Reads requests from the bytes of a caller's connection, strictly: whatever two readers could frame
/// differently is refused before anything of it is passed on.
#pragma once

#include "fuchsialoom/http/header_list.h"
#include "fuchsialoom/support/name_table.h"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace fuchsialoom
{

struct received_request
{
    std::string method;
    std::string target; ///< path and query, as sent
    header_list headers; ///< as sent, those of the connection included
    std::string body; ///< without its framing
    bool keepAlive = true;
    bool takesChunks = true; ///< the caller reads chunked answers: it speaks HTTP/1.1

    /// The target up to its query.
    std::string_view path() const;

    /// The memory that the request takes, bytes.
    std::size_t keptBytes() const;
};

struct request_limits
{
    std::size_t headBytes = 16384;
    std::size_t bodyBytes = 4194304;
};

enum class reading_problem {
    None,
    Malformed,
    AmbiguousFraming, ///< length and chunks, several lengths, a coding other than chunked
    HeadTooLarge,
    BodyTooLarge,
    TimedOut, ///< the rest didn't come in time
    NoMemory, ///< all requests and answers together are too large
};

template<>
struct name_table<reading_problem>
{
    static constexpr auto entries = std::to_array<enum_name<reading_problem>>({
        {reading_problem::None, "none"},
        {reading_problem::Malformed, "malformed"},
        {reading_problem::AmbiguousFraming, "ambiguous-framing"},
        {reading_problem::HeadTooLarge, "head-too-large"},
        {reading_problem::BodyTooLarge, "body-too-large"},
        {reading_problem::TimedOut, "timed-out"},
        {reading_problem::NoMemory, "no-memory"},
    });
};

/// The HTTP status that answers \p problem.
int statusOf(reading_problem problem);

class request_reader
{
public:
    explicit request_reader(request_limits limits);
    ~request_reader();
    request_reader(const request_reader &) = delete;
    request_reader &operator=(const request_reader &) = delete;

    request_limits limits() const;
    /// Also holds for the request that is being read, as far as its size hasn't been judged yet.
    void setLimits(request_limits limits);

    /// Takes bytes up to the end of one request. \return how many; the rest belongs to the next request.
    std::size_t consume(std::string_view bytes);

    bool isComplete() const;
    reading_problem problem() const;

    /// Some byte of a request has come.
    bool hasStarted() const;

    /// The head is whole; the request may be complete.
    bool hasHead() const;

    /// The head is whole, and the caller waits for leave to send the body (`Expect: 100-continue`).
    bool expectsContinue() const;

    /// The memory of what has come of the request, bytes.
    std::size_t heldBytes() const;

    /// The complete request; the reader is ready for the next one.
    received_request take();

    /// Drops what has come of a request and starts on a new one.
    void discard();

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace fuchsialoom
