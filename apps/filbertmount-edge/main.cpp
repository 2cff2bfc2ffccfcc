#include "edge/edgeserver.h"
#include "edge/settingsreload.h"
#include "edge/startupsignals.h"
#include "edge/stateservice.h"

#include "httpnames.h"
#include "storeprotocol.h"

#include <filbertmount/edge/edgesettings.h>
#include <filbertmount/telemetry/log.h>

#include <boost/asio/signal_set.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <boost/system/system_error.hpp>
#include <tclap/CmdLine.h>

#include <algorithm>
#include <csignal>
#include <iostream>

namespace {

using namespace Filbertmount;

struct Arguments {
    std::string settingsFile;
    bool checkOnly = false;
};

Arguments parseArguments(int argc, char **argv)
{
    TCLAP::CmdLine line("Entry instance on the platform: routes requests to upstreams. SIGTERM and SIGINT drain and stop the "
                        "instance, SIGHUP reloads the settings file.",
                        ' ',
                        FILBERTMOUNT_VERSION);
    TCLAP::ValueArg<std::string> settings("s", "settings", "settings file (TOML)", true, "", "file", line);
    TCLAP::SwitchArg check("c", "check", "check the settings, then exit", line);
    line.parse(argc, argv);
    return {.settingsFile = settings.getValue(), .checkOnly = check.getValue()};
}

void configureLog(const EdgeSettings &settings)
{
    setUpLog({.level = settings.logLevel, .instance = settings.name, .output = LogOutput::StandardOutput});
}

std::string instanceNameFrom(std::string peerAddress)
{
    std::replace(peerAddress.begin(), peerAddress.end(), ':', '-');
    return peerAddress;
}

/** Shuts the server down on SIGTERM or SIGINT and reloads the settings on SIGHUP. */
class SignalHandler
{
public:
    SignalHandler(IoLoop &loop, EdgeServer &server, StateService<Platform::StoreProtocol> &state, SettingsReload &settings)
        : m_loop(loop)
        , m_server(server)
        , m_state(state)
        , m_settings(settings)
        , m_signals(loop, SIGTERM, SIGINT, SIGHUP)
    {
        wait();
    }

private:
    void wait()
    {
        m_signals.async_wait([this](const error_code &error, int signal) {
            if (error) {
                return;
            }
            if (signal == SIGHUP) {
                m_settings.reload();
            } else {
                m_state.depart();
                m_server.shutDown([this] {
                    m_loop.stop();
                });
            }
            wait();
        });
    }

    IoLoop &m_loop;
    EdgeServer &m_server;
    StateService<Platform::StoreProtocol> &m_state;
    SettingsReload &m_settings;
    Asio::signal_set m_signals;
};

Result<void> run(const Arguments &arguments, StartupSignalBlock &startupBlock)
{
    BOOST_LEAF_AUTO(settings, readEdgeSettings(arguments.settingsFile));
    if (arguments.checkOnly) {
        return {};
    }
    std::signal(SIGPIPE, SIG_IGN); // NOLINT(concurrency-mt-unsafe): no other thread runs yet.
    configureLog(settings);
    IoLoop loop(1);
    EdgeServer server(loop, settings, Platform::httpDialect());
    StateService<Platform::StoreProtocol> state(loop,
                                                Platform::StoreProtocol(),
                                                {.calls = {.store = *toTcpEndpoint(settings.store.text()),
                                                           .hasResumed =
                                                               [&server] {
                                                                   return server.detectSuspension();
                                                               }},
                                                 .instanceName = instanceNameFrom(server.peerAddress()),
                                                 .instance = {.peerAddress = server.peerAddress()},
                                                 .readsEvacuations = settings.zones.evacuations,
                                                 .needsInstances =
                                                     [&server] {
                                                         return server.leadsQuotas();
                                                     },
                                                 .onInstancesConfirmed =
                                                     [&server](Instant sentAt) {
                                                         server.confirmInstances(sentAt);
                                                     }},
                                                server.mirror(),
                                                server.replicator(),
                                                server.fleet(),
                                                server.knownInstances(),
                                                server.metrics(),
                                                [&server](const MirrorChanges &changes) {
                                                    server.onStateChange(changes);
                                                });
    server.setResumeHandler([&state] {
        state.rereadStore();
    });
    server.setStoreReturnHandler([&state] {
        state.onStoreReturn();
    });
    SettingsReload reload(loop, arguments.settingsFile, [&server](const EdgeSettings &changed) {
        configureLog(changed);
        server.applySettings(changed);
    });
    const SignalHandler signals(loop, server, state, reload);
    startupBlock.release();
    state.start();
    logLine(LogLevel::Info,
            "started",
            {{.name = "version", .value = std::string(FILBERTMOUNT_VERSION)},
             {.name = "callers", .value = settings.callers.text()},
             {.name = "zone", .value = settings.zone.value()}});
    loop.run();
    logLine(LogLevel::Info, "stopped");
    return {};
}

} // namespace

int main(int argc, char **argv)
{
    StartupSignalBlock startupBlock;
    const Arguments arguments = parseArguments(argc, argv);
    return boost::leaf::try_handle_all(
        [&]() -> Result<int> {
            try {
                BOOST_LEAF_CHECK(run(arguments, startupBlock));
            } catch (const boost::system::system_error &error) {
                return boost::leaf::new_error(Failure{.step = Step::Connect, .peer = "own address", .reason = error.what()});
            }
            return 0;
        },
        [](const Failure &failure) {
            std::cerr << "filbertmount-edge: " << describe(failure) << "\n";
            return 1;
        },
        [] {
            std::cerr << "filbertmount-edge: unknown error\n";
            return 1;
        });
}
