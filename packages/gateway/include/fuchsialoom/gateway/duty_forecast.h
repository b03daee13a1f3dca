/// \file
/// What one VM knows of when the duty's orders are given next. Sans-I/O.
#pragma once

#include "fuchsialoom/support/time.h"

#include <optional>

namespace fuchsialoom
{

class duty_forecast
{
public:
    /// A VM that holds the duty was heard; \p wait: it orders only after this.
    void noteHolder(instant now, milliseconds wait)
    {
        m_lastReport = {now, now + wait};
    }

    /// How long until some VM gives orders, as far as can be told; 0 when one does, or nothing is known yet.
    /// \p own: from when this VM may order, while it holds the duty itself.
    milliseconds timeToOrders(instant now, std::optional<instant> own) const;

private:
    struct holder_report
    {
        instant heardAt;
        instant ordersFrom;
    };

    std::optional<holder_report> m_lastReport; ///< of another VM that holds the duty
};

} // namespace fuchsialoom
