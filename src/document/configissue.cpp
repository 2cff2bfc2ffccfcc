#include <filbertmount/document/configissue.h>

namespace Filbertmount {

std::string describe(const ConfigIssue &issue)
{
    std::string text = issue.file;
    if (issue.line > 0) {
        text.append(":").append(std::to_string(issue.line));
    }
    if (!issue.key.empty()) {
        text.append(": ").append(issue.key);
    }
    return text.append(": ").append(issue.problem);
}

std::string describe(const ConfigIssues &issues)
{
    std::string text;
    for (const ConfigIssue &issue : issues.list) {
        text.append(text.empty() ? "" : "\n").append(describe(issue));
    }
    return text;
}

} // namespace Filbertmount
