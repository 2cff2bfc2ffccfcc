#pragma once

#include <filbertmount/claims/claimtypes.h>

#include <map>
#include <optional>

namespace Filbertmount {

/**
 * Remembers the claims that other instances forwarded, so that a duplicated message is not written a second time.
 *
 * A duplicate that arrives after the owner has released its claim would otherwise lock the key until retention ends.
 * Not thread-safe.
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
        /** A duplicate whose first copy has no answer that may be given, now or for good. */
        Unanswered,
        /** A duplicate whose first copy was answered. */
        Answered,
    };

    Arrival recordArrival(const ClaimNonce &nonce, Instant now);
    void recordDecision(const ClaimNonce &nonce, const Decision &decision);
    [[nodiscard]] Decision decision(const ClaimNonce &nonce) const;
    /**
     * Forgets claims that arrived before @p before. This must be so long ago that the store's clock has passed the
     * claims' last time and every view that was read before is dropped.
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
