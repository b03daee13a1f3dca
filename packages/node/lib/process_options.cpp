/// \file
/// The settings of one process, through Boost.Program_options.
#include "fuchsialoom/node/process_options.h"

#include "fuchsialoom/support/errors.h"

#include <boost/program_options.hpp>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <iterator>
#include <sstream>
#include <utility>

namespace fuchsialoom
{

namespace po = boost::program_options;

static constexpr std::string_view environmentPrefix = "FUCHSIALOOM_";

/// The texts of all options, before they are checked.
struct option_texts
{
#define FUCHSIALOOM_OPTION(Member, Flag, Default, Help) std::string Member;
#include "fuchsialoom/node/process_options.def"
};

static po::options_description describeOptions(option_texts &texts)
{
    po::options_description description("fuchsialoomd: serves callers on one entry VM\n\nOptions (each also as FUCHSIALOOM_NAME)");
    // clang-format off
    description.add_options()
        ("help", "print this and exit")
        ("version", "print the version and exit")
        ("check-settings", "check the settings and exit")
#define FUCHSIALOOM_OPTION(Member, Flag, Default, Help) (Flag, po::value(&texts.Member)->default_value(Default), Help)
#include "fuchsialoom/node/process_options.def"
        ;
    // clang-format on
    return description;
}

[[noreturn]] static void refuse(std::string_view flag, std::string_view value, std::string_view allowed)
{
    throw error(error_kind::InvalidOption, "--" + std::string(flag) + " '" + std::string(value) + "' is not " + std::string(allowed));
}

std::string variableOf(std::string_view prefix, std::string_view flag)
{
    std::string name(prefix);
    std::transform(flag.begin(), flag.end(), std::back_inserter(name), [](unsigned char letter) {
        return letter == '-' ? '_' : static_cast<char>(std::toupper(letter));
    });
    return name;
}

struct option_text
{
    std::string_view flag;
    std::string_view help;
};

/// Every option that takes a value.
static constexpr auto valuedOptions = std::to_array<option_text>({
#define FUCHSIALOOM_OPTION(Member, Flag, Default, Help) {Flag, Help},
#include "fuchsialoom/node/process_options.def"
});

/// The flag that the environment variable \p name stands for, or "" when it is none of ours.
static std::string flagOfVariable(const std::string &name)
{
    if (!name.starts_with(environmentPrefix)) {
        return {};
    }
    for (const option_text &option : valuedOptions) {
        if (variableOf(environmentPrefix, option.flag) == name) {
            return std::string(option.flag);
        }
    }
    throw error(error_kind::InvalidOption, "environment variable " + name + " is unknown; --help lists what is allowed");
}

/// One line for what Boost.Program_options found wrong with the command line.
static std::string describeProblem(const po::error_with_option_name &problem)
{
    const std::string name = problem.get_option_name();
    const std::string flag = name.substr(std::min(name.find_first_not_of('-'), name.size()));
    for (const option_text &option : valuedOptions) {
        if (option.flag == flag) {
            return std::string(problem.what()) + "; allowed: " + std::string(option.help);
        }
    }
    return std::string(problem.what()) + "; --help lists what is allowed";
}

std::size_t parseCount(std::string_view flag, const std::string &text, std::size_t least, std::size_t most)
{
    std::size_t value = 0;
    const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (code != std::errc() || end != text.data() + text.size() || value < least || value > most) {
        refuse(flag, text, "a number from " + std::to_string(least) + " to " + std::to_string(most));
    }
    return value;
}

static endpoint parseAddress(std::string_view flag, const std::string &text)
{
    try {
        return parseEndpoint(text);
    } catch (const error &) {
        refuse(flag, text, "of the form HOST:PORT");
    }
}

static std::string requireName(std::string_view flag, const std::string &text)
{
    const bool plain = std::all_of(text.begin(), text.end(), [](unsigned char letter) {
        return std::isalnum(letter) != 0 || letter == '-' || letter == '_' || letter == '.';
    });
    if (text.empty() || !plain) {
        refuse(flag, text, "a name of letters, digits, '-', '_' and '.'");
    }
    return text;
}

static listed_target parseTarget(const std::string &text, const domain_id &domain)
{
    static constexpr std::string_view form = "of the form ID=KIND@HOST:PORT";
    const std::size_t equals = text.find('=');
    const std::size_t at = text.find('@');
    if (equals == std::string::npos || at == std::string::npos || at < equals) {
        refuse("targets", text, form);
    }
    const std::optional<target_kind> kind = parseName<target_kind>(text.substr(equals + 1, at - equals - 1));
    if (!kind) {
        refuse("targets", text, form);
    }
    listed_target target;
    target.id = target_id(requireName("targets", text.substr(0, equals)));
    target.kind = *kind;
    target.domain = domain;
    target.pool = pool_id("local");
    target.address = parseAddress("targets", text.substr(at + 1));
    return target;
}

static std::vector<listed_target> parseTargets(const std::string &text, const domain_id &domain)
{
    std::vector<listed_target> targets;
    std::istringstream parts(text);
    for (std::string part; std::getline(parts, part, ',');) {
        listed_target target = parseTarget(part, domain);
        const bool repeated = std::any_of(targets.begin(), targets.end(), [&](const listed_target &other) {
            return other.id == target.id;
        });
        if (repeated) {
            refuse("targets", part, "the only target of its id");
        }
        targets.push_back(std::move(target));
    }
    return targets;
}

static std::vector<endpoint> parseAddresses(std::string_view flag, const std::string &text)
{
    std::vector<endpoint> addresses;
    std::istringstream parts(text);
    for (std::string part; std::getline(parts, part, ',');) {
        addresses.push_back(parseAddress(flag, part));
    }
    return addresses;
}

/// A certificate without its key, or a key alone, would quietly serve plain HTTP.
static std::optional<tls_files> parseTls(const std::string &certificate, const std::string &key)
{
    if (certificate.empty() && key.empty()) {
        return std::nullopt;
    }
    if (certificate.empty()) {
        refuse("tls-cert", certificate, "a PEM file, which --tls-key needs");
    }
    if (key.empty()) {
        refuse("tls-key", key, "a PEM file, which --tls-cert needs");
    }
    return tls_files{certificate, key};
}

static log_level parseLogLevel(const std::string &text)
{
    if (text == "quiet") {
        return log_level::Quiet;
    }
    if (text != "events") {
        refuse("log-level", text, "events or quiet");
    }
    return log_level::Events;
}

static process_options checkOptions(const option_texts &texts)
{
    static constexpr std::size_t mostStreams = 100000;
    static constexpr std::size_t mostAppends = 1000000;
    static constexpr std::size_t mostReserve = 10000;
    static constexpr std::size_t longestDrainMs = 86400000;
    process_options options;
    options.vm = vm_id(requireName("vm", texts.vm));
    options.domain = domain_id(requireName("domain", texts.domain));
    options.listen = parseAddress("listen", texts.listen);
    options.admin = parseAddress("admin", texts.admin);
    options.peer = parseAddress("peer", texts.peer);
    options.join = parseAddresses("join", texts.join);
    if (texts.log != "memory") {
        options.platform = parseAddress("log", texts.log);
    }
    options.appendsPerMinute = static_cast<std::uint32_t>(parseCount("appends-per-minute", texts.appendsPerMinute, 1, mostAppends));
    options.targets = parseTargets(texts.targets, options.domain);
    options.streams = parseCount("streams", texts.streams, 1, mostStreams);
    options.refusalReserve = parseCount("refusal-reserve", texts.refusalReserve, 1, mostReserve);
    options.tls = parseTls(texts.tlsCert, texts.tlsKey);
    options.drain = milliseconds(parseCount("drain-ms", texts.drainMs, 0, longestDrainMs));
    options.logLevel = parseLogLevel(texts.logLevel);
    options.config = texts.config;
    return options;
}

static void refuseWords(const po::parsed_options &line)
{
    for (const po::option &option : line.options) {
        if (option.position_key >= 0) {
            throw error(error_kind::InvalidOption,
                        "positional word '" + option.value.front() + "' is not an option; --help lists what is allowed");
        }
    }
}

parsed_options parseProcessOptions(int argc, const char *const *argv)
{
    option_texts texts;
    const po::options_description description = describeOptions(texts);
    po::variables_map variables;
    try {
        // An abbreviated flag would change its meaning when a longer one is added.
        static constexpr int style = po::command_line_style::unix_style & ~po::command_line_style::allow_guessing;
        const po::parsed_options line = po::command_line_parser(argc, argv).options(description).style(style).run();
        refuseWords(line);
        po::store(line, variables);
        po::store(po::parse_environment(description, flagOfVariable), variables);
        po::notify(variables);
    } catch (const po::error_with_option_name &problem) {
        throw error(error_kind::InvalidOption, describeProblem(problem));
    } catch (const po::error &problem) {
        throw error(error_kind::InvalidOption, problem.what());
    }
    if (variables.count("help") > 0) {
        return parsed_options{options_request::Help, {}};
    }
    if (variables.count("version") > 0) {
        return parsed_options{options_request::Version, {}};
    }
    const options_request request = variables.count("check-settings") > 0 ? options_request::CheckSettings : options_request::Run;
    return parsed_options{request, checkOptions(texts)};
}

std::string processHelp()
{
    option_texts texts;
    std::ostringstream out;
    out << describeOptions(texts);
    return out.str();
}

std::string versionText()
{
    return "fuchsialoom 0.1.0";
}

} // namespace fuchsialoom
