/// \file
/// What an engine stand-in really did.
#include "engine_oracle.h"

namespace fuchsialoom
{

using json = nlohmann::json;

void engine_oracle::ran(const std::string &request, const std::string &body)
{
    const std::lock_guard lock(m_mutex);
    m_ran.push_back(json{{"request", request}, {"body", body}});
}

void engine_oracle::wrongContinuation(const std::string &request)
{
    const std::lock_guard lock(m_mutex);
    m_wrong.push_back(request);
}

json engine_oracle::runs() const
{
    const std::lock_guard lock(m_mutex);
    return m_ran;
}

json engine_oracle::wrongContinuations() const
{
    const std::lock_guard lock(m_mutex);
    return m_wrong;
}

} // namespace fuchsialoom
