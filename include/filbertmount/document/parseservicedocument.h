#pragma once

#include <filbertmount/document/servicedocument.h>
#include <filbertmount/types/failure.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace Filbertmount {

/** Largest text of a service document; twenty versions of it fit into one store value of 1 MB. */
inline constexpr std::size_t MaxDocumentBytes = std::size_t{32} << 10U;

/**
 * Parses and checks a service document.
 *
 * @param text TOML, at most MaxDocumentBytes
 * @param fileName name of the document in errors
 * @return the document with defaults filled in; otherwise a Failure of Step::ReadDocument whose reason lists every
 *         error on its own line with file, line and key, accompanied by ConfigIssues
 */
Result<ServiceDocument> parseServiceDocument(std::string_view text, const std::string &fileName);

/** Whether the text can name a service or a team: 1 to 63 of a-z, 0-9 and '-', starting with a letter. */
bool isServiceName(std::string_view text);

} // namespace Filbertmount
