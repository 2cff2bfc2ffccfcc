#pragma once

#include <filbertmount/types/failure.h>
#include <filbertmount/types/ids.h>

#include <optional>
#include <string>

namespace Filbertmount {

/** A document in the file of an operator: an optional TOML comment with the revision that was read, then the TOML text. */
struct DocumentFile {
    std::optional<Revision> revision;
    std::string text;
};

/** Splits off the revision line; without a valid one, all of @p content is the text. */
DocumentFile splitDocumentFile(const std::string &content);

/** Returns the text with the revision line in front. */
std::string joinDocumentFile(const std::string &text, Revision revision);

/** Reads a file. Returns a Failure of Step::ReadDocument if the file cannot be read. */
Result<std::string> readTextFile(const std::string &fileName);

} // namespace Filbertmount
