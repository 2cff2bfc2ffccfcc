#pragma once

#include <filbertmount/types/failure.h>
#include <filbertmount/types/ids.h>

#include <optional>
#include <string>

namespace Filbertmount {

/** A document as an operator edits it: the TOML text below a comment with the revision that it was read at. */
struct DocumentFile {
    std::optional<Revision> revision;
    std::string text;
};

/** Takes the revision line, if there is one, off the text. */
DocumentFile splitDocumentFile(const std::string &content);

/** Puts the revision line above the text. */
std::string joinDocumentFile(const std::string &text, Revision revision);

/** Reads a file; a Failure of Step::ReadDocument if that is not possible. */
Result<std::string> readTextFile(const std::string &fileName);

} // namespace Filbertmount
