#pragma once

#include <filbertmount/instance/entryinstance.h>

#include <csignal>
#include <string>

namespace Filbertmount {

/**
 * Waits for SIGTERM, SIGINT and SIGHUP. Must be constructed before any thread is started, so that all threads inherit the mask
 * that blocks these signals.
 */
class SignalLoop
{
public:
    SignalLoop();

    /**
     * Reloads the settings on SIGHUP and drains the instance on SIGTERM or SIGINT. Returns once the instance is drained. A second
     * SIGTERM or SIGINT ends the grace period early; one that arrives after the grace period ends the wait for the drain.
     */
    void run(EntryInstance &instance, const std::string &settingsFile, ReloadableSettings settings) const;

private:
    /** Returns the number of the next signal, or 0 if none arrives within the timeout. */
    [[nodiscard]] int wait(Duration timeout) const;
    void drain(EntryInstance &instance, Duration grace) const;

    sigset_t m_signals{};
};

} // namespace Filbertmount
