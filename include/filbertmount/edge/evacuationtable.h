#pragma once

#include <filbertmount/edge/sharedstate.h>
#include <filbertmount/types/instant.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Filbertmount {

/**
 * The evacuations of zones that an instance knows, and those that have ended. Sans-I/O, not thread-safe.
 *
 * Of two reports on one zone the one with the higher revision is kept, and of two with the same revision the end. Ends are
 * remembered, so that an older report, which may arrive late or from another instance, does not start an evacuation again.
 *
 * An evacuation whose entry the store may have lost is in force until the end of a grace time, but it is not one of the store's:
 * it is not part of the hash, and it is sent to other instances as a deletion that may be an error. Its end has the revision of
 * the listing that lacks it, so that an entry that is written afterwards always starts it again.
 */
class EvacuationTable
{
public:
    /** Number of ended evacuations that are remembered; each takes about 150 bytes. */
    static constexpr std::size_t MaxRememberedEnds = 256;

    /** Records that the store has an entry for @p zone at @p revision; returns whether an evacuation starts. */
    bool start(const std::string &zone, Revision revision);
    /** Records that the entry for @p zone was deleted at @p revision; returns whether an evacuation ends. */
    bool end(const std::string &zone, Revision revision);
    /**
     * Records that the store at revision @p since may have lost the entry for @p zone; the evacuation ends at @p endsAt unless
     * the entry is written again. Returns whether that is new; it has no effect on a zone that is not evacuated.
     */
    bool markMissing(const std::string &zone, Revision since, Instant endsAt);
    [[nodiscard]] bool isMissing(const std::string &zone) const;
    /** Ends the evacuations whose grace time is over, and returns them as deletions. */
    std::vector<StateChange> endMissing(Instant now);

    /** Revision of the last report on @p zone; empty if there is none. */
    [[nodiscard]] std::optional<Revision> revision(const std::string &zone) const;
    /** Names of the zones that are evacuated, sorted. */
    [[nodiscard]] std::vector<std::string> zones() const;
    [[nodiscard]] bool contains(const AvailabilityZone &zone) const;
    /** The evacuations in force and, as deletions, those that have ended and those whose entry may be lost. */
    [[nodiscard]] std::vector<StateChange> objects(Instant now) const;
    /** Hash over the evacuations whose entries the store has, independent of the order in which they were reported. */
    [[nodiscard]] std::uint64_t hash() const;

private:
    /** The store may have lost an entry. */
    struct Missing {
        /** Revision of the listing that lacks it. */
        Revision since;
        Instant endsAt;
    };
    struct Entry {
        /** Of the last report. */
        Revision revision;
        bool hasEnded = false;
        std::optional<Missing> missing = {};
    };

    /** Forgets the oldest end if more than MaxRememberedEnds are known. */
    void boundEnds();

    std::map<std::string, Entry> m_entries;
    std::size_t m_ends = 0;
};

} // namespace Filbertmount
