#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Filbertmount {

/** One error in a service document or a settings file. */
struct ConfigIssue {
    std::string file;
    /** Counted from 1; 0 if the error applies to the whole file. */
    std::uint32_t line = 0;
    /** Dotted key such as "routes[2].deadline"; entries of an array are counted from 1. */
    std::string key;
    /** What was found and what was expected. */
    std::string problem;
};

/** Returns "file:line: key: problem". */
std::string describe(const ConfigIssue &issue);

/** All errors of one file. Attached to the Failure of the parser, for callers that report each error separately. */
struct ConfigIssues {
    std::vector<ConfigIssue> list;
};

/** Returns one line for each error. */
std::string describe(const ConfigIssues &issues);

} // namespace Filbertmount
