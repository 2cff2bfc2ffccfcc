#include <filbertmount/notices/servicenotices.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace Filbertmount {

void ServiceNotices::takeListing(const std::vector<ListedInstance> &rows, Instant now)
{
    std::map<UpstreamId, const ListedInstance *> listed;
    for (const ListedInstance &row : rows) {
        listed[UpstreamId(row.id)] = &row;
    }
    for (auto &[id, entry] : m_entries) {
        const auto row = listed.find(id);
        noteRow(entry, row == listed.end() ? nullptr : row->second, now);
    }
    judgeEnds(now);
    for (const auto &[id, row] : listed) {
        if (m_entries.count(id) > 0) {
            continue;
        }
        const bool leaving = row->state == ListedState::Leaving;
        m_entries[id] = Entry{.row = *row, .endedSince = leaving ? std::optional(now) : std::nullopt, .endAccepted = leaving};
    }
}

void ServiceNotices::noteRow(Entry &entry, const ListedInstance *row, Instant now)
{
    if (row != nullptr && row->incarnation > entry.row.incarnation) {
        // Everything known is about the predecessor.
        entry = Entry{.row = *row};
    }
    entry.missing = row == nullptr;
    if (row != nullptr && row->incarnation == entry.row.incarnation) {
        entry.row = *row;
    }
    if (row != nullptr && row->state == ListedState::Live) {
        entry.endedSince.reset();
        entry.endAccepted = false;
    } else if (!entry.endedSince) {
        entry.endedSince = now;
    }
}

void ServiceNotices::judgeEnds(Instant now)
{
    std::size_t recent = 0;
    std::size_t before = 0;
    for (const auto &[id, entry] : m_entries) {
        const bool isRecent = entry.endedSince && now - *entry.endedSince < DoubtTime;
        recent += isRecent ? 1 : 0;
        before += isRecent || !entry.endedSince ? 1 : 0;
    }
    // Counts all ends of the last 10 s, so that a wrong list cannot empty a service in small steps either.
    const bool doubtful = recent * 2 > before;
    for (auto entry = m_entries.begin(); entry != m_entries.end();) {
        Entry &judged = entry->second;
        if (judged.endedSince && (!doubtful || now - *judged.endedSince >= DoubtTime)) {
            judged.endAccepted = true;
        }
        // An upstream that is gone counts in the window above until its doubt time is over.
        const bool over = judged.endAccepted && judged.missing && now - *judged.endedSince >= DoubtTime;
        entry = over ? m_entries.erase(entry) : std::next(entry);
    }
}

std::optional<UpstreamCondition> ServiceNotices::observe(const UpstreamId &upstream, UpstreamSign sign, Instant now)
{
    const auto found = m_entries.find(upstream);
    if (found == m_entries.end()) {
        return std::nullopt;
    }
    Entry &entry = found->second;
    const bool probe = sign == UpstreamSign::ProbeLive || sign == UpstreamSign::ProbeFailed;
    entry.checkedAt = probe ? now : entry.checkedAt;
    if (sign == UpstreamSign::Draining) {
        return std::exchange(entry.ownDraining, true) ? std::nullopt : std::optional(UpstreamCondition::Draining);
    }
    if (sign == UpstreamSign::ConnectFailed || sign == UpstreamSign::ProbeFailed) {
        const Duration backOff = std::min(LongestBackOff, FirstBackOff * (1 << std::min(entry.failures, 10)));
        // Several requests that fail together are one observation.
        const bool repeated = now < entry.downUntil;
        if (!repeated) {
            ++entry.failures;
            entry.downUntil = now + backOff;
        }
        return repeated ? std::nullopt : std::optional(UpstreamCondition::Down);
    }
    for (auto &[origin, claim] : entry.claims) {
        const bool outdated =
            claim.state == UpstreamCondition::Down || (sign == UpstreamSign::ProbeLive && now - claim.at >= DrainingRecheck);
        claim.state = outdated ? UpstreamCondition::Live : claim.state;
    }
    const bool recovered = entry.failures > 0;
    entry.failures = 0;
    entry.downUntil = Instant{};
    return recovered ? std::optional(UpstreamCondition::Live) : std::nullopt;
}

bool ServiceNotices::takePeer(const PeerNotice &notice, Instant now)
{
    const auto found = m_entries.find(notice.upstream);
    if (found == m_entries.end() || notice.incarnation < found->second.row.incarnation) {
        return false;
    }
    auto &claims = found->second.claims;
    const auto held = claims.find(notice.origin);
    if (held == claims.end() && claims.size() >= MaxOrigins) {
        return false;
    }
    if (held != claims.end() && notice.sequence <= held->second.sequence) {
        return false;
    }
    Claim next{.sequence = notice.sequence, .state = notice.state, .at = now};
    if (held != claims.end() && held->second.state == UpstreamCondition::Draining) {
        // Draining persists until a new incarnation, whatever its observer sees later.
        next.state = UpstreamCondition::Draining;
        next.at = held->second.at;
    }
    claims[notice.origin] = next;
    return true;
}

UpstreamCondition ServiceNotices::ownCondition(const Entry &entry, Instant now)
{
    if (entry.ownDraining || entry.endAccepted) {
        return UpstreamCondition::Draining;
    }
    return now < entry.downUntil ? UpstreamCondition::Down : UpstreamCondition::Live;
}

std::optional<std::pair<Instant, UpstreamCondition>> ServiceNotices::firstClaim(const Entry &entry, Instant now)
{
    std::optional<std::pair<Instant, UpstreamCondition>> first;
    for (const auto &[origin, claim] : entry.claims) {
        const bool counts = claim.state == UpstreamCondition::Draining
            || (claim.state == UpstreamCondition::Down && now - claim.at < PeerDownValidity);
        if (counts && (!first || claim.at < first->first)) {
            first = {claim.at, claim.state};
        }
    }
    return first;
}

std::vector<NoticedUpstream> ServiceNotices::states(Instant now) const
{
    struct PeerClaim {
        Instant at;
        std::size_t index;
        UpstreamCondition state;
    };
    std::vector<NoticedUpstream> result;
    std::vector<PeerClaim> claims;
    std::size_t usable = 0;
    for (const auto &[id, entry] : m_entries) {
        if (entry.missing && entry.endAccepted) {
            continue;
        }
        NoticedUpstream status{.id = id,
                               .address = entry.row.address,
                               .zone = entry.row.zone,
                               .incarnation = entry.row.incarnation,
                               .condition = ownCondition(entry, now)};
        const bool live = status.condition == UpstreamCondition::Live;
        const auto claim = firstClaim(entry, now);
        if (live && claim) {
            claims.push_back({.at = claim->first, .index = result.size(), .state = claim->second});
        }
        usable += live ? 1 : 0;
        status.confirmationWanted = live && entry.endedSince && now - entry.checkedAt >= ConfirmationInterval;
        result.push_back(std::move(status));
    }
    std::sort(claims.begin(), claims.end(), [](const PeerClaim &left, const PeerClaim &right) {
        return std::tie(left.at, left.index) < std::tie(right.at, right.index);
    });
    for (const PeerClaim &claim : claims) {
        NoticedUpstream &status = result[claim.index];
        if ((usable - 1) * 2 >= result.size()) {
            status.condition = claim.state;
            status.confirmationWanted = false;
            --usable;
        } else {
            const Entry &entry = m_entries.at(status.id);
            status.confirmationWanted = now - entry.checkedAt >= ConfirmationInterval;
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
    const auto consider = [&](Instant when) {
        next = when > now ? std::min(next, when) : next;
    };
    for (const auto &[id, entry] : m_entries) {
        consider(entry.downUntil);
        if (entry.endedSince || !entry.claims.empty()) {
            consider(entry.checkedAt + ConfirmationInterval);
        }
        for (const auto &[origin, claim] : entry.claims) {
            consider(claim.at + PeerDownValidity);
        }
    }
    return next;
}

} // namespace Filbertmount
