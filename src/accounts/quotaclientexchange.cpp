// The exchanges of a QuotaClient with the owners of accounts.
#include <filbertmount/accounts/quotaclient.h>

#include <algorithm>

namespace Filbertmount {

namespace {

// An owner answers within about 2 ms; a request or its reply was probably lost after this time.
constexpr Duration RepeatInterval = std::chrono::milliseconds(60);

} // namespace

void QuotaClient::onReply(const InstanceId &from,
                          const Wire::QuotaReply &reply,
                          Instant now,
                          std::vector<QuotaDecision> &decisions)
{
    const auto found = m_exchanges.find(from);
    if (found == m_exchanges.end() || !found->second.isOutstanding || found->second.request != reply.request()) {
        return;
    }
    Exchange &exchange = found->second;
    exchange.isOutstanding = false;
    for (Account *account : std::exchange(exchange.asked, {})) {
        account->isAsking = false;
    }
    const Instant validUntil = exchange.sentAt + m_options.leaseTime;
    for (const Wire::QuotaGrant &grant : reply.grants()) {
        const auto account = m_accounts.find(grant.account());
        if (account == m_accounts.end()) {
            continue;
        }
        const Lease lease{.tokens = grant.tokens(), .request = reply.request(), .owner = from, .validUntil = validUntil};
        applyGrant(*account->second, grant, lease, now, decisions);
        if (!account->second->waiters.empty() && now >= account->second->askAt) {
            ask(*account->second);
        }
    }
}

void QuotaClient::flush(Instant now, PeerOutbox &outbox)
{
    for (Account *account : std::exchange(m_dirty, {})) {
        const InstanceId *owner = m_owners.ownerOf(account->hash);
        if (owner == nullptr) {
            // Asked again by tick() while requests wait.
            account->isAsking = false;
        } else {
            m_exchanges[*owner].next.push_back(account);
        }
    }
    for (auto &[owner, exchange] : m_exchanges) {
        if (!exchange.isOutstanding && !exchange.next.empty()) {
            send(owner, exchange, now, outbox);
        }
    }
}

void QuotaClient::send(const InstanceId &owner, Exchange &exchange, Instant now, PeerOutbox &outbox)
{
    exchange.request = ++m_lastRequest;
    exchange.isOutstanding = true;
    exchange.sentAt = now;
    exchange.repeatedAt = now;
    joinAccounts(owner, exchange, now);
    exchange.asked = std::exchange(exchange.next, {});
    exchange.envelope.Clear();
    Wire::QuotaRequest &request = *exchange.envelope.add_bodies()->mutable_quota_request();
    request.set_request(exchange.request);
    for (Account *account : exchange.asked) {
        Wire::QuotaDemand &demand = *request.add_demands();
        demand.set_account(account->name);
        demand.set_rate(account->limit.ratePerSecond);
        demand.set_burst(account->limit.burst);
        demand.set_version(account->version);
        demand.set_waiting(static_cast<std::uint32_t>(account->waiters.size()));
        demand.set_prefetch(prefetchFor(*account, now));
        demand.set_arrived(std::exchange(account->arrived, 0));
    }
    addReturns(exchange, exchange.envelope);
    outbox.push_back({.to = owner, .address = {}, .envelope = exchange.envelope});
}

void QuotaClient::addReturns(Exchange &exchange, Wire::Envelope &envelope)
{
    if (exchange.returns.returned_size() > 0) {
        exchange.returns.set_sequence(++m_lastReturn);
        envelope.add_bodies()->mutable_quota_return()->Swap(&exchange.returns);
        exchange.returns.Clear();
        exchange.returnDue.reset();
    }
}

void QuotaClient::abandonRequest(Exchange &exchange)
{
    exchange.isOutstanding = false;
    for (Account *account : std::exchange(exchange.asked, {})) {
        account->isAsking = false;
        if (!account->waiters.empty()) {
            ask(*account);
        }
    }
}

void QuotaClient::checkAnswer(const InstanceId &owner, Exchange &exchange, Instant now, PeerOutbox &outbox)
{
    if (!exchange.isOutstanding) {
        return;
    }
    if (now >= exchange.sentAt + m_options.leaseTime) {
        expectOutage(now);
        abandonRequest(exchange);
    } else if (now >= exchange.repeatedAt + RepeatInterval) {
        exchange.repeatedAt = now;
        outbox.push_back({.to = owner, .address = {}, .envelope = exchange.envelope});
    }
}

void QuotaClient::returnTokens(const std::string &account, const Lease &lease)
{
    Wire::QuotaReturn::Tokens &tokens = *m_exchanges[lease.owner].returns.add_returned();
    tokens.set_account(account);
    tokens.set_tokens(lease.tokens);
    tokens.set_request(lease.request);
}

void QuotaClient::endLeases(Account &account, Instant now)
{
    const auto isOver = [&](const Lease &lease) {
        if (now < lease.validUntil) {
            return false;
        }
        if (lease.tokens > 0) {
            returnTokens(account.name, lease);
        }
        return true;
    };
    account.leases.erase(std::remove_if(account.leases.begin(), account.leases.end(), isOver), account.leases.end());
}

} // namespace Filbertmount
