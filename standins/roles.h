/// \file
/// The roles of the stand-in program.
#pragma once

#include "fuchsialoom/core/targets.h"

#include <map>
#include <string>

namespace fuchsialoom
{

/// OPTION=VALUE words.
class standin_options
{
public:
    standin_options(int count, char **words);

    std::string text(const std::string &name, const std::string &fallback) const;
    long number(const std::string &name, long fallback) const;
    /// Whether the option is `yes`, `true` or `1`.
    bool flag(const std::string &name) const;

private:
    std::map<std::string, std::string> m_values;
};

/// Each role serves until the process ends. \throws error(InvalidOption) where it can't listen.

/// A model engine or plain service. Options: see README.md.
void runEngine(const endpoint &address, const standin_options &options);

/// The platform: the log and the list of VMs and targets (PUT /vms sets it).
void runPlatform(const endpoint &address, const standin_options &options);

/// A TCP forwarder. Options: to, admin.
void runForward(const endpoint &address, const standin_options &options);

} // namespace fuchsialoom
