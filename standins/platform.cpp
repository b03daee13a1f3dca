/// \file
/// The stand-in of the platform: the log, and the list of VMs and targets.
#include "platform_faults.h"
#include "roles.h"
#include "standin_server.h"

#include "fuchsialoom/support/hash.h"
#include "fuchsialoom/wire/memory_log.h"
#include "records.pb.h"

#include <chrono>
#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>

namespace fuchsialoom
{

using json = nlohmann::json;
using handling = httplib::Server::HandlerResponse;

namespace
{

constexpr int httpOk = 200;
constexpr int httpNotModified = 304;
constexpr int httpUnavailable = 503;
constexpr std::string_view faultsPath = "/faults";
/// A hanging call is given up after this, so that its thread comes back.
constexpr seconds longestHang{60};
/// A long poll looks this often whether an outage began.
constexpr milliseconds pollSlice{50};

class platform
{
public:
    void route(httplib::Server &server);

private:
    handling beforeCall(const httplib::Request &from, httplib::Response &to);
    bool fails(const httplib::Request &from, httplib::Response &to);
    void append(const httplib::Request &from, httplib::Response &to);
    void read(const httplib::Request &from, httplib::Response &to);
    void setFaults(const httplib::Request &from);
    void setListing(const std::string &listing);
    void showListing(const httplib::Request &from, httplib::Response &to);

    platform_faults m_faults;
    memory_log m_log;
    std::mutex m_mutex;
    std::condition_variable m_faultsChanged;
    std::string m_listing = R"({"vms": [], "targets": []})"; ///< guarded by m_mutex
    std::map<std::string, std::uint64_t> m_reads; ///< guarded by m_mutex; of each stream so far
    std::string m_shownListing = m_listing; ///< guarded by m_mutex; lags while the list is frozen
};

void platform::route(httplib::Server &server)
{
    server.set_pre_routing_handler([this](const httplib::Request &from, httplib::Response &to) {
        return beforeCall(from, to);
    });
    server.Post(R"(/streams/([^/]+)/records)", [this](const httplib::Request &from, httplib::Response &to) {
        append(from, to);
    });
    server.Get(R"(/streams/([^/]+)/records)", [this](const httplib::Request &from, httplib::Response &to) {
        read(from, to);
    });
    server.Get("/vms", [this](const httplib::Request &from, httplib::Response &to) {
        showListing(from, to);
    });
    server.Put("/vms", [this](const httplib::Request &from, httplib::Response &) {
        setListing(from.body);
    });
    server.Get("/oracle", [this](const httplib::Request &, httplib::Response &to) {
        const std::lock_guard lock(m_mutex);
        answerJson(to, httpOk, json{{"reads", m_reads}});
    });
    server.Post(std::string(faultsPath), [this](const httplib::Request &from, httplib::Response &) {
        setFaults(from);
    });
}

/// An outage and slowness come before any effect of the call.
handling platform::beforeCall(const httplib::Request &from, httplib::Response &to)
{
    if (from.path == faultsPath) {
        return handling::Unhandled;
    }
    std::this_thread::sleep_for(milliseconds(m_faults.slowMs));
    return fails(from, to) ? handling::Handled : handling::Unhandled;
}

/// Answers, or breaks, the call where there is an outage. \return whether there is.
bool platform::fails(const httplib::Request &from, httplib::Response &to)
{
    if (!m_faults.outage) {
        return false;
    }
    if (!m_faults.hang) {
        answerJson(to, httpUnavailable, json{{"error", "outage"}});
        return true;
    }
    {
        std::unique_lock lock(m_mutex);
        m_faultsChanged.wait_for(lock, longestHang, [this] {
            return !m_faults.outage || !m_faults.hang;
        });
    }
    breakConnection(from);
    return true;
}

void platform::append(const httplib::Request &from, httplib::Response &to)
{
    const stream_name stream(from.matches[1].str());
    const append_result result = m_log.append(stream, from.body, {});
    const std::uint64_t keep = m_faults.keepRecords;
    if (keep > 0 && result.offset.value() > keep) {
        m_log.trim(stream, log_offset(result.offset.value() - keep + 1));
    }
    if (m_faults.takeLostAnswer()) {
        breakConnection(from);
        return;
    }
    answerJson(to, httpOk, json{{"offset", result.offset.value()}});
}

void platform::read(const httplib::Request &from, httplib::Response &to)
{
    const auto deadline = std::chrono::steady_clock::now() + milliseconds(numberParam(from, "wait_ms", 0));
    const stream_name stream(from.matches[1].str());
    const log_offset first(numberParam(from, "from", 0));
    {
        const std::lock_guard lock(m_mutex);
        ++m_reads[stream.text()];
    }
    const auto most = static_cast<std::uint32_t>(numberParam(from, "most", 0));
    read_result result;
    do {
        const auto sliceEnd = std::min(deadline, std::chrono::steady_clock::now() + pollSlice);
        result = m_log.read(stream, first, most, sliceEnd);
        if (fails(from, to)) {
            return;
        }
    } while (result.entries.empty() && std::chrono::steady_clock::now() < deadline);
    proto::read_reply reply;
    reply.set_first(result.first.value());
    reply.set_next(result.next.value());
    for (const raw_log_entry &entry : result.entries) {
        proto::raw_entry &item = *reply.add_entries();
        item.set_offset(entry.offset.value());
        item.set_record(entry.bytes);
    }
    to.set_content(reply.SerializeAsString(), "application/octet-stream");
}

void platform::setFaults(const httplib::Request &from)
{
    {
        const std::lock_guard lock(m_mutex);
        m_faults.set(json::parse(from.body));
        if (!m_faults.listFrozen) {
            m_shownListing = m_listing;
        }
    }
    m_faultsChanged.notify_all();
}

void platform::setListing(const std::string &listing)
{
    const std::lock_guard lock(m_mutex);
    m_listing = listing;
    if (!m_faults.listFrozen) {
        m_shownListing = m_listing;
    }
}

void platform::showListing(const httplib::Request &from, httplib::Response &to)
{
    const std::lock_guard lock(m_mutex);
    const std::string tag = '"' + std::to_string(hashOf(m_shownListing).value()) + '"';
    to.set_header("ETag", tag);
    if (from.get_header_value("If-None-Match") == tag) {
        to.status = httpNotModified;
        return;
    }
    to.set_content(m_shownListing, "application/json");
}

} // namespace

void runPlatform(const endpoint &address, const standin_options &)
{
    platform services;
    httplib::Server server;
    prepareServer(server);
    services.route(server);
    serve(server, address);
}

} // namespace fuchsialoom
