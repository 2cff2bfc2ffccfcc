#pragma once

#include <filbertmount/document/servicedocument.h>
#include <filbertmount/types/failure.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace Filbertmount {

/** Maximum size of a service document; MaxHistoryChanges versions of plain text fit into one store value of 1 MB. */
inline constexpr std::size_t MaxDocumentBytes = std::size_t{32} << 10U;

/**
 * Parses and validates a service document.
 *
 * @param text TOML, at most MaxDocumentBytes
 * @param fileName name of the document in error messages
 * @return the document with defaults filled in; otherwise a Failure of Step::ReadDocument whose reason lists every
 *         error on its own line with file, line and key, and ConfigIssues with the same errors
 */
Result<ServiceDocument> parseServiceDocument(std::string_view text, const std::string &fileName);

/**
 * Returns whether the text is a valid name of a service or team: 1 to 63 characters a-z, 0-9 and '-', starting with a letter
 * and not ending with '-'.
 */
bool isServiceName(std::string_view text);

} // namespace Filbertmount
