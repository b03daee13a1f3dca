/// \file
/// The process on every entry VM: a thin main over the node package, or over the users' platform.
#include "fuchsialoom/node/node.h"
#include "fuchsialoom/platform/platform_node.h"
#include "fuchsialoom/platform/platform_settings.h"

#include "fuchsialoom/support/errors.h"
#include "fuchsialoom/wire/http_server.h"

#include <iostream>

using namespace fuchsialoom;

static constexpr int exitUsage = 2;

int main(int argc, char **argv)
{
    try {
        const parsed_options parsed = parseProcessOptions(argc, argv);
        switch (parsed.request) {
        case options_request::Help:
            std::cout << processHelp();
            return 0;
        case options_request::Version:
            std::cout << versionText() << '\n';
            return 0;
        case options_request::CheckSettings:
            if (!parsed.options.config.empty()) {
                readPlatformSettings(parsed.options.config);
            }
            makeServer(parsed.options.tls);
            std::cout << "settings are valid\n";
            return 0;
        case options_request::Run:
            configureLog(parsed.options.logLevel);
            if (!parsed.options.config.empty()) {
                runPlatformNode(parsed.options.config);
                return 0;
            }
            runNode(parsed.options);
            return 0;
        }
    } catch (const error &problem) {
        std::cerr << "fuchsialoomd: " << problem.info().detail << '\n';
        return exitUsage;
    }
    return 0;
}
