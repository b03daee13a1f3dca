/// \file
/// What one VM knows of when the duty's orders are given next. Sans-I/O.
#pragma once

#include "fuchsialoom/support/time.h"

#include <optional>

namespace fuchsialoom
{

class duty_sight
{
public:
    /// A VM that holds the duty was heard; \p wait: it orders only after this.
    void hear(instant now, milliseconds wait)
    {
        m_latest = {now, now + wait};
    }

    /// How long until some VM gives orders, as far as can be told; 0 when one does, or nothing is known yet.
    /// \p own: from when this VM may order, while it holds the duty itself.
    milliseconds timeToOrders(instant now, std::optional<instant> own) const;

private:
    struct word
    {
        instant heardAt;
        instant ordersFrom;
    };

    std::optional<word> m_latest; ///< of another VM that holds the duty
};

} // namespace fuchsialoom
