#pragma once

#include <filbertmount/routes/routeset.h>

#include <random>
#include <string>

namespace Filbertmount {

/**
 * Distributes the requests of routes with several targets by their weights. Not thread-safe.
 *
 * A request is for the first target or for one of the others; among those it is for the second or for one of the rest, and so on.
 * Each of these choices diffuses its rounding error to the next request that has to make it, so that any run of consecutive
 * requests is split close to the weights. The time that a choice takes depends on the number of targets only, not on the size of
 * the weights.
 *
 * Each instance starts with random errors. Otherwise all instances would start with the target of the highest weight, which would
 * get too many requests when each instance receives few.
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
    /** The choice between one target and all that follow it. */
    struct Choice {
        /** Share of the target in the requests that reach this choice, from 0 to 1. */
        double share = 1;
        /** Requests that the target should have got so far, less those that it got; from -0.5 to 0.5. */
        double owed = 0;
    };

    struct Sequence {
        std::vector<ForwardTarget> targets;
        /** One for each target but the last, which gets what reaches it. */
        std::vector<Choice> choices;
    };

    Sequence &sequenceOf(const ForwardRoute &route);
    [[nodiscard]] std::vector<Choice> choicesFor(const std::vector<ForwardTarget> &targets);

    std::mt19937_64 m_random;
    absl::flat_hash_map<std::string, Sequence> m_sequences;
};

} // namespace Filbertmount
