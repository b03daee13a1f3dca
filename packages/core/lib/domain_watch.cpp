/// \file
/// Silence and return of domains.
#include "fuchsialoom/core/domain_watch.h"

#include <algorithm>

namespace fuchsialoom
{

void domain_watch::leaseSeen(const domain_id &domain, instant now)
{
    watched &one = m_domains[domain];
    if (one.silent) {
        one.silent = false;
        one.returnedAt = now;
    } else if (one.returnedAt && now > one.leaseEnd) {
        // A lapse while returning starts the wait anew, so that a flapping domain is not relied on.
        one.returnedAt = now;
    }
    one.leaseEnd = now + m_options.lease;
}

void domain_watch::logRead(instant now)
{
    const bool outage = m_lastRead && now - *m_lastRead > m_options.outageAfter;
    for (auto &[id, domain] : m_domains) {
        if (outage && !domain.silent) {
            // Nobody could renew meanwhile: leaders get a whole lease again.
            domain.leaseEnd = std::max(domain.leaseEnd, now + m_options.lease);
        }
        update(domain, now);
    }
    m_lastRead = now;
}

void domain_watch::update(watched &domain, instant now) const
{
    if (now >= domain.leaseEnd + m_options.silentAfter) {
        domain.silent = true;
        domain.returnedAt.reset();
        return;
    }
    const bool led = now <= domain.leaseEnd;
    if (domain.returnedAt && led && now >= *domain.returnedAt + m_options.returnsAfter) {
        domain.returnedAt.reset();
    }
}

std::map<domain_id, domain_phase> domain_watch::phases() const
{
    std::map<domain_id, domain_phase> phases;
    for (const auto &[id, domain] : m_domains) {
        domain_phase phase = domain_phase::Serving;
        if (domain.silent) {
            phase = domain_phase::Silent;
        } else if (domain.returnedAt) {
            phase = domain_phase::Returning;
        }
        phases.emplace(id, phase);
    }
    return phases;
}

} // namespace fuchsialoom
