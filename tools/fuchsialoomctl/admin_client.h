/// \file
/// Calls of the admin ports of VMs.
#pragma once

#include "context.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace fuchsialoom::ctl
{

/// Asks the VMs in turn until one answers. \throws error(PeerUnreachable) where none does, or the
/// error that the first one to answer gave.
nlohmann::json ask(const context &with, const std::string &path);

/// Reads a page of one VM as text. \return nothing where it doesn't answer with one.
std::optional<std::string> readPage(const endpoint &vm, const std::string &path);

/// Asks one VM. \return nothing where it doesn't answer, or not with JSON.
std::optional<nlohmann::json> askOne(const endpoint &vm, const std::string &path);

/// What became of a change of settings.
struct change_answer
{
    exit_code code = exit_code::Unknown;
    std::string text; ///< for the operator
    std::uint64_t version = 0; ///< set when Done
};

/// Submits a change once: to the first VM that takes the connection. A change that may have reached a
/// VM is not sent to another one.
change_answer submitChange(const context &with, const nlohmann::json &edits);

} // namespace fuchsialoom::ctl
