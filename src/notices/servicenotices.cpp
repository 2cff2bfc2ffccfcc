#include <filbertmount/notices/servicenotices.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace Filbertmount {

void ServiceNotices::applyListing(const std::vector<ListedInstance> &rows, Instant now)
{
    std::map<UpstreamId, const ListedInstance *> listed;
    for (const ListedInstance &row : rows) {
        listed[UpstreamId(row.id)] = &row;
    }
    for (auto &[id, entry] : m_entries) {
        const auto row = listed.find(id);
        updateRow(entry, row == listed.end() ? nullptr : row->second, now);
    }
    acceptEnds(now);
    for (const auto &[id, row] : listed) {
        if (m_entries.count(id) > 0) {
            continue;
        }
        const bool leaving = row->state == ListedState::Leaving;
        m_entries[id] = Entry{.row = *row, .endedSince = leaving ? std::optional(now) : std::nullopt, .isEndAccepted = leaving};
    }
}

void ServiceNotices::updateRow(Entry &entry, const ListedInstance *row, Instant now)
{
    if (row != nullptr && row->incarnation > entry.row.incarnation) {
        // The state of the previous incarnation does not apply to the new one.
        entry = Entry{.row = *row};
    }
    entry.isMissing = row == nullptr;
    if (row != nullptr && row->incarnation == entry.row.incarnation) {
        entry.row = *row;
    }
    if (row != nullptr && row->state == ListedState::Live) {
        entry.endedSince.reset();
        entry.isEndAccepted = false;
    } else if (!entry.endedSince) {
        entry.endedSince = now;
    }
}

void ServiceNotices::acceptEnds(Instant now)
{
    std::size_t recentEnds = 0;
    std::size_t recentlyLive = 0;
    for (const auto &[id, entry] : m_entries) {
        const bool isRecent = entry.endedSince && now - *entry.endedSince < EndConfirmationTime;
        recentEnds += isRecent ? 1 : 0;
        recentlyLive += isRecent || !entry.endedSince ? 1 : 0;
    }
    // Counts all ends of the last 10 s, so that wrong lists cannot empty a service in small steps either.
    const bool needsRepetition = recentEnds * 2 > recentlyLive;
    for (auto position = m_entries.begin(); position != m_entries.end();) {
        Entry &entry = position->second;
        if (entry.endedSince && (!needsRepetition || now - *entry.endedSince >= EndConfirmationTime)) {
            entry.isEndAccepted = true;
        }
        // A missing upstream is kept for EndConfirmationTime, because it counts as a recent end above.
        const bool expired = entry.isEndAccepted && entry.isMissing && now - *entry.endedSince >= EndConfirmationTime;
        position = expired ? m_entries.erase(position) : std::next(position);
    }
}

std::optional<UpstreamCondition> ServiceNotices::observe(const UpstreamId &upstream, UpstreamObservation observation, Instant now)
{
    const auto found = m_entries.find(upstream);
    if (found == m_entries.end()) {
        return std::nullopt;
    }
    Entry &entry = found->second;
    const bool probe = observation == UpstreamObservation::ProbeLive || observation == UpstreamObservation::ProbeFailed;
    entry.probedAt = probe ? now : entry.probedAt;
    if (observation == UpstreamObservation::Draining) {
        return std::exchange(entry.hasObservedDraining, true) ? std::nullopt : std::optional(UpstreamCondition::Draining);
    }
    if (observation == UpstreamObservation::ConnectFailed || observation == UpstreamObservation::ProbeFailed) {
        const Duration backOff = std::min(MaxBackOff, InitialBackOff * (1 << std::min(entry.failures, 10)));
        // Failures before the back-off ends count as one: several requests may fail together.
        const bool repeated = now < entry.downUntil;
        if (!repeated) {
            ++entry.failures;
            entry.downUntil = now + backOff;
        }
        return repeated ? std::nullopt : std::optional(UpstreamCondition::Down);
    }
    for (auto &[origin, notice] : entry.lastNotices) {
        const bool outdated = notice.condition == UpstreamCondition::Down
            || (observation == UpstreamObservation::ProbeLive && now - notice.at >= DrainingRecheck);
        notice.condition = outdated ? UpstreamCondition::Live : notice.condition;
    }
    const bool recovered = entry.failures > 0;
    entry.failures = 0;
    entry.downUntil = Instant{};
    return recovered ? std::optional(UpstreamCondition::Live) : std::nullopt;
}

bool ServiceNotices::applyPeerNotice(const PeerNotice &notice, Instant now)
{
    const auto found = m_entries.find(notice.upstream);
    if (found == m_entries.end() || notice.incarnation < found->second.row.incarnation) {
        return false;
    }
    auto &lastNotices = found->second.lastNotices;
    const auto previous = lastNotices.find(notice.origin);
    if (previous == lastNotices.end() && lastNotices.size() >= MaxOrigins) {
        return false;
    }
    if (previous != lastNotices.end() && notice.sequence <= previous->second.sequence) {
        return false;
    }
    LastNotice next{.sequence = notice.sequence, .condition = notice.condition, .at = now};
    if (previous != lastNotices.end() && previous->second.condition == UpstreamCondition::Draining) {
        // Draining persists until a new incarnation, whatever condition the peer sends later.
        next.condition = UpstreamCondition::Draining;
        next.at = previous->second.at;
    }
    lastNotices[notice.origin] = next;
    return true;
}

UpstreamCondition ServiceNotices::ownCondition(const Entry &entry, Instant now)
{
    if (entry.hasObservedDraining || entry.isEndAccepted) {
        return UpstreamCondition::Draining;
    }
    return now < entry.downUntil ? UpstreamCondition::Down : UpstreamCondition::Live;
}

std::optional<std::pair<Instant, UpstreamCondition>> ServiceNotices::oldestValidNotice(const Entry &entry, Instant now)
{
    std::optional<std::pair<Instant, UpstreamCondition>> first;
    for (const auto &[origin, notice] : entry.lastNotices) {
        const bool counts = notice.condition == UpstreamCondition::Draining
            || (notice.condition == UpstreamCondition::Down && now - notice.at < PeerDownValidity);
        if (counts && (!first || notice.at < first->first)) {
            first = {notice.at, notice.condition};
        }
    }
    return first;
}

std::vector<TrackedUpstream> ServiceNotices::trackedUpstreams(Instant now) const
{
    struct ReportedCondition {
        Instant at;
        std::size_t index;
        UpstreamCondition condition;
    };
    std::vector<TrackedUpstream> result;
    std::vector<ReportedCondition> reportedConditions;
    std::size_t usable = 0;
    for (const auto &[id, entry] : m_entries) {
        if (entry.isMissing && entry.isEndAccepted) {
            continue;
        }
        TrackedUpstream status{.id = id,
                               .address = entry.row.address,
                               .zone = entry.row.zone,
                               .incarnation = entry.row.incarnation,
                               .condition = ownCondition(entry, now)};
        const bool live = status.condition == UpstreamCondition::Live;
        const auto notice = oldestValidNotice(entry, now);
        if (live && notice) {
            reportedConditions.push_back({.at = notice->first, .index = result.size(), .condition = notice->second});
        }
        usable += live ? 1 : 0;
        status.needsConfirmation = live && entry.endedSince && now - entry.probedAt >= ConfirmationInterval;
        result.push_back(std::move(status));
    }
    std::sort(
        reportedConditions.begin(), reportedConditions.end(), [](const ReportedCondition &left, const ReportedCondition &right) {
            return std::tie(left.at, left.index) < std::tie(right.at, right.index);
        });
    for (const ReportedCondition &reported : reportedConditions) {
        TrackedUpstream &status = result[reported.index];
        if ((usable - 1) * 2 >= result.size()) {
            status.condition = reported.condition;
            status.needsConfirmation = false;
            --usable;
        } else {
            const Entry &entry = m_entries.at(status.id);
            status.needsConfirmation = now - entry.probedAt >= ConfirmationInterval;
        }
    }
    return result;
}

Incarnation ServiceNotices::incarnation(const UpstreamId &upstream) const
{
    const auto found = m_entries.find(upstream);
    return found == m_entries.end() ? Incarnation() : found->second.row.incarnation;
}

Instant ServiceNotices::nextChange(Instant now) const
{
    Instant next = Instant::max();
    const auto includeTime = [&](Instant when) {
        next = when > now ? std::min(next, when) : next;
    };
    for (const auto &[id, entry] : m_entries) {
        includeTime(entry.downUntil);
        if (entry.endedSince || !entry.lastNotices.empty()) {
            includeTime(entry.probedAt + ConfirmationInterval);
        }
        for (const auto &[origin, notice] : entry.lastNotices) {
            includeTime(notice.at + PeerDownValidity);
        }
    }
    return next;
}

} // namespace Filbertmount
