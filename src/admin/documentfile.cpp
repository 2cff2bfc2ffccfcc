#include "admin/documentfile.h"

#include <charconv>
#include <fstream>
#include <sstream>

namespace Filbertmount {

namespace {

const std::string RevisionLine = "# filbertmount-revision: ";

} // namespace

DocumentFile splitDocumentFile(const std::string &content)
{
    if (content.compare(0, RevisionLine.size(), RevisionLine) != 0) {
        return {.text = content};
    }
    const std::size_t end = content.find('\n');
    if (end == std::string::npos) {
        return {.text = content};
    }
    std::uint64_t number = 0;
    const char *last = content.data() + end;
    const auto parsed = std::from_chars(content.data() + RevisionLine.size(), last, number);
    if (parsed.ec != std::errc() || parsed.ptr != last || number == 0) {
        return {.text = content};
    }
    return {.revision = Revision(number), .text = content.substr(end + 1)};
}

std::string joinDocumentFile(const std::string &text, Revision revision)
{
    return RevisionLine + std::to_string(revision.value()) + "\n" + text;
}

Result<std::string> readTextFile(const std::string &fileName)
{
    std::ifstream file(fileName);
    std::stringstream text;
    text << file.rdbuf();
    // Copying an empty file sets failbit on the target stream, so only opening and badbit are checked.
    if (!file.is_open() || file.bad()) {
        return boost::leaf::new_error(Failure{.step = Step::ReadDocument, .peer = fileName, .reason = "the file cannot be read"});
    }
    return text.str();
}

} // namespace Filbertmount
