/// \file
/// What follows an attempt that brought no good answer. Pure.
#pragma once

#include "fuchsialoom/support/name_table.h"
#include "fuchsialoom/support/time.h"

#include <cstdint>
#include <deque>

namespace fuchsialoom
{

enum class attempt_outcome {
    NotSent, ///< no byte can have reached the target
    NotRun, ///< the target says that it didn't run the request, and won't
    Failed, ///< the target ran it and answered with a server error
    Broken, ///< it was sent, and no whole answer came: it may have run
    Silent, ///< it was sent, and nothing has come for longer than a sound target takes
};

template<>
struct name_table<attempt_outcome>
{
    static constexpr auto entries = std::to_array<enum_name<attempt_outcome>>({
        {attempt_outcome::NotSent, "not-sent"},
        {attempt_outcome::NotRun, "not-run"},
        {attempt_outcome::Failed, "failed"},
        {attempt_outcome::Broken, "broken"},
        {attempt_outcome::Silent, "silent"},
    });
};

enum class retry_step {
    TryElsewhere,
    Refuse, ///< tell the caller that it has not run, and when to come back
    PassOn, ///< the target's own answer goes to the caller
    Fail, ///< tell the caller that nothing is known
};

template<>
struct name_table<retry_step>
{
    static constexpr auto entries = std::to_array<enum_name<retry_step>>({
        {retry_step::TryElsewhere, "try-elsewhere"},
        {retry_step::Refuse, "refuse"},
        {retry_step::PassOn, "pass-on"},
        {retry_step::Fail, "fail"},
    });
};

struct attempt_history
{
    bool repeatable = false; ///< may run more than once
    /// Some attempt of this request may have run, or may run yet.
    bool mayHaveRun = false;
    std::uint32_t targetsTried = 0; ///< targets that it was sent to
    std::uint32_t attempts = 1; ///< targets that it may be sent to
    std::uint32_t connectFailures = 0; ///< targets that couldn't be reached
};

/// \p budget: the shared budget allows one more arrival.
retry_step nextStep(attempt_outcome outcome, const attempt_history &history, bool budget);

/// The part of one VM in a limit on repeated arrivals that holds over all VMs together: a share of the
/// requests of a window, plus a fixed number. Each VM takes its own requests' share, and of the fixed
/// number the part that the live VMs leave it.
class shared_retry_budget
{
public:
    struct limits
    {
        double ratio = 0;
        milliseconds window{10000};
        double slack = 0;
    };

    void setLimits(limits allowed);
    void setLiveVmCount(std::size_t live);

    void countRequest(instant now);
    bool allows(instant now);
    void countRetry(instant now);

private:
    struct bucket
    {
        instant from{};
        std::uint32_t requests = 0;
        std::uint32_t retries = 0;
    };

    bucket &current(instant now);

    limits m_limits;
    std::size_t m_vms = 1;
    std::deque<bucket> m_buckets; ///< oldest first; covers a window and a bucket more
};

} // namespace fuchsialoom
