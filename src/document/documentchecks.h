#pragma once

#include <filbertmount/document/servicedocument.h>

#include <string>

namespace Filbertmount {

// Checks of single values. Each returns an empty string if the value is valid, otherwise a description of the expected value.
std::string checkName(const std::string &text);
std::string checkHost(const std::string &text);
std::string checkMethod(const std::string &text);
std::string checkPathPattern(const std::string &text);
std::string checkProbePath(const std::string &text);
std::string checkUpstreamAddress(const std::string &text);

/** Returns whether @p wide matches every request that @p narrow matches. */
bool covers(const Route &wide, const Route &narrow);

} // namespace Filbertmount
