#include <filbertmount/replication/documentgossip.h>

#include <absl/container/flat_hash_set.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace Filbertmount {

namespace {

void addRevision(Wire::DocumentRevisions &message, const DocumentRevision &revision)
{
    Wire::DocumentRevision &added = *message.add_revisions();
    added.set_service(revision.service.value());
    added.set_revision(revision.revision.value());
}

} // namespace

DocumentGossip::DocumentGossip(Options options, DocumentTable &table, FreshnessGate &gate)
    : m_options(std::move(options))
    , m_table(table)
    , m_gate(gate)
    , m_random(m_options.seed)
{
}

void DocumentGossip::setMembers(std::vector<InstanceId> members)
{
    const absl::MutexLock lock(&m_mutex);
    m_members = std::move(members);
}

PeerOutbox DocumentGossip::announce(const std::vector<ServiceName> &services)
{
    const absl::MutexLock lock(&m_mutex);
    PeerOutbox outbox;
    addAnnouncements(services, outbox);
    return outbox;
}

void DocumentGossip::addAnnouncements(const std::vector<ServiceName> &services, PeerOutbox &outbox)
{
    if (services.empty()) {
        return;
    }
    std::vector<InstanceId> chosen;
    std::sample(m_members.begin(), m_members.end(), std::back_inserter(chosen), m_options.fanout, m_random);
    for (const InstanceId &member : chosen) {
        Wire::DocumentRevisions &message = *appendBody(outbox, member).mutable_document_revisions();
        for (const ServiceName &service : services) {
            addRevision(message, {.service = service, .revision = m_table.revision(service)});
        }
    }
}

PeerOutbox DocumentGossip::tick(Instant now)
{
    const absl::MutexLock lock(&m_mutex);
    PeerOutbox outbox;
    if (now < m_nextExchange || m_members.empty()) {
        return outbox;
    }
    m_nextExchange = now + m_options.exchangeInterval;
    absl::erase_if(m_pulls, [&](const auto &pull) {
        return pull.second.expires <= now;
    });
    const InstanceId &peer = m_members[std::uniform_int_distribution<std::size_t>(0, m_members.size() - 1)(m_random)];
    m_exchanges.push_back(Exchange{.nonce = m_random(), .peer = peer, .startedAt = now, .required = {}});
    if (m_exchanges.size() > MaxOpenExchanges) {
        m_exchanges.pop_front();
    }
    Wire::DocumentDigest &digest = *appendBody(outbox, peer).mutable_document_digest();
    digest.set_nonce(m_exchanges.back().nonce);
    digest.set_root(m_table.digest().root);
    return outbox;
}

PeerOutbox DocumentGossip::receive(const InstanceId &from, const Wire::Body &body, Instant now)
{
    const absl::MutexLock lock(&m_mutex);
    PeerOutbox outbox;
    switch (body.kind_case()) {
    case Wire::Body::kDocumentDigest:
        if (body.document_digest().answer()) {
            receiveDigestResponse(from, body.document_digest(), outbox);
        } else {
            receiveDigest(from, body.document_digest(), outbox);
        }
        break;
    case Wire::Body::kDocumentRevisions:
        receiveRevisions(from, body.document_revisions(), now, outbox);
        break;
    case Wire::Body::kDocumentPull:
        receivePull(from, body.document_pull(), outbox);
        break;
    case Wire::Body::kDocumentPush:
        receivePush(body.document_push(), outbox);
        break;
    default:
        break;
    }
    return outbox;
}

void DocumentGossip::receiveDigest(const InstanceId &from, const Wire::DocumentDigest &digest, PeerOutbox &outbox)
{
    const DocumentTableDigest own = m_table.digest();
    Wire::DocumentDigest &response = *appendBody(outbox, from).mutable_document_digest();
    response.set_answer(true);
    response.set_nonce(digest.nonce());
    response.set_root(own.root);
    // Two members that were suspended at the same time must not confirm each other's outdated documents.
    response.set_unconfirmed(!m_gate.confirmed());
    if (own.root == digest.root()) {
        return;
    }
    for (const std::uint64_t hash : own.buckets) {
        response.add_bucket_hashes(hash);
    }
}

void DocumentGossip::receiveDigestResponse(const InstanceId &from, const Wire::DocumentDigest &digest, PeerOutbox &outbox)
{
    Exchange *exchange = findExchange(digest.nonce(), from);
    if (exchange == nullptr) {
        return;
    }
    exchange->peerConfirmed = !digest.unconfirmed();
    const DocumentTableDigest own = m_table.digest();
    // Without bucket hashes, the peer's table was equal to this one when the exchange was started.
    if (digest.bucket_hashes_size() == 0 || own.root == digest.root()) {
        exchange->requirementsKnown = true;
        closeFinishedExchanges();
        return;
    }
    if (digest.bucket_hashes_size() != static_cast<int>(DocumentBucketCount)) {
        return;
    }
    Wire::DocumentRevisions &message = *appendBody(outbox, from).mutable_document_revisions();
    message.set_nonce(digest.nonce());
    for (std::size_t bucket = 0; bucket < DocumentBucketCount; ++bucket) {
        if (own.buckets.at(bucket) == digest.bucket_hashes(static_cast<int>(bucket))) {
            continue;
        }
        message.add_buckets(static_cast<std::uint32_t>(bucket));
        for (const DocumentRevision &revision : m_table.revisions(bucket)) {
            addRevision(message, revision);
        }
    }
}

void DocumentGossip::receiveRevisions(const InstanceId &from,
                                      const Wire::DocumentRevisions &revisions,
                                      Instant now,
                                      PeerOutbox &outbox)
{
    if (revisions.buckets_size() > 0) {
        respondWithRevisions(from, revisions, outbox);
    }
    Exchange *exchange = revisions.answer() ? findExchange(revisions.nonce(), from) : nullptr;
    if (exchange != nullptr) {
        exchange->requirementsKnown = true;
        for (const Wire::DocumentRevision &revision : revisions.revisions()) {
            exchange->required.push_back({.service = ServiceName(revision.service()), .revision = Revision(revision.revision())});
        }
    }
    pullMissing(from, revisions, now, outbox);
    closeFinishedExchanges();
}

void DocumentGossip::respondWithRevisions(const InstanceId &from, const Wire::DocumentRevisions &revisions, PeerOutbox &outbox)
{
    absl::flat_hash_map<ServiceName, Revision> peerRevisions;
    for (const Wire::DocumentRevision &revision : revisions.revisions()) {
        peerRevisions[ServiceName(revision.service())] = Revision(revision.revision());
    }
    Wire::DocumentRevisions &response = *appendBody(outbox, from).mutable_document_revisions();
    response.set_nonce(revisions.nonce());
    response.set_answer(true);
    const absl::flat_hash_set<std::uint32_t> buckets(revisions.buckets().begin(), revisions.buckets().end());
    for (const std::uint32_t bucket : buckets) {
        if (bucket >= DocumentBucketCount) {
            continue;
        }
        for (const DocumentRevision &own : m_table.revisions(bucket)) {
            const auto peerRevision = peerRevisions.find(own.service);
            if (peerRevision == peerRevisions.end() || peerRevision->second < own.revision) {
                addRevision(response, own);
            }
        }
    }
}

void DocumentGossip::pullMissing(const InstanceId &from,
                                 const Wire::DocumentRevisions &revisions,
                                 Instant now,
                                 PeerOutbox &outbox)
{
    Wire::DocumentPull pull;
    for (const Wire::DocumentRevision &announced : revisions.revisions()) {
        const ServiceName service(announced.service());
        const Revision revision(announced.revision());
        if (service.empty() || revision <= m_table.revision(service)) {
            continue;
        }
        const auto pending = m_pulls.find(service);
        if (pending != m_pulls.end() && pending->second.revision >= revision && pending->second.expires > now) {
            continue;
        }
        m_pulls[service] = Pull{.revision = revision, .expires = now + m_options.pullTimeout};
        pull.add_services(service.value());
    }
    if (pull.services_size() > 0) {
        *appendBody(outbox, from).mutable_document_pull() = std::move(pull);
    }
}

void DocumentGossip::receivePull(const InstanceId &from, const Wire::DocumentPull &pull, PeerOutbox &outbox)
{
    absl::flat_hash_set<ServiceName> sent;
    Wire::DocumentPush *push = nullptr;
    std::size_t bytes = 0;
    for (const std::string &name : pull.services()) {
        const ServiceName service(name);
        Revision revision;
        const std::shared_ptr<const std::string> value = m_table.value(service, revision);
        // A pull that repeats a name must not make the response larger than the table.
        if (value == nullptr || !sent.insert(service).second) {
            continue;
        }
        if (push == nullptr || bytes + value->size() > m_options.maxPushBytes) {
            push = appendBody(outbox, from).mutable_document_push();
            bytes = 0;
        }
        bytes += value->size();
        Wire::Document &document = *push->add_documents();
        document.set_service(name);
        document.set_revision(revision.value());
        document.set_value(*value);
    }
}

void DocumentGossip::receivePush(const Wire::DocumentPush &push, PeerOutbox &outbox)
{
    std::vector<ServiceName> changed;
    for (const Wire::Document &document : push.documents()) {
        const ServiceName service(document.service());
        const Revision revision(document.revision());
        const DocumentApplyResult result = m_table.apply(service, revision, document.value());
        const auto pending = m_pulls.find(service);
        if (pending != m_pulls.end() && pending->second.revision <= revision) {
            m_pulls.erase(pending);
        }
        if (result != DocumentApplyResult::Stale) {
            changed.push_back(service);
        }
    }
    if (push.documents_size() <= MaxAnnouncedDocuments) {
        addAnnouncements(changed, outbox);
    }
    closeFinishedExchanges();
}

DocumentGossip::Exchange *DocumentGossip::findExchange(std::uint64_t nonce, const InstanceId &peer)
{
    const auto found = std::find_if(m_exchanges.begin(), m_exchanges.end(), [&](const Exchange &exchange) {
        return exchange.nonce == nonce && exchange.peer == peer;
    });
    return found == m_exchanges.end() ? nullptr : &*found;
}

void DocumentGossip::closeFinishedExchanges()
{
    const auto finished = [&](const Exchange &exchange) {
        return exchange.requirementsKnown
            && std::all_of(exchange.required.begin(), exchange.required.end(), [&](const DocumentRevision &required) {
                   return m_table.revision(required.service) >= required.revision;
               });
    };
    for (auto exchange = m_exchanges.begin(); exchange != m_exchanges.end();) {
        if (!finished(*exchange)) {
            ++exchange;
            continue;
        }
        if (exchange->peerConfirmed) {
            m_gate.confirm(exchange->startedAt);
        }
        exchange = m_exchanges.erase(exchange);
    }
}

} // namespace Filbertmount
