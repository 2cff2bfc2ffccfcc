#include "slotqueue.h"

#include <absl/time/time.h>

#include <utility>

namespace Filbertmount::StandIn {

namespace {

constexpr double SlowRequestFactor = 10.0;
constexpr double ColdStartFactor = 3.0;
constexpr std::size_t LoadHistoryLength = 10'000;

} // namespace

SlotQueue::SlotQueue(const UpstreamOptions &options)
    : m_options(options)
    , m_started(ProcessClock::now())
    , m_random(options.seed)
    , m_timerThread([this] {
        runTimerThread();
    })
{
}

SlotQueue::~SlotQueue()
{
    {
        const absl::MutexLock lock(&m_mutex);
        m_stopping = true;
    }
    m_timerThread.join();
}

bool SlotQueue::submit(Job job)
{
    {
        const absl::MutexLock lock(&m_mutex);
        if (m_waiting.size() >= static_cast<std::size_t>(m_options.queueCapacity)) {
            return false;
        }
        m_waiting.push_back(std::move(job));
        recordLoad();
    }
    startWaitingJobs();
    return true;
}

void SlotQueue::setSlowdownFactor(double factor)
{
    const absl::MutexLock lock(&m_mutex);
    m_slowdownFactor = factor;
}

void SlotQueue::waitUntilIdle()
{
    const absl::MutexLock lock(&m_mutex);
    const auto idle = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) {
        return m_waiting.empty() && m_busySlots == 0;
    };
    m_mutex.Await(absl::Condition(&idle));
}

SlotLoad SlotQueue::laggedReport()
{
    const absl::MutexLock lock(&m_mutex);
    const Instant reportTime = ProcessClock::now() - m_options.reportLag;
    SlotLoad report{.slots = m_options.slots};
    for (const auto &[time, load] : m_loadHistory) {
        if (time > reportTime) {
            break;
        }
        report.inFlight = load;
    }
    return report;
}

Duration SlotQueue::drawServiceTime()
{
    const double meanNs = static_cast<double>(m_options.meanServiceTime.count());
    double time = std::exponential_distribution<double>(1.0)(m_random) * meanNs;
    if (std::bernoulli_distribution(m_options.slowShare)(m_random)) {
        time *= SlowRequestFactor;
    }
    if (ProcessClock::now() - m_started < m_options.coldStart) {
        time *= ColdStartFactor;
    }
    return Duration(static_cast<Duration::rep>(time * m_slowdownFactor));
}

void SlotQueue::startWaitingJobs()
{
    while (true) {
        Job job;
        {
            const absl::MutexLock lock(&m_mutex);
            if (m_waiting.empty() || m_busySlots >= m_options.slots) {
                return;
            }
            ++m_busySlots;
            job = std::move(m_waiting.front());
            m_waiting.pop_front();
        }
        job.onStarted();
        const absl::MutexLock lock(&m_mutex);
        m_running.emplace(ProcessClock::now() + drawServiceTime(), std::move(job));
    }
}

void SlotQueue::runTimerThread()
{
    while (true) {
        Job finishedJob;
        {
            const absl::MutexLock lock(&m_mutex);
            const auto due = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) {
                return m_stopping || (!m_running.empty() && m_running.begin()->first <= ProcessClock::now());
            };
            // The mutex is not signalled when a finish time is reached: wait at most until the next job finishes.
            constexpr Duration maxWait = std::chrono::milliseconds(1);
            Duration wait = maxWait;
            if (!m_running.empty()) {
                wait = std::min(wait, std::max(Duration{0}, m_running.begin()->first - ProcessClock::now()));
            }
            m_mutex.AwaitWithTimeout(absl::Condition(&due), absl::FromChrono(wait));
            if (m_stopping) {
                return;
            }
            if (m_running.empty() || m_running.begin()->first > ProcessClock::now()) {
                continue;
            }
            finishedJob = std::move(m_running.begin()->second);
            m_running.erase(m_running.begin());
        }
        finishedJob.onFinished();
        {
            const absl::MutexLock lock(&m_mutex);
            --m_busySlots;
            recordLoad();
        }
        startWaitingJobs();
    }
}

void SlotQueue::recordLoad()
{
    m_loadHistory.emplace_back(ProcessClock::now(), static_cast<int>(m_waiting.size()) + m_busySlots);
    if (m_loadHistory.size() > LoadHistoryLength) {
        m_loadHistory.pop_front();
    }
}

} // namespace Filbertmount::StandIn
