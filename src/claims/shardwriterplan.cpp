// The part of ShardWriter that applies the queued operations to the view.
#include <filbertmount/claims/shardwriter.h>

namespace Filbertmount {

ShardWriter::Plan ShardWriter::plan(Instant now)
{
    m_planned = m_view->shard;
    m_planned.stamp(m_view->time);
    m_planned.prune(m_view->time);
    bool needsWrite = false;
    const Plan result = planAll(now, &needsWrite);
    if (result != Plan::Write) {
        for (Queued &queued : m_queue) {
            queued.isInWrite = false;
        }
    }
    return result;
}

ShardWriter::Plan ShardWriter::planAll(Instant now, bool *needsWrite)
{
    // Releases and completions are applied first, so that the claim of a resend can share the write of the release.
    bool read = false;
    for (const ShardOperationKind kind : {ShardOperationKind::Release, ShardOperationKind::Complete, ShardOperationKind::Claim}) {
        for (Queued &queued : m_queue) {
            if (queued.operation.kind == kind && !queued.hasEnded) {
                read = planOperation(queued, now, needsWrite) == Plan::Read || read;
            }
        }
    }
    if (read) {
        return Plan::Read;
    }
    return *needsWrite ? Plan::Write : Plan::Nothing;
}

ShardWriter::Plan ShardWriter::planOperation(Queued &queued, Instant now, bool *needsWrite)
{
    switch (queued.operation.kind) {
    case ShardOperationKind::Claim:
        return planClaim(queued, needsWrite);
    case ShardOperationKind::Complete:
        return planCompletion(queued, now, needsWrite);
    case ShardOperationKind::Release:
        return planRelease(queued, now, needsWrite);
    }
    return Plan::Nothing;
}

ShardWriter::Plan ShardWriter::planClaim(Queued &queued, bool *needsWrite)
{
    const ShardOperation &claim = queued.operation;
    const ClaimRecord *stored = m_view->shard.find(claim.key);
    const ClaimRecord *planned = m_planned.find(claim.key);
    queued.mayBeWritten = queued.mayBeWritten && !areWritesResolved();
    if (stored != nullptr && planned != nullptr && !stored->isDone() && stored->nonce == claim.nonce) {
        endOperation(queued, ClaimDecision::Owned);
        return Plan::Nothing;
    }
    if (planned != nullptr && !planned->isDone() && (stored == nullptr || stored->nonce != planned->nonce)) {
        // Another claim of this key is part of the next write; this one waits for its outcome.
        return Plan::Nothing;
    }
    if (planned != nullptr && !isViewFresh(queued)) {
        return Plan::Read;
    }
    if (planned != nullptr) {
        endOperation(queued, planned->isDone() ? ClaimDecision::AlreadyRun : ClaimDecision::OutcomeUnknown, planned->status);
        return Plan::Nothing;
    }
    if (claim.notAfter != StoreTime{} && m_view->time > claim.notAfter) {
        endOperation(queued, ClaimDecision::Unavailable);
        return Plan::Nothing;
    }
    if (!m_planned.add(claim.key, claim.nonce, claim.retentionSeconds)) {
        // A fresh view may have a later store time, at which more claims can be pruned.
        if (!isViewFresh(queued)) {
            return Plan::Read;
        }
        endOperation(queued, ClaimDecision::Full);
        return Plan::Nothing;
    }
    queued.isInWrite = true;
    *needsWrite = true;
    return Plan::Write;
}

ShardWriter::Plan ShardWriter::planCompletion(Queued &queued, Instant now, bool *needsWrite)
{
    const ShardOperation &completion = queued.operation;
    if (m_planned.complete(completion.key, completion.nonce, completion.status)) {
        queued.isInWrite = true;
        *needsWrite = true;
        return Plan::Write;
    }
    if (!isViewFresh(queued)) {
        // Before dueAt no read is made just for this: the write of another operation may yield a view with the claim.
        return queued.dueAt <= now ? Plan::Read : Plan::Nothing;
    }
    // The claim was pruned or is already done. It must not be added again, because the key may have a new owner.
    endOperation(queued, ClaimDecision::Owned);
    return Plan::Nothing;
}

ShardWriter::Plan ShardWriter::planRelease(Queued &queued, Instant now, bool *needsWrite)
{
    const ShardOperation &release = queued.operation;
    const bool removed = m_planned.remove(release.key, release.nonce);
    const bool fencePassed = release.fenceAfter == StoreTime{} || m_view->time > release.fenceAfter;
    if (!removed && !fencePassed) {
        if (queued.dueAt > now) {
            return Plan::Nothing;
        }
        if (m_view->startedAt < queued.dueAt) {
            return Plan::Read;
        }
        queued.dueAt = now + std::chrono::seconds(release.fenceAfter.seconds - m_view->time.seconds + 1);
        return Plan::Nothing;
    }
    // A view without the claim may be stale, and an earlier write that adds it may still take effect. Only a successful
    // write excludes both, so the object is written even when its content does not change.
    queued.isInWrite = true;
    *needsWrite = true;
    return Plan::Write;
}

bool ShardWriter::isViewFresh(const Queued &queued) const
{
    return m_view->startedAt >= queued.queuedAt;
}

bool ShardWriter::areWritesResolved() const
{
    return !m_unresolvedWriteBase.has_value();
}

} // namespace Filbertmount
