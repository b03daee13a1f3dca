/// \file
/// What an engine stand-in really did, for a test's verdict.
#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <mutex>
#include <string>

namespace fuchsialoom
{

/// Thread-safe.
class engine_oracle
{
public:
    void ran(const std::string &request, const std::string &body);
    /// A stream was continued after a text that isn't the start of its answer.
    void wrongContinuation(const std::string &request);

    nlohmann::json runs() const;
    nlohmann::json wrongContinuations() const;

private:
    mutable std::mutex m_mutex;
    nlohmann::json m_ran = nlohmann::json::array(); ///< guarded by m_mutex; every run, in order
    nlohmann::json m_wrong = nlohmann::json::array(); ///< guarded by m_mutex; request ids
};

} // namespace fuchsialoom
