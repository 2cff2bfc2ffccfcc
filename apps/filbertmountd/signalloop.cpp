#include "signalloop.h"

#include <filbertmount/settings/parseinstancesettings.h>
#include <filbertmount/telemetry/log.h>

#include <boost/leaf/handle_errors.hpp>

#include <algorithm>

namespace Filbertmount {

namespace {

// Interval for polling whether the instance is drained.
constexpr Duration DrainPollInterval = std::chrono::milliseconds(50);

bool isStopSignal(int signal)
{
    return signal == SIGTERM || signal == SIGINT;
}

ReloadableSettings rereadSettings(const std::string &fileName, const ReloadableSettings &current)
{
    return boost::leaf::try_handle_all(
        [&]() -> Result<ReloadableSettings> {
            BOOST_LEAF_AUTO(settings, readInstanceSettings(fileName));
            logLine(LogLevel::Info, "settings read again");
            return settings.reloadable;
        },
        [&](const Failure &failure) {
            logLine(LogLevel::Error, "the settings in force stay", {{.name = "error", .value = describe(failure)}});
            return current;
        },
        [&] {
            return current;
        });
}

} // namespace

SignalLoop::SignalLoop()
{
    sigemptyset(&m_signals);
    for (const int signal : {SIGTERM, SIGINT, SIGHUP}) {
        sigaddset(&m_signals, signal);
    }
    pthread_sigmask(SIG_BLOCK, &m_signals, nullptr);
}

int SignalLoop::wait(Duration timeout) const
{
    const auto seconds = std::chrono::floor<std::chrono::seconds>(timeout);
    const timespec limit{.tv_sec = seconds.count(), .tv_nsec = (timeout - seconds).count()};
    return std::max(0, sigtimedwait(&m_signals, nullptr, &limit));
}

void SignalLoop::run(EntryInstance &instance, const std::string &settingsFile, ReloadableSettings settings) const
{
    while (true) {
        const int signal = wait(std::chrono::hours(1));
        if (isStopSignal(signal)) {
            drain(instance, settings.drainGrace);
            return;
        }
        if (signal == SIGHUP) {
            settings = rereadSettings(settingsFile, settings);
            instance.reload(settings);
        }
    }
}

void SignalLoop::drain(EntryInstance &instance, Duration grace) const
{
    logLine(LogLevel::Info, "draining");
    instance.announceDrain();
    // During the grace period the platform's load balancer sees that the instance is not ready and stops sending requests.
    // A second signal ends the grace period early.
    const Instant graceEnd = ProcessClock::now() + grace;
    for (Instant now = ProcessClock::now(); now < graceEnd; now = ProcessClock::now()) {
        if (isStopSignal(wait(graceEnd - now))) {
            break;
        }
    }
    instance.drain();
    while (!instance.drained()) {
        if (isStopSignal(wait(DrainPollInterval))) {
            return;
        }
    }
}

} // namespace Filbertmount
