#pragma once

#include <filbertmount/edge/sharedstate.h>

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

    /** Revision of the last report on @p zone; empty if there is none. */
    [[nodiscard]] std::optional<Revision> revision(const std::string &zone) const;
    /** Names of the zones that are evacuated, sorted. */
    [[nodiscard]] std::vector<std::string> zones() const;
    [[nodiscard]] bool contains(const AvailabilityZone &zone) const;
    /** The evacuations in force and, as deletions, those that have ended. */
    [[nodiscard]] std::vector<StateChange> objects() const;
    /** Hash over the evacuations in force, independent of the order in which they were reported. */
    [[nodiscard]] std::uint64_t hash() const;

private:
    struct Entry {
        /** Of the last report. */
        Revision revision;
        bool hasEnded = false;
    };

    /** Forgets the oldest end if more than MaxRememberedEnds are known. */
    void boundEnds();

    std::map<std::string, Entry> m_entries;
    std::size_t m_ends = 0;
};

} // namespace Filbertmount
