#pragma once

#include <filbertmount/types/failure.h>

#include <string>

namespace Filbertmount {

// Checks of single settings. Each returns an empty string for an acceptable value, otherwise what was expected.
std::string checkAnyAddress(const std::string &text);
/** An address that is given to other instances. */
std::string checkOwnAddress(const std::string &text);
std::string checkRemoteAddress(const std::string &text);

/** Returns the text of a settings file. */
Result<std::string> readSettingsFile(const std::string &fileName);

} // namespace Filbertmount
