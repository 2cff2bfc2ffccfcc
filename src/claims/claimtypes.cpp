#include <filbertmount/claims/claimtypes.h>

#include <filbertmount/types/sha256.h>

#include <openssl/rand.h>

#include <algorithm>
#include <stdexcept>

namespace Filbertmount {

ClaimKey claimKey(const std::string &idempotencyKey)
{
    const Sha256Digest digest = sha256(idempotencyKey);
    ClaimKey key{};
    std::copy_n(digest.begin(), key.size(), key.begin());
    return key;
}

ClaimNonce randomClaimNonce()
{
    ClaimNonce nonce{};
    // Two attempts with the same nonce would both own the claim, so there is no fallback to a weaker source.
    if (RAND_bytes(nonce.data(), static_cast<int>(nonce.size())) != 1) {
        throw std::runtime_error("the system's random source failed");
    }
    return nonce;
}

unsigned claimShardNumber(const ClaimKey &key)
{
    return key[0] % ClaimShardsPerService;
}

std::string claimShardObject(const ServiceName &service, const ClaimKey &key)
{
    return "claims/" + service.value() + "/" + std::to_string(claimShardNumber(key));
}

} // namespace Filbertmount
