/// \file
/// Failures as types.
#include "fuchsialoom/support/errors.h"

#include <utility>

namespace fuchsialoom
{

int httpStatusOf(error_kind kind)
{
    switch (kind) {
#define FUCHSIALOOM_ERROR(Enumerator, Name, Status) \
    case error_kind::Enumerator: \
        return Status;
#include "fuchsialoom/support/errors.def"
    }
    assert(false && "every error kind has a status");
    return 0;
}

static std::string describe(const failure &info)
{
    std::string text(nameOf(info.kind));
    text += ": ";
    text += info.detail;
    return text;
}

error::error(failure what)
    : m_failure(std::move(what))
    , m_text(describe(m_failure))
{
}

error::error(error_kind kind, std::string detail)
    : error(failure{kind, std::move(detail), outcome::NotRun, std::nullopt})
{
}

const char *error::what() const noexcept
{
    return m_text.c_str();
}

} // namespace fuchsialoom
