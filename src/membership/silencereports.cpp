#include <filbertmount/membership/silencereports.h>

#include <algorithm>

namespace Filbertmount {

namespace {

bool contains(const std::vector<std::string> &addresses, const std::string &address)
{
    return std::find(addresses.begin(), addresses.end(), address) != addresses.end();
}

bool namesAny(const SilenceReport &report, const std::vector<std::string> &addresses)
{
    return std::any_of(report.silent.begin(), report.silent.end(), [&](const std::string &address) {
        return contains(addresses, address);
    });
}

} // namespace

SilenceReports::SilenceReports(SilenceReportOptions options)
    : m_options(options)
{
}

void SilenceReports::set(std::vector<SilenceReport> listed, Instant now)
{
    std::sort(listed.begin(), listed.end(), [](const SilenceReport &left, const SilenceReport &right) {
        return left.name < right.name;
    });
    std::map<std::string, Instant> withdrawnAt;
    for (const SilenceReport &report : listed) {
        const auto known = m_withdrawnAt.find(report.name);
        if (report.isWithdrawal) {
            withdrawnAt.emplace(report.name, known == m_withdrawnAt.end() ? now : known->second);
        }
    }
    m_listed = std::move(listed);
    m_withdrawnAt = std::move(withdrawnAt);
}

bool SilenceReports::isWithdrawn(const SilenceReport &report) const
{
    return std::any_of(m_listed.begin(), m_listed.end(), [&](const SilenceReport &other) {
        return other.isWithdrawal && other.name == report.withdrawalName();
    });
}

std::vector<SilenceReport> SilenceReports::reportsInForce() const
{
    std::vector<SilenceReport> reports;
    std::copy_if(m_listed.begin(), m_listed.end(), std::back_inserter(reports), [](const SilenceReport &report) {
        return !report.isWithdrawal;
    });
    return reports;
}

void SilenceReports::confirm(const std::vector<std::string> &live, Instant sentAt, Instant now, bool mayBeIncomplete)
{
    m_usableAt.reset();
    if (reportOnAny(live) != nullptr) {
        // Others may leave out this part of the fleet soon. What earlier listings allow ends by itself before.
        return;
    }
    std::erase_if(m_sequences, [&](const auto &known) {
        return mayBeIncomplete || sentAt >= known.second.lastSentAt + m_options.listingValidity;
    });
    const std::vector<SilenceReport> reports = reportsInForce();
    std::string key;
    std::vector<std::string> silent;
    for (const SilenceReport &report : reports) {
        key.append(report.name).append("\n");
        silent.insert(silent.end(), report.silent.begin(), report.silent.end());
    }
    const auto [found, isNew] = m_sequences.try_emplace(key);
    Sequence &sequence = found->second;
    if (isNew) {
        // Without a trace of reports, none can have been in use within the retention of withdrawals.
        const bool wereNoneBefore = m_listed.empty() && !mayBeIncomplete;
        sequence.since = wereNoneBefore ? std::nullopt : std::optional(now);
    }
    sequence.lastSentAt = std::max(sequence.lastSentAt, sentAt);
    if (!sequence.since || sentAt >= *sequence.since + m_options.takeoverDelay) {
        m_excluded = std::move(silent);
        m_confirmedUntil = sequence.lastSentAt + m_options.listingValidity;
    } else {
        m_usableAt = *sequence.since + m_options.takeoverDelay;
    }
}

std::optional<Instant> SilenceReports::usableAt() const
{
    return m_usableAt;
}

void SilenceReports::recordLive(const std::vector<std::string> &live)
{
    const bool isAnyLive = std::any_of(m_excluded.begin(), m_excluded.end(), [&](const std::string &address) {
        return contains(live, address);
    });
    if (isAnyLive) {
        m_excluded.clear();
        m_sequences.clear();
        m_confirmedUntil = {};
    }
}

Instant SilenceReports::confirmedUntil() const
{
    return m_confirmedUntil;
}

bool SilenceReports::isExcluded(const std::string &peerAddress, Instant now) const
{
    return now < m_confirmedUntil && contains(m_excluded, peerAddress);
}

bool SilenceReports::hasReports(Instant now) const
{
    return !reportsInForce().empty() || (now < m_confirmedUntil && !m_excluded.empty());
}

bool SilenceReports::isReported(const std::string &peerAddress) const
{
    return std::any_of(m_listed.begin(), m_listed.end(), [&](const SilenceReport &report) {
        return !report.isWithdrawal && contains(report.silent, peerAddress);
    });
}

bool SilenceReports::hasObjected(const std::string &peerAddress) const
{
    return std::any_of(m_listed.begin(), m_listed.end(), [&](const SilenceReport &report) {
        return report.isWithdrawal && contains(report.silent, peerAddress);
    });
}

const SilenceReport *SilenceReports::reportOnAny(const std::vector<std::string> &live) const
{
    const auto found = std::find_if(m_listed.begin(), m_listed.end(), [&](const SilenceReport &report) {
        return !report.isWithdrawal && namesAny(report, live);
    });
    return found == m_listed.end() ? nullptr : &*found;
}

const SilenceReport *SilenceReports::obsoleteWithdrawal(Instant now) const
{
    const auto found = std::find_if(m_listed.begin(), m_listed.end(), [&](const SilenceReport &report) {
        return report.isWithdrawal && now - m_withdrawnAt.at(report.name) >= m_options.withdrawalRetention;
    });
    return found == m_listed.end() ? nullptr : &*found;
}

const std::vector<SilenceReport> &SilenceReports::listed() const
{
    return m_listed;
}

} // namespace Filbertmount
