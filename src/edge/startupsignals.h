#pragma once

#include <csignal>
#include <initializer_list>

namespace Filbertmount {

/**
 * Defers SIGHUP, SIGTERM and SIGINT until the process has installed its handlers; their default action would end it.
 * Create it before any other thread; threads that start meanwhile inherit the block.
 */
class StartupSignalBlock
{
public:
    StartupSignalBlock()
    {
        sigset_t blocked;
        sigemptyset(&blocked);
        for (const int signal : {SIGHUP, SIGTERM, SIGINT}) {
            sigaddset(&blocked, signal);
        }
        pthread_sigmask(SIG_BLOCK, &blocked, &m_before);
    }
    ~StartupSignalBlock()
    {
        release();
    }
    StartupSignalBlock(const StartupSignalBlock &) = delete;
    StartupSignalBlock &operator=(const StartupSignalBlock &) = delete;

    /** Delivers the deferred signals. Call it once the handlers are installed. */
    void release()
    {
        pthread_sigmask(SIG_SETMASK, &m_before, nullptr);
    }

private:
    sigset_t m_before{};
};

} // namespace Filbertmount
