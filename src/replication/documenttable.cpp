#include <filbertmount/replication/documenttable.h>

#include <filbertmount/types/rendezvoushash.h>

#include <boost/leaf/handle_errors.hpp>

#include <algorithm>
#include <utility>

namespace Filbertmount {

namespace {

std::uint64_t entryHash(const ServiceName &service, Revision revision)
{
    return stableHash(service.value() + '\n' + std::to_string(revision.value()));
}

struct DecodeOutcome {
    std::optional<DecodedDocument> decoded;
    std::string rejection;
};

DecodeOutcome decode(const DocumentDecoder &decoder, const ServiceName &service, const std::string &value)
{
    return boost::leaf::try_handle_all(
        [&]() -> Result<DecodeOutcome> {
            BOOST_LEAF_AUTO(decoded, decoder(service, value));
            if (!decoded.deleted && decoded.document.service != service) {
                return DecodeOutcome{.decoded = {}, .rejection = "document names service " + decoded.document.service.value()};
            }
            return DecodeOutcome{.decoded = std::move(decoded), .rejection = {}};
        },
        [](const Failure &failure) {
            return DecodeOutcome{.decoded = {}, .rejection = describe(failure)};
        },
        [] {
            return DecodeOutcome{.decoded = {}, .rejection = "value cannot be decoded"};
        });
}

} // namespace

std::size_t documentBucket(const ServiceName &service)
{
    return stableHash(service.value()) % DocumentBucketCount;
}

DocumentTable::DocumentTable(DocumentDecoder decoder)
    : m_decoder(std::move(decoder))
    , m_snapshot(std::make_shared<Snapshot>())
{
}

DocumentApplyResult DocumentTable::apply(const ServiceName &service, Revision revision, const std::string &value)
{
    if (service.empty() || revision <= this->revision(service)) {
        return DocumentApplyResult::Stale;
    }
    // Decoding is slow and needs no lock, so the revision is checked again under the lock.
    DecodeOutcome outcome = decode(m_decoder, service, value);

    const absl::MutexLock lock(&m_mutex);
    const auto found = m_entries.find(service);
    if (found != m_entries.end() && revision <= found->second.latest) {
        return DocumentApplyResult::Stale;
    }
    Entry entry = found == m_entries.end() ? Entry{} : found->second;
    entry.latest = revision;
    entry.value = std::make_shared<const std::string>(value);
    entry.rejection = outcome.rejection;
    if (outcome.decoded) {
        entry.deleted = outcome.decoded->deleted;
        entry.inForce = entry.deleted ? nullptr
                                      : std::make_shared<const DocumentVersion>(DocumentVersion{
                                          .revision = revision, .document = std::move(outcome.decoded->document)});
    }
    store(service, std::move(entry));
    return outcome.decoded ? DocumentApplyResult::Applied : DocumentApplyResult::Rejected;
}

void DocumentTable::store(const ServiceName &service, Entry entry)
{
    const std::size_t bucket = documentBucket(service);
    const auto found = m_entries.find(service);
    if (found == m_entries.end()) {
        m_buckets.at(bucket).push_back(service);
    } else {
        m_bucketHashes.at(bucket) ^= entryHash(service, found->second.latest);
    }
    m_bucketHashes.at(bucket) ^= entryHash(service, entry.latest);
    const bool applied = entry.rejection.empty();
    m_entries[service] = std::move(entry);
    if (applied) {
        m_changes.push_back(service);
        publish();
    }
}

void DocumentTable::publish()
{
    auto next = std::make_shared<Snapshot>();
    for (const auto &[service, entry] : m_entries) {
        if (entry.inForce == nullptr) {
            continue;
        }
        next->byName.emplace(service, entry.inForce);
        for (const std::string &host : entry.inForce->document.hosts) {
            auto &owner = next->byHost[host];
            if (owner == nullptr || service < owner->document.service) {
                owner = entry.inForce;
            }
        }
    }
    const absl::MutexLock lock(&m_snapshotMutex);
    m_snapshot = std::move(next);
}

std::shared_ptr<const DocumentTable::Snapshot> DocumentTable::snapshot() const
{
    const absl::ReaderMutexLock lock(&m_snapshotMutex);
    return m_snapshot;
}

std::shared_ptr<const DocumentVersion> DocumentTable::find(const ServiceName &service) const
{
    const auto current = snapshot();
    const auto found = current->byName.find(service);
    return found == current->byName.end() ? nullptr : found->second;
}

std::shared_ptr<const DocumentVersion> DocumentTable::findByHost(const std::string &host) const
{
    const auto current = snapshot();
    const auto found = current->byHost.find(host);
    return found == current->byHost.end() ? nullptr : found->second;
}

std::vector<std::shared_ptr<const DocumentVersion>> DocumentTable::all() const
{
    const auto current = snapshot();
    std::vector<std::shared_ptr<const DocumentVersion>> result;
    result.reserve(current->byName.size());
    for (const auto &entry : current->byName) {
        result.push_back(entry.second);
    }
    std::sort(result.begin(), result.end(), [](const auto &left, const auto &right) {
        return left->document.service < right->document.service;
    });
    return result;
}

std::optional<DocumentStatus> DocumentTable::status(const ServiceName &service) const
{
    const absl::MutexLock lock(&m_mutex);
    const auto found = m_entries.find(service);
    if (found == m_entries.end()) {
        return std::nullopt;
    }
    const Entry &entry = found->second;
    return DocumentStatus{.latest = entry.latest,
                          .inForce = entry.inForce == nullptr ? Revision() : entry.inForce->revision,
                          .deleted = entry.deleted,
                          .rejection = entry.rejection};
}

bool DocumentTable::empty() const
{
    const absl::MutexLock lock(&m_mutex);
    return m_entries.empty();
}

std::vector<ServiceName> DocumentTable::takeChanges()
{
    const absl::MutexLock lock(&m_mutex);
    return std::exchange(m_changes, {});
}

DocumentTableDigest DocumentTable::digest() const
{
    DocumentTableDigest result;
    {
        const absl::MutexLock lock(&m_mutex);
        result.buckets = m_bucketHashes;
    }
    std::string text;
    for (const std::uint64_t hash : result.buckets) {
        text += std::to_string(hash);
        text += ' ';
    }
    result.root = stableHash(text);
    return result;
}

std::vector<DocumentRevision> DocumentTable::revisions(std::size_t bucket) const
{
    const absl::MutexLock lock(&m_mutex);
    std::vector<DocumentRevision> result;
    for (const ServiceName &service : m_buckets.at(bucket)) {
        result.push_back({.service = service, .revision = m_entries.at(service).latest});
    }
    return result;
}

Revision DocumentTable::revision(const ServiceName &service) const
{
    const absl::MutexLock lock(&m_mutex);
    const auto found = m_entries.find(service);
    return found == m_entries.end() ? Revision() : found->second.latest;
}

std::shared_ptr<const std::string> DocumentTable::value(const ServiceName &service, Revision &revision) const
{
    const absl::MutexLock lock(&m_mutex);
    const auto found = m_entries.find(service);
    if (found == m_entries.end()) {
        return nullptr;
    }
    revision = found->second.latest;
    return found->second.value;
}

} // namespace Filbertmount
