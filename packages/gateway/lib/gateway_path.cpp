/// \file
/// The path of this VM to the targets: how the gateway watches it, and where requests go while it is lost. path_watch decides.
#include "fuchsialoom/gateway/gateway.h"

#include "exchange.h"
#include "listener_probe.h"

#include <algorithm>
#include <utility>

namespace fuchsialoom
{

/// A round trip between failure domains takes 1 ms.
static constexpr milliseconds pathProbeTimeout{150};
/// A single target may be silent for so long for reasons of its own. Probes of others tell, which cost them connections.
static constexpr milliseconds loneQuietTime{2 * quietTime};
static constexpr int minQuietTargets = 2;
/// Each holds a connection, and as much again to a target.
static constexpr std::size_t maxPassedOn = 400;
/// A path that is back is noticed within this time; another VM may serve the caller at once.
static constexpr milliseconds retryAfterNoPath{250};

void gateway::noteConnect(const target_id &target, connect_result result)
{
    if (result == connect_result::Refused && !m_paths.isLost()) {
        m_unconfirmed[target].isRefused = true;
    }
    const path_change change = m_paths.onConnect(loopNow(), target, result);
    if (change != path_change::None) {
        // Deferred, since this may be called while a request is being sent.
        asio::post(m_loop, [this, change] {
            applyPathChange(change);
        });
    }
    probePath();
}

void gateway::applyPathChange(path_change change)
{
    if (m_onPathChange && (change == path_change::Lost || change == path_change::Regained)) {
        m_onPathChange();
    }
    switch (change) {
    case path_change::None:
        return;
    case path_change::Confirmed:
        confirmSuspects();
        return;
    case path_change::Lost:
        onPathLost();
        return;
    case path_change::Regained:
        m_log.write(loopNow(), log_line("path").with("state", "regained").with("queued", m_queue.size()));
        dispatchQueued();
        return;
    }
}

void gateway::confirmSuspects()
{
    for (const target_id &target : m_paths.takeSuspects()) {
        const auto found = m_unconfirmed.extract(target);
        if (!found) {
            continue;
        }
        for (const crash_subjects &subjects : found.mapped().trials) {
            trialBroke(subjects, target);
        }
        if (found.mapped().isRefused) {
            noteUnreachable(target);
        }
    }
}

void gateway::onPathLost()
{
    const instant now = loopNow();
    const auto silent = std::chrono::duration_cast<milliseconds>(now - m_paths.reachedAt());
    m_log.write(now,
                log_line("path")
                    .with("state", "lost")
                    .with("silent-ms", silent)
                    .with("open", m_openExchanges.size())
                    .with("queued", m_queue.size()));
    m_unconfirmed.clear();
    m_links.closeAllIdle();
    const auto open = m_openExchanges;
    for (const auto &[serial, weak] : open) {
        const std::shared_ptr<exchange> ex = weak.lock();
        if (ex && !ex->isDone()) {
            ex->onPathLost();
        }
    }
    dispatchQueued();
}

void gateway::watchPath()
{
    const instant now = loopNow();
    if (!m_paths.isLost() && now - m_paths.reachedAt() >= quietTime) {
        const auto used = std::ranges::count_if(m_pool.targets(), [](const auto &entry) {
            return entry.second.own.requests > 0;
        });
        if (used >= minQuietTargets || (used > 0 && now - m_paths.reachedAt() >= loneQuietTime)) {
            m_paths.onQuiet();
        }
    }
    probePath();
}

void gateway::probePath()
{
    const instant now = loopNow();
    const instant next = m_paths.nextProbesAt(now);
    if (next > now) {
        if (next < m_pathTimerAt) {
            m_pathTimerAt = next;
            m_pathTimer.expires_at(std::chrono::steady_clock::time_point(next.time_since_epoch()));
            m_pathTimer.async_wait([this](const asio::error_code &problem) {
                if (!problem) {
                    m_pathTimerAt = farFuture;
                    probePath();
                }
            });
        }
        return;
    }
    std::vector<target_id> candidates;
    for (const auto &[id, target] : m_pool.targets()) {
        if (!target.listed.leaving && !target.displaced && !target.unreachable) {
            candidates.push_back(id);
        }
    }
    std::ranges::shuffle(candidates, m_random);
    const std::vector<target_id> probes = m_paths.takeProbes(now, candidates);
    for (const target_id &id : probes) {
        const auto address = tcpEndpointOf(m_pool.find(id)->listed.address);
        probeListener(m_loop, address, pathProbeTimeout, [this, id](probe_result result) {
            noteConnect(id,
                        result == probe_result::Listening     ? connect_result::Connected
                            : result == probe_result::Refused ? connect_result::Refused
                                                              : connect_result::NoAnswer);
        });
    }
    if (probes.empty()) {
        applyPathChange(m_paths.decideWithoutProbes());
    }
}

void gateway::setServingPeers(std::vector<serving_peer> peers)
{
    m_servingPeers = std::move(peers);
    const auto before = std::ranges::count_if(m_servingPeers, [this](const serving_peer &one) {
        return one.hasPath && one.vm < m_options.vm;
    });
    const auto others = std::ranges::count_if(m_servingPeers, [](const serving_peer &one) {
        return one.hasPath;
    });
    const auto wallTime = std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch());
    m_pool.setMembers(loopNow(), wallTime, static_cast<std::size_t>(before), static_cast<std::size_t>(others) + 1);
}

std::optional<serving_peer> gateway::choosePeer()
{
    return m_peerChoice.choose(loopNow(), m_servingPeers, m_random());
}

bool gateway::passOn(exchange &ex)
{
    if (ex.isPassedOn()) {
        ex.decline();
        return true;
    }
    if (m_paths.isLost() && m_servingPeers.empty()) {
        return false; // nobody else serves its callers, so they wait for the path
    }
    const std::optional<serving_peer> peer = choosePeer();
    if (!peer) {
        ex.endWithoutPath(m_paths.isLost() ? refusal::NoPath : refusal::TargetsRefused, retryAfterNoPath);
        return true;
    }
    m_queue.depart(loopNow(), ex.serial());
    const auto keptAlive = m_queued.extract(ex.serial());
    m_demand[ex.m_countedModel].waiting -= 1;
    ex.passOn(*peer);
    return true;
}

bool gateway::takesPassedOn(const passed_on_mark &mark) const
{
    return isConfigured() && mark.configVersion <= m_configuration->version && m_stopPlan.acceptsNew(loopNow()) && !m_paths.isLost()
        && m_passedOnOpen <= maxPassedOn;
}

void gateway::submitPassedOn(const std::shared_ptr<caller_link> &peer, received_request request, const passed_on_mark &mark)
{
    m_counters.takenOver += 1;
    const auto ex = std::make_shared<exchange>(*this, peer, std::move(request), mark);
    m_openExchanges.emplace(ex->serial(), ex);
    ex->start();
}

std::string gateway::pathMetrics() const
{
    std::string text = "# HELP fuchsialoom_path_lost whether this VM reaches no target\n"
                       "# TYPE fuchsialoom_path_lost gauge\n"
                       "fuchsialoom_path_lost ";
    text.append(m_paths.isLost() ? "1" : "0");
    text.append("\n# HELP fuchsialoom_passed_on_total requests sent to other VMs, since their targets were out of reach\n"
                "# TYPE fuchsialoom_passed_on_total counter\n"
                "fuchsialoom_passed_on_total ");
    text.append(std::to_string(m_counters.passedOn));
    text.append("\n# HELP fuchsialoom_taken_over_total requests that other VMs passed on to this one\n"
                "# TYPE fuchsialoom_taken_over_total counter\n"
                "fuchsialoom_taken_over_total ");
    text.append(std::to_string(m_counters.takenOver)).append("\n");
    return text;
}

} // namespace fuchsialoom
