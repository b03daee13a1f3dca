/// \file
/// Failures as types: each has a kind from errors.def, a detail that names the offending input, what
/// is known of the request's execution, and, where coming back makes sense, how long to wait.
#pragma once

#include "fuchsialoom/support/name_table.h"
#include "fuchsialoom/support/time.h"

#include <exception>
#include <optional>
#include <string>

namespace fuchsialoom
{

enum class error_kind {
#define FUCHSIALOOM_ERROR(Enumerator, Name, Status) Enumerator,
#include "fuchsialoom/support/errors.def"
};

template<>
struct name_table<error_kind>
{
    static constexpr auto entries = std::to_array<enum_name<error_kind>>({
#define FUCHSIALOOM_ERROR(Enumerator, Name, Status) {error_kind::Enumerator, Name},
#include "fuchsialoom/support/errors.def"
    });
};

/// What is known of a request's execution when its answer is an error.
enum class outcome {
#define FUCHSIALOOM_OUTCOME(Enumerator, Name) Enumerator,
#include "fuchsialoom/support/outcomes.def"
};

template<>
struct name_table<outcome>
{
    static constexpr auto entries = std::to_array<enum_name<outcome>>({
#define FUCHSIALOOM_OUTCOME(Enumerator, Name) {outcome::Enumerator, Name},
#include "fuchsialoom/support/outcomes.def"
    });
};

/// The HTTP status that tells a caller of \p kind.
int httpStatusOf(error_kind kind);

/// A failure as data, as it crosses threads and processes.
struct failure
{
    error_kind kind = error_kind::Internal;
    /// Lower case, no full stop, names the input at fault.
    std::string detail;
    /// `NotRun` only where no byte of the request can have reached a target, or the target said so.
    outcome known = outcome::NotRun;
    /// When to come back, counted from the answer; absent where coming back can't help.
    std::optional<milliseconds> retryAfter;

    friend bool operator==(const failure &, const failure &) = default;
};

/// A failure as an exception, for input and system errors. Broken invariants assert instead.
class error : public std::exception
{
public:
    explicit error(failure what);
    error(error_kind kind, std::string detail);

    const char *what() const noexcept override;

    const failure &info() const
    {
        return m_failure;
    }

    error_kind kind() const
    {
        return m_failure.kind;
    }

private:
    failure m_failure;
    std::string m_text; ///< `kind: detail`, kept because what() may not throw
};

} // namespace fuchsialoom
