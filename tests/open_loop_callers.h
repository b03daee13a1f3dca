/// \file
/// Callers that send requests at a given rate, each on a new connection, whatever becomes of those before. All on one event loop.
#pragma once

#include "platform_world.h"

#include <asio.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace fuchsialoom
{

/// What became of the first try of a request.
enum class first_try {
    Served, ///< 200, whole
    Answered, ///< otherwise
    Unread, ///< its connection was refused or closed without a byte, and a later try at another VM was answered
    Lost, ///< no answer in time, or none at all
};

struct open_loop_result
{
    std::chrono::steady_clock::time_point at; ///< of the first try
    first_try outcome = first_try::Lost;
};

class open_loop_callers
{
public:
    /// \p choose: the VM that gets a new connection; \p tried: the one that didn't answer before, or empty.
    open_loop_callers(platform_world &world, std::function<std::string(const std::string &tried)> choose);

    /// Sends \p perSecond requests to \p path for \p length, and waits until the last one has ended.
    void run(double perSecond, std::chrono::milliseconds length, const platform_request &request);

    const std::vector<open_loop_result> &results() const
    {
        return m_results;
    }

private:
    struct call;

    void start(const platform_request &request);
    void connect(const std::shared_ptr<call> &one);
    void read(const std::shared_ptr<call> &one);
    void end(const std::shared_ptr<call> &one, bool isAnswered);

    platform_world &m_world;
    std::function<std::string(const std::string &)> m_choose;
    asio::io_context m_loop;
    std::vector<open_loop_result> m_results;
    std::size_t m_sent = 0;
};

} // namespace fuchsialoom
