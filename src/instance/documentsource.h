#pragma once

#include <filbertmount/replication/documenttable.h>
#include <filbertmount/types/failure.h>

#include <string>
#include <vector>

namespace Filbertmount {

/** Decodes a store value for DocumentTable. */
Result<DecodedDocument> decodeStoredDocument(const ServiceName &service, const std::string &value);

/** A document from a file, in the form that DocumentTable takes. */
struct FileDocument {
    ServiceName service;
    std::string value;
};

/** Reads and checks document files; the first invalid one is the failure. */
Result<std::vector<FileDocument>> readDocumentFiles(const std::vector<std::string> &fileNames);

} // namespace Filbertmount
