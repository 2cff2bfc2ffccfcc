#include "proxy/exchange.h"

#include <algorithm>
#include <utility>

namespace Filbertmount {

namespace {

// Limit for reading a rejected body, which has to be read before the response can be sent. Beyond it, the connection is closed.
constexpr std::int64_t MaxDiscardedBytes = std::int64_t{1} << 20U;

} // namespace

Exchange::Exchange(ExchangeOptions options, CallerTransport &transport)
    : m_dependencies(options.dependencies)
    , m_document(std::move(options.document))
    , m_route(std::move(options.route))
    , m_head(std::move(options.head))
    , m_context(std::move(options.context))
    , m_deadline(options.deadline)
    , m_transport(&transport)
    , m_retries(m_route.repeatable, m_context.retriesLeft, m_document->retries.attempts)
{
}

std::size_t Exchange::receiveBody(std::string_view data)
{
    bool startNow = false;
    std::size_t accepted = 0;
    {
        const absl::MutexLock lock(&m_mutex);
        if (m_problem || m_headReady) {
            return discardBody(data.size());
        }
        const std::size_t limit = static_cast<std::size_t>(m_document->limits.maxBodyBytes);
        if (m_body.size() + data.size() > limit) {
            fail({.status = 413,
                  .run = m_runState,
                  .detail = "the body exceeds the limit of " + std::to_string(limit) + " bytes"});
            return discardBody(data.size());
        }
        accepted = m_body.append(data);
        startNow = m_body.full() && !std::exchange(m_started, m_started || m_body.full());
        // libmicrohttpd offers the remaining data again only after new data arrived or the connection was resumed.
        if (accepted < data.size()) {
            suspendCaller();
        }
        resumeRequestBodies();
    }
    if (startNow) {
        start();
    }
    return accepted;
}

void Exchange::finishBody()
{
    {
        const absl::MutexLock lock(&m_mutex);
        m_body.finish();
        resumeRequestBodies();
        if (m_problem || std::exchange(m_started, true)) {
            return;
        }
    }
    start();
}

std::size_t Exchange::discardBody(std::size_t size)
{
    m_discardedBytes += static_cast<std::int64_t>(size);
    if (m_discardedBytes > MaxDiscardedBytes && m_transport != nullptr) {
        m_transport->disconnect();
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
    suspendCaller();
    return std::nullopt;
}

ResponseChunk Exchange::readResponse(std::span<char> buffer)
{
    const absl::MutexLock lock(&m_mutex);
    if (m_callerGone) {
        return {.read = ResponseRead::Truncated};
    }
    const std::size_t size = m_responseBuffer.read(buffer);
    if (m_responseBuffer.unreadBytes() <= ResponseBuffer::LowWaterBytes) {
        resumeResponse();
    }
    if (size > 0) {
        return {.read = ResponseRead::Data, .size = size};
    }
    if (m_responseProgress != ResponseProgress::Incomplete) {
        return {.read = m_responseProgress == ResponseProgress::Complete ? ResponseRead::End : ResponseRead::Truncated};
    }
    suspendCaller();
    return {.read = ResponseRead::Suspended};
}

void Exchange::connectionFinished(bool responseDelivered)
{
    {
        const absl::MutexLock lock(&m_mutex);
        m_transport = nullptr;
        detachCaller(!responseDelivered || m_problem.has_value());
    }
    settleClaim();
}

void Exchange::callerDisconnected()
{
    {
        const absl::MutexLock lock(&m_mutex);
        if (!m_callerSuspended) {
            return; // An event of the connection will report it.
        }
        detachCaller(true);
        fail({.status = 502, .run = m_runState, .detail = "the caller closed the connection"});
        resumeCaller();
    }
    settleClaim();
}

void Exchange::detachCaller(bool cancel)
{
    m_callerGone = true;
    m_responseBuffer.clear();
    // A request that may not be repeated runs to its end, so that its outcome can be recorded.
    if (cancel && m_retries.repeatable()) {
        cancelAttempts(nullptr);
    }
    resumeRequestBodies();
    resumeResponse();
}

void Exchange::expire(Instant now)
{
    if (now < m_deadline) {
        return;
    }
    {
        const absl::MutexLock lock(&m_mutex);
        if (!m_body.finished() && m_transport != nullptr) {
            m_transport->disconnect(); // No response can be sent before the body was received.
            resumeCaller();
        }
        // Running transfers have their own timeout.
        if (m_attempts.empty() && m_winner == nullptr) {
            fail({.status = 504,
                  .run = m_runState,
                  .detail = "the deadline passed before an upstream had a free slot",
                  .retry = true});
        }
    }
    settleClaim();
}

void Exchange::abort()
{
    {
        const absl::MutexLock lock(&m_mutex);
        cancelAttempts(nullptr);
        fail({.status = 503, .run = m_runState, .detail = "the instance is stopping"});
        if (m_responseProgress == ResponseProgress::Incomplete) {
            m_responseProgress = ResponseProgress::Truncated;
        }
        resumeCaller();
    }
    settleClaim();
}

bool Exchange::callerSuspended() const
{
    const absl::MutexLock lock(&m_mutex);
    return m_callerSuspended;
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
    resumeCaller();
}

void Exchange::cancelAttempts(const Attempt *except)
{
    for (const std::shared_ptr<Attempt> &attempt : m_attempts) {
        if (attempt.get() != except) {
            attempt->transfer.cancel();
        }
    }
}

void Exchange::resumeRequestBodies()
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

void Exchange::suspendCaller()
{
    m_callerSuspended = true;
    m_transport->suspend();
}

void Exchange::resumeCaller()
{
    if (std::exchange(m_callerSuspended, false)) {
        m_transport->resume();
    }
}

} // namespace Filbertmount
