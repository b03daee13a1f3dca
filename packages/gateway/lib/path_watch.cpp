/// \file
/// Decides whether this VM has a path to the targets.
#include "fuchsialoom/gateway/path_watch.h"

namespace fuchsialoom
{

/// Attempts of one check. They go to other targets than the one that failed, so that one that answers shows that the path is whole.
static constexpr std::size_t probesPerCheck = 4;
/// Bytes that came so recently show that connections aren't silent.
static constexpr milliseconds recentTime{100};
/// Pause between attempts while the path is lost: each costs a target a connection.
static constexpr milliseconds probeInterval{250};
/// Connections in a row that show that the path is back.
static constexpr int connectsToRegain = 2;
/// Time to the next attempt after the first of them.
static constexpr milliseconds confirmInterval{50};

path_change path_watch::onConnect(instant now, const target_id &target, connect_result result)
{
    const bool wasProbe = m_probed.erase(target) > 0;
    if (result == connect_result::Connected) {
        m_connectedAt = now;
        m_missed.clear();
        m_wantsCheck = false;
        m_isDecided = true;
        if (!m_isLost) {
            return m_suspects.empty() ? path_change::None : path_change::Confirmed;
        }
        m_connectsInRow += 1;
        m_nextProbeAt = now + confirmInterval;
        m_isLost = m_connectsInRow < connectsToRegain;
        return m_isLost ? path_change::None : path_change::Regained;
    }
    m_connectsInRow = 0;
    if (m_isLost) {
        return path_change::None;
    }
    m_suspects.insert(target);
    if (wasProbe && m_isDecided) {
        return path_change::Confirmed;
    }
    m_missed.insert(target);
    if (wasProbe) {
        return m_probed.empty() ? decide() : path_change::None;
    }
    const bool isOwnTrouble = result == connect_result::NoAnswer && now - m_heardAt < recentTime;
    if (isOwnTrouble && m_isDecided) {
        m_missed.clear();
        return path_change::Confirmed;
    }
    m_wantsCheck = m_isDecided;
    return path_change::None;
}

void path_watch::onQuiet()
{
    m_wantsCheck = m_wantsCheck || (!m_isLost && m_isDecided);
}

std::vector<target_id> path_watch::takeProbes(instant now, const std::vector<target_id> &candidates)
{
    std::vector<target_id> probes;
    if (m_isLost) {
        if (now >= m_nextProbeAt && !candidates.empty()) {
            m_nextProbeAt = now + probeInterval;
            probes.push_back(candidates.front());
        }
        return probes;
    }
    if (!m_wantsCheck) {
        return probes;
    }
    for (const target_id &one : candidates) {
        if (probes.size() < probesPerCheck && !m_missed.contains(one)) {
            probes.push_back(one);
        }
    }
    m_wantsCheck = probes.empty();
    m_isDecided = probes.empty();
    m_probed = {probes.begin(), probes.end()};
    return probes;
}

path_change path_watch::decideWithoutProbes()
{
    return m_wantsCheck ? decide() : path_change::None;
}

path_change path_watch::decide()
{
    m_wantsCheck = false;
    m_isDecided = true;
    // A single target may as well have ended.
    m_isLost = m_missed.size() > 1;
    m_missed.clear();
    if (!m_isLost) {
        return path_change::Confirmed;
    }
    m_suspects.clear();
    m_connectsInRow = 0;
    m_nextProbeAt = instant{};
    return path_change::Lost;
}

} // namespace fuchsialoom
