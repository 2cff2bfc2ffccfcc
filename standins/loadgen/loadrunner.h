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
 * sends again as a caller would. Single-threaded.
 */
class LoadRunner
{
public:
    explicit LoadRunner(const LoadOptions &options);
    ~LoadRunner();
    LoadRunner(const LoadRunner &) = delete;
    LoadRunner &operator=(const LoadRunner &) = delete;

    /** Runs until every request has its last outcome. */
    std::vector<CallerRequest> run();

private:
    struct Attempt;

    void planRequests();
    void sendDue(Instant now);
    void send(std::size_t index);
    void collect();
    void finish(std::unique_ptr<Attempt> attempt, CURLcode code);
    void waitForWork(Instant now);
    void configure(Attempt &attempt, const CallerRequest &request);
    CURL *takeHandle();
    std::size_t takeEntry(Instant now);

    const LoadOptions m_options;
    std::mt19937_64 m_random;
    CURLM *m_multi = nullptr;
    int m_timer = -1;
    std::vector<CallerRequest> m_requests;
    /** Requests by the time at which they are sent, first sends and resends alike. */
    std::multimap<Instant, std::size_t> m_due;
    std::map<CURL *, std::unique_ptr<Attempt>> m_attempts;
    std::vector<CURL *> m_idleHandles;
    std::size_t m_nextEntry = 0;
    /** Until when the platform's balancer leaves an entry instance out, after it refused a connection. */
    std::vector<Instant> m_leftOutUntil;
};

} // namespace Filbertmount::StandIn
