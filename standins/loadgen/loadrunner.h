#pragma once

#include "callerrequest.h"
#include "loadoptions.h"

#include <curl/curl.h>

#include <map>
#include <memory>
#include <random>
#include <vector>

namespace Filbertmount::StandIn {

/**
 * Sends the requests of one service at their due times, whether or not earlier ones were answered (open loop), and
 * resends them as a caller would. Single-threaded.
 */
class LoadRunner
{
public:
    explicit LoadRunner(const LoadOptions &options);
    ~LoadRunner();
    LoadRunner(const LoadRunner &) = delete;
    LoadRunner &operator=(const LoadRunner &) = delete;

    /** Runs until every request has its final outcome. */
    std::vector<CallerRequest> run();

private:
    struct Attempt;

    void scheduleRequests();
    void sendDue(Instant now);
    void send(std::size_t index);
    void processFinishedTransfers();
    void finishAttempt(std::unique_ptr<Attempt> attempt, CURLcode code);
    void waitForWork(Instant now);
    void configure(Attempt &attempt, const CallerRequest &request);
    CURL *acquireHandle();
    std::size_t chooseEntry(Instant now);

    const LoadOptions m_options;
    std::mt19937_64 m_random;
    CURLM *m_multi = nullptr;
    int m_timer = -1;
    std::vector<CallerRequest> m_requests;
    /** Indexes into m_requests by the time of the next send, for first attempts and resends. */
    std::multimap<Instant, std::size_t> m_due;
    std::map<CURL *, std::unique_ptr<Attempt>> m_attempts;
    std::vector<CURL *> m_idleHandles;
    std::size_t m_nextEntry = 0;
    /** For each entry instance, the time until which it is skipped because it refused a connection. */
    std::vector<Instant> m_excludedUntil;
};

} // namespace Filbertmount::StandIn
