/// \file
/// Records of the log to and from bytes.
#pragma once

#include "fuchsialoom/core/records.h"

#include <optional>
#include <string>
#include <string_view>

namespace fuchsialoom
{

std::string encodeRecord(const log_record &record);

/// \return nothing where \p bytes are corrupt, or of a format or body that this version doesn't know.
std::optional<log_record> decodeRecord(std::string_view bytes);

} // namespace fuchsialoom
