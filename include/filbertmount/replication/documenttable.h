#pragma once

#include <filbertmount/replication/documentversion.h>

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Filbertmount {

enum class DocumentApplyResult : std::uint8_t {
    /** The value is in force. When it marks the service as deleted, the service is no longer found. */
    Applied,
    /** The value is newer but not a valid document; the document in force stays. */
    Rejected,
    /** The table already holds this revision or a higher one. */
    Stale,
};

/** State of one service for status reports. */
struct DocumentStatus {
    /** Highest revision received, whether applied or not. */
    Revision latest;
    /** Revision in force; AbsentRevision (0) when no valid document was received. */
    Revision inForce;
    bool deleted = false;
    /** Why the latest revision is not in force; empty when it is. */
    std::string rejection;
};

/**
 * The service documents of this instance. Thread-safe; find() and findByHost() copy one shared pointer.
 * Only a higher revision replaces an entry, whatever its source, so a stale read cannot revert a document.
 */
class DocumentTable
{
public:
    explicit DocumentTable(DocumentDecoder decoder);

    /** Stores the store value @p value of @p service if @p revision is higher than any received, and decodes it. */
    DocumentApplyResult apply(const ServiceName &service, Revision revision, const std::string &value);

    /** Returns the document in force, or null when the service is unknown or deleted. */
    [[nodiscard]] std::shared_ptr<const DocumentVersion> find(const ServiceName &service) const;
    /** Finds by lower-case host without port. A host that several documents list belongs to the first service by name. */
    [[nodiscard]] std::shared_ptr<const DocumentVersion> findByHost(const std::string &host) const;
    /** All documents in force, sorted by service name. */
    [[nodiscard]] std::vector<std::shared_ptr<const DocumentVersion>> all() const;

    [[nodiscard]] std::optional<DocumentStatus> status(const ServiceName &service) const;
    /** True when no value was ever received. */
    [[nodiscard]] bool empty() const;
    /** Returns and clears the services whose document changed since the last call. */
    std::vector<ServiceName> takeChanges();

    [[nodiscard]] DocumentTableDigest digest() const;
    /** Highest received revisions of the services in @p bucket. */
    [[nodiscard]] std::vector<DocumentRevision> revisions(std::size_t bucket) const;
    /** Highest received revision of @p service; AbsentRevision (0) when unknown. */
    [[nodiscard]] Revision revision(const ServiceName &service) const;
    /** The value of the highest received revision, byte for byte; null when unknown. Sets @p revision to its revision. */
    [[nodiscard]] std::shared_ptr<const std::string> value(const ServiceName &service, Revision &revision) const;

private:
    struct Entry {
        Revision latest;
        std::shared_ptr<const std::string> value;
        std::shared_ptr<const DocumentVersion> inForce;
        bool deleted = false;
        std::string rejection;
    };
    struct Snapshot {
        absl::flat_hash_map<ServiceName, std::shared_ptr<const DocumentVersion>> byName;
        absl::flat_hash_map<std::string, std::shared_ptr<const DocumentVersion>> byHost;
    };

    [[nodiscard]] std::shared_ptr<const Snapshot> snapshot() const;
    void store(const ServiceName &service, Entry entry) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void publish() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    const DocumentDecoder m_decoder;
    mutable absl::Mutex m_mutex;
    absl::flat_hash_map<ServiceName, Entry> m_entries ABSL_GUARDED_BY(m_mutex);
    std::array<std::vector<ServiceName>, DocumentBucketCount> m_buckets ABSL_GUARDED_BY(m_mutex);
    std::array<std::uint64_t, DocumentBucketCount> m_bucketHashes ABSL_GUARDED_BY(m_mutex){};
    std::vector<ServiceName> m_changes ABSL_GUARDED_BY(m_mutex);
    // Separate from m_mutex, so that the request path never waits while a change is applied.
    mutable absl::Mutex m_snapshotMutex ABSL_ACQUIRED_AFTER(m_mutex);
    std::shared_ptr<const Snapshot> m_snapshot ABSL_GUARDED_BY(m_snapshotMutex);
};

} // namespace Filbertmount
