#include <filbertmount/claims/claimcoordinator.h>

#include <filbertmount/types/rendezvoushash.h>

#include "claimmessages.h"

#include <algorithm>
#include <utility>

namespace Filbertmount {

namespace {

// The store's clock has whole seconds, so an estimate of it can be one second too low.
constexpr std::int64_t StoreTimeRoundingSeconds = 1;
constexpr Duration EvictionInterval = std::chrono::seconds(1);
// Forwarded claims are kept for this multiple of maxViewAge: by then no view that was read before their notAfter is cached.
constexpr int ForwardedClaimViewAges = 2;

std::uint32_t wholeSeconds(Duration duration)
{
    const std::int64_t seconds = std::chrono::ceil<std::chrono::seconds>(duration).count();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(seconds, 0, INT32_MAX));
}

} // namespace

ClaimCoordinator::ClaimCoordinator(InstanceId self, const ClaimOptions &options)
    : m_self(std::move(self))
    , m_options(options)
    , m_health(m_options)
{
}

void ClaimCoordinator::setMembers(std::vector<InstanceId> members)
{
    m_members = std::move(members);
    m_health.retainMembers(m_members);
}

void ClaimCoordinator::claim(RequestId request, const ClaimId &id, Duration retention, Instant now)
{
    if (openOperations() >= m_options.maxOpenOperations) {
        m_commands.emplace_back(ClaimDecided{.request = request, .result = {}});
        return;
    }
    LocalClaim &claim = m_claims[id.nonce];
    claim = {.request = request, .id = id, .retentionSeconds = wholeSeconds(retention), .startedAt = now};
    const InstanceId writer = preferredWriter(claimShardObject(id.service, id.key), now);
    // A forwarded claim needs a notAfter, which cannot be computed before the first reply with the store's clock.
    if (writer.empty() || m_storeTime == StoreTime{}) {
        claimLocally(claim, now);
    } else {
        forwardClaim(claim, writer, now);
    }
    stepDirtyShards(now);
}

void ClaimCoordinator::complete(const ClaimId &id, int status, Instant now)
{
    startFollowUp(id, {.kind = ShardOperationKind::Complete, .key = id.key, .nonce = id.nonce, .status = status}, now);
    stepDirtyShards(now);
}

void ClaimCoordinator::release(const ClaimId &id, Instant now)
{
    startFollowUp(
        id, {.kind = ShardOperationKind::Release, .key = id.key, .nonce = id.nonce, .fenceAfter = id.forwardedUntil}, now);
    stepDirtyShards(now);
}

void ClaimCoordinator::forwardClaim(LocalClaim &claim, const InstanceId &writer, Instant now)
{
    claim.writer = writer;
    claim.isForwardPending = true;
    claim.notAfter.seconds = estimatedStoreTime(now).seconds + wholeSeconds(m_options.claimTimeout) + StoreTimeRoundingSeconds;
    claim.fallbackAt = now + m_health.timeout(writer);
    const ShardOperation operation{
        .key = claim.id.key, .nonce = claim.id.nonce, .retentionSeconds = claim.retentionSeconds, .notAfter = claim.notAfter};
    m_commands.emplace_back(ClaimMessage{.to = writer, .body = claimRequestMessage(claim.id.service, operation, ++m_lastNumber)});
    ++m_statistics.forwarded;
}

void ClaimCoordinator::claimLocally(LocalClaim &claim, Instant now)
{
    const ShardOperation operation{.key = claim.id.key,
                                   .nonce = claim.id.nonce,
                                   .retentionSeconds = claim.retentionSeconds,
                                   .deadline = claim.startedAt + m_options.claimTimeout};
    claim.operation = addOperation(claim.id.service, operation, {.nonce = claim.id.nonce}, now);
}

void ClaimCoordinator::startFollowUp(const ClaimId &id, const ShardOperation &operation, Instant now)
{
    const InstanceId writer = preferredWriter(claimShardObject(id.service, id.key), now);
    // A release with fenceAfter stays here: the preferred writer would not receive the fence, which messages do not carry.
    if (writer.empty() || operation.fenceAfter != StoreTime{}) {
        addOperation(id.service, operation, {.kind = operation.kind, .nonce = id.nonce}, now);
        return;
    }
    const bool completion = operation.kind == ShardOperationKind::Complete;
    const Duration timeout = completion ? m_options.completionDelay + m_options.maxForwardTimeout : m_health.timeout(writer);
    m_followUps[id.nonce] = {.operation = operation, .id = id, .writer = writer, .sentAt = now, .fallbackAt = now + timeout};
    m_commands.emplace_back(ClaimMessage{.to = writer, .body = claimRequestMessage(id.service, operation, ++m_lastNumber)});
}

void ClaimCoordinator::decideClaim(const ClaimNonce &nonce, const ShardResult &result, Instant now)
{
    const auto found = m_claims.find(nonce);
    if (found == m_claims.end()) {
        return;
    }
    const LocalClaim claim = found->second;
    m_claims.erase(found);
    ClaimResult claimResult{.decision = result.decision, .id = claim.id, .status = result.status};
    claimResult.dispatchBefore = claim.startedAt + m_options.dispatchWindow;
    if (claim.isForwardPending) {
        claimResult.id.forwardedUntil = claim.notAfter;
    }
    const bool tooLate = claimResult.decision == ClaimDecision::Owned && now >= claimResult.dispatchBefore;
    if (tooLate) {
        claimResult.decision = ClaimDecision::Unavailable;
    }
    if (tooLate || (claimResult.decision != ClaimDecision::Owned && (result.mayBeWritten || claim.isForwardPending))) {
        release(claimResult.id, now);
    }
    m_commands.emplace_back(ClaimDecided{.request = claim.request, .result = claimResult});
}

void ClaimCoordinator::tick(Instant now)
{
    fallBackToLocalOperations(now);
    for (const std::string &object : m_activeShards) {
        if (m_shards.at(object)->writer.wakeAt() <= now) {
            m_dirtyShards.insert(object);
        }
    }
    stepDirtyShards(now);
    if (now - m_lastEviction >= EvictionInterval) {
        m_lastEviction = now;
        evictCaches(now);
    }
}

void ClaimCoordinator::fallBackToLocalOperations(Instant now)
{
    for (auto &[nonce, claim] : m_claims) {
        if (claim.operation == 0 && claim.fallbackAt <= now) {
            ++m_statistics.fallbacks;
            m_health.recordTimeout(claim.writer, now);
            claimLocally(claim, now);
        }
    }
    std::vector<FollowUp> expired;
    for (const auto &[nonce, followUp] : m_followUps) {
        if (followUp.fallbackAt <= now) {
            expired.push_back(followUp);
        }
    }
    for (const FollowUp &followUp : expired) {
        ++m_statistics.fallbacks;
        m_followUps.erase(followUp.id.nonce);
        addOperation(followUp.id.service, followUp.operation, {.kind = followUp.operation.kind, .nonce = followUp.id.nonce}, now);
    }
}

std::uint64_t
ClaimCoordinator::addOperation(const ServiceName &service, ShardOperation operation, PendingOperation pending, Instant now)
{
    const std::string object = claimShardObject(service, operation.key);
    operation.id = ++m_lastNumber;
    shard(object).writer.add(operation, now);
    m_pendingOperations[operation.id] = std::move(pending);
    m_activeShards.insert(object);
    m_dirtyShards.insert(object);
    return operation.id;
}

ClaimCoordinator::Shard &ClaimCoordinator::shard(const std::string &object)
{
    std::unique_ptr<Shard> &entry = m_shards[object];
    if (!entry) {
        const std::uint64_t seed = m_options.seed ^ stableHash(m_self.value() + object);
        entry = std::make_unique<Shard>(Shard{.object = object, .writer = ShardWriter(m_options, seed)});
    }
    return *entry;
}

void ClaimCoordinator::stepDirtyShards(Instant now)
{
    while (!m_dirtyShards.empty()) {
        const std::string object = *m_dirtyShards.begin();
        m_dirtyShards.erase(m_dirtyShards.begin());
        stepShard(shard(object), now);
    }
}

void ClaimCoordinator::stepShard(Shard &shard, Instant now)
{
    if (std::optional<ShardCall> call = shard.writer.step(now)) {
        const bool isWrite = std::holds_alternative<ShardWrite>(*call);
        ++(isWrite ? m_statistics.storeWrites : m_statistics.storeReads);
        const std::uint64_t number = ++m_lastNumber;
        m_calls[number] = {.object = shard.object, .isWrite = isWrite};
        m_commands.emplace_back(ClaimStoreCall{.number = number, .object = shard.object, .call = std::move(*call)});
    }
    for (const ShardResult &result : shard.writer.takeResults()) {
        deliverResult(result, now);
    }
    if (shard.writer.isIdle()) {
        m_activeShards.erase(shard.object);
    }
}

void ClaimCoordinator::deliverResult(const ShardResult &result, Instant now)
{
    const auto found = m_pendingOperations.find(result.id);
    if (found == m_pendingOperations.end()) {
        return;
    }
    const PendingOperation pending = std::move(found->second);
    m_pendingOperations.erase(found);
    if (!pending.from.empty()) {
        respondToPeer(pending, result);
        return;
    }
    if (pending.kind == ShardOperationKind::Claim) {
        decideClaim(pending.nonce, result, now);
    }
}

void ClaimCoordinator::finishStoreCall(std::uint64_t number, const StoreReply &reply, Instant now)
{
    const auto found = m_calls.find(number);
    if (found == m_calls.end()) {
        return;
    }
    const Call call = std::move(found->second);
    m_calls.erase(found);
    updateStoreTime(reply.time, now);
    ShardWriter &writer = shard(call.object).writer;
    if (call.isWrite) {
        writer.finishWrite(reply, now);
    } else {
        writer.finishRead(reply, now);
    }
    m_dirtyShards.insert(call.object);
    stepDirtyShards(now);
}

void ClaimCoordinator::updateStoreTime(StoreTime time, Instant now)
{
    if (time > m_storeTime) {
        m_storeTime = time;
        m_storeTimeAt = now;
    }
}

StoreTime ClaimCoordinator::estimatedStoreTime(Instant now) const
{
    const auto passed = std::chrono::duration_cast<std::chrono::seconds>(now - m_storeTimeAt).count();
    return {.seconds = m_storeTime.seconds + std::max<std::int64_t>(passed, 0)};
}

InstanceId ClaimCoordinator::preferredWriter(const std::string &object, Instant now) const
{
    const std::vector<InstanceId> order = rendezvousOrder(object, m_members, 1);
    if (order.empty() || order.front() == m_self || !m_health.isUsable(order.front(), now)) {
        return {};
    }
    return order.front();
}

void ClaimCoordinator::evictCaches(Instant now)
{
    m_forwardedClaims.removeBefore(now - (m_options.maxViewAge * ForwardedClaimViewAges));
    std::size_t cached = 0;
    for (const auto &[object, entry] : m_shards) {
        cached += entry->writer.cachedClaims();
    }
    const Duration maxIdleTime = cached > m_options.maxCachedClaims ? EvictionInterval : m_options.maxShardIdleTime;
    std::erase_if(m_shards, [&](const auto &entry) {
        const ShardWriter &writer = entry.second->writer;
        return writer.isIdle() && m_activeShards.count(entry.first) == 0 && now - writer.lastUse() > maxIdleTime;
    });
}

std::vector<ClaimCommand> ClaimCoordinator::takeCommands()
{
    return std::exchange(m_commands, {});
}

Instant ClaimCoordinator::wakeAt() const
{
    Instant wake = Instant::max();
    for (const std::string &object : m_activeShards) {
        wake = std::min(wake, m_shards.at(object)->writer.wakeAt());
    }
    for (const auto &[nonce, claim] : m_claims) {
        if (claim.operation == 0) {
            wake = std::min(wake, claim.fallbackAt);
        }
    }
    for (const auto &[nonce, followUp] : m_followUps) {
        wake = std::min(wake, followUp.fallbackAt);
    }
    return wake;
}

std::size_t ClaimCoordinator::openOperations() const
{
    std::size_t forwarded = m_followUps.size();
    for (const auto &[nonce, claim] : m_claims) {
        forwarded += claim.operation == 0 ? 1 : 0;
    }
    return m_pendingOperations.size() + forwarded;
}

} // namespace Filbertmount
