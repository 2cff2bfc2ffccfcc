#include <filbertmount/accounts/quotaowner.h>

#include <filbertmount/types/rendezvoushash.h>

#include <algorithm>
#include <cmath>

namespace Filbertmount {

namespace {

// Parts of the margin, see docs/design/quotas.md; together below 1.
constexpr double PartForNewOwners = 0.5;
constexpr double PartForDividedFleet = 0.3;
constexpr double PartForLateReturns = 0.1;
// Time after a change of owners in which the new owner uses its part of the margin.
constexpr Duration BonusTime = std::chrono::seconds(1);
// Part of the remaining tokens that one instance gets in advance, so that others find some too.
constexpr double PartForPrefetch = 0.25;
constexpr double OfferedSmoothingSeconds = 2;
// A refused instance asks again after this time at the latest, because other instances may have returned tokens.
constexpr Duration MaxOfferDelay = std::chrono::milliseconds(400);
constexpr Duration MinOfferDelay = std::chrono::milliseconds(5);
constexpr Duration HolderRetention = std::chrono::seconds(10);
constexpr Duration BucketRetention = std::chrono::seconds(60);

double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace

QuotaOwner::QuotaOwner(const QuotaElection &election, const QuotaOptions &options)
    : m_election(election)
    , m_options(options)
{
}

void QuotaOwner::setVersion(std::uint64_t version)
{
    m_version = std::max(m_version, version);
}

std::size_t QuotaOwner::bucketCount() const
{
    return m_buckets.size();
}

std::uint64_t QuotaOwner::leasedTokens() const
{
    return m_leasedTokens;
}

void QuotaOwner::forgetBuckets(Instant now)
{
    m_buckets.clear();
    m_unknownBefore = now;
}

QuotaLimit QuotaOwner::effectiveLimit(const QuotaLimit &limit) const
{
    const std::optional<double> share = m_election.marginShare();
    if (!share) {
        return limit;
    }
    // Half of the part at once and half over a window, because a window can contain both.
    const double tokens = quotaMargin(limit, m_options) * PartForDividedFleet * *share / 2;
    return {.ratePerSecond = tokens / secondsOf(m_options.window), .burst = tokens};
}

double QuotaOwner::capacity(const QuotaLimit &limit) const
{
    // A bucket holds at least one token, or an account with a smaller burst could never send a request. In a divided fleet, one
    // token in each part could exceed the margin.
    const double burst = effectiveLimit(limit).burst;
    return m_election.marginShare() ? burst : std::max(1.0, burst);
}

QuotaOwner::Bucket QuotaOwner::newBucket(Instant since, const QuotaLimit &limit, Instant now) const
{
    Bucket bucket{.since = since, .limit = limit, .refilledAt = std::max(since, m_unknownBefore), .offeredAt = now};
    refill(bucket, now);
    if (m_election.hasBonus(since) && since >= m_unknownBefore && now - since < BonusTime) {
        bucket.tokens += quotaMargin(limit, m_options) * PartForNewOwners;
    }
    bucket.usedAt = now;
    return bucket;
}

QuotaOwner::Bucket *QuotaOwner::bucketOf(const std::string &account, const Wire::QuotaDemand *demand, Instant now)
{
    const std::optional<Instant> since = m_election.responsibleSince(stableHash(account), now);
    auto found = m_buckets.find(account);
    if (!since || (found != m_buckets.end() && found->second.since != *since)) {
        if (found != m_buckets.end()) {
            m_buckets.erase(found);
            found = m_buckets.end();
        }
    }
    if (!since || (found == m_buckets.end() && demand == nullptr)) {
        return nullptr;
    }
    if (found == m_buckets.end()) {
        const QuotaLimit limit{.ratePerSecond = demand->rate(), .burst = demand->burst()};
        found = m_buckets.emplace(account, newBucket(*since, limit, now)).first;
        found->second.version = demand->version();
    }
    refill(found->second, now);
    return &found->second;
}

void QuotaOwner::updateLimit(Bucket &bucket, const Wire::QuotaDemand &demand) const
{
    const QuotaLimit limit{.ratePerSecond = demand.rate(), .burst = demand.burst()};
    if (demand.version() <= bucket.version || limit == bucket.limit) {
        bucket.version = std::max(bucket.version, demand.version());
        return;
    }
    if (demand.version() <= m_version) {
        bucket.limit = limit;
        bucket.version = demand.version();
    } else {
        bucket.limit = {.ratePerSecond = std::min(limit.ratePerSecond, bucket.limit.ratePerSecond),
                        .burst = std::min(limit.burst, bucket.limit.burst)};
    }
    bucket.tokens = std::min(bucket.tokens, capacity(bucket.limit));
}

void QuotaOwner::refill(Bucket &bucket, Instant now) const
{
    const double elapsed = secondsOf(std::max(Duration::zero(), now - bucket.refilledAt));
    bucket.refilledAt = std::max(bucket.refilledAt, now);
    // Tokens of the margin may exceed the burst; the bucket does not refill then.
    const double filled = bucket.tokens + elapsed * effectiveLimit(bucket.limit).ratePerSecond;
    bucket.tokens = std::min(std::max(capacity(bucket.limit), bucket.tokens), filled);
    const double lateReturns = quotaMargin(bucket.limit, m_options) * PartForLateReturns / 2;
    bucket.lateReturns = std::min(lateReturns, bucket.lateReturns + elapsed * lateReturns / secondsOf(m_options.window));
}

void QuotaOwner::recordArrivals(Bucket &bucket, std::uint32_t arrived, Instant now) const
{
    const double elapsed = secondsOf(std::max(Duration::zero(), now - bucket.offeredAt));
    bucket.offeredAt = now;
    bucket.offered = bucket.offered * std::exp(-elapsed / OfferedSmoothingSeconds) + arrived / OfferedSmoothingSeconds;
}

Duration QuotaOwner::nextOffer(Bucket &bucket, Instant now) const
{
    const QuotaLimit limit = effectiveLimit(bucket.limit);
    if (limit.ratePerSecond <= 0) {
        return MaxOfferDelay;
    }
    const Instant nextToken = now + std::min(MaxOfferDelay, fromSeconds((1 - bucket.tokens) / limit.ratePerSecond));
    const Instant offer = std::max(nextToken, bucket.nextOffer);
    bucket.nextOffer = std::min(now + MaxOfferDelay, offer + std::min(MaxOfferDelay, fromSeconds(1 / limit.ratePerSecond)));
    return std::clamp(offer - now, MinOfferDelay, MaxOfferDelay);
}

void QuotaOwner::grant(Bucket &bucket, const Wire::QuotaDemand &demand, Instant now, Wire::QuotaGrant &grant)
{
    const double available = std::floor(bucket.tokens);
    const double waiting = std::min<double>(demand.waiting(), available);
    const double prefetch = std::min<double>(demand.prefetch(), std::floor((available - waiting) * PartForPrefetch));
    const double tokens = waiting + prefetch;
    bucket.tokens -= tokens;
    m_leasedTokens += static_cast<std::uint64_t>(tokens);
    grant.set_tokens(static_cast<std::uint32_t>(tokens));
    if (waiting < demand.waiting()) {
        const Duration delay = nextOffer(bucket, now);
        grant.set_retry_after_us(
            static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(delay).count()));
        grant.set_may_wait(bucket.offered <= effectiveLimit(bucket.limit).ratePerSecond);
    }
}

void QuotaOwner::onRequest(const InstanceId &from, const Wire::QuotaRequest &request, Instant now, PeerOutbox &outbox)
{
    Holder &holder = m_holders[from];
    if (request.request() < holder.lastRequest) {
        return;
    }
    holder.usedAt = now;
    if (request.request() > holder.lastRequest) {
        holder.lastRequest = request.request();
        holder.lastReply.Clear();
        Wire::QuotaReply &reply = *holder.lastReply.add_bodies()->mutable_quota_reply();
        reply.set_request(request.request());
        for (const Wire::QuotaDemand &demand : request.demands()) {
            Wire::QuotaGrant &granted = *reply.add_grants();
            granted.set_account(demand.account());
            Bucket *bucket = demand.rate() > 0 ? bucketOf(demand.account(), &demand, now) : nullptr;
            if (bucket == nullptr) {
                granted.set_not_owner(true);
                continue;
            }
            bucket->usedAt = now;
            updateLimit(*bucket, demand);
            recordArrivals(*bucket, demand.arrived(), now);
            grant(*bucket, demand, now, granted);
        }
        std::erase_if(holder.issues, [&](const Issue &issue) {
            return now - issue.issuedAt >= m_options.returnTime;
        });
        holder.issues.push_back({.request = request.request(), .issuedAt = now});
    }
    outbox.push_back({.to = from, .address = {}, .envelope = holder.lastReply});
}

void QuotaOwner::onReturn(const InstanceId &from, const Wire::QuotaReturn &returned, Instant now)
{
    const auto found = m_holders.find(from);
    // Without an entry, the tokens were not granted by this process, or so long ago that they no longer matter.
    if (found == m_holders.end() || returned.sequence() <= found->second.lastReturn) {
        return;
    }
    Holder &holder = found->second;
    holder.lastReturn = returned.sequence();
    for (const Wire::QuotaReturn::Tokens &tokens : returned.returned()) {
        Bucket *bucket = bucketOf(tokens.account(), nullptr, now);
        if (bucket == nullptr) {
            continue;
        }
        const auto issue = std::find_if(holder.issues.begin(), holder.issues.end(), [&](const Issue &candidate) {
            return candidate.request == tokens.request();
        });
        const bool isInTime =
            issue != holder.issues.end() && issue->issuedAt >= bucket->since && now - issue->issuedAt < m_options.returnTime;
        const double accepted = isInTime ? tokens.tokens() : std::min<double>(tokens.tokens(), std::floor(bucket->lateReturns));
        bucket->lateReturns -= isInTime ? 0 : accepted;
        bucket->tokens = std::min(std::max(capacity(bucket->limit), bucket->tokens), bucket->tokens + accepted);
    }
}

void QuotaOwner::removeUnused(Instant now)
{
    absl::erase_if(m_holders, [now](const auto &entry) {
        return now - entry.second.usedAt >= HolderRetention;
    });
    // Only full buckets, because a new bucket is as full as the time since this instance became responsible allows.
    absl::erase_if(m_buckets, [&](auto &entry) {
        refill(entry.second, now);
        return now - entry.second.usedAt >= BucketRetention && entry.second.tokens >= capacity(entry.second.limit);
    });
}

} // namespace Filbertmount
