/// \file
/// The operator's command line: options, and which command runs.
#include "admin_client.h"
#include "claims_command.h"
#include "context.h"
#include "events.h"
#include "fuchsialoom/node/process_options.h"
#include "fuchsialoom/support/errors.h"
#include "log_commands.h"
#include "quarantines_command.h"
#include "settings_commands.h"
#include "status_command.h"
#include "teams_command.h"

#include <boost/program_options.hpp>

#include <algorithm>
#include <array>
#include <iostream>
#include <string_view>

using namespace fuchsialoom;
using namespace fuchsialoom::ctl;
namespace po = boost::program_options;

struct command
{
    std::string_view name;
    std::string_view form;
    exit_code (*run)(const context &, const words &);
};

static constexpr std::array commands{
    command{"set", "set PATH KEY=VALUE...    several edits are one change; the root is /", setSettings},
    command{"unset", "unset PATH KEY...        the parent's value holds again", unsetSettings},
    command{"get", "get [PATH] [KEY]         what is written, or with KEY what holds and where it comes from", getSettings},
    command{"diff", "diff FILE                what apply would change", diffFile},
    command{"apply", "apply FILE               the whole file as one change: JSON, or lines of PATH KEY=VALUE", applyFile},
    command{"history", "history [PATH]           the latest changes with operator, offset and verdict", showHistory},
    command{"schema", "schema [--markdown]      every setting there is", showSchema},
    command{"status", "status                   every VM named by --vm", showStatus},
    command{"teams", "teams [TEAM...]          use and credit of quotas at each VM named by --vm, by its metrics port", showTeams},
    command{"quarantines",
            "quarantines [FINGERPRINT...]  requests refused because they crashed targets, by metrics port as teams",
            showQuarantines},
    command{"claims", "claims --unknown [SCOPE] requests that may have run, to reconcile; SCOPE begins BRAND/SERVICE/KEY", showClaims},
    command{"timeline", "timeline [--since S]     the events of all VMs, of the last S seconds", showTimeline},
    command{"explain", "explain ID [FILE...]     the story of one request, order, target or setting; from logs where named", explain},
    command{"losses", "losses FILE...           from logs: how requests ended, by route and cause", showLosses},
};

static po::options_description describeOptions()
{
    std::string text = "fuchsialoomctl [OPTIONS] COMMAND\n\n";
    for (const command &entry : commands) {
        text += "  " + std::string(entry.form) + '\n';
    }
    text += "\nExit status: 0 done, 1 refused or failed, 2 usage, 3 outcome unknown\n";
    text += "\nOptions (--admin and --operator also as FUCHSIALOOMCTL_ADMIN and FUCHSIALOOMCTL_OPERATOR)";
    po::options_description options(text);
    // clang-format off
    options.add_options()
        ("help", "print this and exit")
        ("version", "print the version and exit")
        ("check-settings", "check the options and exit; asks no VM")
        ("vm", po::value<words>()->composing(), "HOST:PORT of a VM's admin port; may be given several times")
        ("admin", po::value<words>()->composing(), "the same as --vm")
        ("operator", po::value<std::string>()->default_value("fuchsialoomctl"), "who makes the change")
        ("since", po::value<std::string>(), "timeline: seconds back from now")
        ("unknown", po::bool_switch(), "claims: those whose outcome is unknown")
        ("most", po::value<std::string>(), "claims: how many to list, 1 to 1000; 100 unless given")
        ("json", po::bool_switch(), "output for machines")
        ("markdown", po::bool_switch(), "schema as the page docs/SETTINGS.md");
    // clang-format on
    return options;
}

static endpoint parseAddress(const std::string &flag, const std::string &text)
{
    try {
        return parseEndpoint(text);
    } catch (const error &) {
        throw error(error_kind::InvalidOption, "--" + flag + " '" + text + "' is not of the form HOST:PORT");
    }
}

static constexpr std::string_view environmentPrefix = "FUCHSIALOOMCTL_";

/// The flag that the environment variable \p name stands for, or "" when it is none of ours.
static std::string flagOfVariable(const std::string &name)
{
    if (!name.starts_with(environmentPrefix)) {
        return {};
    }
    for (const char *flag : {"admin", "operator"}) {
        if (name == variableOf(environmentPrefix, flag)) {
            return flag;
        }
    }
    throw error(error_kind::InvalidOption,
                "environment variable " + name + " is unknown, allowed are FUCHSIALOOMCTL_ADMIN and FUCHSIALOOMCTL_OPERATOR");
}

static context contextOf(const po::variables_map &variables)
{
    context with;
    for (const char *flag : {"vm", "admin"}) {
        if (variables.count(flag) > 0) {
            for (const std::string &address : variables[flag].as<words>()) {
                with.vms.push_back(parseAddress(flag, address));
            }
        }
    }
    if (with.vms.empty()) {
        with.vms.push_back(parseEndpoint("127.0.0.1:8081"));
    }
    with.operatorName = variables["operator"].as<std::string>();
    with.json = variables["json"].as<bool>();
    return with;
}

static exit_code runCommand(const po::variables_map &variables, words arguments)
{
    const std::string name = arguments.front();
    arguments.erase(arguments.begin());
    if (variables["markdown"].as<bool>()) {
        arguments.emplace_back("--markdown");
    }
    if (variables["unknown"].as<bool>()) {
        arguments.emplace_back("--unknown");
    }
    for (const char *flag : {"since", "most"}) {
        if (variables.count(flag) > 0) {
            arguments.push_back(std::string("--") + flag + '=' + variables[flag].as<std::string>());
        }
    }
    std::string allowed;
    for (const command &entry : commands) {
        if (entry.name == name) {
            return entry.run(contextOf(variables), arguments);
        }
        allowed += (allowed.empty() ? "" : ", ") + std::string(entry.name);
    }
    throw error(error_kind::InvalidOption, "command '" + name + "' is unknown, allowed are " + allowed);
}

/// One line for what Boost.Program_options found wrong with the command line.
static std::string describeProblem(const po::error &problem, const po::options_description &known)
{
    const std::string text = problem.what();
    const auto *named = dynamic_cast<const po::error_with_option_name *>(&problem);
    const std::string name = named == nullptr ? std::string() : named->get_option_name();
    const std::string flag = name.substr(std::min(name.find_first_not_of('-'), name.size()));
    const po::option_description *option = known.find_nothrow(flag, false);
    return text + (option == nullptr ? "; --help lists what is allowed" : "; allowed: " + option->description());
}

static po::variables_map readOptions(int argc, char **argv, const po::options_description &visible)
{
    // An abbreviated flag would change its meaning when a longer one is added.
    static constexpr int style = po::command_line_style::unix_style & ~po::command_line_style::allow_guessing;
    po::options_description all;
    all.add(visible).add_options()("command", po::value<words>());
    po::positional_options_description positions;
    positions.add("command", -1);
    po::variables_map variables;
    try {
        po::store(po::command_line_parser(argc, argv).options(all).positional(positions).style(style).run(), variables);
        if (variables.count("vm") == 0) {
            po::store(po::parse_environment(all, flagOfVariable), variables);
        }
        po::notify(variables);
    } catch (const po::error &problem) {
        throw error(error_kind::InvalidOption, describeProblem(problem, visible));
    }
    return variables;
}

static exit_code run(int argc, char **argv)
{
    const po::options_description visible = describeOptions();
    const po::variables_map variables = readOptions(argc, argv, visible);
    if (variables.count("version") > 0) {
        std::cout << versionText() << '\n';
        return exit_code::Done;
    }
    if (variables.count("help") > 0) {
        std::cout << visible;
        return exit_code::Done;
    }
    if (variables.count("check-settings") > 0) {
        contextOf(variables);
        std::cout << "options are valid\n";
        return exit_code::Done;
    }
    if (variables.count("command") == 0) {
        throw error(error_kind::InvalidOption, "a command is missing; --help lists what is allowed");
    }
    return runCommand(variables, variables["command"].as<words>());
}

/// Failures before anything was sent: bad input is the operator's, the rest is not.
static exit_code codeOf(const error &problem)
{
    switch (problem.kind()) {
    case error_kind::InvalidOption:
    case error_kind::InvalidSetting:
        return exit_code::Usage;
    default:
        return exit_code::Failed;
    }
}

int main(int argc, char **argv)
{
    exit_code code = exit_code::Usage;
    try {
        code = run(argc, argv);
    } catch (const error &problem) {
        std::cerr << "fuchsialoomctl: " << problem.info().detail << '\n';
        code = codeOf(problem);
    } catch (const nlohmann::json::exception &) {
        std::cerr << "fuchsialoomctl: a VM's answer can't be understood\n";
        code = exit_code::Failed;
    }
    return static_cast<int>(code);
}
