#include <filbertmount/accounts/quotaclient.h>

#include <filbertmount/types/rendezvoushash.h>

#include <algorithm>
#include <cmath>

namespace Filbertmount {

namespace {

constexpr double DemandSmoothingSeconds = 1;
// With less demand, a block of tokens would hold less than two and mostly be returned.
constexpr double MinDemandForPrefetch = 3;
// With less demand, the next block is requested when the next request arrives: it would probably arrive after this block's lease.
constexpr double MinDemandForRefresh = 12;
// Part of a block that remains when a request that is sent to the owner anyway also asks for this account.
constexpr double JoinPartOfBlock = 0.75;
// Returns wait for a request to the same owner for this time, well within QuotaOptions::returnTime - leaseTime.
constexpr Duration ReturnDelay = std::chrono::milliseconds(25);
// Tokens for this time are left when the next block is requested, so that it arrives before they are used up.
constexpr double PrefetchLeadSeconds = 0.02;
constexpr Duration NotOwnerRetryDelay = std::chrono::milliseconds(20);
constexpr Duration OutageMemory = std::chrono::seconds(2);
constexpr Duration MinRetryAfter = std::chrono::milliseconds(20);
constexpr Duration MaxRetryAfter = std::chrono::seconds(10);
constexpr Duration UnavailableRetryAfter = std::chrono::milliseconds(300);
// Part of the time until the next token by which callers are spread beyond it.
constexpr double RetryJitter = 0.5;
constexpr Duration AccountRetention = std::chrono::seconds(30);
constexpr Duration CleanInterval = std::chrono::seconds(5);
// Bounds the memory for requests that wait for an owner.
constexpr std::size_t MaxWaiters = 512;
// One account far above its rate must not use up MaxWaiters.
constexpr std::size_t MaxWaitersPerAccount = 64;

double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace

QuotaClient::QuotaClient(const QuotaOptions &options, std::uint64_t seed)
    : m_options(options)
    , m_random(seed)
{
}

bool QuotaClient::needsFlush() const
{
    return !m_dirty.empty();
}

std::size_t QuotaClient::waiting() const
{
    return m_waiterAccounts.size();
}

std::size_t QuotaClient::accountCount() const
{
    return m_accounts.size();
}

QuotaClient::Account &QuotaClient::accountFor(const QuotaAsk &ask, Instant now)
{
    auto found = m_accounts.find(ask.account);
    if (found == m_accounts.end()) {
        auto account = std::make_unique<Account>();
        account->name = std::string(ask.account);
        account->hash = stableHash(ask.account);
        account->demandAt = now;
        found = m_accounts.emplace(account->name, std::move(account)).first;
    }
    Account &account = *found->second;
    if (ask.version >= account.version) {
        // A raised limit applies at once: the owner's refusal is for the earlier one.
        if (!(ask.limit == account.limit)) {
            account.exhaustedUntil = {};
        }
        account.limit = ask.limit;
        account.version = ask.version;
    }
    account.usedAt = now;
    return account;
}

void QuotaClient::recordArrival(Account &account, Instant now)
{
    const double elapsed = secondsOf(std::max(Duration::zero(), now - account.demandAt));
    account.demandAt = now;
    account.demand = account.demand * std::exp(-elapsed / DemandSmoothingSeconds) + 1 / DemandSmoothingSeconds;
    ++account.arrived;
}

std::uint32_t QuotaClient::heldTokens(const Account &account, Instant now)
{
    std::uint32_t held = 0;
    for (const Lease &lease : account.leases) {
        held += now < lease.validUntil ? lease.tokens : 0;
    }
    return held;
}

bool QuotaClient::takeToken(Account &account, Instant now, QuotaToken &token)
{
    for (Lease &lease : account.leases) {
        if (lease.tokens > 0 && now < lease.validUntil) {
            --lease.tokens;
            token.request = lease.request;
            return true;
        }
    }
    return false;
}

std::uint32_t QuotaClient::prefetchFor(const Account &account, Instant now) const
{
    if (account.demand < MinDemandForPrefetch) {
        return 0;
    }
    const double block = std::ceil(account.demand * secondsOf(m_options.leaseTime)) + 1;
    return static_cast<std::uint32_t>(std::max(0.0, block - heldTokens(account, now)));
}

QuotaDecision QuotaClient::acquire(const QuotaAsk &ask, Instant now)
{
    Account &account = accountFor(ask, now);
    recordArrival(account, now);
    QuotaDecision decision;
    if (takeToken(account, now, decision.token)) {
        decision.outcome = QuotaOutcome::Granted;
        decision.held = heldTokens(account, now);
        if (account.demand >= MinDemandForRefresh && decision.held <= account.demand * PrefetchLeadSeconds
            && now >= account.exhaustedUntil) {
            this->ask(account);
        }
        return decision;
    }
    if (now < account.exhaustedUntil) {
        return refusal(account, now);
    }
    const bool isFull = waiting() >= MaxWaiters || account.waiters.size() >= MaxWaitersPerAccount;
    if (m_isDrained || isFull || now >= ask.deadline) {
        decision.outcome = QuotaOutcome::Unavailable;
        decision.retryAfter = UnavailableRetryAfter;
        return decision;
    }
    decision.waiter = ++m_lastWaiter;
    account.waiters.push_back({.id = decision.waiter, .arrivedAt = now, .deadline = ask.deadline});
    m_waiterAccounts[decision.waiter] = &account;
    m_active.insert(&account);
    if (now >= account.askAt) {
        this->ask(account);
    }
    return decision;
}

void QuotaClient::ask(Account &account)
{
    if (!account.isAsking) {
        account.isAsking = true;
        m_dirty.push_back(&account);
    }
}

QuotaDecision QuotaClient::refusal(Account &account, Instant now)
{
    ++account.refused;
    const double rate = std::max(account.limit.ratePerSecond, 1 / secondsOf(MaxRetryAfter));
    const double wait =
        secondsOf(std::max(Duration::zero(), std::max(account.exhaustedUntil, account.askAt) - now)) + account.refused / rate;
    const double jitter = std::uniform_real_distribution<double>(0, RetryJitter)(m_random);
    return {.outcome = QuotaOutcome::OverQuota,
            .retryAfter = std::clamp(fromSeconds(wait * (1 + jitter)), MinRetryAfter, MaxRetryAfter),
            .held = heldTokens(account, now),
            .answerAge = now - account.answeredAt};
}

void QuotaClient::cancel(std::uint64_t waiter)
{
    const auto found = m_waiterAccounts.find(waiter);
    if (found == m_waiterAccounts.end()) {
        return;
    }
    std::erase_if(found->second->waiters, [waiter](const Waiter &candidate) {
        return candidate.id == waiter;
    });
    m_waiterAccounts.erase(found);
}

void QuotaClient::release(std::string_view account, const QuotaToken &token, Instant now)
{
    const auto found = m_accounts.find(account);
    if (found == m_accounts.end()) {
        return;
    }
    for (Lease &lease : found->second->leases) {
        if (lease.request == token.request && now < lease.validUntil) {
            ++lease.tokens;
            return;
        }
    }
    if (const InstanceId *owner = m_owners.ownerOf(found->second->hash)) {
        returnTokens(found->second->name, {.tokens = 1, .request = token.request, .owner = *owner});
    }
}

void QuotaClient::setOwners(const QuotaOwnerList &owners, Instant now)
{
    if (owners.epoch() == m_owners.epoch()) {
        return;
    }
    m_owners = owners;
    expectOutage(now);
    // Requests that an earlier owner has not answered are sent to the present one. Grants of an earlier owner stay valid.
    for (auto &[owner, exchange] : m_exchanges) {
        const auto isElsewhere = [&, id = &owner](const Account *account) {
            const InstanceId *present = m_owners.ownerOf(account->hash);
            return present == nullptr || *present != *id;
        };
        for (std::vector<Account *> *accounts : {&exchange.asked, &exchange.next}) {
            for (Account *account : *accounts) {
                if (isElsewhere(account)) {
                    account->isAsking = false;
                    ask(*account);
                }
            }
            std::erase_if(*accounts, isElsewhere);
        }
    }
}

void QuotaClient::serveWaiters(Account &account, Instant now, std::vector<QuotaDecision> &decisions)
{
    QuotaToken token;
    while (!account.waiters.empty() && takeToken(account, now, token)) {
        const std::uint64_t waiter = account.waiters.front().id;
        account.waiters.pop_front();
        m_waiterAccounts.erase(waiter);
        decisions.push_back(
            {.outcome = QuotaOutcome::Granted, .waiter = waiter, .token = token, .held = heldTokens(account, now)});
    }
}

void QuotaClient::expectOutage(Instant now)
{
    m_outageUntil = now + OutageMemory;
}

Duration QuotaClient::longestWait(Instant now) const
{
    return now < m_outageUntil ? m_options.ownerWait : m_options.tokenWait;
}

void QuotaClient::endWaits(Account &account, Instant nextToken, Instant now, std::vector<QuotaDecision> &decisions)
{
    std::erase_if(account.waiters, [&](const Waiter &waiter) {
        const bool hasAnswer = account.answeredAt >= waiter.arrivedAt;
        const Instant until = std::min(waiter.deadline, waiter.arrivedAt + (hasAnswer ? longestWait(now) : m_options.ownerWait));
        if (std::max(now, nextToken) < until) {
            return false;
        }
        QuotaDecision decision{.outcome = QuotaOutcome::Unavailable, .retryAfter = UnavailableRetryAfter};
        if (hasAnswer) {
            decision = refusal(account, now);
        }
        decision.waiter = waiter.id;
        m_waiterAccounts.erase(waiter.id);
        decisions.push_back(decision);
        return true;
    });
}

void QuotaClient::applyGrant(Account &account,
                             const Wire::QuotaGrant &grant,
                             const Lease &lease,
                             Instant now,
                             std::vector<QuotaDecision> &decisions)
{
    if (grant.not_owner()) {
        account.askAt = now + NotOwnerRetryDelay;
        expectOutage(now);
        return;
    }
    account.answeredAt = now;
    account.refused = 0;
    account.exhaustedUntil = {};
    if (grant.tokens() > 0) {
        account.leases.push_back(lease);
        m_active.insert(&account);
        serveWaiters(account, now, decisions);
    }
    if (grant.retry_after_us() > 0) {
        const Instant next = now + std::chrono::microseconds(grant.retry_after_us());
        account.askAt = next;
        if (!grant.may_wait()) {
            account.exhaustedUntil = next;
        }
        endWaits(account, grant.may_wait() ? next : Instant::max(), now, decisions);
    }
}

void QuotaClient::joinAccounts(const InstanceId &owner, Exchange &exchange, Instant now)
{
    for (Account *account : m_active) {
        if (account->isAsking || account->demand < MinDemandForPrefetch || now < account->askAt
            || now - account->usedAt >= m_options.leaseTime) {
            continue;
        }
        const double block = account->demand * secondsOf(m_options.leaseTime);
        const InstanceId *accountOwner = m_owners.ownerOf(account->hash);
        if (heldTokens(*account, now) <= block * JoinPartOfBlock && accountOwner != nullptr && *accountOwner == owner) {
            account->isAsking = true;
            exchange.next.push_back(account);
        }
    }
}

void QuotaClient::tick(Instant now, PeerOutbox &outbox, std::vector<QuotaDecision> &decisions)
{
    for (Account *account : m_active) {
        endLeases(*account, now);
        serveWaiters(*account, now, decisions);
        endWaits(*account, now, now, decisions);
        if (!account->waiters.empty() && now >= account->askAt) {
            ask(*account);
        }
    }
    absl::erase_if(m_active, [](const Account *account) {
        return account->leases.empty() && account->waiters.empty();
    });
    for (auto &[owner, exchange] : m_exchanges) {
        checkAnswer(owner, exchange, now, outbox);
    }
    flush(now, outbox);
    for (auto &[owner, exchange] : m_exchanges) {
        if (exchange.returns.returned_size() == 0) {
            continue;
        }
        exchange.returnDue = exchange.returnDue.value_or(now + ReturnDelay);
        if (now >= *exchange.returnDue || m_isDrained) {
            addReturns(exchange, outbox.emplace_back(PeerMessage{.to = owner, .address = {}, .envelope = {}}).envelope);
        }
    }
    if (now - m_cleanedAt >= CleanInterval) {
        m_cleanedAt = now;
        removeUnused(now);
    }
}

void QuotaClient::removeUnused(Instant now)
{
    absl::erase_if(m_accounts, [&](const auto &entry) {
        const Account &account = *entry.second;
        return now - account.usedAt >= AccountRetention && !account.isAsking && !m_active.contains(entry.second.get());
    });
    absl::erase_if(m_exchanges, [&](const auto &entry) {
        const std::vector<InstanceId> &owners = m_owners.ids();
        const bool isOwner = std::find(owners.begin(), owners.end(), entry.first) != owners.end();
        return !isOwner && !entry.second.isOutstanding && entry.second.next.empty() && entry.second.returns.returned_size() == 0;
    });
}

void QuotaClient::dropTokens()
{
    for (Account *account : m_active) {
        account->leases.clear();
    }
}

void QuotaClient::drain(Instant now, PeerOutbox &outbox, std::vector<QuotaDecision> &decisions)
{
    m_isDrained = true;
    for (Account *account : m_active) {
        for (Lease &lease : account->leases) {
            lease.validUntil = std::min(lease.validUntil, now);
        }
    }
    tick(now, outbox, decisions);
}

} // namespace Filbertmount
