/// \file
/// How deep JSON is nested, found before a parser builds anything of it.
#pragma once

#include <cstddef>
#include <string_view>

namespace fuchsialoom
{

/// Whether \p text nests arrays and objects more than \p most deep. Text that isn't JSON may get either
/// answer; the parser refuses it anyway.
bool isNestedDeeper(std::string_view text, std::size_t most);

} // namespace fuchsialoom
