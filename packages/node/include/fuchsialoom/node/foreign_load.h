/// \file
/// Load of the targets of other domains.
#pragma once

#include "fuchsialoom/core/targets.h"

namespace fuchsialoom
{

/// What a target of another domain last reported of itself.
struct foreign_load
{
    domain_id domain;
    load_report report;
};

} // namespace fuchsialoom
