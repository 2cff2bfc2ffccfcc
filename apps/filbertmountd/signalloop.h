#pragma once

#include <filbertmount/instance/entryinstance.h>

#include <csignal>
#include <string>

namespace Filbertmount {

/** Takes the signals of the process. Construct before any thread starts, so that all threads have them blocked. */
class SignalLoop
{
public:
    SignalLoop();

    /** Returns when a SIGTERM or SIGINT was followed by a whole drain, or when a second one arrived meanwhile. */
    void run(EntryInstance &instance, const std::string &settingsFile, ReloadableSettings settings) const;

private:
    /** Waits for a signal; 0 when none came in time. */
    [[nodiscard]] int wait(Duration longest) const;
    void drain(EntryInstance &instance, Duration grace) const;

    sigset_t m_signals{};
};

} // namespace Filbertmount
