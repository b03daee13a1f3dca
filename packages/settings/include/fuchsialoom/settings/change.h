/// \file
/// A change of settings as operators submit it: a set of edits, each naming the version that it was
/// based on, so that of two racing operators exactly one is accepted.
#pragma once

#include "fuchsialoom/settings/path.h"
#include "fuchsialoom/settings/schema.h"
#include "fuchsialoom/support/errors.h"
#include "fuchsialoom/support/ids.h"

#include <optional>
#include <string>
#include <vector>

namespace fuchsialoom
{

struct setting_edit
{
    setting_path path;
    setting_key key = setting_key::InService;
    std::optional<std::string> value; ///< nothing: the setting is removed and the parent's holds again
    log_offset basedOn; ///< version last seen by the operator; none if there was no value

    friend bool operator==(const setting_edit &, const setting_edit &) = default;
};

/// Accepted or refused as a whole.
struct settings_change
{
    record_id id;
    std::string operatorName;
    std::vector<setting_edit> edits;

    friend bool operator==(const settings_change &, const settings_change &) = default;
};

/// One setting in force, with the offset of the change that set it.
struct setting_entry
{
    setting_path path;
    setting_key key = setting_key::InService;
    std::string value;
    log_offset version;

    friend bool operator==(const setting_entry &, const setting_entry &) = default;
};

/// What became of a change where its id first stood in the log.
struct folded_change
{
    record_id id;
    log_offset offset; ///< where it stood first; the version of its entries when accepted
    std::string operatorName;
    std::optional<failure> refusal; ///< nothing when accepted

    friend bool operator==(const folded_change &, const folded_change &) = default;
};

} // namespace fuchsialoom
