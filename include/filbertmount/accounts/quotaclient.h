#pragma once

#include <filbertmount/accounts/quotatypes.h>
#include <filbertmount/peer/peermessage.h>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/container/inlined_vector.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace Filbertmount {

enum class QuotaOutcome : std::uint8_t {
    Granted,
    /** The account has used up its limit. */
    OverQuota,
    /** No owner answered; the request was not run and can be sent again. */
    Unavailable,
    /** The outcome follows with the number of the waiting request. */
    Waiting,
};

/** Identifies the lease that a spent token was taken from. */
struct QuotaToken {
    /** Request for tokens that was answered with the lease; unique in this process. */
    std::uint64_t request = 0;
};

/** Outcome of one request of a caller. */
struct QuotaDecision {
    QuotaOutcome outcome = QuotaOutcome::Waiting;
    /** Number of the waiting request; 0 if it has not waited. */
    std::uint64_t waiter = 0;
    /** Time until the next token is likely to be available for the caller, if refused. */
    Duration retryAfter{0};
    QuotaToken token;
    /** Tokens of the account that the instance holds. */
    std::uint32_t held = 0;
    /** Time since the owner's latest answer for the account; for the log of refusals. */
    Duration answerAge{0};
};

/** A request of a caller, as far as quotas are concerned. */
struct QuotaAsk {
    std::string_view account;
    QuotaLimit limit;
    /** Version of the configuration that the limit is from. */
    std::uint64_t version = 0;
    /** Latest time at which the caller must have a response. */
    Instant deadline;
};

/**
 * Spends the tokens that the owners of accounts leased to this instance, and requests further ones.
 *
 * Every token is spent at most once and not after its lease, which is measured from the time at which the request for it was
 * sent. At most one request to each owner is outstanding; it carries the demands of all accounts. Performs no I/O. Not
 * thread-safe.
 */
class QuotaClient
{
public:
    QuotaClient(const QuotaOptions &options, std::uint64_t seed);

    /** Decides about a request of a caller. Does not allocate if the account is known and has a token or is exhausted. */
    QuotaDecision acquire(const QuotaAsk &ask, Instant now);
    /** Removes a waiting request. */
    void cancel(std::uint64_t waiter);
    /** Takes back the token of a request that was not executed. */
    void release(std::string_view account, const QuotaToken &token, Instant now);

    /** Sets the owners, which requests are sent to. */
    void setOwners(const QuotaOwnerList &owners, Instant now);
    void onReply(const InstanceId &from, const Wire::QuotaReply &reply, Instant now, std::vector<QuotaDecision> &decisions);
    /** Sends the requests that became necessary since the last call. Call at the end of each turn of the event loop. */
    void flush(Instant now, PeerOutbox &outbox);
    /** Ends waits, returns unused tokens and repeats unanswered requests. Call every few milliseconds. */
    void tick(Instant now, PeerOutbox &outbox, std::vector<QuotaDecision> &decisions);
    /** Drops all tokens, because the process was suspended. */
    void dropTokens();
    /** Returns all tokens and refuses all waiting requests; for the end of the process. */
    void drain(Instant now, PeerOutbox &outbox, std::vector<QuotaDecision> &decisions);

    /** Whether flush() has requests to send. */
    [[nodiscard]] bool needsFlush() const;
    [[nodiscard]] std::size_t waiting() const;
    /** Accounts with recent requests. */
    [[nodiscard]] std::size_t accountCount() const;

private:
    struct Lease {
        std::uint32_t tokens = 0;
        std::uint64_t request = 0;
        InstanceId owner;
        Instant validUntil;
    };
    struct Waiter {
        std::uint64_t id = 0;
        Instant arrivedAt;
        Instant deadline;
    };
    struct Account {
        std::string name;
        std::uint64_t hash = 0;
        QuotaLimit limit;
        std::uint64_t version = 0;
        absl::InlinedVector<Lease, 2> leases;
        std::deque<Waiter> waiters;
        /** Requests per second on this instance, smoothed. */
        double demand = 0;
        Instant demandAt;
        /** Requests since the latest demand was sent. */
        std::uint32_t arrived = 0;
        /** Until then, requests are refused without asking the owner. */
        Instant exhaustedUntil{};
        /** Until then, waiting requests do not ask again. */
        Instant askAt{};
        /** Requests refused since the owner's latest answer. */
        std::uint32_t refused = 0;
        Instant answeredAt{};
        /** The account is to be part of the next request, or of one that is outstanding. */
        bool isAsking = false;
        Instant usedAt;
    };
    /** Lets accounts be found by a std::string_view, which Abseil's own hash does not allow in every build. */
    struct NameHash {
        using is_transparent = void; // NOLINT(readability-identifier-naming): name required by Abseil
        std::size_t operator()(std::string_view name) const
        {
            return std::hash<std::string_view>()(name);
        }
    };
    /** Exchange with one owner. */
    struct Exchange {
        std::uint64_t request = 0;
        bool isOutstanding = false;
        Instant sentAt;
        Instant repeatedAt;
        Wire::Envelope envelope;
        /** Accounts in the outstanding request. */
        std::vector<Account *> asked;
        /** Accounts for the next request. */
        std::vector<Account *> next;
        /** Tokens to be returned with the next request, or on their own when due. */
        Wire::QuotaReturn returns;
        std::optional<Instant> returnDue;
    };

    Account &accountFor(const QuotaAsk &ask, Instant now);
    static void recordArrival(Account &account, Instant now);
    /** Takes a token of a valid lease; returns whether there was one. */
    static bool takeToken(Account &account, Instant now, QuotaToken &token);
    /** Includes the account in the next request to its owner. */
    void ask(Account &account);
    QuotaDecision refusal(Account &account, Instant now);
    /** Grants tokens to the longest waiting requests. */
    void serveWaiters(Account &account, Instant now, std::vector<QuotaDecision> &decisions);
    /** Ends the wait of requests whose time is over before @p nextToken. */
    void endWaits(Account &account, Instant nextToken, Instant now, std::vector<QuotaDecision> &decisions);
    void applyGrant(Account &account,
                    const Wire::QuotaGrant &grant,
                    const Lease &lease,
                    Instant now,
                    std::vector<QuotaDecision> &decisions);
    void returnTokens(const std::string &account, const Lease &lease);
    /** Returns the tokens of leases that are over. */
    void endLeases(Account &account, Instant now);
    void send(const InstanceId &owner, Exchange &exchange, Instant now, PeerOutbox &outbox);
    /** Adds accounts to the next request that would need one of their own soon. */
    void joinAccounts(const InstanceId &owner, Exchange &exchange, Instant now);
    /** Moves the tokens to be returned into @p envelope. */
    void addReturns(Exchange &exchange, Wire::Envelope &envelope);
    /** Repeats an unanswered request or gives it up. */
    void checkAnswer(const InstanceId &owner, Exchange &exchange, Instant now, PeerOutbox &outbox);
    void abandonRequest(Exchange &exchange);
    void removeUnused(Instant now);
    /** Lets requests wait longer for a while, because an owner has failed or changed. */
    void expectOutage(Instant now);
    /** Longest wait of a request for which no token is available. */
    [[nodiscard]] Duration longestWait(Instant now) const;
    [[nodiscard]] std::uint32_t prefetchFor(const Account &account, Instant now) const;
    [[nodiscard]] static std::uint32_t heldTokens(const Account &account, Instant now);

    QuotaOptions m_options;
    std::mt19937_64 m_random;
    QuotaOwnerList m_owners;
    /** Until then, the owner of an account may be new or not yet replaced, so requests wait longer. */
    Instant m_outageUntil{};
    bool m_isDrained = false;
    absl::flat_hash_map<std::string, std::unique_ptr<Account>, NameHash, std::equal_to<>> m_accounts;
    absl::flat_hash_map<InstanceId, Exchange> m_exchanges;
    /** Accounts that are to be part of the next requests. */
    std::vector<Account *> m_dirty;
    /** Accounts with leases or waiting requests. */
    absl::flat_hash_set<Account *> m_active;
    absl::flat_hash_map<std::uint64_t, Account *> m_waiterAccounts;
    std::uint64_t m_lastWaiter = 0;
    std::uint64_t m_lastRequest = 0;
    std::uint64_t m_lastReturn = 0;
    Instant m_cleanedAt{};
};

} // namespace Filbertmount
