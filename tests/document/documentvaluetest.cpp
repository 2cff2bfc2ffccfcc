#include <filbertmount/document/documentvalue.h>
#include <filbertmount/document/parseservicedocument.h>

#include "support/results.h"

#include <doctest/doctest.h>

using namespace Filbertmount;

namespace {

DocumentValue valueWithHistory(std::size_t changes, const std::string &text)
{
    DocumentValue value{.document = text, .team = TeamName("kaya"), .author = "aylin", .changeId = "c9", .deleted = false};
    for (std::size_t index = 0; index < changes; ++index) {
        value.history.push_back(
            {.predecessor = Revision(index), .author = "aylin", .time = {100}, .changeId = "c", .text = text});
    }
    return value;
}

std::string failureOf(const std::string &bytes)
{
    return describe(requireError<Failure>([&]() {
        return decodeDocumentValue(bytes, "127.0.0.1:9");
    }));
}

DocumentValue decoded(const std::string &bytes)
{
    return requireValue([&]() {
        return decodeDocumentValue(bytes, "");
    });
}

} // namespace

TEST_CASE("a document value survives encoding")
{
    const DocumentValue value = decoded(encodeDocumentValue(valueWithHistory(3, "a = \"\n\"")));
    CHECK(value.document == "a = \"\n\"");
    CHECK(value.team == TeamName("kaya"));
    REQUIRE(value.history.size() == 3);
    CHECK(value.history.back().predecessor == Revision(2));
    CHECK(value.history.back().time == StoreTime{100});
}

// Guards against a value that the store rejects because of its size, after which the document could not be changed any more.
TEST_CASE("the history is cut to the newest changes and to the size of a store value")
{
    CHECK(decoded(encodeDocumentValue(valueWithHistory(30, "x"))).history.size() == MaxHistoryChanges);
    CHECK(decoded(encodeDocumentValue(valueWithHistory(30, "x"))).history.back().predecessor == Revision(29));
    // Worst case: JSON escapes a control character with six bytes.
    const std::string bytes = encodeDocumentValue(valueWithHistory(20, std::string(MaxDocumentBytes, '\x01')));
    CHECK(bytes.size() <= MaxValueBytes);
    CHECK(decoded(bytes).history.size() >= 2);
}

TEST_CASE("bytes that are no document value are refused with step and peer")
{
    const std::string value = R"({"document":"","team":"a","author":"b","change_id":"c","deleted":false,"history":[)";
    const std::string negativePredecessor =
        value + R"({"predecessor":-1,"author":"b","time":0,"change_id":"c","deleted":false,"text":""}]})";
    for (const char *bytes :
         {"", "x", "[]", "{}", R"({"document":1})", R"({"document":"","team":"a","author":"b"})", negativePredecessor.c_str()}) {
        CAPTURE(bytes);
        CHECK(failureOf(bytes).rfind("read-document: 127.0.0.1:9: not a document value", 0) == 0);
    }
}
