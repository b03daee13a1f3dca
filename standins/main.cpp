/// \file
/// One small program that takes the place of what the system meets outside, in the role it is told.
#include "roles.h"

#include "fuchsialoom/support/errors.h"

#include <array>
#include <iostream>
#include <string>
#include <string_view>

using namespace fuchsialoom;

static constexpr int exitUsage = 2;

struct standin_role
{
    std::string_view name;
    void (*run)(const endpoint &, const standin_options &);
};

static constexpr std::array roles{
    standin_role{"engine", runEngine},
    standin_role{"platform", runPlatform},
    standin_role{"forward", runForward},
};

static void runRole(const std::string &name, const endpoint &address, const standin_options &options)
{
    for (const standin_role &role : roles) {
        if (role.name == name) {
            role.run(address, options);
            return;
        }
    }
    throw error(error_kind::InvalidOption, "role '" + name + "' is unknown");
}

/// fuchsialoom_standin ROLE HOST:PORT [OPTION=VALUE ...]
int main(int argc, char **argv)
{
    if (argc < 3) {
        std::cerr << "fuchsialoom_standin ROLE HOST:PORT [OPTION=VALUE ...]; ROLE is engine, platform or forward\n";
        return exitUsage;
    }
    try {
        runRole(argv[1], parseEndpoint(argv[2]), standin_options(argc - 3, argv + 3));
        return 0;
    } catch (const error &problem) {
        std::cerr << "fuchsialoom_standin: " << problem.info().detail << '\n';
    }
    return exitUsage;
}
