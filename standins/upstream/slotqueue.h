#pragma once

#include "upstreamoptions.h"

#include <absl/base/thread_annotations.h>
#include <absl/functional/any_invocable.h>
#include <absl/random/random.h>
#include <absl/synchronization/mutex.h>

#include <deque>
#include <map>
#include <random>
#include <thread>

namespace Filbertmount::StandIn {

struct SlotLoad {
    int slots = 0;
    /** Jobs that run or wait. */
    int inFlight = 0;
};

/**
 * Runs jobs in a fixed number of slots, each with a random service time. Jobs queue while all slots are busy. A single
 * timer thread finishes the jobs. Thread-safe.
 */
class SlotQueue
{
public:
    /** Called with no lock held, on the timer thread or inside submit(). */
    using JobCallback = absl::AnyInvocable<void()>;

    struct Job {
        JobCallback onStarted;
        JobCallback onFinished;
    };

    explicit SlotQueue(const UpstreamOptions &options);
    ~SlotQueue();
    SlotQueue(const SlotQueue &) = delete;
    SlotQueue &operator=(const SlotQueue &) = delete;

    /** Returns false when the queue is full; the job is not run then. */
    bool submit(Job job);

    /** Multiplies the service times of jobs that start from now on by @p factor. */
    void setSlowdownFactor(double factor);

    /** Blocks until no job runs or waits. */
    void waitUntilIdle();

    /** Returns the load as it was UpstreamOptions::reportLag ago. */
    SlotLoad laggedReport();

private:
    Duration drawServiceTime() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void startWaitingJobs();
    void runTimerThread();
    void recordLoad() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    const UpstreamOptions m_options;
    const Instant m_started;
    absl::Mutex m_mutex;
    std::mt19937_64 m_random ABSL_GUARDED_BY(m_mutex);
    std::deque<Job> m_waiting ABSL_GUARDED_BY(m_mutex);
    /** Running jobs by the time at which they finish. */
    std::multimap<Instant, Job> m_running ABSL_GUARDED_BY(m_mutex);
    /** Number of running and waiting jobs after each change. */
    std::deque<std::pair<Instant, int>> m_loadHistory ABSL_GUARDED_BY(m_mutex);
    double m_slowdownFactor ABSL_GUARDED_BY(m_mutex) = 1.0;
    int m_busySlots ABSL_GUARDED_BY(m_mutex) = 0;
    bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
    std::thread m_timerThread;
};

} // namespace Filbertmount::StandIn
