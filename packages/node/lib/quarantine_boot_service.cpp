/// \file
/// Reads the quarantines that the log holds when this VM starts.
#include "fuchsialoom/node/quarantine_boot_service.h"

#include "fuchsialoom/core/streams.h"
#include "fuchsialoom/node/node_clock.h"
#include "fuchsialoom/support/hash.h"

namespace fuchsialoom
{

static constexpr milliseconds pollEvery{20};

quarantine_boot_service::quarantine_boot_service(log_service &log, decision_service &decisions)
    : m_log(log)
    , m_decisions(decisions)
    , m_reader(hashOf(log.vm().text()).value())
{
}

void quarantine_boot_service::start()
{
    m_thread = std::jthread([this](const std::stop_token &stopping) {
        run(stopping);
    });
}

void quarantine_boot_service::stop()
{
    m_thread = std::jthread();
}

void quarantine_boot_service::run(const std::stop_token &stopping)
{
    while (!stopping.stop_requested() && !m_reader.isFinished()) {
        step(time_passed{});
        std::this_thread::sleep_for(pollEvery);
    }
}

void quarantine_boot_service::step(const quarantine_reader_event &event)
{
    for (const quarantine_reader_action &action : m_reader.step(quarantine_time{monotonicNow(), wallNow()}, event)) {
        std::visit(
            [&](const auto &one) {
                carryOut(one);
            },
            action);
    }
}

void quarantine_boot_service::carryOut(const read_quarantines &action)
{
    step(quarantines_read{m_log.read(fleetStream(), action.from, std::chrono::steady_clock::now())});
}

void quarantine_boot_service::carryOut(const quarantine_learned &action)
{
    m_decisions.post(action);
}

} // namespace fuchsialoom
