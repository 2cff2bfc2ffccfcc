#include "instance/documentsource.h"

#include <filbertmount/document/documentvalue.h>
#include <filbertmount/document/parseservicedocument.h>

#include <fstream>
#include <iterator>

namespace Filbertmount {

namespace {

Result<FileDocument> readDocumentFile(const std::string &fileName)
{
    std::ifstream file(fileName, std::ios::binary);
    const std::string text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    if (!file) {
        return boost::leaf::new_error(Failure{.step = Step::ReadDocument, .peer = fileName, .reason = "the file cannot be read"});
    }
    BOOST_LEAF_AUTO(document, parseServiceDocument(text, fileName));
    DocumentValue value;
    value.document = text;
    value.team = document.team;
    value.author = fileName;
    value.changeId = "file";
    return FileDocument{.service = document.service, .value = encodeDocumentValue(value)};
}

} // namespace

Result<std::vector<FileDocument>> readDocumentFiles(const std::vector<std::string> &fileNames)
{
    std::vector<FileDocument> documents;
    for (const std::string &fileName : fileNames) {
        BOOST_LEAF_AUTO(document, readDocumentFile(fileName));
        documents.push_back(std::move(document));
    }
    return documents;
}

} // namespace Filbertmount
