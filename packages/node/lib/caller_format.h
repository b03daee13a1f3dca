/// \file
/// Answers of model requests in the OpenAI-compatible form.
#pragma once

#include "caller_input.h"
#include "fuchsialoom/support/ids.h"

#include <optional>
#include <string>

namespace fuchsialoom
{

/// The whole text as one JSON answer.
whole_answer wholeAnswerOf(const request_id &id, completion_form form, const std::string &text);

/// One piece of the text as the data of a server-sent event.
std::string chunkOf(const request_id &id, completion_form form, const std::string &text);

/// The last piece, which says that the answer is whole.
std::string lastChunkOf(const request_id &id, completion_form form);

/// The text of an answer that wholeAnswerOf made, or nothing where it is something else.
std::optional<std::string> textOf(const std::string &answer);

/// \p data as a server-sent event.
std::string eventOf(const std::string &data);

} // namespace fuchsialoom
