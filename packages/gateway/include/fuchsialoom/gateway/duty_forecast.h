/// \file
/// Estimates, at one VM, when the holder of the duty sends its next orders. Sans-I/O.
#pragma once

#include "fuchsialoom/support/time.h"

#include <optional>

namespace fuchsialoom
{

class duty_forecast
{
public:
    /// Records a report from another VM that holds the duty and orders only after \p wait.
    void noteHolder(instant now, milliseconds wait)
    {
        m_lastReport = {now, now + wait};
    }

    /// Estimated time until some VM sends orders; 0 if one already may, or if no holder is known yet.
    /// \p own: the earliest order of this VM, if it holds the duty itself.
    milliseconds timeToOrders(instant now, std::optional<instant> own) const;

private:
    struct holder_report
    {
        instant heardAt;
        instant ordersFrom;
    };

    std::optional<holder_report> m_lastReport; ///< latest from another VM that holds the duty
};

} // namespace fuchsialoom
