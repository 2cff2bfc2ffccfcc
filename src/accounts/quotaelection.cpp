#include <filbertmount/accounts/quotaelection.h>

#include <filbertmount/types/rendezvoushash.h>

#include <algorithm>

namespace Filbertmount {

namespace {

constexpr std::uint32_t FullShare = 1000;
// Every instance stores the list, and a request carries the demands of all accounts of an owner; more owners mean more messages.
constexpr std::size_t MaxOwners = 16;
// A zone can contain the first candidates, so there are several.
constexpr std::size_t MaxCandidates = 6;
// Longer than a vote takes, so that the next candidate does not stand while the first one collects votes.
constexpr Duration CandidateDelay = std::chrono::milliseconds(30);
// Covers differences between the speeds of clocks.
constexpr Duration ClockMargin = std::chrono::milliseconds(20);
constexpr std::size_t RememberedVotes = 8;
// An account that stays with its owner over more lists than this starts with an empty bucket again.
constexpr std::size_t MaxTerms = 32;
// A new owner uses the margin for changes of owners only directly after the change.
constexpr int WindowsBetweenBonuses = 2;
// The low bits of an epoch identify the leader, so that two leaders do not publish different lists under one epoch.
constexpr unsigned EpochLeaderBits = 16;
constexpr std::string_view LeaderKey = "quota-leader";

bool contains(const std::vector<InstanceId> &ids, const InstanceId &id)
{
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

} // namespace

QuotaElection::QuotaElection(InstanceId self, const QuotaOptions &options, Instant startedAt)
    : m_self(std::move(self))
    , m_options(options)
    , m_startedAt(startedAt)
    , m_lastPollAt(startedAt)
{
}

void QuotaElection::setMembers(QuotaMembers members)
{
    m_members = std::move(members);
}

const QuotaOwnerList &QuotaElection::owners() const
{
    return m_owners;
}

bool QuotaElection::isLeading() const
{
    return m_isLeading;
}

std::optional<double> QuotaElection::marginShare() const
{
    return m_grantShare == FullShare ? std::nullopt : std::optional(static_cast<double>(m_grantShare) / FullShare);
}

std::optional<Instant> QuotaElection::responsibleSince(std::uint64_t accountHash, Instant now) const
{
    const auto isOwner = [&](const QuotaOwnerList &list) {
        const InstanceId *owner = list.ownerOf(accountHash);
        return owner != nullptr && *owner == m_self;
    };
    if (m_hasResigned || now >= m_grantUntil || m_terms.empty() || !isOwner(m_owners)) {
        return std::nullopt;
    }
    std::optional<Instant> since;
    for (auto term = m_terms.rbegin(); term != m_terms.rend() && isOwner(term->owners); ++term) {
        since = term->isSettled ? std::optional(term->since) : since;
    }
    return since;
}

bool QuotaElection::hasBonus(Instant since) const
{
    return std::any_of(m_terms.begin(), m_terms.end(), [since](const Term &term) {
        return term.since == since && term.hasBonus;
    });
}

bool QuotaElection::mayStand(Instant now) const
{
    // Before promiseTime has passed since its start, the instance may have made a promise that it does not remember.
    if (m_hasResigned || now < m_startedAt + m_options.promiseTime || now < m_promisedUntil) {
        return false;
    }
    const std::vector<InstanceId> order = rendezvousOrder(LeaderKey, m_members.coordinators, MaxCandidates);
    const auto rank = std::find(order.begin(), order.end(), m_self) - order.begin();
    return rank < static_cast<std::ptrdiff_t>(order.size())
        && now >= m_lastPollAt + m_options.promiseTime + CandidateDelay * static_cast<int>(rank);
}

std::uint64_t QuotaElection::nextEpoch() const
{
    const std::uint64_t mask = (std::uint64_t{1} << EpochLeaderBits) - 1;
    return (((m_highestEpoch >> EpochLeaderBits) + 1) << EpochLeaderBits) | (stableHash(m_self.value()) & mask);
}

void QuotaElection::stand(Instant now)
{
    m_isLeading = true;
    m_majorityUntil = {};
    m_electedAt.reset();
    m_roundVotes.clear();
    m_allVotedRound = 0;
    m_previousVotes = 0;
    m_votes.clear();
    m_involved.clear();
    publish(m_owners.ids(), now);
}

void QuotaElection::becomeElected(Instant now)
{
    // Owners under another leader may grant until ownerTime has passed, see updateSettled().
    m_electedAt = now;
    m_hasSettled = false;
    m_bonusAt.reset();
    publish(m_published.ids(), now);
}

void QuotaElection::publish(std::vector<InstanceId> owners, Instant now)
{
    m_involved.insert(m_published.ids().begin(), m_published.ids().end());
    m_involved.insert(owners.begin(), owners.end());
    m_highestEpoch = nextEpoch();
    m_published = QuotaOwnerList(m_highestEpoch, std::move(owners));
    m_isSettled = false;
    const Duration pause = m_options.window * WindowsBetweenBonuses;
    if (m_hasSettled && now - m_bonusAt.value_or(*m_electedAt) >= pause) {
        m_bonusAt = now;
        m_bonusEpoch = m_highestEpoch;
    }
    m_nextRoundAt = now;
}

void QuotaElection::tick(Instant now, PeerOutbox &outbox)
{
    if (!m_isLeading && mayStand(now)) {
        stand(now);
    }
    if (!m_isLeading) {
        return;
    }
    if (m_electedAt) {
        updateOwners(now);
        updateSettled(now);
    }
    if (now >= m_nextRoundAt) {
        startRound(now, outbox);
    }
}

Instant QuotaElection::majorityConfirmedUntil() const
{
    return m_allFollowedAt ? std::max(m_members.confirmedUntil, *m_allFollowedAt + m_options.unityTime)
                           : m_members.confirmedUntil;
}

std::uint32_t QuotaElection::share(Instant now) const
{
    if (now < m_majorityUntil) {
        return FullShare;
    }
    if (now >= m_previousRoundAt + m_options.promiseTime - ClockMargin) {
        return 0;
    }
    const std::size_t known = std::max({m_members.known, m_previousVotes, std::size_t{1}});
    return static_cast<std::uint32_t>(std::min<std::size_t>(FullShare - 1, m_previousVotes * FullShare / known));
}

void QuotaElection::startRound(Instant now, PeerOutbox &outbox)
{
    m_previousVotes = m_roundVotes.size();
    m_previousRoundAt = m_roundSentAt;
    // Without a majority, the owners of this part of the fleet get its share of the margin.
    if (m_previousVotes > 0 && !m_electedAt) {
        becomeElected(now);
    }
    ++m_round;
    m_roundSentAt = now;
    m_nextRoundAt = now + m_options.pollInterval;
    m_roundVotes.clear();
    m_isRoundPartial = false;
    sendPolls(now, outbox);
}

Wire::QuotaPoll QuotaElection::pollFor(const InstanceId &member, std::uint32_t share, Instant now) const
{
    Wire::QuotaPoll poll;
    poll.set_round(m_round);
    poll.set_epoch(m_published.epoch());
    poll.set_settled(m_isSettled);
    poll.set_share(share);
    poll.set_all_voted_round(m_allVotedRound);
    poll.set_bonus(m_bonusAt && m_bonusEpoch == m_published.epoch() && now - *m_bonusAt < m_options.window / 2);
    const auto vote = m_votes.find(member);
    if (vote != m_votes.end()) {
        poll.set_acknowledged(vote->second.round);
    }
    if (vote == m_votes.end() || vote->second.epoch != m_published.epoch()) {
        for (const InstanceId &owner : m_published.ids()) {
            poll.add_owners(owner.value());
        }
    }
    return poll;
}

void QuotaElection::sendPolls(Instant now, PeerOutbox &outbox)
{
    const std::uint32_t roundShare = share(now);
    if (const std::optional<Wire::QuotaVote> own = answer(m_self, pollFor(m_self, roundShare, now), now)) {
        onVote(m_self, *own, now);
    }
    for (const InstanceId &member : m_members.members) {
        if (member != m_self) {
            *appendBody(outbox, member).mutable_quota_request()->mutable_poll() = pollFor(member, roundShare, now);
        }
    }
}

void QuotaElection::onVote(const InstanceId &from, const Wire::QuotaVote &vote, Instant now)
{
    if (!m_isLeading) {
        return;
    }
    ReceivedVote &received = m_votes[from];
    received.hasResigned = received.hasResigned || vote.resigned();
    if (vote.round() < received.round || vote.round() > m_round) {
        return;
    }
    received = {.round = vote.round(), .receivedAt = now, .epoch = vote.epoch(), .hasResigned = received.hasResigned};
    if (vote.epoch() > m_highestEpoch) {
        // The voter follows a list of an earlier leader and takes over only a later one.
        m_highestEpoch = vote.epoch();
        publish(m_published.ids(), now);
    }
    // An instance that shuts down does not count as known to others for long, so its vote must not form a majority either.
    if (vote.round() != m_round || received.hasResigned) {
        return;
    }
    m_roundVotes.insert(from);
    m_isRoundPartial = m_isRoundPartial || vote.has_reports();
    const std::size_t known = std::max<std::size_t>(m_members.known, 1);
    if (m_roundVotes.size() >= known && !m_isRoundPartial) {
        m_allFollowedAt = m_roundSentAt;
        m_allVotedRound = m_round;
    }
    if (m_roundVotes.size() * 2 > known) {
        const bool isElection = now >= m_majorityUntil;
        m_majorityUntil = std::min(m_roundSentAt + m_options.promiseTime - ClockMargin, majorityConfirmedUntil());
        if (isElection && now < m_majorityUntil) {
            becomeElected(now);
        }
    }
}

bool QuotaElection::mayStillGrant(const InstanceId &owner, Instant now) const
{
    const auto vote = m_votes.find(owner);
    if (vote != m_votes.end() && vote->second.hasResigned) {
        return false;
    }
    const Instant last = vote != m_votes.end() ? std::max(vote->second.receivedAt, *m_electedAt) : *m_electedAt;
    return now < last + m_options.ownerTime + ClockMargin;
}

void QuotaElection::updateOwners(Instant now)
{
    // Changes wait until the previous list is settled, except for the removal of owners that no longer grant.
    const bool mayReplace = m_isSettled || !m_hasSettled;
    std::vector<InstanceId> owners;
    for (const InstanceId &owner : m_published.ids()) {
        if (mayStillGrant(owner, now) && (!mayReplace || contains(m_members.coordinators, owner))) {
            owners.push_back(owner);
        }
    }
    const bool hasRemoved = owners.size() < m_published.ids().size();
    if (mayReplace || hasRemoved) {
        addOwners(owners, now);
    }
    if (owners != m_published.ids()) {
        publish(std::move(owners), now);
    }
}

void QuotaElection::addOwners(std::vector<InstanceId> &owners, Instant now) const
{
    if (owners.size() >= std::min(MaxOwners, m_members.coordinators.size())) {
        return;
    }
    for (const InstanceId &candidate : rendezvousOrder(LeaderKey, m_members.coordinators, m_members.coordinators.size())) {
        const auto vote = m_votes.find(candidate);
        const bool isFresh =
            vote != m_votes.end() && !vote->second.hasResigned && now - vote->second.receivedAt < m_options.pollInterval * 2;
        if (owners.size() < MaxOwners && isFresh && !contains(owners, candidate)) {
            owners.push_back(candidate);
        }
    }
}

void QuotaElection::updateSettled(Instant now)
{
    // A new leader does not know all owners that an earlier leader authorized.
    const bool isEarlierLeaderOver = m_hasSettled || now >= *m_electedAt + m_options.ownerTime + ClockMargin;
    if (m_isSettled || m_published.ids().empty() || !isEarlierLeaderOver) {
        return;
    }
    const bool isSettled = std::all_of(m_involved.begin(), m_involved.end(), [&](const InstanceId &owner) {
        const auto vote = m_votes.find(owner);
        return (vote != m_votes.end() && vote->second.epoch == m_published.epoch()) || !mayStillGrant(owner, now);
    });
    if (isSettled) {
        m_isSettled = true;
        m_hasSettled = true;
        m_involved.clear();
        m_nextRoundAt = now;
    }
}

void QuotaElection::onPoll(const InstanceId &from, const Wire::QuotaPoll &poll, Instant now, PeerOutbox &outbox)
{
    if (m_isLeading && yieldsTo(from, poll, now)) {
        stopLeading(outbox);
    }
    if (std::optional<Wire::QuotaVote> vote = answer(from, poll, now)) {
        *appendBody(outbox, from).mutable_quota_reply()->mutable_vote() = std::move(*vote);
    }
}

bool QuotaElection::yieldsTo(const InstanceId &other, const Wire::QuotaPoll &poll, Instant now) const
{
    const std::uint32_t own = share(now);
    return !poll.resigned() && own < FullShare && (poll.share() > own || (poll.share() == own && other < m_self));
}

void QuotaElection::stopLeading(PeerOutbox &outbox)
{
    m_isLeading = false;
    m_promisedUntil = {};
    m_grantUntil = {};
    Wire::QuotaPoll poll;
    poll.set_round(m_round);
    poll.set_resigned(true);
    for (const InstanceId &member : m_members.members) {
        if (member != m_self) {
            *appendBody(outbox, member).mutable_quota_request()->mutable_poll() = poll;
        }
    }
}

std::optional<Wire::QuotaVote> QuotaElection::answer(const InstanceId &from, const Wire::QuotaPoll &poll, Instant now)
{
    m_lastPollAt = now;
    if (poll.resigned()) {
        if (from == m_leader && poll.round() >= m_promisedRound) {
            m_promisedUntil = {};
            m_lastPollAt = now - m_options.promiseTime;
        }
        return std::nullopt;
    }
    const bool isFollowed = from == m_leader;
    // Before promiseTime has passed since its start, the instance may have made a promise that it does not remember.
    if (now < m_startedAt + m_options.promiseTime || (!isFollowed && now < m_promisedUntil)
        || (isFollowed && poll.round() < m_promisedRound)) {
        return std::nullopt;
    }
    if (!isFollowed) {
        m_leader = from;
        m_sentVotes.clear();
    }
    m_isLeading = m_isLeading && from == m_self;
    m_promisedUntil = now + m_options.promiseTime;
    m_promisedRound = poll.round();
    applyPoll(poll, now);
    // The leader may have received the first vote of a round, so a repeated vote does not extend the right to grant.
    if (m_sentVotes.empty() || m_sentVotes.back().round != poll.round()) {
        m_sentVotes.push_back({.round = poll.round(), .sentAt = now});
    }
    if (m_sentVotes.size() > RememberedVotes) {
        m_sentVotes.pop_front();
    }
    Wire::QuotaVote vote;
    vote.set_round(poll.round());
    vote.set_epoch(m_owners.epoch());
    vote.set_resigned(m_hasResigned);
    vote.set_has_reports(m_members.hasReports);
    return vote;
}

void QuotaElection::applyPoll(const Wire::QuotaPoll &poll, Instant now)
{
    const auto unanimous = std::find_if(m_sentVotes.begin(), m_sentVotes.end(), [&](const SentVote &sent) {
        return sent.round == poll.all_voted_round();
    });
    if (unanimous != m_sentVotes.end()) {
        // The round began at most pollInterval before the vote, since the leader counts only votes of the current round.
        m_allFollowedAt = std::max(m_allFollowedAt.value_or(Instant()), unanimous->sentAt - m_options.pollInterval);
    }
    if (poll.epoch() > m_owners.epoch() && poll.owners_size() > 0) {
        adoptOwners(poll, now);
    }
    const auto vote = std::find_if(m_sentVotes.begin(), m_sentVotes.end(), [&](const SentVote &sent) {
        return sent.round == poll.acknowledged();
    });
    if (poll.share() == 0 || poll.epoch() != m_owners.epoch() || vote == m_sentVotes.end()
        || now >= vote->sentAt + m_options.ownerTime) {
        return;
    }
    const bool hasChangedKind = (poll.share() == FullShare) != (m_grantShare == FullShare);
    if (now >= m_grantUntil || hasChangedKind) {
        m_terms.clear();
    }
    m_grantShare = poll.share();
    m_grantUntil = vote->sentAt + m_options.ownerTime;
    if (poll.settled() && (m_terms.empty() || m_terms.back().owners.epoch() != poll.epoch())) {
        // An owner that could not grant for a while gets the margin of a change only once.
        const bool hasBonus = poll.bonus() && m_grantShare == FullShare && m_lastBonusEpoch != poll.epoch();
        m_lastBonusEpoch = poll.bonus() ? poll.epoch() : m_lastBonusEpoch;
        beginTerm({.owners = m_owners, .since = now, .hasBonus = hasBonus});
    }
}

void QuotaElection::adoptOwners(const Wire::QuotaPoll &poll, Instant now)
{
    if (!m_terms.empty() && m_terms.back().owners.epoch() != m_owners.epoch()) {
        // Others may have owned accounts under the previous list: the poll that states that it is settled may be lost.
        beginTerm({.owners = m_owners, .since = now, .isSettled = false});
    }
    std::vector<InstanceId> owners;
    for (const std::string &owner : poll.owners()) {
        owners.emplace_back(owner);
    }
    m_owners = QuotaOwnerList(poll.epoch(), std::move(owners));
    m_highestEpoch = std::max(m_highestEpoch, poll.epoch());
}

void QuotaElection::beginTerm(Term term)
{
    m_terms.push_back(std::move(term));
    if (m_terms.size() > MaxTerms) {
        m_terms.pop_front();
    }
}

void QuotaElection::resign(PeerOutbox &outbox)
{
    m_hasResigned = true;
    if (m_isLeading) {
        stopLeading(outbox);
    } else if (!m_leader.empty()) {
        Wire::QuotaVote &vote = *appendBody(outbox, m_leader).mutable_quota_reply()->mutable_vote();
        vote.set_round(m_promisedRound);
        vote.set_epoch(m_owners.epoch());
        vote.set_resigned(true);
    }
}

} // namespace Filbertmount
