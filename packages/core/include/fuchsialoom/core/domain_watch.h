/// \file
/// Which domains are silent: led by nobody for a set time, as the log shows it. Time counts only while
/// the log can be read, because in its outage no leader can renew a lease.
#pragma once

#include "fuchsialoom/core/homes.h"
#include "fuchsialoom/support/ids.h"
#include "fuchsialoom/support/time.h"

#include <map>
#include <optional>

namespace fuchsialoom
{

struct domain_watch_options
{
    milliseconds lease{6000};
    milliseconds silentAfter{60000}; ///< without a lease, before a domain counts as silent
    milliseconds returnsAfter{60000}; ///< led without a lapse, before a domain that was silent is relied on
    milliseconds outageAfter{5000}; ///< between two reads of the log's end, before it counts as an outage
};

class domain_watch
{
public:
    explicit domain_watch(domain_watch_options options)
        : m_options(options)
    {
    }

    /// Takes other times; leases shown so far keep their ends.
    void configure(const domain_watch_options &options)
    {
        m_options = options;
    }

    /// A record showed that \p domain is led: a valid claim or renewal, read at \p now.
    void leaseSeen(const domain_id &domain, instant now);

    /// The log was read up to its end at \p now.
    void logRead(instant now);

    /// The phase of every domain ever seen, as of the last read of the log's end.
    std::map<domain_id, domain_phase> phases() const;

private:
    struct watched
    {
        instant leaseEnd;
        std::optional<instant> returnedAt; ///< when the lease in force began after silence
        bool silent = false;
    };

    void update(watched &domain, instant now) const;

    domain_watch_options m_options;
    std::optional<instant> m_lastRead; ///< never decreases
    std::map<domain_id, watched> m_domains;
};

} // namespace fuchsialoom
