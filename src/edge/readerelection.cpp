#include <filbertmount/edge/readerelection.h>

#include <filbertmount/types/rendezvoushash.h>

#include <absl/container/flat_hash_set.h>

#include <algorithm>

namespace Filbertmount {

ReaderElection::ReaderElection(StateKind kind, InstanceId self, Instant now, ReaderElectionOptions options)
    : m_kind(kind)
    , m_self(std::move(self))
    , m_options(options)
    , m_startedAt(now)
    , m_order{m_self}
{
}

void ReaderElection::setMembers(const std::vector<InstanceId> &members, const std::vector<InstanceId> &preferred)
{
    const std::string key = "store-reader/" + std::string(stateKindName(m_kind));
    m_order = rendezvousOrder(key, members, members.size());
    const absl::flat_hash_set<InstanceId> preferredIds(preferred.begin(), preferred.end());
    std::stable_partition(m_order.begin(), m_order.end(), [&preferredIds](const InstanceId &member) {
        return preferredIds.contains(member);
    });
    if (std::find(m_order.begin(), m_order.end(), m_self) == m_order.end()) {
        m_order.push_back(m_self);
    }
    const auto hasLeft = [this](const auto &item) {
        return std::find(m_order.begin(), m_order.end(), item.first) == m_order.end();
    };
    absl::erase_if(m_confirmedAt, hasLeft);
    absl::erase_if(m_seekingAt, hasLeft);
}

void ReaderElection::recordConfirmation(const InstanceId &from, Instant confirmedAt)
{
    Instant &known = m_confirmedAt[from];
    known = std::max(known, confirmedAt);
}

void ReaderElection::recordSeeking(const InstanceId &member, Instant now)
{
    m_seekingAt[member] = now;
}

bool ReaderElection::isSeeking(Instant now) const
{
    return m_isReading && !isFresh(m_self, now);
}

void ReaderElection::forgetConfirmations()
{
    m_confirmedAt.clear();
    m_seekingAt.clear();
    m_earlierFreshSince.reset();
}

std::size_t ReaderElection::ownPosition() const
{
    return static_cast<std::size_t>(std::find(m_order.begin(), m_order.end(), m_self) - m_order.begin());
}

Instant ReaderElection::earliestReadStart() const
{
    return m_startedAt + (m_options.isSeed ? m_options.startDelay : m_options.nonSeedStartDelay);
}

Duration ReaderElection::waitAt(std::size_t position) const
{
    const std::size_t fullWaits = std::min(position, m_options.lastFullWaitPosition);
    const Duration tail = m_options.tailWaitPerPosition * static_cast<int>(position - fullWaits);
    return m_options.waitPerPosition * static_cast<int>(fullWaits) + std::min(tail, m_options.maxTailWait);
}

bool ReaderElection::isFresh(const InstanceId &member, Instant now) const
{
    const auto confirmed = m_confirmedAt.find(member);
    return confirmed != m_confirmedAt.end() && now - confirmed->second < m_options.staleAfter;
}

bool ReaderElection::isEarlierMemberFresh(Instant now) const
{
    const auto own = std::find(m_order.begin(), m_order.end(), m_self);
    return std::any_of(m_order.begin(), own, [&](const InstanceId &member) {
        return isFresh(member, now);
    });
}

bool ReaderElection::isReportedSeeking(const InstanceId &member, Instant now) const
{
    const auto reported = m_seekingAt.find(member);
    return reported != m_seekingAt.end() && now - reported->second < m_options.seekingTimeout && !isFresh(member, now);
}

bool ReaderElection::isFirstReader(Instant now) const
{
    const auto own = std::find(m_order.begin(), m_order.end(), m_self);
    return std::none_of(m_order.begin(), own, [&](const InstanceId &member) {
        return isFresh(member, now) || isReportedSeeking(member, now);
    });
}

bool ReaderElection::hasEnoughSeekers(Instant now) const
{
    const Duration unconfirmed = now - lastConfirmed().value_or(m_startedAt);
    const auto extra = static_cast<std::size_t>(std::max<std::int64_t>(0, unconfirmed / m_options.seekerIncrementInterval));
    const auto own = std::find(m_order.begin(), m_order.end(), m_self);
    const auto seeking = std::count_if(m_order.begin(), own, [&](const InstanceId &member) {
        return isReportedSeeking(member, now);
    });
    return static_cast<std::size_t>(seeking) >= m_options.maxSeekers + extra;
}

std::optional<Instant> ReaderElection::lastConfirmed() const
{
    std::optional<Instant> last;
    for (const auto &[member, confirmedAt] : m_confirmedAt) {
        last = std::max(last.value_or(confirmedAt), confirmedAt);
    }
    return last;
}

bool ReaderElection::isReading() const
{
    return m_isReading;
}

bool ReaderElection::isReadDue(Instant now) const
{
    const std::size_t position = ownPosition();
    if (position == 0 && now >= earliestReadStart()) {
        return true;
    }
    const std::optional<Instant> last = lastConfirmed();
    const Instant from = last ? std::max(*last + m_options.staleAfter, m_startedAt) : earliestReadStart();
    return now >= from + waitAt(position);
}

bool ReaderElection::updateRole(Instant now)
{
    if (!m_isReading) {
        m_earlierFreshSince.reset();
        m_isReading = isReadDue(now) && !hasEnoughSeekers(now);
        return m_isReading;
    }
    if (isSeeking(now) && hasEnoughSeekers(now)) {
        m_isReading = false;
        return false;
    }
    if (!isEarlierMemberFresh(now)) {
        m_earlierFreshSince.reset();
        return true;
    }
    m_earlierFreshSince = m_earlierFreshSince.value_or(now);
    m_isReading = now - *m_earlierFreshSince < m_options.handOverAfter;
    return m_isReading;
}

} // namespace Filbertmount
