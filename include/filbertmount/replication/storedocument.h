#pragma once

#include <filbertmount/replication/documentversion.h>

#include <string>

namespace Filbertmount {

/** Decodes a store value with its service document; the decoder of the daemon's DocumentTable. */
Result<DecodedDocument> decodeStoreDocument(const ServiceName &service, const std::string &value);

/**
 * Returns the store value without its history, for DocumentTable::apply(). A history of 20 changes is about twenty times
 * the document, which at 74,000 changes a day would exceed the 7 KB/s of a node; it is read from the store when asked
 * for. A value that cannot be decoded is returned as it is, so that the table reports it.
 */
std::string withoutHistory(const std::string &value);

} // namespace Filbertmount
