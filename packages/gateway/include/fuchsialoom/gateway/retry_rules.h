/// \file
/// Decides what follows an attempt without a successful answer, and limits retries.
#pragma once

#include "fuchsialoom/support/name_table.h"
#include "fuchsialoom/support/time.h"

#include <cstdint>
#include <deque>

namespace fuchsialoom
{

enum class attempt_outcome {
    NotSent, ///< no byte can have reached the target
    Declined, ///< passed on to another VM, which doesn't take it
    NotRun, ///< the target states that it didn't run the request and won't
    Failed, ///< the target ran it and answered with a server error
    Broken, ///< sent, but no complete answer arrived; the request may have run
    Silent, ///< sent, but another attempt had something for the caller first; the request may have run
};

template<>
struct name_table<attempt_outcome>
{
    static constexpr auto entries = std::to_array<enum_name<attempt_outcome>>({
        {attempt_outcome::NotSent, "not-sent"},
        {attempt_outcome::Declined, "declined"},
        {attempt_outcome::NotRun, "not-run"},
        {attempt_outcome::Failed, "failed"},
        {attempt_outcome::Broken, "broken"},
        {attempt_outcome::Silent, "silent"},
    });
};

enum class retry_step {
    LeaveToOther, ///< another attempt of the request is in progress
    TryElsewhere,
    ReturnToSilent, ///< sends it again to the target that was given up as silent
    Refuse, ///< tells the caller that the request hasn't run, and when to retry
    PassOn, ///< relays the target's answer to the caller
    Fail, ///< tells the caller that the outcome is unknown
};

template<>
struct name_table<retry_step>
{
    static constexpr auto entries = std::to_array<enum_name<retry_step>>({
        {retry_step::LeaveToOther, "leave-to-other"},
        {retry_step::TryElsewhere, "try-elsewhere"},
        {retry_step::ReturnToSilent, "return-to-silent"},
        {retry_step::Refuse, "refuse"},
        {retry_step::PassOn, "pass-on"},
        {retry_step::Fail, "fail"},
    });
};

struct attempt_history
{
    bool repeatable = false; ///< may run more than once
    bool mayHaveRun = false; ///< some attempt that has ended may have run, or may still run
    bool otherInProgress = false; ///< a second attempt goes on
    bool gaveUpSilent = false; ///< a target was given up as silent, and didn't get the request again
    std::uint32_t targetsTried = 0; ///< number of targets it was sent to
    std::uint32_t attempts = 1; ///< maximum number of targets it may be sent to
    std::uint32_t connectFailures = 0; ///< attempts that failed before anything was sent
};

/// A target that refuses connections costs about 1 ms; after this many, the request is sent to no other.
inline constexpr std::uint32_t maxConnectFailures = 4;

/// \p budgetAllows: the shared retry budget allows one more retry.
retry_step nextStep(attempt_outcome outcome, const attempt_history &history, bool budgetAllows);

/// One VM's part of a retry limit for all VMs together: in a sliding window, a ratio of the requests plus a fixed number
/// (slack). Each VM may use the ratio of its own requests and an equal part of the slack. A VM that has just started doesn't know
/// what it used of the slack before it ended, so it uses a smaller part for one window.
class shared_retry_budget
{
public:
    struct limits
    {
        double ratio = 0;
        milliseconds window{10000};
        double slack = 0;
    };

    /// \p startedAt: when this VM started.
    void setLimits(limits allowed, instant startedAt);
    void setLiveVmCount(std::size_t live);

    void countRequest(instant now);
    bool allows(instant now);
    void countRetry(instant now);
    /// The retry that was counted at \p countedAt reached no target.
    void returnRetry(instant countedAt);

private:
    struct bucket
    {
        instant from{};
        std::uint32_t requests = 0;
        std::uint32_t retries = 0;
    };

    bucket &current(instant now);

    limits m_limits;
    instant m_fullSlackFrom{}; ///< one window after the start
    std::size_t m_vms = 1;
    std::deque<bucket> m_buckets; ///< oldest first; covers the window and one more bucket
};

} // namespace fuchsialoom
