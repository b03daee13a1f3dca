/// \file
/// The role `forward`: a TCP forwarder and the admin port that sets its faults.
#include "forwarder.h"
#include "roles.h"
#include "standin_server.h"

#include <thread>

namespace fuchsialoom
{

using json = nlohmann::json;

static void setFaults(forwarder &between, const json &change)
{
    if (change.value("swallow", false)) {
        between.swallow();
    }
    if (change.contains("cut")) {
        between.cut(change["cut"].get<bool>());
    }
}

void runForward(const endpoint &address, const standin_options &options)
{
    asio::io_context context;
    forwarder between(context, address, parseEndpoint(options.text("to", "")));
    std::thread([&context] {
        context.run();
    }).detach();
    httplib::Server admin;
    prepareServer(admin);
    admin.Post("/faults", [&between](const httplib::Request &from, httplib::Response &) {
        setFaults(between, json::parse(from.body));
    });
    serve(admin, parseEndpoint(options.text("admin", "")));
}

} // namespace fuchsialoom
