#pragma once

#include <filbertmount/replication/documentversion.h>

#include <string>

namespace Filbertmount {

/** Decodes a store value and its service document. The daemon's DocumentTable uses this decoder. */
Result<DecodedDocument> decodeStoreDocument(const ServiceName &service, const std::string &value);

/**
 * Returns the store value without its history, for DocumentTable::apply(). A history of 20 changes is about twenty times
 * the size of the document; at 74,000 changes a day, replicating it would exceed the limit of 7 KB/s per instance. The
 * history is read from the store on request. A value that cannot be decoded is returned unchanged, so that the table
 * reports it.
 */
std::string withoutHistory(const std::string &value);

} // namespace Filbertmount
