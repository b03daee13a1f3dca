/// \file
/// One VM's process.
#include "fuchsialoom/node/node.h"

#include "fleet_status.h"
#include "fuchsialoom/node/admin_service.h"
#include "fuchsialoom/node/caller_service.h"
#include "fuchsialoom/node/cancel_service.h"
#include "fuchsialoom/node/claims_service.h"
#include "fuchsialoom/node/fleet_events.h"
#include "fuchsialoom/node/leader_service.h"
#include "fuchsialoom/node/lease_service.h"
#include "fuchsialoom/node/listing_service.h"
#include "fuchsialoom/node/metrics_service.h"
#include "fuchsialoom/node/node_clock.h"
#include "fuchsialoom/node/peer_service.h"
#include "fuchsialoom/node/peer_tail_source.h"
#include "fuchsialoom/node/quarantine_boot_service.h"
#include "fuchsialoom/node/quarantine_service.h"
#include "fuchsialoom/node/watcher_service.h"
#include "fuchsialoom/support/scope_guard.h"

#include <asio.hpp>

#include <csignal>

namespace fuchsialoom
{

static constexpr std::size_t keptEvents = 20000;
static constexpr milliseconds drainPoll{50};
/// A VM that doesn't answer by then is left out of the time line.
static constexpr seconds eventsTimeout{2};

static admin_views viewsOf(peer_service &peers, watcher_service &watcher, event_service &events, claims_service &claims)
{
    admin_views views;
    views.peers = [&peers] {
        return peersStatus(peers).dump();
    };
    views.targets = [&watcher] {
        return targetsStatus(watcher).dump();
    };
    views.unknownClaims = [&claims](const std::string &scope, std::size_t most) {
        return unknownClaimsStatus(claims.unknownClaims(scope, most)).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    };
    views.fleetEvents = [&peers, &events](hlc_stamp after, const std::string &subject) {
        return fleetEvents(peers, events, after, subject, std::chrono::steady_clock::now() + eventsTimeout);
    };
    return views;
}

/// Who this process is, beyond its options.
struct process_start
{
    const process_options &options;
    incarnation_number incarnation;
};

/// Events, metrics, the log and the settings read from it.
static void addFoundations(kernel &services, const process_start &start)
{
    using namespace service_names;
    const process_options &options = start.options;
    auto &event = services.add(std::string(events), std::make_unique<event_service>(options.vm, keptEvents));
    services.add(std::string(metrics), std::make_unique<metrics_service>());
    auto &logs = services.add(
        std::string(log), std::make_unique<log_service>(options.vm, start.incarnation, options.platform, event, options.appendsPerMinute));
    services.add(std::string(settings), std::make_unique<settings_service>(logs, event));
}

/// The decisions of the request path, and the other VMs that take part in them.
static void addDecisions(kernel &services, std::optional<peer_tail_source> &tails, const process_start &start)
{
    using namespace service_names;
    const process_options &options = start.options;
    auto &event = services.find<event_service>(events);
    auto &logs = services.find<log_service>(log);
    auto &tree = services.find<settings_service>(settings);
    auto &decide = services.add(std::string(decisions), std::make_unique<decision_service>(options.domain, event));
    const peer_identity self{options.vm, start.incarnation, options.domain, options.peer, options.admin};
    auto &peer = services.add(std::string(peers), std::make_unique<peer_service>(self, options.join, tree, event));
    tree.setTails(tails.emplace(peer));
    serveTail(peer, tree);
    serveEvents(peer, event);
    services.add(std::string(quarantines), std::make_unique<quarantine_service>(logs, decide, peer));
    services.add(std::string(leases), std::make_unique<lease_service>(decide, peer));
    services.add(std::string(quarantineBoot), std::make_unique<quarantine_boot_service>(logs, decide));
    auto &cancel = services.add(std::string(cancels), std::make_unique<cancel_service>(services.find<metrics_service>(metrics).registry()));
    decide.handlers().cancelAttempt = [&cancel](const cancel_attempt &action) {
        cancel.cancel(action);
    };
    claim_options claiming;
    claiming.vm = options.vm;
    claiming.incarnation = start.incarnation;
    const claim_surroundings around{logs, decide, tree, event, options.platform ? &peer : nullptr};
    services.add(std::string(claims), std::make_unique<claims_service>(claiming, around));
}

/// The targets: who watches them, and who decides what they hold.
static void addTargets(kernel &services, const process_start &start)
{
    using namespace service_names;
    const process_options &options = start.options;
    auto &event = services.find<event_service>(events);
    auto &tree = services.find<settings_service>(settings);
    auto &decide = services.find<decision_service>(decisions);
    auto &peer = services.find<peer_service>(peers);
    auto &watch = services.add(std::string(watcher), std::make_unique<watcher_service>(tree, event, decide, peer));
    auto &list = services.add(std::string(listing), std::make_unique<listing_service>(options.platform, options.targets, tree, peer));
    list.onChange([&watch](const vm_listing &changed) {
        watch.takeListing(changed);
    });
    auto &logs = services.find<log_service>(log);
    auto &lead = services.add(std::string(leader), std::make_unique<leader_service>(options, start.incarnation, logs, tree, event));
    lead.listFrom(list);
}

/// The ports for callers and, last to open and first to close, for operators: the balancer asks the latter
/// whether the former takes requests.
static void addPorts(kernel &services, const process_options &options)
{
    using namespace service_names;
    auto &event = services.find<event_service>(events);
    auto &measured = services.find<metrics_service>(metrics).registry();
    auto &tree = services.find<settings_service>(settings);
    auto &decide = services.find<decision_service>(decisions);
    auto &lead = services.find<leader_service>(leader);
    claims_service &claiming = services.find<claims_service>(claims);
    const auto window = [&claiming] {
        return claiming.window();
    };
    services.add(std::string(callers), std::make_unique<caller_service>(options, tree, session_services{decide, event, measured}, window));
    auto &operators = services.add(std::string(admin), std::make_unique<admin_service>(options, event, tree, decide, measured, lead));
    operators.setViews(viewsOf(services.find<peer_service>(peers), services.find<watcher_service>(watcher), event, claiming));
}

/// Catches the signals that end a node from its construction on, so that one that comes while services
/// start is not lost.
class end_signals
{
public:
    end_signals()
        : m_signals(m_context, SIGTERM, SIGINT)
    {
        m_signals.async_wait([](const asio::error_code &, int) {});
    }

    void wait()
    {
        m_context.run();
    }

private:
    asio::io_context m_context;
    asio::signal_set m_signals;
};

static void drain(decision_service &decisions, const process_options &options)
{
    decisions.post(drain_started{});
    const instant deadline = monotonicNow() + options.drain;
    while (decisions.openRequests() > 0 && monotonicNow() < deadline) {
        std::this_thread::sleep_for(drainPoll);
    }
}

void runNode(const process_options &options)
{
    end_signals signals;
    std::optional<peer_tail_source> tails;
    kernel services;
    const process_start start{options, incarnation_number(static_cast<std::uint64_t>(wallNow().time_since_epoch().count()))};
    addFoundations(services, start);
    addDecisions(services, tails, start);
    addTargets(services, start);
    addPorts(services, options);
    const scope_guard stopServices([&] {
        services.stopAll();
    });
    services.startAll();
    event_service &events = services.find<event_service>(service_names::events);
    events.emit(timeline_event(event_kind::VmStarted, options.vm.text()).with(event_field::Domain, options.domain));
    signals.wait();
    events.emit(timeline_event(event_kind::VmDraining, options.vm.text()));
    services.find<peer_service>(service_names::peers).startDraining();
    services.find<leader_service>(service_names::leader).drain();
    drain(services.find<decision_service>(service_names::decisions), options);
    events.emit(timeline_event(event_kind::VmStopped, options.vm.text()));
}

} // namespace fuchsialoom
