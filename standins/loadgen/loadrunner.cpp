#include "loadrunner.h"

#include <sys/timerfd.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <utility>

namespace Filbertmount::StandIn {

/** One transfer of one request. */
struct LoadRunner::Attempt {
    std::size_t request = 0;
    std::size_t entry = 0;
    CURL *handle = nullptr;
    curl_slist *headers = nullptr;
    std::string url;
    std::string requestBody;
    std::string responseBody;
    std::string runHeader;

    Attempt() = default;
    Attempt(const Attempt &) = delete;
    Attempt &operator=(const Attempt &) = delete;
    ~Attempt()
    {
        curl_slist_free_all(headers);
    }
};

namespace {

// About the time that a load balancer's health check takes to detect that an instance has recovered.
constexpr Duration ExclusionTime = std::chrono::seconds(2);

size_t appendBody(char *data, size_t size, size_t count, void *body)
{
    static_cast<std::string *>(body)->append(data, size * count);
    return size * count;
}

size_t parseHeader(char *data, size_t size, size_t count, void *runHeader)
{
    const std::string line(data, size * count);
    constexpr std::string_view name = "Filbertmount-Run: ";
    if (line.starts_with(name)) {
        auto *value = static_cast<std::string *>(runHeader);
        *value = line.substr(name.size());
        value->erase(value->find_last_not_of("\r\n") + 1);
    }
    return size * count;
}

} // namespace

LoadRunner::LoadRunner(const LoadOptions &options)
    : m_options(options)
    , m_random(options.seed)
    , m_multi(curl_multi_init())
    , m_timer(timerfd_create(CLOCK_BOOTTIME, TFD_NONBLOCK | TFD_CLOEXEC))
    , m_excludedUntil(options.entries.size())
{
    // With the default limit, libcurl keeps only a few idle connections and opens a new one for almost every request.
    constexpr long maxCachedConnections = 4000;
    curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, maxCachedConnections);
}

LoadRunner::~LoadRunner()
{
    for (auto &[handle, attempt] : m_attempts) {
        curl_multi_remove_handle(m_multi, handle);
        curl_easy_cleanup(handle);
    }
    for (CURL *handle : m_idleHandles) {
        curl_easy_cleanup(handle);
    }
    curl_multi_cleanup(m_multi);
    close(m_timer);
}

std::vector<CallerRequest> LoadRunner::run()
{
    scheduleRequests();
    while (!m_due.empty() || !m_attempts.empty()) {
        sendDue(ProcessClock::now());
        int running = 0;
        curl_multi_perform(m_multi, &running);
        processFinishedTransfers();
        waitForWork(ProcessClock::now());
    }
    return std::move(m_requests);
}

void LoadRunner::scheduleRequests()
{
    std::exponential_distribution<double> gap(m_options.rate);
    std::bernoulli_distribution isOrder(m_options.orderShare);
    const Instant start = ProcessClock::now() + std::chrono::milliseconds(50);
    const std::string runName = m_options.service + "-" + std::to_string(m_random()) + "-";
    double offset = 0;
    while (true) {
        offset += gap(m_random);
        const Duration sinceStart(static_cast<Duration::rep>(offset * 1e9));
        if (sinceStart > m_options.duration) {
            return;
        }
        CallerRequest request;
        request.id = runName + std::to_string(m_requests.size());
        request.order = isOrder(m_random);
        request.due = start + sinceStart;
        m_due.emplace(request.due, m_requests.size());
        m_requests.push_back(std::move(request));
    }
}

void LoadRunner::sendDue(Instant now)
{
    while (!m_due.empty() && m_due.begin()->first <= now) {
        const std::size_t index = m_due.begin()->second;
        m_due.erase(m_due.begin());
        send(index);
    }
}

CURL *LoadRunner::acquireHandle()
{
    if (m_idleHandles.empty()) {
        return curl_easy_init();
    }
    CURL *handle = m_idleHandles.back();
    m_idleHandles.pop_back();
    curl_easy_reset(handle);
    return handle;
}

std::size_t LoadRunner::chooseEntry(Instant now)
{
    const std::size_t first = m_nextEntry++;
    for (std::size_t offset = 0; offset < m_options.entries.size(); ++offset) {
        const std::size_t entry = (first + offset) % m_options.entries.size();
        if (m_excludedUntil[entry] <= now) {
            return entry;
        }
    }
    return first % m_options.entries.size();
}

void LoadRunner::send(std::size_t index)
{
    CallerRequest &request = m_requests[index];
    ++request.attempts;
    auto attempt = std::make_unique<Attempt>();
    attempt->request = index;
    attempt->handle = acquireHandle();
    configure(*attempt, request);
    CURL *handle = attempt->handle;
    m_attempts.emplace(handle, std::move(attempt));
    curl_multi_add_handle(m_multi, handle);
}

void LoadRunner::configure(Attempt &attempt, const CallerRequest &request)
{
    attempt.entry = chooseEntry(ProcessClock::now());
    const std::string &entry = m_options.entries[attempt.entry];
    const std::string &path = request.order ? m_options.orderPath : m_options.readPath;
    attempt.url = "http://" + entry + path + "?bytes=" + std::to_string(m_options.responseBytes);
    attempt.headers = curl_slist_append(attempt.headers, ("Host: " + m_options.service).c_str());
    attempt.headers = curl_slist_append(attempt.headers, ("X-Request-Id: " + request.id).c_str());
    CURL *handle = attempt.handle;
    if (request.order) {
        attempt.headers = curl_slist_append(attempt.headers, ("Idempotency-Key: " + request.id).c_str());
        attempt.headers = curl_slist_append(attempt.headers, "Expect:");
        attempt.requestBody.assign(m_options.orderBytes, 'o');
        curl_easy_setopt(handle, CURLOPT_POSTFIELDS, attempt.requestBody.data());
        curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE, static_cast<long>(attempt.requestBody.size()));
    }
    curl_easy_setopt(handle, CURLOPT_URL, attempt.url.c_str());
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, attempt.headers);
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &appendBody);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, &attempt.responseBody);
    curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, &parseHeader);
    curl_easy_setopt(handle, CURLOPT_HEADERDATA, &attempt.runHeader);
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_NOPROXY, "*");
    const auto timeout = std::chrono::duration_cast<std::chrono::milliseconds>(m_options.timeout);
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, static_cast<long>(timeout.count()));
}

void LoadRunner::processFinishedTransfers()
{
    int remaining = 0;
    while (CURLMsg *message = curl_multi_info_read(m_multi, &remaining)) {
        if (message->msg != CURLMSG_DONE) {
            continue;
        }
        const CURLcode code = message->data.result;
        auto attempt = m_attempts.extract(message->easy_handle);
        finishAttempt(std::move(attempt.mapped()), code);
    }
}

void LoadRunner::finishAttempt(std::unique_ptr<Attempt> attempt, CURLcode code)
{
    CallerRequest &request = m_requests[attempt->request];
    long status = 0;
    curl_easy_getinfo(attempt->handle, CURLINFO_RESPONSE_CODE, &status);
    curl_multi_remove_handle(m_multi, attempt->handle);
    m_idleHandles.push_back(attempt->handle);

    request.lastStatus = static_cast<int>(status);
    const CallerOutcome outcome =
        classifyResponse({.transferred = code == CURLE_OK,
                          .status = request.lastStatus,
                          .runHeader = attempt->runHeader,
                          .complete = isCompleteResponse(attempt->responseBody, request.id, m_options.responseBytes)});
    request.alwaysNotRun = request.alwaysNotRun && outcome == CallerOutcome::NotRun;
    const Instant now = ProcessClock::now();
    if (code == CURLE_COULDNT_CONNECT) {
        m_excludedUntil[attempt->entry] = now + ExclusionTime;
    }
    if (shouldResend(request, outcome, m_options.maxResends)) {
        m_due.emplace(now + m_options.resendDelay, attempt->request);
        return;
    }
    request.outcome = outcome;
    request.ended = now;
}

void LoadRunner::waitForWork(Instant now)
{
    // The timeout of curl_multi_poll() has millisecond resolution; the timer wakes it at the exact due time.
    constexpr int maxWaitMs = 100;
    std::array<curl_waitfd, 1> timer{{{.fd = m_timer, .events = CURL_WAIT_POLLIN, .revents = 0}}};
    if (!m_due.empty()) {
        const Duration wait = std::max<Duration>(m_due.begin()->first - now, std::chrono::nanoseconds(1));
        itimerspec setting{};
        setting.it_value.tv_sec = static_cast<time_t>(wait.count() / 1'000'000'000);
        setting.it_value.tv_nsec = static_cast<long>(wait.count() % 1'000'000'000);
        timerfd_settime(m_timer, 0, &setting, nullptr);
    }
    int ready = 0;
    curl_multi_poll(m_multi, timer.data(), timer.size(), maxWaitMs, &ready);
    std::uint64_t expirations = 0;
    [[maybe_unused]] const ssize_t bytesRead = read(m_timer, &expirations, sizeof expirations);
}

} // namespace Filbertmount::StandIn
