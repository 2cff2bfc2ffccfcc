#pragma once

#include "proxy/transfer.h"

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>

#include <atomic>
#include <queue>
#include <thread>
#include <variant>

namespace Filbertmount {

/** Runs transfers on one thread, with one curl multi handle and its connection pool. */
class TransferWorker
{
public:
    TransferWorker();
    TransferWorker(const TransferWorker &) = delete;
    TransferWorker &operator=(const TransferWorker &) = delete;
    ~TransferWorker();

    void start(std::shared_ptr<Transfer> transfer);
    void cancel(std::shared_ptr<Transfer> transfer);
    void resume(std::shared_ptr<Transfer> transfer);

private:
    enum class Action : std::uint8_t {
        Start,
        Cancel,
        Resume,
    };
    struct Command {
        Action action = Action::Start;
        std::shared_ptr<Transfer> transfer;
    };
    struct Timer {
        Instant due;
        std::weak_ptr<Transfer> transfer;
        bool operator<(const Timer &other) const
        {
            return due > other.due;
        }
    };

    void post(Command command);
    void run();
    [[nodiscard]] bool hasCommands();
    void executeCommands();
    void execute(const Command &command);
    void startTransfer(const std::shared_ptr<Transfer> &transfer);
    void finishEndedTransfers();
    void removeHandle(CURL *easy);
    void runTimers();
    [[nodiscard]] int pollTimeoutMs();

    CURLM *m_multi;
    absl::flat_hash_map<CURL *, std::shared_ptr<Transfer>> m_running;
    std::vector<CURL *> m_idleHandles;
    std::vector<Command> m_executing;
    std::priority_queue<Timer> m_timers;

    absl::Mutex m_mutex;
    std::vector<Command> m_commands ABSL_GUARDED_BY(m_mutex);
    std::atomic<bool> m_stopping = false;
    std::thread m_thread;
};

} // namespace Filbertmount
