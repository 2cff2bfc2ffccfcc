#pragma once

#include <filbertmount/types/instant.h>

#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/frontend_requirements.hpp>

#include <cstdint>
#include <string>

namespace Filbertmount {

/** Token bucket that limits the rate of log lines and counts dropped lines. Not thread-safe. */
class LineRateLimit
{
public:
    /** @param linesPerSecond rate limit, also the capacity of the bucket */
    explicit LineRateLimit(double linesPerSecond);

    /** Returns whether a line may be written now; counts it as dropped otherwise. */
    bool admit(Instant now);
    /** Adds lines that were admitted but could not be written to the dropped ones. */
    void countDropped(std::uint64_t lines);
    /** Returns the number of lines dropped since the last call and resets it. */
    std::uint64_t takeDropped();

private:
    double m_linesPerSecond;
    double m_tokens;
    Instant m_refilledAt{};
    std::uint64_t m_dropped = 0;
};

/**
 * Log sink backend that never waits for the reader of its descriptor. Drops lines above the rate limit or that the descriptor
 * has no room for, and logs their number before the next line.
 */
class BoundedLogBackend : public boost::log::sinks::basic_formatted_sink_backend<
                              char,
                              boost::log::sinks::combine_requirements<boost::log::sinks::synchronized_feeding>::type>
{
public:
    explicit BoundedLogBackend(int descriptor);

    void consume(const boost::log::record_view &record, const std::string &line);

private:
    /** Writes a line, cut off at MaxLineBytes, unless that would block. */
    bool write(const std::string &line) const;

    int m_descriptor;
    LineRateLimit m_limit;
};

} // namespace Filbertmount
