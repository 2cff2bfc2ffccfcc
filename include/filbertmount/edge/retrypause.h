#pragma once

#include <filbertmount/types/instant.h>

#include <cstdint>
#include <random>

namespace Filbertmount {

/**
 * Pauses before repeated calls. Their bound doubles with each, up to a maximum, and each is drawn at random from its upper half,
 * so that the instances of a fleet do not call at the same moment. Sans-I/O.
 */
class RetryPause
{
public:
    struct Options {
        Duration first{0};
        Duration max{0};
        std::uint64_t seed = 1;
    };

    explicit RetryPause(const Options &options);

    /** Returns the next pause. */
    Duration next();
    /** Begins with the first pause again, after a success. */
    void reset();

private:
    Options m_options;
    Duration m_bound;
    std::mt19937_64 m_random;
};

} // namespace Filbertmount
