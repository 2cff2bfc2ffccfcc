#pragma once

#include <filbertmount/types/failure.h>
#include <filbertmount/types/ids.h>

#include <string>
#include <vector>

namespace Filbertmount {

/** A document from a file, in the form that DocumentTable takes. */
struct FileDocument {
    ServiceName service;
    std::string value;
};

/** Reads and checks document files; the first invalid one is the failure. */
Result<std::vector<FileDocument>> readDocumentFiles(const std::vector<std::string> &fileNames);

} // namespace Filbertmount
