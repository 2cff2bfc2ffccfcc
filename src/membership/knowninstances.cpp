#include <filbertmount/membership/knowninstances.h>

#include <absl/container/flat_hash_set.h>

#include <algorithm>

namespace Filbertmount {

KnownInstances::KnownInstances(KnownInstancesOptions options)
    : m_options(options)
    , m_reports(options.reports)
{
}

KnownInstances::Entry &KnownInstances::entryOf(const std::string &peerAddress, Instant now)
{
    return m_entries.try_emplace(peerAddress, Entry{.seenAt = now}).first->second;
}

void KnownInstances::setMembers(const MemberList &live, const MemberList &left, Instant now)
{
    const std::vector<std::string> liveBefore = this->live();
    for (auto &[address, entry] : m_entries) {
        // Also the moment at which a live member stops being one.
        entry.seenAt = entry.isLive ? now : entry.seenAt;
        entry.isLive = false;
    }
    for (const Member &member : live) {
        Entry &entry = entryOf(member.peerAddress, now);
        if (entry.lastProcess != member.id) {
            // The process removes a departure that is still listed.
            entry.departureListedAt.reset();
        }
        entry.lastProcess = member.id;
        entry.seenAt = now;
        entry.wasLive = true;
        entry.isLive = true;
        entry.leftAt.reset();
    }
    for (const Member &member : left) {
        const auto found = m_entries.find(member.peerAddress);
        // Another process may have been started there since.
        if (found != m_entries.end() && found->second.lastProcess == member.id && !found->second.isLive
            && !found->second.leftAt) {
            found->second.leftAt = now;
        }
    }
    m_reports.recordLive(this->live());
    if (!m_liveSince || liveBefore != this->live()) {
        m_liveSince = now;
    }
    prune(now);
}

void KnownInstances::setReports(std::vector<SilenceReport> reports, Instant now)
{
    m_reports.set(std::move(reports), now);
}

void KnownInstances::confirmListing(Instant sentAt, Instant now, bool mayBeIncomplete)
{
    m_reports.confirm(live(), sentAt, now, mayBeIncomplete);
}

const SilenceReports &KnownInstances::reports() const
{
    return m_reports;
}

void KnownInstances::setRegistered(const std::vector<RegisteredInstance> &entries, Instant now)
{
    absl::flat_hash_set<std::string_view> departed;
    for (auto &[address, entry] : m_entries) {
        entry.isRegistered = false;
    }
    for (const RegisteredInstance &listed : entries) {
        Entry &entry = entryOf(listed.peerAddress, now);
        entry.isRegistered = entry.isRegistered || !listed.isDeparture;
        if (listed.isDeparture) {
            departed.insert(listed.peerAddress);
        }
    }
    for (auto &[address, entry] : m_entries) {
        const bool hadDeparture = entry.departureListedAt.has_value();
        if (departed.contains(address)) {
            entry.departureListedAt = entry.departureListedAt.value_or(now);
            continue;
        }
        entry.departureListedAt.reset();
        // A process that starts removes the departure of the one before. The departure is also missing if the store could not be
        // reached, and then the instance counts again, since it may have returned out of reach.
        const bool isUnconfirmed = entry.leftAt && now - *entry.leftAt >= m_options.confirmationTime;
        if (entry.isRegistered && (hadDeparture || isUnconfirmed)) {
            entry.leftAt.reset();
        }
    }
    prune(now);
}

bool KnownInstances::mayRun(const Entry &entry, Instant now) const
{
    if (entry.isLive) {
        return true;
    }
    if (entry.leftAt) {
        return now - *entry.leftAt < m_options.departureDelay;
    }
    const bool isRecent = entry.wasLive && now - entry.seenAt < m_options.recentTime;
    return isRecent || (entry.isRegistered && !entry.departureListedAt);
}

bool KnownInstances::counts(const std::string &peerAddress, const Entry &entry, Instant now) const
{
    return mayRun(entry, now) && (entry.isLive || !m_reports.isExcluded(peerAddress, now));
}

std::size_t KnownInstances::count(Instant now) const
{
    return static_cast<std::size_t>(std::count_if(m_entries.begin(), m_entries.end(), [&](const auto &known) {
        return counts(known.first, known.second, now);
    }));
}

std::vector<std::string> KnownInstances::live() const
{
    std::vector<std::string> live;
    for (const auto &[address, entry] : m_entries) {
        if (entry.isLive) {
            live.push_back(address);
        }
    }
    return live;
}

const SilenceReport *KnownInstances::obsoleteReport(Instant now) const
{
    const auto hasLeft = [&](const std::string &address) {
        const auto entry = m_entries.find(address);
        return entry == m_entries.end() || !mayRun(entry->second, now);
    };
    const std::vector<SilenceReport> &listed = m_reports.listed();
    const auto found = std::find_if(listed.begin(), listed.end(), [&](const SilenceReport &report) {
        return !report.isWithdrawal && std::all_of(report.silent.begin(), report.silent.end(), hasLeft);
    });
    return found == listed.end() ? nullptr : &*found;
}

std::vector<std::string> KnownInstances::silenceToReport(Instant now) const
{
    const bool isStable = m_liveSince && now - *m_liveSince >= m_options.reportDelay;
    if (!isStable || isMajorityLive(now)) {
        return {};
    }
    std::vector<std::string> silent;
    for (const auto &[address, entry] : m_entries) {
        if (entry.isLive || !mayRun(entry, now)) {
            continue;
        }
        const bool isTooRecent = now - entry.seenAt < m_options.reportDelay;
        if (isTooRecent || m_reports.hasObjected(address)) {
            return {};
        }
        silent.push_back(address);
    }
    const bool areReported = std::all_of(silent.begin(), silent.end(), [this](const std::string &address) {
        return m_reports.isReported(address);
    });
    return areReported ? std::vector<std::string>() : silent;
}

std::size_t KnownInstances::registeredCount(Instant now) const
{
    return static_cast<std::size_t>(std::count_if(m_entries.begin(), m_entries.end(), [&](const auto &known) {
        const Entry &entry = known.second;
        const std::optional<Instant> departedAt = entry.leftAt ? entry.leftAt : entry.departureListedAt;
        return entry.isRegistered && (entry.isLive || !departedAt || now - *departedAt < m_options.recentTime);
    }));
}

bool KnownInstances::isAnyMissing(Instant now) const
{
    return std::any_of(m_entries.begin(), m_entries.end(), [&](const auto &known) {
        return !known.second.isLive && mayRun(known.second, now);
    });
}

bool KnownInstances::isMajorityLive(Instant now) const
{
    const auto live = std::count_if(m_entries.begin(), m_entries.end(), [](const auto &known) {
        return known.second.isLive;
    });
    return static_cast<std::size_t>(live) * 2 > count(now);
}

std::vector<std::string> KnownInstances::silentInstances(Instant now) const
{
    std::vector<std::string> silent;
    for (const auto &[address, entry] : m_entries) {
        const bool isRegistered = entry.isRegistered && !entry.departureListedAt;
        if (isRegistered && !entry.isLive && now - entry.seenAt >= m_options.silenceLimit) {
            silent.push_back(address);
        }
    }
    return silent;
}

std::vector<std::string> KnownInstances::wrongDepartures(Instant now) const
{
    std::vector<std::string> wrong;
    for (const auto &[address, entry] : m_entries) {
        if (entry.isLive && entry.departureListedAt && now - *entry.departureListedAt >= m_options.wrongDepartureTime) {
            wrong.push_back(address);
        }
    }
    return wrong;
}

std::vector<std::string> KnownInstances::obsoleteDepartures(Instant now) const
{
    std::vector<std::string> obsolete;
    for (const auto &[address, entry] : m_entries) {
        if (!entry.isLive && entry.departureListedAt && now - *entry.departureListedAt >= m_options.departureRetention) {
            obsolete.push_back(address);
        }
    }
    return obsolete;
}

void KnownInstances::prune(Instant now)
{
    std::erase_if(m_entries, [&](const auto &known) {
        const Entry &entry = known.second;
        const bool isListed = entry.isRegistered || entry.departureListedAt;
        return !entry.isLive && !isListed && now - entry.seenAt >= m_options.recentTime;
    });
}

} // namespace Filbertmount
