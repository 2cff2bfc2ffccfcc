#pragma once

#include <filbertmount/types/instant.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Filbertmount {

/**
 * A statement in the store that instances are silent, by others that cannot reach them, or the withdrawal of such a statement,
 * which is kept for a while after the report itself is deleted.
 */
struct SilenceReport {
    /** Name of the object in the store; a report with other instances has another name. */
    std::string name;
    /** Peer addresses of the silent instances; of a withdrawal, those that are live. */
    std::vector<std::string> silent;
    bool isWithdrawal = false;

    /** Returns the name of the withdrawal of this report. */
    [[nodiscard]] std::string withdrawalName() const
    {
        return name + ".withdrawn";
    }

    bool operator==(const SilenceReport &) const = default;
};

struct SilenceReportOptions {
    /** A current listing of the store counts for this long from its request on. */
    Duration listingValidity = std::chrono::seconds(7);
    /**
     * A report is used after it has been in the store for this long. By then, whatever the silent instances were allowed by a
     * listing without it has ended, with the promises and grants that last a little longer.
     */
    Duration takeoverDelay = std::chrono::milliseconds(8200);
    /** A withdrawal is kept for this long; longer than listingValidity. */
    Duration withdrawalRetention = std::chrono::seconds(60);
};

/**
 * Decides from listings of the store which silent instances no longer count. Performs no I/O, not thread-safe.
 *
 * Silence does not show whether an instance has failed or is only cut off. So a part of the fleet that is too small to be a
 * majority reports the silence of the others in the store. While an instance is missing, a majority may act as one only on a
 * recent listing that contains no report on its own instances; if it reads one, it withdraws the report. Those who reported leave
 * the silent instances out when the report has been in the store for takeoverDelay, and as long as a recent listing still
 * contains it. All listings that count are current ones, so that a majority that is only cut off has stopped before, or has
 * withdrawn the report.
 */
class SilenceReports
{
public:
    explicit SilenceReports(SilenceReportOptions options = {});

    /** Replaces the reports and withdrawals that the store lists. */
    void set(std::vector<SilenceReport> listed, Instant now);
    /**
     * Records that what set() received last is the current state of the store.
     * @param sentAt when the listing was requested
     * @param mayBeIncomplete the store has returned from an older copy, which may lack reports and withdrawals
     */
    void confirm(const std::vector<std::string> &live, Instant sentAt, Instant now, bool mayBeIncomplete);

    /** Stops leaving out instances if one of them is live again: it may act with others from now on. */
    void recordLive(const std::vector<std::string> &live);

    /** When the next listing may allow more than the last one did; nothing if that does not depend on the time. */
    [[nodiscard]] std::optional<Instant> usableAt() const;
    /** Until when a majority of the instances that count may act as one although others are missing. */
    [[nodiscard]] Instant confirmedUntil() const;
    /** Whether the instance at @p peerAddress no longer counts. */
    [[nodiscard]] bool isExcluded(const std::string &peerAddress, Instant now) const;
    /** Whether a report is in use, or listed so that it may soon be. */
    [[nodiscard]] bool hasReports(Instant now) const;
    /** Whether a report names the instance at @p peerAddress, in use or not. */
    [[nodiscard]] bool isReported(const std::string &peerAddress) const;
    /** Whether the instance at @p peerAddress has lately had a report on it withdrawn. */
    [[nodiscard]] bool hasObjected(const std::string &peerAddress) const;
    /** Returns a report that names one of the @p live instances and must be withdrawn; null if there is none. */
    [[nodiscard]] const SilenceReport *reportOnAny(const std::vector<std::string> &live) const;
    [[nodiscard]] bool isWithdrawn(const SilenceReport &report) const;
    /** Returns a withdrawal that is no longer needed; null if there is none. */
    [[nodiscard]] const SilenceReport *obsoleteWithdrawal(Instant now) const;
    /** All reports and withdrawals that the store lists. */
    [[nodiscard]] const std::vector<SilenceReport> &listed() const;

private:
    /** Listings in a row, each requested while the one before was valid, with the same reports. */
    struct Sequence {
        /** Since when the reports have certainly been in the store; nothing if no other ones can have been in use before. */
        std::optional<Instant> since;
        Instant lastSentAt;
    };

    [[nodiscard]] std::vector<SilenceReport> reportsInForce() const;

    SilenceReportOptions m_options;
    std::vector<SilenceReport> m_listed;
    /** When each withdrawal was first listed, by name. */
    std::map<std::string, Instant> m_withdrawnAt;
    /** By the names of the reports. */
    std::map<std::string, Sequence> m_sequences;
    std::vector<std::string> m_excluded;
    Instant m_confirmedUntil{};
    std::optional<Instant> m_usableAt;
};

} // namespace Filbertmount
