/// \file
/// Reads the quarantines that the log holds when this VM starts, on a thread that ends with that.
#pragma once

#include "fuchsialoom/core/quarantine_reader.h"
#include "fuchsialoom/node/decision_service.h"
#include "fuchsialoom/node/log_service.h"

#include <thread>

namespace fuchsialoom
{

class quarantine_boot_service : public service
{
public:
    quarantine_boot_service(log_service &log, decision_service &decisions);

    void start() override;
    void stop() override;

private:
    void run(const std::stop_token &stopping);
    void carryOut(const read_quarantines &action);
    void carryOut(const quarantine_learned &action);
    void step(const quarantine_reader_event &event);

    log_service &m_log;
    decision_service &m_decisions;
    quarantine_reader m_reader; ///< used by the thread alone
    std::jthread m_thread;
};

} // namespace fuchsialoom
