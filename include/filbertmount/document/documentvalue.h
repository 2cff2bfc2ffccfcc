#pragma once

#include <filbertmount/types/failure.h>
#include <filbertmount/types/ids.h>
#include <filbertmount/types/instant.h>

#include <cstddef>
#include <string>
#include <vector>

namespace Filbertmount {

/** Changes that a store value keeps, the newest included. */
inline constexpr std::size_t MaxHistoryChanges = 20;
/** The store accepts values up to 1 MB; older changes are dropped from the history beyond this size. */
inline constexpr std::size_t MaxValueBytes = 950'000;
/** Prefix of the store keys of documents; the service name follows. */
inline constexpr const char *DocumentKeyPrefix = "documents/";

/** One accepted change of a service document. */
struct DocumentChange {
    /** Revision that the change replaced; 0 for the first one. The change's own revision is the next entry's. */
    Revision predecessor;
    std::string author;
    StoreTime time;
    /** Random text that identifies the change. */
    std::string changeId;
    bool deleted = false;
    /** TOML text after the change; empty for a delete. */
    std::string text;
};

/** The value of a `documents/<service>` object in the store. */
struct DocumentValue {
    /** TOML text; empty for a tombstone. */
    std::string document;
    TeamName team;
    std::string author;
    std::string changeId;
    bool deleted = false;
    /** Oldest first; the last entry is the change that wrote this value. */
    std::vector<DocumentChange> history;
};

/** Encodes as JSON. Drops the oldest changes beyond MaxHistoryChanges and MaxValueBytes. */
std::string encodeDocumentValue(const DocumentValue &value);

/**
 * Decodes JSON.
 *
 * @param peer where the value came from, for the error
 * @return a Failure of Step::ReadDocument if the bytes are no document value
 */
Result<DocumentValue> decodeDocumentValue(const std::string &bytes, const std::string &peer);

} // namespace Filbertmount
