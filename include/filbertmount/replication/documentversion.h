#pragma once

#include <filbertmount/document/servicedocument.h>
#include <filbertmount/types/failure.h>
#include <filbertmount/types/ids.h>

#include <array>
#include <cstdint>
#include <functional>
#include <string>

namespace Filbertmount {

/** A service document that is in force, with the store revision that it came from. */
struct DocumentVersion {
    Revision revision;
    ServiceDocument document;
};

/** What a store value says: a checked document, or that the service was deleted. */
struct DecodedDocument {
    bool deleted = false;
    ServiceDocument document;
};

/** Decodes and checks a store value; a failure means that the value is not applied. Must be thread-safe. */
using DocumentDecoder = std::function<Result<DecodedDocument>(const ServiceName &service, const std::string &value)>;

/** The highest revision received of a service, whether its value is valid or not. */
struct DocumentRevision {
    ServiceName service;
    Revision revision;
};

/** Services are spread over this many buckets; 64 hashes are 512 bytes and a bucket of 610 services holds about 10. */
inline constexpr std::size_t DocumentBucketCount = 64;

/** Hashes over the revisions of a table; equal digests mean equal revisions. */
struct DocumentTableDigest {
    std::array<std::uint64_t, DocumentBucketCount> buckets{};
    std::uint64_t root = 0;
};

/** Returns the bucket of @p service, below DocumentBucketCount. */
std::size_t documentBucket(const ServiceName &service);

} // namespace Filbertmount
