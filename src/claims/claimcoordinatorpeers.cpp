// The part of ClaimCoordinator that handles messages of other instances.
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
        // Above the limit the sender gets no answer and writes itself.
        const Waiting waiting{.kind = operation->kind, .nonce = operation->nonce, .from = from, .peerRequest = request.request()};
        addOperation(ServiceName(request.service()), *operation, waiting, now);
    }
    run(now);
}

void ClaimCoordinator::receiveClaim(const InstanceId &from,
                                    const Wire::ClaimRequest &request,
                                    const ShardOperation &operation,
                                    Instant now)
{
    const Waiting waiting{.nonce = operation.nonce, .from = from, .peerRequest = request.request()};
    if (m_forwarded.size() >= m_options.maxOpenOperations) {
        return;
    }
    const ForwardedClaims::Arrival arrival = m_forwarded.arrive(operation.nonce, now);
    if (arrival == ForwardedClaims::Arrival::Answered) {
        sendReply(waiting, m_forwarded.decision(operation.nonce));
    }
    if (arrival != ForwardedClaims::Arrival::First) {
        return;
    }
    if (operation.notAfter < m_storeTime || openOperations() >= m_options.maxOpenOperations) {
        answerPeer(waiting, {});
        return;
    }
    ShardOperation claim = operation;
    claim.deadline = now + m_options.claimTimeout;
    addOperation(ServiceName(request.service()), claim, waiting, now);
}

void ClaimCoordinator::answerPeer(const Waiting &waiting, const ShardResult &result)
{
    if (waiting.kind == ShardOperationKind::Claim) {
        if (result.mayBeWritten) {
            // No answer: the owner then removes a late entry with its release.
            return;
        }
        m_forwarded.decide(waiting.nonce, {.decision = result.decision, .status = result.status});
    }
    sendReply(waiting, {.decision = result.decision, .status = result.status});
}

void ClaimCoordinator::sendReply(const Waiting &waiting, const ForwardedClaims::Decision &decision)
{
    Wire::Body body;
    Wire::ClaimReply &reply = *body.mutable_claim_reply();
    reply.set_request(waiting.peerRequest);
    reply.set_kind(wireKind(waiting.kind));
    reply.set_decision(wireDecision(decision.decision));
    reply.set_status(static_cast<std::uint32_t>(decision.status));
    reply.mutable_entry()->set_nonce(waiting.nonce.data(), waiting.nonce.size());
    m_commands.emplace_back(ClaimMessage{.to = waiting.from, .body = std::move(body)});
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
            m_health.answered(from, now - followUp->second.sentAt);
        }
        m_followUps.erase(followUp);
    }
    run(now);
}

void ClaimCoordinator::receiveDecision(LocalClaim &claim, ClaimDecision decision, int status, Instant now)
{
    // From here the writer sends no further write with this nonce; it answers duplicates from memory.
    claim.forwardOpen = false;
    m_health.answered(claim.writer, now - claim.startedAt);
    const ClaimNonce nonce = claim.id.nonce;
    if (decision == ClaimDecision::Owned) {
        withdraw(claim);
        decide(nonce, {.decision = decision}, now);
        return;
    }
    if (claim.operation != 0) {
        // This instance writes the claim itself by now, and that write decides.
        return;
    }
    if (decision == ClaimDecision::Unavailable) {
        claimOneself(claim, now);
        return;
    }
    decide(nonce, {.decision = decision, .status = status}, now);
}

void ClaimCoordinator::withdraw(LocalClaim &claim)
{
    if (claim.operation == 0) {
        return;
    }
    m_waiting.erase(claim.operation);
    const std::string object = claimShardObject(claim.id.service, claim.id.key);
    shard(object).writer.withdraw(claim.operation);
    // The writer may have no work left; its next step takes it off the active shards.
    m_dirty.insert(object);
}

} // namespace Filbertmount
