#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace Filbertmount::StandIn {

/** Faults to inject, set by PUT /faults or by a test. */
struct Faults {
    /** Refuse each call with 503 and Request-Not-Run. */
    bool down = false;
    /** Delay of each call before it takes effect, in milliseconds. */
    std::int64_t slowMs = 0;
    /** Number of further writes that take effect but get no response. */
    std::int64_t loseResponses = 0;
    /** Number of further calls whose connection is closed without a response and that have no effect. */
    std::int64_t dropCalls = 0;
    /** Time until a change of the instance list becomes visible, in milliseconds. */
    std::int64_t listLagMs = 0;
};

/** Holds the faults to inject and counts the calls by operation. Thread-safe. */
class FaultInjector
{
public:
    void set(const Faults &faults);
    [[nodiscard]] Faults faults() const;

    /** Returns whether the response to a write that took effect is to be lost, and decrements Faults::loseResponses if so. */
    bool consumeLostResponse();
    /** Returns whether a call is to be dropped without an effect, and decrements Faults::dropCalls if so. */
    bool consumeDroppedCall();

    void countCall(const std::string &operation);
    [[nodiscard]] std::map<std::string, std::uint64_t> callCounts() const;
    void resetCallCounts();

private:
    // Guards the members below. A std::mutex, because ThreadSanitizer does not recognise the locks of Debian's Abseil.
    mutable std::mutex m_mutex;
    Faults m_faults;
    std::map<std::string, std::uint64_t> m_callCounts;
};

} // namespace Filbertmount::StandIn
