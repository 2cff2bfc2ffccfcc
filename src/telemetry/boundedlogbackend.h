#pragma once

#include <filbertmount/types/instant.h>

#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/frontend_requirements.hpp>

#include <cstdint>
#include <string>

namespace Filbertmount {

/** Admits lines up to a rate with a burst, and counts the others. Not thread-safe. */
class LineRateLimit
{
public:
    /** @param linesPerSecond also the size of the burst */
    explicit LineRateLimit(double linesPerSecond);

    bool admit(Instant now);
    /** Counts lines that were admitted and could not be written. */
    void noteDropped(std::uint64_t lines);
    /** Returns the lines dropped since the last call. */
    std::uint64_t takeDropped();

private:
    double m_linesPerSecond;
    double m_tokens;
    Instant m_last{};
    std::uint64_t m_dropped = 0;
};

/** Writes lines to a descriptor without ever waiting for its reader. Lines that are dropped are counted in the log itself. */
class BoundedLogBackend : public boost::log::sinks::basic_formatted_sink_backend<
                              char,
                              boost::log::sinks::combine_requirements<boost::log::sinks::synchronized_feeding>::type>
{
public:
    explicit BoundedLogBackend(int descriptor);

    void consume(const boost::log::record_view &record, const std::string &line);

private:
    bool write(const std::string &line) const;

    int m_descriptor;
    LineRateLimit m_limit;
};

} // namespace Filbertmount
