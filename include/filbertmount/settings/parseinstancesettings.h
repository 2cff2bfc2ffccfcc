#pragma once

#include <filbertmount/settings/instancesettings.h>
#include <filbertmount/types/failure.h>

#include <string>
#include <string_view>

namespace Filbertmount {

/**
 * Parses and validates the settings of filbertmountd.
 *
 * @param text content of the settings file in TOML
 * @param fileName file name used in error messages
 * @return the settings with defaults filled in; otherwise a Failure of Step::ReadSettings whose reason lists every error
 *         on its own line with file, line and key, accompanied by ConfigIssues
 */
Result<InstanceSettings> parseInstanceSettings(std::string_view text, const std::string &fileName);

/** Reads and parses a settings file; a file that cannot be read is a Failure of Step::ReadSettings. */
Result<InstanceSettings> readInstanceSettings(const std::string &fileName);

/** Parses a SHA-256 hash of 64 hexadecimal digits in upper or lower case. */
std::optional<TokenHash> parseTokenHash(std::string_view text);

} // namespace Filbertmount
