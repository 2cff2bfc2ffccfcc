#include "signalloop.h"

#include <filbertmount/instance/entryinstance.h>
#include <filbertmount/settings/parseinstancesettings.h>
#include <filbertmount/telemetry/log.h>

#include <boost/leaf/handle_errors.hpp>
#include <tclap/CmdLine.h>

#include <iostream>

namespace {

using namespace Filbertmount;

struct Arguments {
    std::string settingsFile;
    bool checkOnly = false;
};

Arguments parseArguments(int argc, char **argv)
{
    TCLAP::CmdLine line(
        "HTTP/1.1 load balancer. SIGTERM and SIGINT drain and stop the instance, SIGHUP reloads the settings file.",
        ' ',
        FILBERTMOUNT_VERSION);
    TCLAP::ValueArg<std::string> settings("s", "settings", "settings file (TOML)", true, "", "file", line);
    TCLAP::SwitchArg check("c", "check", "check the settings and the service documents that they name, then exit", line);
    line.parse(argc, argv);
    return {.settingsFile = settings.getValue(), .checkOnly = check.getValue()};
}

Result<void> run(const Arguments &arguments)
{
    BOOST_LEAF_AUTO(settings, readInstanceSettings(arguments.settingsFile));
    if (arguments.checkOnly) {
        return checkDocumentFiles(settings);
    }
    const SignalLoop signals;
    setUpLog({.level = settings.reloadable.logLevel, .instance = settings.identity.id.value()});
    BOOST_LEAF_AUTO(instance, EntryInstance::start(settings));
    logLine(LogLevel::Info,
            "serving",
            {{.name = "caller_port", .value = std::int64_t{instance->callerPort()}},
             {.name = "administration_port", .value = std::int64_t{instance->adminPort()}}});
    signals.run(*instance, arguments.settingsFile, settings.reloadable);
    logLine(LogLevel::Info, "stopped");
    return {};
}

} // namespace

int main(int argc, char **argv)
{
    const Arguments arguments = parseArguments(argc, argv);
    return boost::leaf::try_handle_all(
        [&]() -> Result<int> {
            BOOST_LEAF_CHECK(run(arguments));
            return 0;
        },
        [](const Failure &failure) {
            std::cerr << "filbertmountd: " << describe(failure) << "\n";
            return 1;
        },
        [] {
            std::cerr << "filbertmountd: unknown error\n";
            return 1;
        });
}
