#pragma once

#include <filbertmount/routes/routeset.h>

#include <random>
#include <string>

namespace Filbertmount {

/**
 * Distributes the requests of routes with several targets by smooth weighted round robin, so that any run of consecutive
 * requests is split close to the weights. Not thread-safe.
 *
 * Each instance starts at a random point of the sequence. Otherwise all instances would start with the target of the highest
 * weight, which would get too many requests when each instance receives few.
 */
class SplitSelector
{
public:
    explicit SplitSelector(std::uint64_t seed);

    /** Returns the target of the next request on @p route. */
    const ServiceName &next(const ForwardRoute &route);

    /** Discards the state of routes that are not in @p routes. */
    void retain(const RouteSet &routes);

private:
    /** Position of a route in its sequence of targets. */
    struct Sequence {
        std::vector<ForwardTarget> targets;
        /** By target. Each selection adds the weights, selects the highest value and subtracts the sum of the weights from it. */
        std::vector<int> currentWeights;
    };

    Sequence &sequenceOf(const ForwardRoute &route);
    static std::size_t advance(Sequence &sequence);

    std::mt19937_64 m_random;
    absl::flat_hash_map<std::string, Sequence> m_sequences;
};

} // namespace Filbertmount
