#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace Filbertmount::StandIn {

/** Faults that are in force; the control endpoint and tests switch them. */
struct Faults {
    /** Each call is refused with 503 and Request-Not-Run. */
    bool down = false;
    /** Each call is delayed by this time before it has an effect, in milliseconds. */
    std::int64_t slowMs = 0;
    /** The next writes that take effect get no response. */
    std::int64_t loseAnswers = 0;
    /** The next calls are closed without a response and have no effect. */
    std::int64_t dropCalls = 0;
    /** Time until a change of the instance list is visible, in milliseconds. */
    std::int64_t listLagMs = 0;
};

/** The faults in force and the number of calls by operation. Thread-safe. */
class FaultSwitches
{
public:
    void set(const Faults &faults);
    [[nodiscard]] Faults faults() const;

    /** Whether this call, which took effect, gets no response. */
    bool takeLostAnswer();
    /** Whether this call is closed without an effect. */
    bool takeDroppedCall();

    void count(const std::string &operation);
    [[nodiscard]] std::map<std::string, std::uint64_t> counts() const;
    void resetCounts();

private:
    // Guards the members below. ThreadSanitizer does not see the locks of Debian\'s Abseil, so it is a std::mutex.
    mutable std::mutex m_mutex;
    Faults m_faults;
    std::map<std::string, std::uint64_t> m_counts;
};

} // namespace Filbertmount::StandIn
