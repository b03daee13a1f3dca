/// \file
/// The logger of the process, through easylogging++.
#include "fuchsialoom/support/log_sink.h"

#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

namespace fuchsialoom
{

void configureLog(log_level level)
{
    el::Configurations configuration;
    configuration.setToDefault();
    configuration.setGlobally(el::ConfigurationType::Format, "time=%datetime{%Y-%M-%dT%H:%m:%s.%g} %msg");
    configuration.setGlobally(el::ConfigurationType::ToFile, "false");
    configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    configuration.setGlobally(el::ConfigurationType::Enabled, level == log_level::Quiet ? "false" : "true");
    el::Loggers::reconfigureAllLoggers(configuration);
}

void writeLogLine(std::string_view line)
{
    LOG(INFO) << line;
}

} // namespace fuchsialoom
