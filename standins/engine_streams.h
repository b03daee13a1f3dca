/// \file
/// The streams of an engine stand-in. A stream makes its tokens by the clock, whether or not anyone
/// follows it, so no thread runs for it.
#pragma once

#include "engine_faults.h"
#include "engine_oracle.h"
#include "roles.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace fuchsialoom
{

struct stream_request
{
    std::string id;
    std::uint64_t attempt = 0;
    std::string body;
    std::string delivered; ///< what the caller has; the stream goes on after it
    std::uint64_t deliveredTokens = 0;
};

/// Thread-safe. Options: tokens, interval_ms, capacity.
class engine_streams
{
public:
    engine_streams(const standin_options &options, const engine_faults &faults, engine_oracle &oracle);

    /// \return false where the stream exists already.
    bool start(const stream_request &request);
    bool knows(const std::string &id) const;
    void cancel(const std::string &id);

    /// Writes the frames from token \p from on as they are made. \p silences is the count of them when
    /// the connection was made. \return false where the connection ends without the last frame.
    bool write(httplib::DataSink &sink, const std::string &id, std::uint64_t from, std::uint64_t silences) const;

    /// Ids of the streams that haven't ended.
    std::vector<std::string> running() const;
    std::uint32_t capacity() const
    {
        return static_cast<std::uint32_t>(m_slots.size());
    }
    std::chrono::milliseconds interval() const
    {
        return m_interval;
    }
    std::string exported(const std::string &id) const;

private:
    using clock = std::chrono::steady_clock;

    struct running_stream
    {
        std::uint64_t attempt = 0;
        std::uint64_t firstToken = 0; ///< tokens that the caller had when it started
        std::uint64_t endToken = 0; ///< length of the whole answer
        clock::time_point startedAt; ///< later than now while it waits for a slot
        std::size_t slot = 0;
        std::string body;

        clock::time_point madeAt(std::uint64_t token, std::chrono::milliseconds interval) const;
    };

    std::uint64_t lengthOf(const std::string &body) const;
    std::optional<running_stream> find(const std::string &id) const;
    bool waitUntil(httplib::DataSink &sink, const std::string &id, clock::time_point when, std::uint64_t silences) const;
    void hold(httplib::DataSink &sink) const;
    bool writeForeignFrames(httplib::DataSink &sink, const std::string &id, const running_stream &stream, std::uint64_t offset) const;

    const std::uint64_t m_tokens;
    const std::chrono::milliseconds m_interval;
    const engine_faults &m_faults;
    engine_oracle &m_oracle;
    mutable std::mutex m_mutex;
    mutable std::condition_variable m_changed; ///< a stream was cancelled
    std::vector<clock::time_point> m_slots; ///< guarded by m_mutex; when each slot of the batch falls free
    std::map<std::string, running_stream> m_streams; ///< guarded by m_mutex; ended ones too, for resumption
};

} // namespace fuchsialoom
