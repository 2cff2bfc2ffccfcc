#pragma once

#include <filbertmount/telemetry/metrics.h>
#include <filbertmount/types/ids.h>

#include <absl/container/flat_hash_map.h>

#include <array>
#include <cstdint>
#include <string_view>

namespace Filbertmount {

/** What became of a request at the entry. */
enum class AccountRequest : std::uint8_t {
    /** It goes on to an upstream. */
    Admitted,
    /** The account has used up its quota. */
    OverQuota,
    /** It was refused for another reason before it was sent. */
    Refused,
    /** Its key belongs to no account. */
    UnknownKey,
};

/**
 * Counts requests by account with a bounded number of time series. Not thread-safe.
 *
 * An account gets its own series once it makes a noticeable part of the requests, up to a fixed number of accounts; all others
 * share the series of the account "other", and requests without an account have an empty name. The candidates are found by the
 * algorithm of Misra and Gries, whose table has a fixed size: it contains each account that makes more than one in 65 requests.
 */
class AccountMetrics
{
public:
    explicit AccountMetrics(Metrics &metrics);

    /** @param account empty when the key is unknown */
    void count(const AccountName &account, AccountRequest request);

private:
    static constexpr std::size_t Outcomes = 4;
    using Series = std::array<prometheus::Counter *, Outcomes>;

    [[nodiscard]] Series makeSeries(const std::string &account);
    Series &seriesOf(const AccountName &account);
    /** Counts a request of an account without an own series; returns whether it is to get one. */
    bool isLarge(const AccountName &account);

    Metrics &m_metrics;
    Series m_unknown;
    Series m_others;
    absl::flat_hash_map<AccountName, Series> m_large;
    /** Approximate numbers of requests, each at most the true one. */
    absl::flat_hash_map<AccountName, std::uint64_t> m_candidates;
    std::uint64_t m_requests = 0;
};

} // namespace Filbertmount
