#include "proxy/exchange.h"

#include <algorithm>
#include <utility>

namespace Filbertmount {

namespace {

// How much of an unwanted body is read so that the caller can be answered; beyond it the connection is broken.
constexpr std::int64_t MaxDiscardedBytes = std::int64_t{1} << 20U;

} // namespace

Exchange::Exchange(ExchangeOptions options, CallerLink &link)
    : m_dependencies(options.dependencies)
    , m_document(std::move(options.document))
    , m_route(std::move(options.route))
    , m_head(std::move(options.head))
    , m_context(std::move(options.context))
    , m_deadline(options.deadline)
    , m_link(&link)
    , m_retries(m_route.repeatable, m_context.retriesLeft, m_document->retries.attempts)
{
}

std::size_t Exchange::takeBody(std::string_view data)
{
    bool beginNow = false;
    std::size_t taken = 0;
    {
        const absl::MutexLock lock(&m_mutex);
        if (m_problem || m_headReady) {
            return discardBody(data.size());
        }
        const std::size_t limit = static_cast<std::size_t>(m_document->limits.maxBodyBytes);
        if (m_body.size() + data.size() > limit) {
            fail({.status = 413, .run = m_run, .detail = "the body is over the limit of " + std::to_string(limit) + " bytes"});
            return discardBody(data.size());
        }
        taken = m_body.append(data);
        beginNow = m_body.full() && !std::exchange(m_begun, m_begun || m_body.full());
        // libmicrohttpd offers a rest again only after new data or a resumption.
        if (taken < data.size()) {
            park();
        }
        resumeBodies();
    }
    if (beginNow) {
        begin();
    }
    return taken;
}

void Exchange::endBody()
{
    {
        const absl::MutexLock lock(&m_mutex);
        m_body.finish();
        resumeBodies();
        if (m_problem || std::exchange(m_begun, true)) {
            return;
        }
    }
    begin();
}

std::size_t Exchange::discardBody(std::size_t size)
{
    m_discarded += static_cast<std::int64_t>(size);
    if (m_discarded > MaxDiscardedBytes && m_link != nullptr) {
        m_link->hangUp();
    }
    return size;
}

std::optional<ResponseStart> Exchange::takeResponseStart()
{
    const absl::MutexLock lock(&m_mutex);
    if (m_problem) {
        return *m_problem;
    }
    if (m_headReady) {
        return std::move(m_responseHead);
    }
    park();
    return std::nullopt;
}

ResponseChunk Exchange::readResponse(std::span<char> buffer)
{
    const absl::MutexLock lock(&m_mutex);
    if (m_callerLeft) {
        return {.read = ResponseRead::Broken};
    }
    const std::size_t size = m_responseBuffer.read(buffer);
    if (m_responseBuffer.left() <= ResponseBuffer::LowWaterBytes) {
        resumeResponse();
    }
    if (size > 0) {
        return {.read = ResponseRead::Data, .size = size};
    }
    if (m_responseProgress != Progress::Open) {
        return {.read = m_responseProgress == Progress::Whole ? ResponseRead::End : ResponseRead::Broken};
    }
    park();
    return {.read = ResponseRead::Parked};
}

void Exchange::callerDone(bool responseDelivered)
{
    {
        const absl::MutexLock lock(&m_mutex);
        m_link = nullptr;
        leaveCaller(!responseDelivered || m_problem.has_value());
    }
    settle();
}

void Exchange::callerHungUp()
{
    {
        const absl::MutexLock lock(&m_mutex);
        if (!m_parked) {
            return; // The connection's own events show it.
        }
        leaveCaller(true);
        fail({.status = 502, .run = m_run, .detail = "the caller closed the connection"});
        wake();
    }
    settle();
}

void Exchange::leaveCaller(bool cancel)
{
    m_callerLeft = true;
    m_responseBuffer.clear();
    // What may not be repeated runs to its end, so that its outcome can be recorded.
    if (cancel && m_retries.repeatable()) {
        cancelAttempts(nullptr);
    }
    resumeBodies();
    resumeResponse();
}

void Exchange::expire(Instant now)
{
    if (now < m_deadline) {
        return;
    }
    {
        const absl::MutexLock lock(&m_mutex);
        if (!m_body.finished() && m_link != nullptr) {
            m_link->hangUp(); // Nothing can be answered in the middle of a body.
            wake();
        }
        // Transfers have a time limit of their own.
        if (m_attempts.empty() && m_winner == nullptr) {
            fail({.status = 504, .run = m_run, .detail = "the deadline passed before an upstream was free", .retry = true});
        }
    }
    settle();
}

void Exchange::abandon()
{
    {
        const absl::MutexLock lock(&m_mutex);
        cancelAttempts(nullptr);
        fail({.status = 503, .run = m_run, .detail = "the instance is stopping"});
        if (m_responseProgress == Progress::Open) {
            m_responseProgress = Progress::Broken;
        }
        wake();
    }
    settle();
}

bool Exchange::parked() const
{
    const absl::MutexLock lock(&m_mutex);
    return m_parked;
}

void Exchange::fail(Problem problem)
{
    if (m_problem || m_headReady) {
        return;
    }
    const bool sent = std::any_of(m_attempts.begin(), m_attempts.end(), [](const std::shared_ptr<Attempt> &attempt) {
        return attempt->sentAt.has_value();
    });
    if (sent) {
        problem.run = std::max(problem.run, RunState::MayHaveRun);
    }
    problem.headers.push_back({.name = "Filbertmount-Request-Id", .value = m_context.requestId});
    problem.headers.push_back({.name = "Filbertmount-Retries-Left", .value = std::to_string(m_retries.retriesLeft())});
    m_problem = std::move(problem);
    cancelAttempts(nullptr);
    wake();
}

void Exchange::cancelAttempts(const Attempt *except)
{
    for (const std::shared_ptr<Attempt> &attempt : m_attempts) {
        if (attempt.get() != except) {
            attempt->transfer.cancel();
        }
    }
}

void Exchange::resumeBodies()
{
    for (const std::shared_ptr<Attempt> &attempt : m_attempts) {
        if (std::exchange(attempt->waitsForBody, false)) {
            attempt->transfer.resume();
        }
    }
}

void Exchange::resumeResponse()
{
    for (const std::shared_ptr<Attempt> &attempt : m_attempts) {
        if (std::exchange(attempt->waitsForCaller, false)) {
            attempt->transfer.resume();
        }
    }
}

void Exchange::park()
{
    m_parked = true;
    m_link->park();
}

void Exchange::wake()
{
    if (std::exchange(m_parked, false)) {
        m_link->unpark();
    }
}

} // namespace Filbertmount
