#include <filbertmount/claims/shardwriter.h>

#include <algorithm>
#include <utility>

namespace Filbertmount {

namespace {

// A claim waits for batchDelay when the last write of the shard is more recent than this.
constexpr Duration BusyInterval = std::chrono::milliseconds(20);
// Upper bound of the random wait after a conflict, which keeps two writers of a shard from conflicting again.
constexpr Duration ConflictJitter = std::chrono::milliseconds(2);
constexpr int MaxBackOffSteps = 10;

} // namespace

ShardWriter::ShardWriter(const ClaimOptions &options, std::uint64_t seed)
    : m_options(options)
    , m_random(seed)
{
}

void ShardWriter::add(const ShardOperation &operation, Instant now)
{
    const bool isBusy = m_lastWriteAt && now - *m_lastWriteAt < BusyInterval;
    Duration wait = isBusy ? m_options.batchDelay : Duration(0);
    if (operation.kind == ShardOperationKind::Complete) {
        wait = m_options.completionDelay;
    }
    m_queue.push_back({.operation = operation, .queuedAt = now, .dueAt = now + wait});
    m_lastUse = now;
}

bool ShardWriter::withdraw(std::uint64_t id)
{
    const auto found = std::find_if(m_queue.begin(), m_queue.end(), [id](const Queued &queued) {
        return queued.operation.id == id && !queued.hasEnded;
    });
    if (found == m_queue.end()) {
        return false;
    }
    const bool mayBeWritten = found->isInWrite || found->mayBeWritten;
    found->hasEnded = true;
    removeEnded();
    return mayBeWritten;
}

std::optional<ShardCall> ShardWriter::step(Instant now)
{
    expireClaims(now);
    const bool due = std::any_of(m_queue.begin(), m_queue.end(), [now](const Queued &queued) {
        return !queued.hasEnded && queued.dueAt <= now;
    });
    if (m_call != Call::None || now < m_retryAt || !due) {
        return std::nullopt;
    }
    m_lastUse = now;
    if (m_needsRead || !m_view || now - m_view->startedAt > m_options.maxViewAge) {
        return startRead(now);
    }
    const Plan next = plan(now);
    removeEnded();
    if (next == Plan::Nothing) {
        return std::nullopt;
    }
    return next == Plan::Read ? startRead(now) : startWrite(now);
}

ShardCall ShardWriter::startRead(Instant now)
{
    m_call = Call::Read;
    m_callStartedAt = now;
    return ShardRead{};
}

ShardCall ShardWriter::startWrite(Instant now)
{
    m_call = Call::Write;
    m_callStartedAt = now;
    return ShardWrite{.value = m_planned.serialize(), .base = m_view->revision};
}

void ShardWriter::finishRead(const StoreReply &reply, Instant now)
{
    m_call = Call::None;
    const bool responded = reply.outcome == StoreOutcome::Done || reply.outcome == StoreOutcome::Absent;
    const Revision revision = reply.outcome == StoreOutcome::Done ? reply.object.revision : AbsentRevision;
    // Claims are stamped, pruned and fenced by the store's clock, so a reply without it is unusable.
    if (!responded || reply.time == StoreTime{} || revision < m_minRevision) {
        handleStoreFailure(now);
        return;
    }
    Result<ClaimShard> shard = ClaimShard::parse(reply.outcome == StoreOutcome::Done ? reply.object.value : std::string());
    if (!shard) {
        handleStoreFailure(now);
        return;
    }
    m_failures = 0;
    m_needsRead = false;
    m_minRevision = revision;
    m_view = View{.shard = std::move(shard.value()), .revision = revision, .time = reply.time, .startedAt = m_callStartedAt};
    if (m_unresolvedWriteBase && revision > *m_unresolvedWriteBase) {
        m_unresolvedWriteBase.reset();
    }
}

void ShardWriter::finishWrite(const StoreReply &reply, Instant now)
{
    m_call = Call::None;
    m_lastWriteAt = now;
    if (reply.outcome == StoreOutcome::Done) {
        applyWrite(reply, now);
        removeEnded();
        return;
    }
    const bool hasNoEffect = reply.outcome == StoreOutcome::Unavailable;
    for (Queued &queued : m_queue) {
        // After a conflict, too, the outcome is unknown until the next view: the transport may have sent the write twice.
        queued.mayBeWritten = queued.mayBeWritten || (queued.isInWrite && !hasNoEffect);
        queued.isInWrite = false;
    }
    if (!hasNoEffect) {
        m_needsRead = true;
        m_unresolvedWriteBase = m_view->revision;
    }
    removeEnded();
    if (reply.outcome == StoreOutcome::Conflict) {
        m_minRevision = Revision(m_view->revision.value() + 1);
        m_retryAt = now + Duration(m_random() % static_cast<std::uint64_t>(ConflictJitter.count()));
        return;
    }
    handleStoreFailure(now);
}

void ShardWriter::applyWrite(const StoreReply &reply, Instant now)
{
    const StoreTime baseTime = m_view->time;
    for (Queued &queued : m_queue) {
        if (!queued.isInWrite) {
            continue;
        }
        queued.isInWrite = false;
        const StoreTime fence = queued.operation.fenceAfter;
        if (queued.operation.kind == ShardOperationKind::Release && fence != StoreTime{} && baseTime <= fence) {
            queued.dueAt = now + std::chrono::seconds(fence.seconds - baseTime.seconds + 1);
            continue;
        }
        if (!queued.hasEnded) {
            endOperation(queued, ClaimDecision::Owned);
        }
    }
    m_failures = 0;
    m_unresolvedWriteBase.reset();
    m_minRevision = reply.object.revision;
    m_needsRead = reply.time == StoreTime{};
    m_view =
        View{.shard = std::move(m_planned), .revision = reply.object.revision, .time = reply.time, .startedAt = m_callStartedAt};
}

void ShardWriter::handleStoreFailure(Instant now)
{
    ++m_failures;
    m_retryAt = now + nextRetryDelay();
    if (m_failures < m_options.maxStoreFailures) {
        return;
    }
    for (Queued &queued : m_queue) {
        if (queued.operation.kind == ShardOperationKind::Claim && !queued.hasEnded) {
            endOperation(queued, ClaimDecision::Unavailable);
        }
    }
    removeEnded();
}

void ShardWriter::expireClaims(Instant now)
{
    for (Queued &queued : m_queue) {
        if (queued.operation.kind == ShardOperationKind::Claim && !queued.hasEnded && queued.operation.deadline <= now) {
            endOperation(queued, ClaimDecision::Unavailable);
        }
    }
    removeEnded();
}

void ShardWriter::endOperation(Queued &queued, ClaimDecision decision, int status)
{
    const bool mayBeWritten = decision != ClaimDecision::Owned && (queued.mayBeWritten || queued.isInWrite);
    m_results.push_back({.id = queued.operation.id, .decision = decision, .status = status, .mayBeWritten = mayBeWritten});
    queued.hasEnded = true;
}

void ShardWriter::removeEnded()
{
    std::erase_if(m_queue, [](const Queued &queued) {
        return queued.hasEnded && !queued.isInWrite;
    });
}

std::vector<ShardResult> ShardWriter::takeResults()
{
    return std::exchange(m_results, {});
}

Instant ShardWriter::wakeAt() const
{
    Instant wake = Instant::max();
    for (const Queued &queued : m_queue) {
        if (queued.hasEnded) {
            continue;
        }
        if (m_call == Call::None) {
            wake = std::min(wake, std::max(queued.dueAt, m_retryAt));
        }
        if (queued.operation.kind == ShardOperationKind::Claim) {
            wake = std::min(wake, queued.operation.deadline);
        }
    }
    return wake;
}

bool ShardWriter::isIdle() const
{
    return m_queue.empty() && m_call == Call::None;
}

Duration ShardWriter::nextRetryDelay()
{
    const int steps = std::min(m_failures - 1, MaxBackOffSteps);
    const Duration maxDelay = std::min(m_options.initialRetryDelay * (1 << steps), m_options.maxRetryDelay);
    return (maxDelay / 2) + Duration(m_random() % static_cast<std::uint64_t>((maxDelay / 2).count() + 1));
}

} // namespace Filbertmount
