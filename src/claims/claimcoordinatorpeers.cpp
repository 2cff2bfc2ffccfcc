// The part of ClaimCoordinator that handles messages from other instances.
#include <filbertmount/claims/claimcoordinator.h>

#include "claimmessages.h"

#include <utility>

namespace Filbertmount {

void ClaimCoordinator::receive(const InstanceId &from, const Wire::ClaimRequest &request, Instant now)
{
    const std::optional<ShardOperation> operation = parseClaimRequest(request);
    if (!operation || from.empty()) {
        ++m_statistics.malformedMessages;
        return;
    }
    if (operation->kind == ShardOperationKind::Claim) {
        receiveClaim(from, request, *operation, now);
    } else if (openOperations() < m_options.maxOpenOperations) {
        // Above the limit the sender gets no response and, after its timeout, writes to the store itself.
        const PendingOperation pending{
            .kind = operation->kind, .nonce = operation->nonce, .from = from, .peerRequest = request.request()};
        addOperation(ServiceName(request.service()), *operation, pending, now);
    }
    stepDirtyShards(now);
}

void ClaimCoordinator::receiveClaim(const InstanceId &from,
                                    const Wire::ClaimRequest &request,
                                    const ShardOperation &operation,
                                    Instant now)
{
    const PendingOperation pending{.nonce = operation.nonce, .from = from, .peerRequest = request.request()};
    if (m_forwardedClaims.size() >= m_options.maxOpenOperations) {
        return;
    }
    const ForwardedClaims::Arrival arrival = m_forwardedClaims.recordArrival(operation.nonce, now);
    if (arrival == ForwardedClaims::Arrival::Responded) {
        sendReply(pending, m_forwardedClaims.decision(operation.nonce));
    }
    if (arrival != ForwardedClaims::Arrival::First) {
        return;
    }
    if (operation.notAfter < m_storeTime || openOperations() >= m_options.maxOpenOperations) {
        respondToPeer(pending, {});
        return;
    }
    ShardOperation claim = operation;
    claim.deadline = now + m_options.claimTimeout;
    addOperation(ServiceName(request.service()), claim, pending, now);
}

void ClaimCoordinator::respondToPeer(const PendingOperation &pending, const ShardResult &result)
{
    if (pending.kind == ShardOperationKind::Claim) {
        if (result.mayBeWritten) {
            // Without a response the owner's release sets fenceAfter, which also removes an entry that is written late.
            return;
        }
        m_forwardedClaims.recordDecision(pending.nonce, {.decision = result.decision, .status = result.status});
    }
    sendReply(pending, {.decision = result.decision, .status = result.status});
}

void ClaimCoordinator::sendReply(const PendingOperation &pending, const ForwardedClaims::Decision &decision)
{
    Wire::Body body;
    Wire::ClaimReply &reply = *body.mutable_claim_reply();
    reply.set_request(pending.peerRequest);
    reply.set_kind(wireKind(pending.kind));
    reply.set_decision(wireDecision(decision.decision));
    reply.set_status(static_cast<std::uint32_t>(decision.status));
    reply.mutable_entry()->set_nonce(pending.nonce.data(), pending.nonce.size());
    m_commands.emplace_back(ClaimMessage{.to = pending.from, .body = std::move(body)});
}

void ClaimCoordinator::receive(const InstanceId &from, const Wire::ClaimReply &reply, Instant now)
{
    const std::optional<ClaimNonce> nonce = parseNonce(reply.entry());
    if (!nonce || !Wire::ClaimReply::Decision_IsValid(reply.decision()) || reply.status() > 999) {
        ++m_statistics.malformedMessages;
        return;
    }
    const ClaimDecision decision = parseDecision(reply.decision());
    if (reply.kind() == Wire::ClaimRequest::CLAIM) {
        const auto claim = m_claims.find(*nonce);
        if (claim != m_claims.end() && claim->second.writer == from) {
            receiveDecision(claim->second, decision, static_cast<int>(reply.status()), now);
        }
    } else if (const auto followUp = m_followUps.find(*nonce); followUp != m_followUps.end() && followUp->second.writer == from) {
        if (followUp->second.operation.kind == ShardOperationKind::Release) {
            m_health.recordResponse(from, now - followUp->second.sentAt);
        }
        m_followUps.erase(followUp);
    }
    stepDirtyShards(now);
}

void ClaimCoordinator::receiveDecision(LocalClaim &claim, ClaimDecision decision, int status, Instant now)
{
    // Having responded, the writer sends no further write with this nonce; ForwardedClaims responds to duplicates.
    claim.isForwardPending = false;
    m_health.recordResponse(claim.writer, now - claim.startedAt);
    const ClaimNonce nonce = claim.id.nonce;
    if (decision == ClaimDecision::Owned) {
        cancelLocalOperation(claim);
        decideClaim(nonce, {.decision = decision}, now);
        return;
    }
    if (claim.operation != 0) {
        // The claim already fell back to an operation of this instance, whose result decides.
        return;
    }
    if (decision == ClaimDecision::Unavailable) {
        claimLocally(claim, now);
        return;
    }
    decideClaim(nonce, {.decision = decision, .status = status}, now);
}

void ClaimCoordinator::cancelLocalOperation(LocalClaim &claim)
{
    if (claim.operation == 0) {
        return;
    }
    m_pendingOperations.erase(claim.operation);
    const std::string object = claimShardObject(claim.id.service, claim.id.key);
    shard(object).writer.withdraw(claim.operation);
    // The shard may be idle now; stepShard() then removes it from m_activeShards.
    m_dirtyShards.insert(object);
}

} // namespace Filbertmount
