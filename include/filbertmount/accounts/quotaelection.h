#pragma once

#include <filbertmount/accounts/quotatypes.h>
#include <filbertmount/peer/peermessage.h>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <deque>
#include <optional>
#include <string_view>

namespace Filbertmount {

/** The live instances, as seen by one of them. */
struct QuotaMembers {
    /** Live instances, this one included. */
    std::vector<InstanceId> members;
    /** Members that may own accounts. */
    std::vector<InstanceId> coordinators;
    /** Number of instances that were recently live or are registered, including those that cannot be reached now. */
    std::size_t known = 1;
    /** Whether instances that may run are left out of @p known, or may soon be (see SilenceReports). */
    bool hasReports = false;
    /** Until when a majority of the known instances may act as one although others are missing. */
    Instant confirmedUntil = Instant::max();
};

/**
 * Ensures that at any time at most one instance grants the tokens of an account, also when instances cannot reach each other.
 *
 * Each instance promises to follow one leader at a time. A leader that holds the promises of more than half of the known
 * instances publishes the list of owners and lets them grant for a limited time after each of their votes. It gives the accounts
 * of an owner to others only when that time is over. A leader with fewer promises lets owners grant the part of the margin that
 * corresponds to its share of the promises, so that the sum over all parts of a divided fleet stays within the margin.
 *
 * While instances are missing, a leader with a majority also needs a recent listing of the store, because a report there may let
 * the missing ones act as a majority of their own (see SilenceReports); or all must have followed one leader a short time ago.
 *
 * Performs no I/O. Times are on the clock of this instance; no message carries a time. Not thread-safe.
 */
class QuotaElection
{
public:
    QuotaElection(InstanceId self, const QuotaOptions &options, Instant startedAt);

    void setMembers(QuotaMembers members);
    /** Starts a round of the leader or a candidacy when due. Call every few milliseconds. */
    void tick(Instant now, PeerOutbox &outbox);
    void onPoll(const InstanceId &from, const Wire::QuotaPoll &poll, Instant now, PeerOutbox &outbox);
    void onVote(const InstanceId &from, const Wire::QuotaVote &vote, Instant now);
    /** Stops leading, granting and voting, so that others need not wait for the end of promises and grants. */
    void resign(PeerOutbox &outbox);

    /** The latest list of owners that this instance knows. */
    [[nodiscard]] const QuotaOwnerList &owners() const;
    /** Since when this instance alone may grant tokens of the account with this stableHash(); nothing if it may not. */
    [[nodiscard]] std::optional<Instant> responsibleSince(std::uint64_t accountHash, Instant now) const;
    /** Whether an account that this instance owns since @p since may start with tokens of the margin. */
    [[nodiscard]] bool hasBonus(Instant since) const;
    /** Share of the margin that this instance grants; nothing when it grants the full limits. */
    [[nodiscard]] std::optional<double> marginShare() const;
    [[nodiscard]] bool isLeading() const;

private:
    /** A list of owners that was in force from a point in time, or that may have been if it was not settled here. */
    struct Term {
        QuotaOwnerList owners;
        Instant since;
        bool hasBonus = false;
        bool isSettled = true;
    };
    struct SentVote {
        std::uint64_t round = 0;
        Instant sentAt;
    };
    struct ReceivedVote {
        std::uint64_t round = 0;
        Instant receivedAt;
        std::uint64_t epoch = 0;
        bool hasResigned = false;
    };

    [[nodiscard]] bool mayStand(Instant now) const;
    void stand(Instant now);
    /** Called when more than half of the instances follow this one, or when it leads without that. */
    void becomeElected(Instant now);
    void startRound(Instant now, PeerOutbox &outbox);
    void sendPolls(Instant now, PeerOutbox &outbox);
    [[nodiscard]] Wire::QuotaPoll pollFor(const InstanceId &member, std::uint32_t share, Instant now) const;
    /** Answers a poll; returns nothing when another leader has the promise of this instance. */
    std::optional<Wire::QuotaVote> answer(const InstanceId &from, const Wire::QuotaPoll &poll, Instant now);
    void applyPoll(const Wire::QuotaPoll &poll, Instant now);
    void adoptOwners(const Wire::QuotaPoll &poll, Instant now);
    void beginTerm(Term term);
    [[nodiscard]] bool yieldsTo(const InstanceId &other, const Wire::QuotaPoll &poll, Instant now) const;
    void stopLeading(PeerOutbox &outbox);
    void updateOwners(Instant now);
    void addOwners(std::vector<InstanceId> &owners, Instant now) const;
    void updateSettled(Instant now);
    void publish(std::vector<InstanceId> owners, Instant now);
    /** Whether @p owner may still grant under an earlier list. */
    [[nodiscard]] bool mayStillGrant(const InstanceId &owner, Instant now) const;
    /** Until when no part of the fleet that does not follow the leader can act as a majority. */
    [[nodiscard]] Instant majorityConfirmedUntil() const;
    [[nodiscard]] std::uint32_t share(Instant now) const;
    [[nodiscard]] std::uint64_t nextEpoch() const;

    InstanceId m_self;
    QuotaOptions m_options;
    Instant m_startedAt;
    QuotaMembers m_members;
    bool m_hasResigned = false;

    // As a voter.
    InstanceId m_leader;
    Instant m_promisedUntil{};
    std::uint64_t m_promisedRound = 0;
    Instant m_lastPollAt;
    std::uint64_t m_highestEpoch = 0;
    /** When all known instances last followed one leader. */
    std::optional<Instant> m_allFollowedAt;

    // As an owner.
    QuotaOwnerList m_owners;
    std::uint64_t m_lastBonusEpoch = 0;
    std::deque<Term> m_terms;
    std::deque<SentVote> m_sentVotes;
    Instant m_grantUntil{};
    std::uint32_t m_grantShare = 0;

    // As a leader.
    bool m_isLeading = false;
    std::uint64_t m_round = 0;
    /** The last round in which all known instances voted; 0 if there is none. */
    std::uint64_t m_allVotedRound = 0;
    Instant m_roundSentAt{};
    Instant m_nextRoundAt{};
    absl::flat_hash_set<InstanceId> m_roundVotes;
    /** Whether a voter of the current round leaves out instances that may run. */
    bool m_isRoundPartial = false;
    std::size_t m_previousVotes = 0;
    Instant m_previousRoundAt{};
    Instant m_majorityUntil{};
    std::optional<Instant> m_electedAt;
    absl::flat_hash_map<InstanceId, ReceivedVote> m_votes;
    QuotaOwnerList m_published;
    bool m_isSettled = false;
    /** Whether a list of this leadership has been settled. */
    bool m_hasSettled = false;
    std::optional<Instant> m_bonusAt;
    std::uint64_t m_bonusEpoch = 0;
    /** Owners of the published list and of those since the last settled one. */
    absl::flat_hash_set<InstanceId> m_involved;
};

} // namespace Filbertmount
