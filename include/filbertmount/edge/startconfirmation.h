#pragma once

#include <filbertmount/edge/sharedstate.h>
#include <filbertmount/types/instant.h>

#include <cstdint>
#include <map>
#include <string_view>

namespace Filbertmount {

/** What is known about the age of an instance's state of one kind, from the least to the most certain. */
enum class StateCertainty : std::uint8_t {
    /** There is no state. */
    None,
    /** It comes from a listing that may be seconds old. */
    OldListing,
    /** It is the state of another instance, which may have been cut off or suspended. */
    Instance,
    /** The store has confirmed it since the start of the process. */
    Current,
};

/** Returns the name of @p certainty as it appears in logs. */
std::string_view stateCertaintyName(StateCertainty certainty);

/**
 * Decides whether the state that an instance has after its start or after a suspension may be in force. Sans-I/O, not
 * thread-safe.
 *
 * A state is put in force once the store has confirmed it, either to this instance or to another one that has the same state.
 * If the store does not respond to this instance, the state of another one is the newest to be had. A listing that may be old is
 * never used by itself: it may contain keys and routes that were removed since.
 */
class StartConfirmation
{
public:
    /** A state counts as current if the store confirmed it to another instance within this time. */
    static constexpr Duration MaxAge = std::chrono::seconds(1);
    /** Longest time from the first state of a kind until that of another instance is used without a confirmation. */
    static constexpr Duration MaxWait = std::chrono::seconds(3);

    /** Forgets all confirmations after a suspension of the process; what is known is then like the state of another instance. */
    void restart(Instant now);
    /** Records that there is a state of at least this certainty. */
    void record(StateKind kind, StateCertainty certainty, Instant now);
    /** Records that the store did not respond to a listing of this instance. */
    void recordFailedListing();
    [[nodiscard]] StateCertainty certainty(StateKind kind) const;
    /** Whether the state of @p kind may be put in force. */
    [[nodiscard]] bool mayUse(StateKind kind, Instant now) const;

private:
    struct KindState {
        StateCertainty certainty = StateCertainty::None;
        Instant knownSince{};
    };

    std::map<StateKind, KindState> m_kinds;
    bool m_hasListingFailed = false;
};

} // namespace Filbertmount
