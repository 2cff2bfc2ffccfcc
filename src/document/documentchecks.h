#pragma once

#include <filbertmount/document/servicedocument.h>

#include <string>

namespace Filbertmount {

// Checks of single values. Each returns an empty string for an acceptable value, otherwise what was expected.
std::string checkName(const std::string &text);
std::string checkHost(const std::string &text);
std::string checkMethod(const std::string &text);
std::string checkPathPattern(const std::string &text);
std::string checkProbePath(const std::string &text);
std::string checkUpstreamAddress(const std::string &text);

/** Whether every request that @p narrow matches is matched by @p wide. */
bool covers(const Route &wide, const Route &narrow);

} // namespace Filbertmount
