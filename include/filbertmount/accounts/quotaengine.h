#pragma once

#include <filbertmount/accounts/quotaclient.h>
#include <filbertmount/accounts/quotaelection.h>
#include <filbertmount/accounts/quotaowner.h>

#include <string_view>
#include <vector>

namespace Filbertmount {

/** Results of one call: messages to other instances and outcomes of requests that waited. */
struct QuotaOutput {
    PeerOutbox messages;
    std::vector<QuotaDecision> decisions;
};

/**
 * The quotas of one instance: connects QuotaElection, QuotaOwner and QuotaClient, and delivers messages between the client and
 * the owner of the same instance directly. Performs no I/O. Not thread-safe.
 */
class QuotaEngine
{
public:
    QuotaEngine(InstanceId self, const QuotaOptions &options, std::uint64_t seed, Instant startedAt);
    QuotaEngine(const QuotaEngine &) = delete;
    QuotaEngine &operator=(const QuotaEngine &) = delete;

    void setMembers(QuotaMembers members);
    /** Sets the version of the configuration in force. */
    void setVersion(std::uint64_t version);
    /** Handles a QuotaRequest, QuotaReply or QuotaReturn. */
    void handle(const InstanceId &from, const Wire::Body &body, Instant now, QuotaOutput &output);
    void tick(Instant now, QuotaOutput &output);
    /** Sends requests for tokens. Call at the end of each turn of the event loop in which client().needsFlush() became true. */
    void flush(Instant now, QuotaOutput &output);
    /** Call after a suspension of the process. */
    void onResume(Instant now);
    /** Hands over the accounts that this instance owns. */
    void resign(Instant now, QuotaOutput &output);
    /** Returns all tokens; for the end of the process. */
    void drain(Instant now, QuotaOutput &output);

    [[nodiscard]] QuotaClient &client();
    [[nodiscard]] const QuotaElection &election() const;
    [[nodiscard]] const QuotaOwner &owner() const;

private:
    void dispatch(const InstanceId &from, const Wire::Body &body, Instant now, QuotaOutput &output);
    /** Delivers the messages of this instance to itself. */
    void deliverOwn(Instant now, QuotaOutput &output);

    InstanceId m_self;
    QuotaElection m_election;
    QuotaOwner m_owner;
    QuotaClient m_client;
    Instant m_cleanedAt{};
};

} // namespace Filbertmount
