#pragma once

#include <filbertmount/types/instant.h>

#include <optional>

namespace Filbertmount {

/**
 * Decides whether an instance that has just started, or was suspended, may forward requests without knowing the evacuations of
 * zones. Sans-I/O.
 *
 * It waits for them, because its first requests would reach upstreams of an evacuated zone otherwise, but not for ever: during an
 * outage of the store, or next to instances of an earlier version, no instance may know them.
 */
class EvacuationStart
{
public:
    /**
     * Longest wait once routes and upstreams are known. Covers three attempts of FirstListings and an elected reader that the
     * store refuses at first, and is shorter than the 5 s within which an evacuation takes effect on a running instance.
     */
    static constexpr Duration MaxWait = std::chrono::seconds(3);

    explicit EvacuationStart(bool isEnabled);

    /** Records that routes and upstreams are known; only the first call counts. */
    void recordTargets(Instant now);
    /** Begins the wait again after a suspension, during which evacuations may have begun. */
    void restart(Instant now);
    /** @param isKnown evacuations were listed or received from another instance */
    [[nodiscard]] bool mayForward(bool isKnown, Instant now) const;
    /** Whether forwarding at this point starts without known evacuations. */
    [[nodiscard]] bool isWithoutEvacuations(bool isKnown) const;

private:
    bool m_isEnabled;
    std::optional<Instant> m_targetsSince;
};

/**
 * Decides when an instance that is not a reader lists the current state of a kind itself after its start, because no other one
 * has confirmed what it knows. Sans-I/O. In a running fleet, others do so before the first listing is due, so that it makes no
 * call.
 */
class FirstListings
{
public:
    /** Time from the start to the first listing of a kind without which an instance may serve. */
    static constexpr Duration FirstDelay = std::chrono::milliseconds(700);
    /** After this many listings, only the elected readers call the store. */
    static constexpr int MaxListings = 3;

    /** @param firstDelay time from the start to the first listing */
    explicit FirstListings(Duration firstDelay = FirstDelay);

    void start(Instant now);
    /** Returns true when a listing is to be started now; the time to the next one doubles with each. */
    [[nodiscard]] bool isDue(bool isConfirmed, Instant now);

private:
    std::optional<Instant> m_next;
    Duration m_delay;
    int m_listings = 0;
};

} // namespace Filbertmount
