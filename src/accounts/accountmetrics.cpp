#include <filbertmount/accounts/accountmetrics.h>

namespace Filbertmount {

namespace {

constexpr std::size_t MaxLargeAccounts = 32;
constexpr std::size_t MaxCandidates = 64;
// Before, a few requests of a small account would be a large part of all.
constexpr std::uint64_t MinRequests = 500;
// An account is large when it makes one in this many requests.
constexpr std::uint64_t RequestsPerLargeAccount = 50;
constexpr std::array<const char *, 4> OutcomeNames = {"admitted", "over-quota", "refused", "unknown-key"};

} // namespace

AccountMetrics::AccountMetrics(Metrics &metrics)
    : m_metrics(metrics)
    , m_unknown{}
    , m_others{}
{
}

AccountMetrics::Series AccountMetrics::makeSeries(const std::string &account)
{
    Series series{};
    for (std::size_t outcome = 0; outcome < Outcomes; ++outcome) {
        series[outcome] =
            &m_metrics.counter(MetricNames::AccountRequests, {{"account", account}, {"outcome", OutcomeNames[outcome]}});
    }
    return series;
}

void AccountMetrics::count(const AccountName &account, AccountRequest request)
{
    ++m_requests;
    seriesOf(account)[static_cast<std::size_t>(request)]->Increment();
}

AccountMetrics::Series &AccountMetrics::seriesOf(const AccountName &account)
{
    // The series are made when they are needed, so that a deployment without accounts has none.
    Series &shared = account.empty() ? m_unknown : m_others;
    if (shared[0] == nullptr) {
        shared = makeSeries(account.empty() ? std::string() : "other");
    }
    if (account.empty()) {
        return shared;
    }
    const auto known = m_large.find(account);
    if (known != m_large.end()) {
        return known->second;
    }
    if (m_large.size() >= MaxLargeAccounts || !isLarge(account)) {
        return shared;
    }
    m_candidates.erase(account);
    return m_large.emplace(account, makeSeries(account.value())).first->second;
}

bool AccountMetrics::isLarge(const AccountName &account)
{
    const auto candidate = m_candidates.find(account);
    if (candidate == m_candidates.end() && m_candidates.size() >= MaxCandidates) {
        absl::erase_if(m_candidates, [](auto &entry) {
            return --entry.second == 0;
        });
        return false;
    }
    const std::uint64_t count = ++m_candidates[account];
    return m_requests >= MinRequests && count * RequestsPerLargeAccount >= m_requests;
}

} // namespace Filbertmount
