#pragma once

#include <filbertmount/document/servicedocument.h>
#include <filbertmount/types/failure.h>
#include <filbertmount/types/ids.h>

#include <array>
#include <cstdint>
#include <functional>
#include <string>

namespace Filbertmount {

/** A service document and the store revision that contains it. */
struct DocumentVersion {
    Revision revision;
    ServiceDocument document;
};

/** A decoded store value: a validated document, or a tombstone of a deleted service. */
struct DecodedDocument {
    bool deleted = false;
    ServiceDocument document;
};

/** Decodes and validates a store value; a value for which it fails is rejected. Must be thread-safe. */
using DocumentDecoder = std::function<Result<DecodedDocument>(const ServiceName &service, const std::string &value)>;

/** The highest received revision of a service, whether its value is valid or not. */
struct DocumentRevision {
    ServiceName service;
    Revision revision;
};

/** Buckets over which services are distributed; 64 hashes are 512 bytes, and with 610 services a bucket holds about 10. */
inline constexpr std::size_t DocumentBucketCount = 64;

/** Hashes over the revisions of a table; equal digests mean equal revisions. */
struct DocumentTableDigest {
    std::array<std::uint64_t, DocumentBucketCount> buckets{};
    std::uint64_t root = 0;
};

/** Returns the bucket of @p service, below DocumentBucketCount. */
std::size_t documentBucket(const ServiceName &service);

} // namespace Filbertmount
