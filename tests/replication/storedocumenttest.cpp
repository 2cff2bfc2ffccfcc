#include <filbertmount/replication/documenttable.h>
#include <filbertmount/replication/storedocument.h>

#include <filbertmount/document/documentvalue.h>

#include <doctest/doctest.h>

using namespace Filbertmount;

namespace {

std::string storeValue(const std::string &text, bool deleted, int changes)
{
    DocumentValue value{.document = text, .team = TeamName("shop"), .author = "mara", .changeId = "c1", .deleted = deleted};
    value.history.assign(static_cast<std::size_t>(changes), DocumentChange{.author = "mara", .changeId = "c0", .text = text});
    return encodeDocumentValue(value);
}

const std::string ValidText = "service = \"shopfront\"\nteam = \"shop\"\n[upstreams]\nlist = \"shopfront\"\n"
                              "[[routes]]\nmethod = \"GET\"\npath = \"/**\"\n";

} // namespace

// Guards against a history that is replicated with each document, and against losing the document when it is removed.
TEST_CASE("store values are applied with and without their history")
{
    const std::string full = storeValue(ValidText, false, 20);
    const std::string small = withoutHistory(full);
    CHECK(small.size() * 5 < full.size());
    CHECK(withoutHistory(small) == small);
    CHECK(withoutHistory("no JSON") == "no JSON");

    DocumentTable table(decodeStoreDocument);
    const ServiceName service("shopfront");
    CHECK(table.apply(service, Revision(1), small) == DocumentApplyResult::Applied);
    CHECK(table.find(service)->document.team == TeamName("shop"));
    CHECK(table.apply(service, Revision(2), storeValue("service = ", false, 0)) == DocumentApplyResult::Rejected);
    CHECK(table.apply(service, Revision(3), "no JSON") == DocumentApplyResult::Rejected);
    CHECK(table.find(service)->revision == Revision(1));
    CHECK_FALSE(table.status(service)->rejection.empty());
    CHECK(table.apply(service, Revision(4), storeValue("", true, 20)) == DocumentApplyResult::Applied);
    CHECK(table.find(service) == nullptr);
}
