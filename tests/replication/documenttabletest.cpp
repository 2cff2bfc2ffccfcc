#include "support/documentfleet.h"

#include <doctest/doctest.h>

#include <thread>

using namespace Filbertmount;
using namespace Filbertmount::Testing;

// Guards against a document that reverts to an older revision after a stale read or a late message.
TEST_CASE("document table applies only higher revisions and keeps the last valid document")
{
    struct Step {
        std::uint64_t revision;
        const char *value;
        DocumentApplyResult result;
        std::uint64_t inForce;
        std::uint64_t latest;
        bool found;
    };
    const std::vector<Step> steps = {
        {5, "a", DocumentApplyResult::Applied, 5, 5, true},
        {5, "b", DocumentApplyResult::Stale, 5, 5, true},
        {4, "old", DocumentApplyResult::Stale, 5, 5, true},
        {6, "bad", DocumentApplyResult::Rejected, 5, 6, true},
        {5, "a", DocumentApplyResult::Stale, 5, 6, true},
        {8, "c", DocumentApplyResult::Applied, 8, 8, true},
        {9, "deleted", DocumentApplyResult::Applied, 0, 9, false},
        {8, "c", DocumentApplyResult::Stale, 0, 9, false},
        {10, "bad", DocumentApplyResult::Rejected, 0, 10, false},
        {11, "d", DocumentApplyResult::Applied, 11, 11, true},
    };
    DocumentTable table(decodeTestDocument);
    const ServiceName service("shopfront");
    for (const Step &step : steps) {
        CAPTURE(step.revision);
        CAPTURE(step.value);
        CHECK(table.apply(service, Revision(step.revision), step.value) == step.result);
        const DocumentStatus status = table.status(service).value();
        CHECK(status.inForce == Revision(step.inForce));
        CHECK(status.latest == Revision(step.latest));
        CHECK(status.rejection.empty() == (step.result != DocumentApplyResult::Rejected && step.latest != 6));
        CHECK((table.find(service) != nullptr) == step.found);
        CHECK((table.findByHost("shopfront.example") != nullptr) == step.found);
    }
    CHECK(table.takeChanges().size() == 4);
    CHECK(table.takeChanges().empty());
}

// Guards against one team receiving the traffic of another on some instances because edits arrived there in another order.
TEST_CASE("document table assigns a shared host to the same service in any order of arrival")
{
    const auto decoder = [](const ServiceName &service, const std::string &) -> Result<DecodedDocument> {
        DecodedDocument decoded;
        decoded.document.service = service;
        decoded.document.hosts = {"shared.example"};
        return decoded;
    };
    for (const bool reversed : {false, true}) {
        DocumentTable table(decoder);
        table.apply(ServiceName(reversed ? "b" : "a"), Revision(1), "x");
        table.apply(ServiceName(reversed ? "a" : "b"), Revision(2), "x");
        CHECK(table.findByHost("shared.example")->document.service == ServiceName("a"));
        CHECK(table.all().size() == 2);
    }
}

TEST_CASE("document table rejects a document that names another service")
{
    DocumentTable table([](const ServiceName &, const std::string &) -> Result<DecodedDocument> {
        DecodedDocument decoded;
        decoded.document.service = ServiceName("other");
        return decoded;
    });
    CHECK(table.apply(ServiceName("shopfront"), Revision(1), "x") == DocumentApplyResult::Rejected);
    CHECK(table.status(ServiceName("shopfront"))->rejection == "document names service other");
}

// Guards against equal digests of different tables, with which lost changes would never be repaired.
TEST_CASE("document digests are equal exactly when the revisions are")
{
    DocumentTable left(decodeTestDocument);
    DocumentTable right(decodeTestDocument);
    for (int index = 0; index < 100; ++index) {
        left.apply(ServiceName("s" + std::to_string(index)), Revision(1), "x");
        right.apply(ServiceName("s" + std::to_string(99 - index)), Revision(1), "x");
    }
    CHECK(left.digest().root == right.digest().root);
    left.apply(ServiceName("s7"), Revision(2), "bad");
    CHECK(left.digest().root != right.digest().root);
    const std::size_t bucket = documentBucket(ServiceName("s7"));
    CHECK(left.digest().buckets.at(bucket) != right.digest().buckets.at(bucket));
    right.apply(ServiceName("s7"), Revision(2), "bad");
    CHECK(left.digest().root == right.digest().root);
}

// Guards against data races between the request path and changes; the thread sanitizer detects them.
TEST_CASE("document table is safe to read while it changes")
{
    DocumentTable table(decodeTestDocument);
    const ServiceName service("shopfront");
    table.apply(service, Revision(1), "x");
    std::vector<std::thread> readers;
    readers.reserve(3);
    for (int reader = 0; reader < 3; ++reader) {
        readers.emplace_back([&] {
            Revision last;
            for (int round = 0; round < 500; ++round) {
                const Revision seen = table.find(service)->revision;
                CHECK(seen >= last);
                last = seen;
            }
        });
    }
    for (std::uint64_t revision = 2; revision < 200; ++revision) {
        table.apply(service, Revision(revision), "x");
    }
    for (std::thread &reader : readers) {
        reader.join();
    }
    CHECK(table.find(service)->revision == Revision(199));
}
