/// \file
/// The operators' calls about settings, on the admin port.
///
///   GET  /settings?path=P            settings written at P and beneath, with versions
///   GET  /settings/effective?path=P&key=K   what holds at P, and where each value comes from
///   GET  /settings/history?path=P    the latest changes with operator, offset and verdict
///   POST /settings                   {"operator", "edits": [{"path","key","value"|null,"based_on"?}]}
#pragma once

#include "fuchsialoom/node/settings_service.h"
#include "fuchsialoom/wire/http_server.h"

#include <nlohmann/json.hpp>

namespace fuchsialoom
{

/// \p settings must outlive \p server.
void routeSettings(httplib::Server &server, settings_service &settings);

/// How far and how fresh the settings are, for the status page.
nlohmann::json settingsStatus(const settings_service &settings);

} // namespace fuchsialoom
