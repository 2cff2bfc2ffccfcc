#include "signalloop.h"

#include <filbertmount/settings/parseinstancesettings.h>
#include <filbertmount/telemetry/log.h>

#include <boost/leaf/handle_errors.hpp>

#include <algorithm>

namespace Filbertmount {

namespace {

// Time between two looks at whether a drain has finished.
constexpr Duration DrainInterval = std::chrono::milliseconds(50);

bool isStop(int signal)
{
    return signal == SIGTERM || signal == SIGINT;
}

ReloadableSettings reread(const std::string &fileName, const ReloadableSettings &current)
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

int SignalLoop::wait(Duration longest) const
{
    const auto seconds = std::chrono::floor<std::chrono::seconds>(longest);
    const timespec limit{.tv_sec = seconds.count(), .tv_nsec = (longest - seconds).count()};
    return std::max(0, sigtimedwait(&m_signals, nullptr, &limit));
}

void SignalLoop::run(EntryInstance &instance, const std::string &settingsFile, ReloadableSettings settings) const
{
    while (true) {
        const int signal = wait(std::chrono::hours(1));
        if (isStop(signal)) {
            drain(instance, settings.drainGrace);
            return;
        }
        if (signal == SIGHUP) {
            settings = reread(settingsFile, settings);
            instance.reload(settings);
        }
    }
}

void SignalLoop::drain(EntryInstance &instance, Duration grace) const
{
    logLine(LogLevel::Info, "draining");
    instance.announceDrain();
    // The platform's balancer learns from the readiness to send no more requests. A second signal cuts the time short.
    const Instant graceEnd = ProcessClock::now() + grace;
    for (Instant now = ProcessClock::now(); now < graceEnd; now = ProcessClock::now()) {
        if (isStop(wait(graceEnd - now))) {
            break;
        }
    }
    instance.drain();
    while (!instance.drained()) {
        if (isStop(wait(DrainInterval))) {
            return;
        }
    }
}

} // namespace Filbertmount
