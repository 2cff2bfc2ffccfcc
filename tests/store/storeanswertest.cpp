#include "store/storeanswer.h"

#include <doctest/doctest.h>

using namespace Filbertmount;

namespace {

constexpr const char *Date = "Fri, 04 Dec 2026 05:00:00 GMT";

HttpAnswer answered(int status, const std::string &etag, const std::string &date = Date, const std::string &notRun = "")
{
    return {.end = HttpAnswer::End::Answered, .status = status, .body = "v", .etag = etag, .date = date, .requestNotRun = notRun};
}

struct AnswerCase {
    const char *name;
    HttpAnswer answer;
    StoreOutcome read;
    StoreOutcome update;
};

} // namespace

// Guards against a write that may have taken effect being reported as one that did not, and the other way round.
TEST_CASE("outcome of reads and writes for each kind of response")
{
    using Outcome = StoreOutcome;
    const std::vector<AnswerCase> cases{
        {"success", answered(200, "\"7\""), Outcome::Done, Outcome::Done},
        {"created", answered(201, "\"7\""), Outcome::Unavailable, Outcome::Done},
        {"absent", answered(404, ""), Outcome::Absent, Outcome::Unavailable},
        {"conflict", answered(412, ""), Outcome::Unavailable, Outcome::Conflict},
        {"bad request", answered(400, ""), Outcome::Unavailable, Outcome::Unavailable},
        {"too many requests", answered(429, ""), Outcome::Unavailable, Outcome::Unavailable},
        {"request timeout", answered(408, ""), Outcome::Unavailable, Outcome::Unknown},
        {"server error", answered(500, ""), Outcome::Unavailable, Outcome::Unknown},
        {"gateway error", answered(502, ""), Outcome::Unavailable, Outcome::Unknown},
        {"503 of a gateway", answered(503, ""), Outcome::Unavailable, Outcome::Unknown},
        {"documented refusal", answered(503, "", Date, "shedding"), Outcome::Unavailable, Outcome::Unavailable},
        {"redirect", answered(302, "\"7\""), Outcome::Unavailable, Outcome::Unknown},
        {"no ETag", answered(200, ""), Outcome::Unavailable, Outcome::Unknown},
        {"weak ETag", answered(200, "W/\"7\""), Outcome::Unavailable, Outcome::Unknown},
        {"ETag without quotes", answered(200, "7"), Outcome::Unavailable, Outcome::Unknown},
        {"ETag 0", answered(200, "\"0\""), Outcome::Unavailable, Outcome::Unknown},
        {"ETag too large", answered(200, "\"99999999999999999999\""), Outcome::Unavailable, Outcome::Unknown},
        {"no Date", answered(200, "\"7\"", ""), Outcome::Unavailable, Outcome::Unknown},
        {"bad Date", answered(200, "\"7\"", "yesterday"), Outcome::Unavailable, Outcome::Unknown},
        {"not sent", {.end = HttpAnswer::End::NotSent, .reason = "refused"}, Outcome::Unavailable, Outcome::Unavailable},
        {"lost", {.end = HttpAnswer::End::Lost, .reason = "closed"}, Outcome::Unavailable, Outcome::Unknown},
    };
    for (const AnswerCase &expected : cases) {
        CAPTURE(expected.name);
        const StoreReply read = readReply(expected.answer, "k", "10.0.0.9:9000");
        CHECK(read.outcome == expected.read);
        const StoreReply update = updateReply(expected.answer, "k", "10.0.0.9:9000");
        CHECK(update.outcome == expected.update);
        if (read.outcome != Outcome::Done && read.outcome != Outcome::Absent) {
            CHECK(read.reason.rfind("store-read: 10.0.0.9:9000: ", 0) == 0);
        }
        if (update.outcome != Outcome::Done) {
            CHECK(update.reason.rfind("store-write: 10.0.0.9:9000: ", 0) == 0);
        }
    }
}

TEST_CASE("a read carries value, revision and the store's clock")
{
    const StoreReply reply = readReply(answered(200, "\"7\""), "k", "peer");
    CHECK(reply.object.value == "v");
    CHECK(reply.object.revision == Revision(7));
    CHECK(reply.time == StoreTime{1796360400});
}

// Guards against a response in part being taken for the whole: missing rows would look like removed instances.
TEST_CASE("malformed listings are failures and not empty lists")
{
    for (const char *body : {"",
                             "x",
                             "[]",
                             "{}",
                             R"({"objects":[]})",
                             R"({"revision":-1,"objects":[]})",
                             R"({"revision":1,"objects":[{"key":"a","revision":1}]})",
                             R"({"revision":1,"objects":[{"key":"a","revision":1,"value":"%"}]})"}) {
        CAPTURE(body);
        HttpAnswer answer = answered(200, "");
        answer.body = body;
        const StoreListing listing = listingReply(answer, Step::StoreWatch, "10.0.0.9:9000");
        CHECK(listing.outcome == StoreOutcome::Unavailable);
        CHECK(listing.reason.rfind("store-watch: 10.0.0.9:9000: malformed response", 0) == 0);
    }
    for (const char *body : {"",
                             "{}",
                             R"({"instances":[{"id":"a"}]})",
                             R"({"instances":[{"id":"a","address":"x","zone":"z","state":"gone","incarnation":1}]})"}) {
        CAPTURE(body);
        HttpAnswer answer = answered(200, "");
        answer.body = body;
        const InstanceListing listing = instancesReply(answer, "10.0.0.9:9000");
        CHECK(listing.outcome == StoreOutcome::Unavailable);
        CHECK(listing.instances.empty());
    }
}
