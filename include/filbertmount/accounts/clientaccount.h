#pragma once

#include <filbertmount/types/ids.h>
#include <filbertmount/types/sha256.h>

#include <optional>
#include <vector>

namespace Filbertmount {

/** A client account: who may send requests, with which keys, how urgently and how many. */
struct ClientAccount {
    AccountName name;
    /** SHA-256 digests of the API keys; the keys themselves are not kept. */
    std::vector<Sha256Digest> keyDigests;
    /** Replaces the rank of the route; 0 is the most urgent. */
    std::optional<int> rank;
    /** Requests per second over all instances; 0 for no limit. */
    double rate = 0;
    /** Requests that may be made at once beyond the rate. */
    double burst = 0;
    /** Regions whose upstreams may serve the account; all when empty. */
    std::vector<Region> allowedRegions;

    bool operator==(const ClientAccount &) const = default;
};

} // namespace Filbertmount
