/// \file
/// The accelerator memory of an engine stand-in: what is resident, what is loading, and the orders that
/// change it. It never refuses an order for want of memory; it notes the overcommit instead.
#pragma once

#include "roles.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

namespace fuchsialoom
{

struct engine_order
{
    std::string id;
    std::uint64_t fence = 0;
    std::string operation;
    std::string model;
    std::string version;
    std::string adapter;
    std::uint64_t bytes = 0;
    std::int64_t expiresUnixMicros = 0; ///< 0: no expiry

    static engine_order fromJson(const nlohmann::json &from);
};

enum class order_verdict {
    Accepted,
    StaleFence,
    Expired,
};

/// Thread-safe. Options: models, adapters, memory_bytes, load_ms, checks_fencing, honours_expiry.
class engine_memory
{
public:
    /// \throws error(InvalidOption) where a model or adapter isn't of the form NAME:VERSION:BYTES.
    explicit engine_memory(const standin_options &options);

    order_verdict take(const engine_order &order);

    /// 0 where the engine doesn't check.
    std::uint64_t fence() const;
    bool holds(const std::string &model, const std::string &version) const;

    /// The members of GET /state that are about memory.
    nlohmann::json state() const;
    /// The members of GET /oracle that are about memory.
    nlohmann::json oracle() const;

private:
    struct item
    {
        std::string model;
        std::string adapter; ///< empty for a model
        std::string version;
        std::uint64_t bytes = 0;

        bool sameAs(const item &other) const;
    };

    struct loading_item
    {
        item what;
        std::chrono::steady_clock::time_point readyAt;
    };

    static item itemFrom(const std::string &word, bool adapter);
    static nlohmann::json toJson(const item &from);
    void carryOut(const engine_order &order);
    void load(item what);
    void unload(const item &what);
    void settle() const;
    void measure();

    const std::uint64_t m_memoryBytes;
    const std::chrono::milliseconds m_loadTime;
    const bool m_checksFencing;
    const bool m_honoursExpiry;
    mutable std::mutex m_mutex;
    std::uint64_t m_fence = 0; ///< guarded by m_mutex; highest number seen
    mutable std::vector<item> m_resident; ///< guarded by m_mutex
    mutable std::vector<loading_item> m_loading; ///< guarded by m_mutex; moves to m_resident when its time has come
    std::uint64_t m_mostBytes = 0; ///< guarded by m_mutex
    nlohmann::json m_orders = nlohmann::json::array(); ///< guarded by m_mutex; accepted ones
};

} // namespace fuchsialoom
