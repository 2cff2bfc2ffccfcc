#include <filbertmount/measuring/probebudget.h>

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace Filbertmount {

namespace {

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

ProbeBudget::ProbeBudget(Options options)
    : m_options(std::move(options))
{
}

void ProbeBudget::setService(const ServiceName &service, double budgetPercent, int slots, Instant now)
{
    const absl::MutexLock lock(&m_mutex);
    const auto [found, added] = m_buckets.try_emplace(service);
    Bucket &bucket = found->second;
    if (added) {
        bucket.accruedAt = now;
    }
    accrue(bucket, now);
    const double budget = std::max(0.0, budgetPercent) / 100 * std::max(0, slots);
    bucket.accrualRate = budget * 1e9 / std::max(1, m_options.instanceLimit);
    bucket.tokens = std::min(bucket.tokens, totalCapacity(bucket));
}

void ProbeBudget::removeService(const ServiceName &service)
{
    const absl::MutexLock lock(&m_mutex);
    m_buckets.erase(service);
}

void ProbeBudget::setMemberCount(int members)
{
    const absl::MutexLock lock(&m_mutex);
    m_isOverLimit = members > m_options.instanceLimit;
    if (!m_isOverLimit) {
        return;
    }
    for (auto &[service, bucket] : m_buckets) {
        bucket.tokens = std::min<std::int64_t>(bucket.tokens, 0);
        bucket.isPaused = true;
    }
}

std::int64_t ProbeBudget::accrualCapacity(const Bucket &bucket)
{
    return static_cast<std::int64_t>(std::floor(bucket.accrualRate * toSeconds(Capacity)));
}

std::int64_t ProbeBudget::totalCapacity(const Bucket &bucket) const
{
    return accrualCapacity(bucket) * std::max(1, m_options.instanceLimit);
}

void ProbeBudget::accrue(Bucket &bucket, Instant now)
{
    const Duration elapsed = now - bucket.accruedAt;
    if (elapsed <= Duration::zero()) {
        return;
    }
    if (m_isOverLimit || bucket.isPaused) {
        bucket.accruedAt = now;
        bucket.isPaused = m_isOverLimit;
        return;
    }
    const auto accrued =
        static_cast<std::int64_t>(std::floor(bucket.accrualRate * std::min(toSeconds(elapsed), toSeconds(Capacity))));
    if (accrued == 0) {
        return;
    }
    bucket.accruedAt = now;
    // Transfers may fill the bucket beyond accrualCapacity(); accrual must not reduce it then.
    bucket.tokens = std::max(bucket.tokens, std::min(bucket.tokens + accrued, accrualCapacity(bucket)));
}

bool ProbeBudget::reserve(const ServiceName &service, Duration cost, Instant now)
{
    const absl::MutexLock lock(&m_mutex);
    const auto found = m_buckets.find(service);
    if (found == m_buckets.end() || m_isOverLimit || cost < Duration::zero()) {
        return false;
    }
    accrue(found->second, now);
    if (found->second.tokens < cost.count()) {
        return false;
    }
    found->second.tokens -= cost.count();
    return true;
}

void ProbeBudget::settle(const ServiceName &service, Duration reserved, Duration measured, Instant now)
{
    const absl::MutexLock lock(&m_mutex);
    const auto found = m_buckets.find(service);
    if (found == m_buckets.end()) {
        return;
    }
    Bucket &bucket = found->second;
    accrue(bucket, now);
    const std::int64_t tokens = bucket.tokens + (reserved - std::max(measured, Duration::zero())).count();
    bucket.tokens = std::min(tokens, m_isOverLimit ? 0 : totalCapacity(bucket));
}

PeerOutbox ProbeBudget::transfer(const std::vector<std::pair<ServiceName, InstanceId>> &dispatchers, Instant now)
{
    const absl::MutexLock lock(&m_mutex);
    PeerOutbox outbox;
    if (now < m_nextTransfer || m_isOverLimit) {
        return outbox;
    }
    m_nextTransfer = now + TransferInterval;
    std::vector<std::tuple<std::int64_t, const ServiceName *, const InstanceId *>> balances;
    for (const auto &[service, dispatcher] : dispatchers) {
        const auto found = m_buckets.find(service);
        if (found == m_buckets.end() || dispatcher == m_options.self) {
            continue;
        }
        accrue(found->second, now);
        // Messages state slot time in microseconds, buckets in nanoseconds.
        if (const std::int64_t microseconds = found->second.tokens / 1000; microseconds > 0) {
            balances.emplace_back(microseconds, &service, &dispatcher);
        }
    }
    std::sort(balances.begin(), balances.end(), [](const auto &left, const auto &right) {
        return std::get<0>(left) != std::get<0>(right) ? std::get<0>(left) > std::get<0>(right)
                                                       : *std::get<1>(left) < *std::get<1>(right);
    });
    balances.resize(std::min(balances.size(), TransfersPerInterval));
    for (const auto &[microseconds, service, dispatcher] : balances) {
        m_buckets.at(*service).tokens -= microseconds * 1000;
        Wire::BudgetTransfer &message = *appendBody(outbox, *dispatcher).mutable_budget_transfer();
        message.set_service(service->value());
        message.set_sequence(++m_lastSequence);
        message.set_slot_time_us(static_cast<std::uint64_t>(microseconds));
        message.set_recipient(dispatcher->value());
    }
    return outbox;
}

bool ProbeBudget::receive(const InstanceId &from, const Wire::BudgetTransfer &transfer, Instant now)
{
    const absl::MutexLock lock(&m_mutex);
    if (transfer.recipient() != m_options.self.value()) {
        return false;
    }
    if (!m_lastReceivedSequences.contains(from) && m_lastReceivedSequences.size() >= MaxSenders) {
        return false;
    }
    std::uint64_t &last = m_lastReceivedSequences[from];
    if (transfer.sequence() <= last) {
        return false;
    }
    last = transfer.sequence();
    const auto found = m_buckets.find(ServiceName(transfer.service()));
    if (found == m_buckets.end() || m_isOverLimit) {
        return false;
    }
    Bucket &bucket = found->second;
    accrue(bucket, now);
    const std::int64_t freeTokens = std::max<std::int64_t>(0, totalCapacity(bucket) - bucket.tokens);
    const std::uint64_t microseconds = std::min(transfer.slot_time_us(), static_cast<std::uint64_t>(freeTokens) / 1000);
    bucket.tokens += static_cast<std::int64_t>(microseconds) * 1000;
    return true;
}

Duration ProbeBudget::balance(const ServiceName &service, Instant now)
{
    const absl::MutexLock lock(&m_mutex);
    const auto found = m_buckets.find(service);
    if (found == m_buckets.end()) {
        return Duration::zero();
    }
    accrue(found->second, now);
    return Duration(found->second.tokens);
}

bool ProbeBudget::isOverLimit() const
{
    const absl::MutexLock lock(&m_mutex);
    return m_isOverLimit;
}

} // namespace Filbertmount
