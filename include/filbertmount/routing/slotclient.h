#pragma once

#include <filbertmount/routing/slotmessages.h>
#include <filbertmount/routing/upstreamtable.h>

#include <absl/container/flat_hash_map.h>

#include <optional>
#include <random>
#include <string>
#include <vector>

namespace Filbertmount {

struct SlotClientOptions {
    AvailabilityZone zone;
    /** Time beyond the announced wait after which the instance chooses by itself. */
    Duration grantTimeout = std::chrono::milliseconds(5);
    Duration reportInterval = std::chrono::milliseconds(500);
    /** Time between reports of a service without requests; 610 services at reportInterval would send 19 KB/s. */
    Duration idleReportInterval = std::chrono::seconds(10);
    /** Interval of reports while attempts run that the dispatcher did not grant. */
    Duration localPlacementReportInterval = std::chrono::milliseconds(20);
    /** Missing answers in a row after which the dispatcher is asked by one request at a time only. */
    int timeoutsBeforeBackoff = 3;
    /** Interval of these single requests. */
    Duration backoffRequestInterval = std::chrono::milliseconds(100);
    std::uint64_t seed = 1;
};

/** An upstream for one attempt. */
struct SlotPlacement {
    std::uint64_t request = 0;
    UpstreamIndex upstream = 0;
    /** NoGrant when the instance chose by itself. */
    std::uint64_t grant = NoGrant;
};

/** What the client decided for its own requests; each request gets one of the two. */
struct SlotDecisions {
    std::vector<SlotPlacement> placements;
    std::vector<SlotRefusal> refusals;

    void clear();
};

/**
 * An entry instance's side of late binding: asks the dispatcher for slots and chooses by itself when no answer comes.
 *
 * Sans-I/O and not thread-safe. Messages go to the dispatcher through the outbox.
 */
class SlotClient
{
public:
    /** @p table must outlive the client. */
    SlotClient(UpstreamTable &table, SlotClientOptions options);

    /** Sets who is asked from now on; without one, the instance chooses by itself. */
    void setDispatcher(std::optional<MemberIndex> dispatcher, Instant now, SlotOutbox &outbox, SlotDecisions &decisions);
    [[nodiscard]] std::optional<MemberIndex> dispatcher() const;

    /** Asks for an upstream. @p request must be unique in this process. */
    void request(SlotRequest request, Instant now, SlotOutbox &outbox, SlotDecisions &decisions);
    /** Ends an attempt that was placed. */
    void release(const SlotPlacement &placement, const AttemptReport &report, Instant now, SlotOutbox &outbox);

    void handle(MemberIndex from, const SlotGrant &grant, Instant now, SlotOutbox &outbox, SlotDecisions &decisions);
    void handle(MemberIndex from, const SlotQueued &queued, Instant now);
    void handle(MemberIndex from, const SlotRefusal &refusal, Instant now, SlotDecisions &decisions);
    /** The dispatcher granted an upstream that this instance does not know or that takes nothing new. */
    void
    handleUnknownUpstream(MemberIndex from, const SlotGrant &grant, Instant now, SlotOutbox &outbox, SlotDecisions &decisions);

    /** Call every millisecond or few. */
    void tick(Instant now, SlotOutbox &outbox, SlotDecisions &decisions);

    [[nodiscard]] int inFlight(UpstreamIndex index) const;
    [[nodiscard]] std::size_t waiting() const;
    /** Attempts that the instance placed by itself so far. */
    [[nodiscard]] std::uint64_t localPlacements() const;
    [[nodiscard]] std::uint64_t grants() const;

private:
    struct Pending {
        SlotRequest request;
        Instant deadline;
        Instant sent;
        Instant answerDue;
    };

    void placeLocally(const SlotRequest &request, SlotDecisions &decisions);
    std::optional<UpstreamIndex> betterOfTwoRandom(const SlotRequest &request);
    std::optional<UpstreamIndex> randomUsableUpstream(const SlotRequest &request);
    [[nodiscard]] double load(UpstreamIndex index) const;
    [[nodiscard]] bool mayAskDispatcher(Instant now);
    [[nodiscard]] Duration timeout() const;
    void beginAttempt(const SlotPlacement &placement, SlotDecisions &decisions);
    void sendReport(Instant now, SlotOutbox &outbox);
    void recordAnswer(const Pending &pending, Instant now);
    void ensureSize();

    UpstreamTable &m_table;
    SlotClientOptions m_options;
    std::optional<MemberIndex> m_dispatcher;
    absl::flat_hash_map<std::uint64_t, Pending> m_pending;
    std::vector<int> m_inFlight;
    std::vector<std::uint64_t> m_expired;
    std::mt19937_64 m_random;
    std::uint64_t m_lastGrant = 0;
    int m_localInFlight = 0;
    bool m_hasReportedLocal = false;
    /** Empty reports in a row. */
    int m_emptyReports = 0;
    Instant m_lastReport{};
    Instant m_lastAsked{};
    int m_timeoutsInRow = 0;
    /** Smoothed time until the first answer, in nanoseconds. */
    double m_answerTime = 0;
    std::uint64_t m_localPlacements = 0;
    std::uint64_t m_grants = 0;
};

} // namespace Filbertmount
