#include <filbertmount/claims/forwardedclaims.h>

namespace Filbertmount {

ForwardedClaims::Arrival ForwardedClaims::recordArrival(const ClaimNonce &nonce, Instant now)
{
    const auto [entry, first] = m_claims.try_emplace(nonce, State{.arrivedAt = now, .decision = {}});
    if (first) {
        return Arrival::First;
    }
    return entry->second.decision ? Arrival::Responded : Arrival::NoResponse;
}

void ForwardedClaims::recordDecision(const ClaimNonce &nonce, const Decision &decision)
{
    const auto found = m_claims.find(nonce);
    if (found != m_claims.end()) {
        found->second.decision = decision;
    }
}

ForwardedClaims::Decision ForwardedClaims::decision(const ClaimNonce &nonce) const
{
    const auto found = m_claims.find(nonce);
    return found == m_claims.end() ? Decision{} : found->second.decision.value_or(Decision{});
}

void ForwardedClaims::removeBefore(Instant before)
{
    std::erase_if(m_claims, [before](const auto &entry) {
        return entry.second.arrivedAt < before;
    });
}

} // namespace Filbertmount
