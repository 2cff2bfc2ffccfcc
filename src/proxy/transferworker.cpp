#include "proxy/transferworker.h"

#include <algorithm>
#include <utility>

namespace Filbertmount {

namespace {

// Upper limit of one poll; commands and socket events end it earlier.
constexpr int MaxPollTimeoutMs = 1000;

// Easy handles kept for reuse. Handles above this number, as after a burst, are freed.
constexpr std::size_t MaxIdleHandles = 64;

} // namespace

TransferWorker::TransferWorker()
    : m_multi(curl_multi_init())
{
    m_thread = std::thread([this] {
        run();
    });
}

TransferWorker::~TransferWorker()
{
    m_stopping = true;
    curl_multi_wakeup(m_multi);
    m_thread.join();
    for (CURL *easy : m_idleHandles) {
        curl_easy_cleanup(easy);
    }
    curl_multi_cleanup(m_multi);
}

void TransferWorker::start(std::shared_ptr<Transfer> transfer)
{
    post({.action = Action::Start, .transfer = std::move(transfer)});
}

void TransferWorker::cancel(std::shared_ptr<Transfer> transfer)
{
    post({.action = Action::Cancel, .transfer = std::move(transfer)});
}

void TransferWorker::resume(std::shared_ptr<Transfer> transfer)
{
    post({.action = Action::Resume, .transfer = std::move(transfer)});
}

void TransferWorker::post(Command command)
{
    bool first = false;
    {
        const absl::MutexLock lock(&m_mutex);
        first = m_commands.empty();
        m_commands.push_back(std::move(command));
    }
    // The worker executes all queued commands at once, so only the first one has to interrupt its poll.
    if (first) {
        curl_multi_wakeup(m_multi);
    }
}

void TransferWorker::run()
{
    while (!m_stopping) {
        executeCommands();
        int running = 0;
        curl_multi_perform(m_multi, &running);
        finishEndedTransfers();
        runTimers();
        curl_multi_poll(m_multi, nullptr, 0, pollTimeoutMs(), nullptr);
    }
    // Cancelling a transfer may make its listener start another one.
    do {
        executeCommands();
        while (!m_running.empty()) {
            execute({.action = Action::Cancel, .transfer = m_running.begin()->second});
        }
    } while (hasCommands());
}

bool TransferWorker::hasCommands()
{
    const absl::MutexLock lock(&m_mutex);
    return !m_commands.empty();
}

void TransferWorker::executeCommands()
{
    {
        const absl::MutexLock lock(&m_mutex);
        m_executing.swap(m_commands);
    }
    for (const Command &command : m_executing) {
        execute(command);
    }
    m_executing.clear();
}

void TransferWorker::execute(const Command &command)
{
    CURL *easy = command.transfer->easy();
    if (command.action == Action::Start) {
        startTransfer(command.transfer);
        return;
    }
    if (easy == nullptr) {
        return; // The transfer has ended.
    }
    if (command.action == Action::Resume) {
        curl_easy_pause(easy, CURLPAUSE_CONT);
        return;
    }
    removeHandle(easy);
    command.transfer->finishCancelled();
}

void TransferWorker::startTransfer(const std::shared_ptr<Transfer> &transfer)
{
    CURL *easy = nullptr;
    if (m_idleHandles.empty()) {
        easy = curl_easy_init();
    } else {
        easy = m_idleHandles.back();
        m_idleHandles.pop_back();
    }
    transfer->prepare(easy);
    m_running.emplace(easy, transfer);
    curl_multi_add_handle(m_multi, easy);
    if (const std::optional<Duration> slowAfter = transfer->slowAfter()) {
        m_timers.push({.due = ProcessClock::now() + *slowAfter, .transfer = transfer});
    }
}

void TransferWorker::removeHandle(CURL *easy)
{
    curl_multi_remove_handle(m_multi, easy);
    curl_easy_reset(easy);
    m_running.erase(easy);
    if (m_idleHandles.size() < MaxIdleHandles) {
        m_idleHandles.push_back(easy);
    } else {
        curl_easy_cleanup(easy);
    }
}

void TransferWorker::finishEndedTransfers()
{
    int left = 0;
    while (const CURLMsg *message = curl_multi_info_read(m_multi, &left)) {
        if (message->msg != CURLMSG_DONE) {
            continue;
        }
        // Removing the handle invalidates the message, so its fields are copied first.
        CURL *easy = message->easy_handle;
        const CURLcode code = message->data.result;
        const std::shared_ptr<Transfer> transfer = m_running.at(easy);
        removeHandle(easy);
        transfer->end(code);
    }
}

void TransferWorker::runTimers()
{
    while (!m_timers.empty() && m_timers.top().due <= ProcessClock::now()) {
        const std::shared_ptr<Transfer> transfer = m_timers.top().transfer.lock();
        m_timers.pop();
        if (transfer != nullptr) {
            transfer->notifySlow();
        }
    }
}

int TransferWorker::pollTimeoutMs()
{
    if (hasCommands()) {
        return 0;
    }
    if (m_timers.empty()) {
        return MaxPollTimeoutMs;
    }
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(m_timers.top().due - ProcessClock::now()).count();
    return static_cast<int>(std::clamp<std::int64_t>(wait, 0, MaxPollTimeoutMs));
}

} // namespace Filbertmount
