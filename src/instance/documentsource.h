#pragma once

#include <filbertmount/types/failure.h>
#include <filbertmount/types/ids.h>

#include <string>
#include <vector>

namespace Filbertmount {

/** A service document read from a file, encoded as DocumentTable expects it. */
struct FileDocument {
    ServiceName service;
    std::string value;
};

/** Reads and validates document files. Fails with the error of the first invalid file. */
Result<std::vector<FileDocument>> readDocumentFiles(const std::vector<std::string> &fileNames);

} // namespace Filbertmount
