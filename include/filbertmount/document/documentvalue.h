#pragma once

#include <filbertmount/types/failure.h>
#include <filbertmount/types/ids.h>
#include <filbertmount/types/instant.h>

#include <cstddef>
#include <string>
#include <vector>

namespace Filbertmount {

/** Maximum number of changes in the history of a store value, including the newest. */
inline constexpr std::size_t MaxHistoryChanges = 20;
/** The store accepts values of up to 1 MB; the oldest changes are dropped from the history to stay below this size. */
inline constexpr std::size_t MaxValueBytes = 950'000;
/** Prefix of the store keys of documents, followed by the service name. */
inline constexpr const char *DocumentKeyPrefix = "documents/";

/** One accepted change of a service document. */
struct DocumentChange {
    /**
     * Revision that the change replaced; 0 for the first change. The revision of the change itself is the predecessor of the
     * next entry, or the revision of the store object for the last entry.
     */
    Revision predecessor;
    std::string author;
    StoreTime time;
    /** Random identifier, by which a write whose response was lost is found again. */
    std::string changeId;
    bool deleted = false;
    /** TOML text after the change; empty for a deletion. */
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

/** Encodes the value as JSON. Drops the oldest changes so that neither MaxHistoryChanges nor MaxValueBytes is exceeded. */
std::string encodeDocumentValue(const DocumentValue &value);

/**
 * Decodes a value from JSON.
 *
 * @param peer origin of the bytes, such as the store key; named in the error
 * @return a Failure of Step::ReadDocument if the bytes are not a valid document value
 */
Result<DocumentValue> decodeDocumentValue(const std::string &bytes, const std::string &peer);

} // namespace Filbertmount
