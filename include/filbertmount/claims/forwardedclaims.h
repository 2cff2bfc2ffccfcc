#pragma once

#include <filbertmount/claims/claimtypes.h>

#include <map>
#include <optional>

namespace Filbertmount {

/**
 * Records the claims that other instances forwarded, so that a duplicated message is not written a second time. A
 * duplicate written after the owner released its claim would block the key until its retention ends. Not thread-safe.
 */
class ForwardedClaims
{
public:
    struct Decision {
        ClaimDecision decision = ClaimDecision::Unavailable;
        int status = 0;
    };
    enum class Arrival : std::uint8_t {
        First,
        /** A duplicate of a message that has no response yet, or never gets one because its outcome is uncertain. */
        NoResponse,
        /** A duplicate of a message that was answered; see decision(). */
        Responded,
    };

    /** Records the first arrival of @p nonce. Returns whether this is the first one. */
    Arrival recordArrival(const ClaimNonce &nonce, Instant now);
    /** Stores the decision to repeat for duplicates of @p nonce. */
    void recordDecision(const ClaimNonce &nonce, const Decision &decision);
    /** Returns the recorded decision; Unavailable when there is none. */
    [[nodiscard]] Decision decision(const ClaimNonce &nonce) const;
    /**
     * Removes claims that arrived before @p before. By then the store's clock must have passed their ShardOperation::notAfter,
     * and every cached view that was read earlier must have been discarded.
     */
    void removeBefore(Instant before);
    [[nodiscard]] std::size_t size() const
    {
        return m_claims.size();
    }

private:
    struct State {
        Instant arrivedAt;
        std::optional<Decision> decision;
    };

    std::map<ClaimNonce, State> m_claims;
};

} // namespace Filbertmount
