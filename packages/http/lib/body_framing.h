/// \file
/// How the body of a request or an answer is framed. The parser library reads framing leniently, so it is checked first.
#pragma once

#include "fuchsialoom/http/header_list.h"

namespace fuchsialoom
{

/// Whether every reader of a message with \p headers frames its body alike.
bool isUnambiguous(const header_list &headers, bool isHttp11);

} // namespace fuchsialoom
