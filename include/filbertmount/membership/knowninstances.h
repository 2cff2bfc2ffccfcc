#pragma once

#include <filbertmount/membership/membershiptable.h>
#include <filbertmount/membership/silencereports.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Filbertmount {

/** An entry in the store's list of instances. */
struct RegisteredInstance {
    /** "IP:port" for messages between instances; identifies the machine, also after a restart of its process. */
    std::string peerAddress;
    /** The entry states that the instance has left the fleet. */
    bool isDeparture = false;
};

struct KnownInstancesOptions {
    /** An instance that stopped responding counts for this long without a registration. Longer than any shutdown takes. */
    Duration recentTime = std::chrono::seconds(30);
    /** An instance that announced its shutdown counts for this long: its earlier promises to others must have ended. */
    Duration departureDelay = std::chrono::seconds(1);
    /** An announced departure that the store does not list after this time is ignored. */
    Duration confirmationTime = std::chrono::seconds(10);
    /** A registered instance that was silent for this long has left without announcing it. */
    Duration silenceLimit = std::chrono::minutes(10);
    /** A live instance with a departure entry this old has restarted, and its process failed to remove the entry. */
    Duration wrongDepartureTime = std::chrono::seconds(10);
    /** Entries of departed instances are kept for this long, so that stale listings do not bring them back. */
    Duration departureRetention = std::chrono::minutes(10);
    /**
     * A part of the fleet that is no majority reports the others as silent after this time, in which it has not changed itself.
     * Longer than the promises and grants of quotas last.
     */
    Duration reportDelay = std::chrono::seconds(3);
    SilenceReportOptions reports;
};

/**
 * Tracks which instances may be running, reachable or not: live members, members that stopped responding recently, and the
 * instances registered in the store. Instances that announced their shutdown are not among them, although their registration may
 * still exist, nor are those that a report excludes (see SilenceReports). Instances are identified by their peer addresses, which
 * survive a restart. Performs no I/O. Not thread-safe.
 */
class KnownInstances
{
public:
    explicit KnownInstances(KnownInstancesOptions options = {});

    /** Updates the live members and those that announced their shutdown. */
    void setMembers(const MemberList &live, const MemberList &left, Instant now);
    /** Replaces the entries listed by the store. */
    void setRegistered(const std::vector<RegisteredInstance> &entries, Instant now);
    /** Replaces the reports and withdrawals listed by the store. */
    void setReports(std::vector<SilenceReport> reports, Instant now);
    /** Records that the entries and reports set last are those of a current listing; see SilenceReports::confirm(). */
    void confirmListing(Instant sentAt, Instant now, bool mayBeIncomplete);
    [[nodiscard]] const SilenceReports &reports() const;

    /** Number of instances that may be running. */
    [[nodiscard]] std::size_t count(Instant now) const;
    /** Number of registered instances, with those that departed so recently that their processes may still send requests. */
    [[nodiscard]] std::size_t registeredCount(Instant now) const;
    /** Whether an instance that may be running is not live, also if a report excludes it. */
    [[nodiscard]] bool isAnyMissing(Instant now) const;
    /** Whether more than half of the instances that may be running are live. */
    [[nodiscard]] bool isMajorityLive(Instant now) const;

    /** Peer addresses of the live instances. */
    [[nodiscard]] std::vector<std::string> live() const;
    /**
     * Returns the instances to be reported as silent: all that are missing, if that makes the live ones a majority and no report
     * in the store names them; otherwise none.
     */
    [[nodiscard]] std::vector<std::string> silenceToReport(Instant now) const;
    /** Returns a report that is no longer needed, because all instances that it names have left; null if there is none. */
    [[nodiscard]] const SilenceReport *obsoleteReport(Instant now) const;
    /** Registered instances that were silent for so long that they have left the fleet. */
    [[nodiscard]] std::vector<std::string> silentInstances(Instant now) const;
    /** Live instances whose departure entry is wrong. */
    [[nodiscard]] std::vector<std::string> wrongDepartures(Instant now) const;
    /** Departed instances whose entries are no longer needed. */
    [[nodiscard]] std::vector<std::string> obsoleteDepartures(Instant now) const;

private:
    struct Entry {
        /** Process that was live last. */
        InstanceId lastProcess;
        /** When the instance was last live; while it has not been, when it became known. */
        Instant seenAt;
        /** When its process announced the shutdown. */
        std::optional<Instant> leftAt;
        /** Since when the store lists the departure. */
        std::optional<Instant> departureListedAt;
        bool wasLive = false;
        bool isLive = false;
        bool isRegistered = false;
    };

    /** Leaves reports out of account. */
    [[nodiscard]] bool mayRun(const Entry &entry, Instant now) const;
    [[nodiscard]] bool counts(const std::string &peerAddress, const Entry &entry, Instant now) const;
    Entry &entryOf(const std::string &peerAddress, Instant now);
    /** Removes entries that state nothing any more. */
    void prune(Instant now);

    KnownInstancesOptions m_options;
    /** By peer address. */
    std::map<std::string, Entry> m_entries;
    SilenceReports m_reports;
    /** When the set of live instances last changed. */
    std::optional<Instant> m_liveSince;
};

} // namespace Filbertmount
