#pragma once

#include <filbertmount/types/failure.h>

#include <string>

namespace Filbertmount {

// Checks of single values. Each returns an empty string for a valid value, otherwise what was expected.

/** Accepts any "IP:port". */
std::string checkEndpoint(const std::string &text);
/** Accepts an address that other instances can connect to, so no wildcard; port 0 is allowed. */
std::string checkAdvertisedAddress(const std::string &text);
/** Accepts an address that this instance can connect to: no wildcard and not port 0. */
std::string checkRemoteAddress(const std::string &text);

/** Returns the content of a settings file; a file that cannot be read is a Failure of Step::ReadSettings. */
Result<std::string> readSettingsFile(const std::string &fileName);

} // namespace Filbertmount
