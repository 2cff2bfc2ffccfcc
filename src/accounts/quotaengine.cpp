#include <filbertmount/accounts/quotaengine.h>

#include <algorithm>

namespace Filbertmount {

namespace {

constexpr Duration CleanInterval = std::chrono::seconds(1);

} // namespace

QuotaEngine::QuotaEngine(InstanceId self, const QuotaOptions &options, std::uint64_t seed, Instant startedAt)
    : m_self(std::move(self))
    , m_election(m_self, options, startedAt)
    , m_owner(m_election, options)
    , m_client(options, seed)
{
}

QuotaClient &QuotaEngine::client()
{
    return m_client;
}

const QuotaElection &QuotaEngine::election() const
{
    return m_election;
}

const QuotaOwner &QuotaEngine::owner() const
{
    return m_owner;
}

void QuotaEngine::setMembers(QuotaMembers members)
{
    m_election.setMembers(std::move(members));
}

void QuotaEngine::setVersion(std::uint64_t version)
{
    m_owner.setVersion(version);
}

void QuotaEngine::dispatch(const InstanceId &from, const Wire::Body &body, Instant now, QuotaOutput &output)
{
    switch (body.kind_case()) {
    case Wire::Body::kQuotaRequest:
        if (body.quota_request().has_poll()) {
            m_election.onPoll(from, body.quota_request().poll(), now, output.messages);
        } else {
            m_owner.onRequest(from, body.quota_request(), now, output.messages);
        }
        break;
    case Wire::Body::kQuotaReply:
        if (body.quota_reply().has_vote()) {
            m_election.onVote(from, body.quota_reply().vote(), now);
        } else {
            m_client.onReply(from, body.quota_reply(), now, output.decisions);
        }
        break;
    case Wire::Body::kQuotaReturn:
        m_owner.onReturn(from, body.quota_return(), now);
        break;
    default:
        break;
    }
}

void QuotaEngine::deliverOwn(Instant now, QuotaOutput &output)
{
    m_client.setOwners(m_election.owners(), now);
    m_client.flush(now, output.messages);
    for (std::size_t index = 0; index < output.messages.size();) {
        if (output.messages[index].to != m_self) {
            ++index;
            continue;
        }
        const Wire::Envelope envelope = std::move(output.messages[index].envelope);
        output.messages.erase(output.messages.begin() + static_cast<std::ptrdiff_t>(index));
        for (const Wire::Body &body : envelope.bodies()) {
            dispatch(m_self, body, now, output);
        }
    }
}

void QuotaEngine::handle(const InstanceId &from, const Wire::Body &body, Instant now, QuotaOutput &output)
{
    dispatch(from, body, now, output);
    // A majority or a new list is announced without waiting for the next tick.
    m_election.tick(now, output.messages);
    deliverOwn(now, output);
}

void QuotaEngine::tick(Instant now, QuotaOutput &output)
{
    m_election.tick(now, output.messages);
    m_client.tick(now, output.messages, output.decisions);
    deliverOwn(now, output);
    if (now - m_cleanedAt >= CleanInterval) {
        m_cleanedAt = now;
        m_owner.removeUnused(now);
    }
}

void QuotaEngine::flush(Instant now, QuotaOutput &output)
{
    deliverOwn(now, output);
}

void QuotaEngine::onResume(Instant now)
{
    m_owner.forgetBuckets(now);
    m_client.dropTokens();
}

void QuotaEngine::resign(Instant now, QuotaOutput &output)
{
    m_election.resign(output.messages);
    deliverOwn(now, output);
}

void QuotaEngine::drain(Instant now, QuotaOutput &output)
{
    m_client.drain(now, output.messages, output.decisions);
    deliverOwn(now, output);
}

} // namespace Filbertmount
