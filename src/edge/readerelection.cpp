#include <filbertmount/edge/readerelection.h>

#include <filbertmount/types/rendezvoushash.h>

#include <absl/container/flat_hash_set.h>

#include <algorithm>

namespace Filbertmount {

ReaderElection::ReaderElection(StateKind kind, InstanceId self, Instant now, ReaderElectionOptions options)
    : m_kind(kind)
    , m_self(std::move(self))
    , m_options(options)
    , m_started(now)
    , m_order{m_self}
{
}

void ReaderElection::setMembers(const std::vector<InstanceId> &members, const std::vector<InstanceId> &first)
{
    const std::string key = "store-reader/" + std::string(stateKindName(m_kind));
    m_order = rendezvousOrder(key, members, members.size());
    const absl::flat_hash_set<InstanceId> goesFirst(first.begin(), first.end());
    std::stable_partition(m_order.begin(), m_order.end(), [&goesFirst](const InstanceId &member) {
        return goesFirst.contains(member);
    });
    if (std::find(m_order.begin(), m_order.end(), m_self) == m_order.end()) {
        m_order.push_back(m_self);
    }
    const auto hasLeft = [this](const auto &item) {
        return std::find(m_order.begin(), m_order.end(), item.first) == m_order.end();
    };
    absl::erase_if(m_confirmed, hasLeft);
    absl::erase_if(m_seeking, hasLeft);
}

void ReaderElection::noteConfirmed(const InstanceId &from, Instant confirmed)
{
    Instant &known = m_confirmed[from];
    known = std::max(known, confirmed);
}

void ReaderElection::noteSeeking(const InstanceId &member, Instant now)
{
    m_seeking[member] = now;
}

bool ReaderElection::isSeeking(Instant now) const
{
    return m_isReading && !isFresh(m_self, now);
}

void ReaderElection::forgetConfirmations()
{
    m_confirmed.clear();
    m_seeking.clear();
    m_freshSince.reset();
}

std::size_t ReaderElection::ownPlace() const
{
    return static_cast<std::size_t>(std::find(m_order.begin(), m_order.end(), m_self) - m_order.begin());
}

Instant ReaderElection::mayBeginAt() const
{
    return m_started + (m_options.isSeed ? m_options.startDelay : m_options.startDelayBehindSeeds);
}

Duration ReaderElection::waitOf(std::size_t place) const
{
    const std::size_t front = std::min(place, m_options.lastWaitingPlace);
    const Duration behind = m_options.waitPerPlaceBehind * static_cast<int>(place - front);
    return m_options.waitPerPlace * static_cast<int>(front) + std::min(behind, m_options.longestWaitBehind);
}

bool ReaderElection::isFresh(const InstanceId &member, Instant now) const
{
    const auto confirmed = m_confirmed.find(member);
    return confirmed != m_confirmed.end() && now - confirmed->second < m_options.staleAfter;
}

bool ReaderElection::isOneBeforeFresh(Instant now) const
{
    const auto own = std::find(m_order.begin(), m_order.end(), m_self);
    return std::any_of(m_order.begin(), own, [&](const InstanceId &member) {
        return isFresh(member, now);
    });
}

bool ReaderElection::hasSaidSeeking(const InstanceId &member, Instant now) const
{
    const auto said = m_seeking.find(member);
    return said != m_seeking.end() && now - said->second < m_options.seekingLasts && !isFresh(member, now);
}

bool ReaderElection::isFirstReader(Instant now) const
{
    const auto own = std::find(m_order.begin(), m_order.end(), m_self);
    return std::none_of(m_order.begin(), own, [&](const InstanceId &member) {
        return isFresh(member, now) || hasSaidSeeking(member, now);
    });
}

bool ReaderElection::areEnoughSeeking(Instant now) const
{
    const Duration unanswered = now - lastConfirmed().value_or(m_started);
    const auto more = static_cast<std::size_t>(std::max<std::int64_t>(0, unanswered / m_options.oneMoreSeekerAfter));
    const auto own = std::find(m_order.begin(), m_order.end(), m_self);
    const auto seeking = std::count_if(m_order.begin(), own, [&](const InstanceId &member) {
        return hasSaidSeeking(member, now);
    });
    return static_cast<std::size_t>(seeking) >= m_options.mostSeekers + more;
}

std::optional<Instant> ReaderElection::lastConfirmed() const
{
    std::optional<Instant> last;
    for (const auto &[member, confirmed] : m_confirmed) {
        last = std::max(last.value_or(confirmed), confirmed);
    }
    return last;
}

bool ReaderElection::isReading() const
{
    return m_isReading;
}

bool ReaderElection::isDue(Instant now) const
{
    const std::size_t place = ownPlace();
    if (place == 0 && now >= mayBeginAt()) {
        return true;
    }
    const std::optional<Instant> last = lastConfirmed();
    const Instant from = last ? std::max(*last + m_options.staleAfter, m_started) : mayBeginAt();
    return now >= from + waitOf(place);
}

bool ReaderElection::decide(Instant now)
{
    if (!m_isReading) {
        m_freshSince.reset();
        m_isReading = isDue(now) && !areEnoughSeeking(now);
        return m_isReading;
    }
    if (isSeeking(now) && areEnoughSeeking(now)) {
        m_isReading = false;
        return false;
    }
    if (!isOneBeforeFresh(now)) {
        m_freshSince.reset();
        return true;
    }
    m_freshSince = m_freshSince.value_or(now);
    m_isReading = now - *m_freshSince < m_options.handOverAfter;
    return m_isReading;
}

} // namespace Filbertmount
