#include "store/storeresponse.h"

#include <doctest/doctest.h>

using namespace Filbertmount;

namespace {

constexpr const char *Date = "Fri, 04 Dec 2026 05:00:00 GMT";

HttpResponse makeResponse(int status, const std::string &etag, const std::string &date = Date, const std::string &notRun = "")
{
    return {.outcome = HttpResponse::Outcome::Complete,
            .status = status,
            .body = "v",
            .etag = etag,
            .date = date,
            .requestNotRun = notRun};
}

struct ResponseCase {
    const char *name;
    HttpResponse response;
    StoreOutcome read;
    StoreOutcome update;
};

} // namespace

// Guards against reporting a write that may have taken effect as one without effect, and the reverse.
TEST_CASE("outcome of reads and writes for each kind of response")
{
    using Outcome = StoreOutcome;
    const std::vector<ResponseCase> cases{
        {"success", makeResponse(200, "\"7\""), Outcome::Done, Outcome::Done},
        {"created", makeResponse(201, "\"7\""), Outcome::Unavailable, Outcome::Done},
        {"absent", makeResponse(404, ""), Outcome::Absent, Outcome::Unavailable},
        {"conflict", makeResponse(412, ""), Outcome::Unavailable, Outcome::Conflict},
        {"bad request", makeResponse(400, ""), Outcome::Unavailable, Outcome::Unavailable},
        {"too many requests", makeResponse(429, ""), Outcome::Unavailable, Outcome::Unavailable},
        {"request timeout", makeResponse(408, ""), Outcome::Unavailable, Outcome::Unknown},
        {"server error", makeResponse(500, ""), Outcome::Unavailable, Outcome::Unknown},
        {"gateway error", makeResponse(502, ""), Outcome::Unavailable, Outcome::Unknown},
        {"503 of a gateway", makeResponse(503, ""), Outcome::Unavailable, Outcome::Unknown},
        {"documented refusal", makeResponse(503, "", Date, "shedding"), Outcome::Unavailable, Outcome::Unavailable},
        {"redirect", makeResponse(302, "\"7\""), Outcome::Unavailable, Outcome::Unknown},
        {"no ETag", makeResponse(200, ""), Outcome::Unavailable, Outcome::Unknown},
        {"weak ETag", makeResponse(200, "W/\"7\""), Outcome::Unavailable, Outcome::Unknown},
        {"ETag without quotes", makeResponse(200, "7"), Outcome::Unavailable, Outcome::Unknown},
        {"ETag 0", makeResponse(200, "\"0\""), Outcome::Unavailable, Outcome::Unknown},
        {"ETag too large", makeResponse(200, "\"99999999999999999999\""), Outcome::Unavailable, Outcome::Unknown},
        {"no Date", makeResponse(200, "\"7\"", ""), Outcome::Unavailable, Outcome::Unknown},
        {"bad Date", makeResponse(200, "\"7\"", "yesterday"), Outcome::Unavailable, Outcome::Unknown},
        {"not sent",
         {.outcome = HttpResponse::Outcome::NotSent, .reason = "refused"},
         Outcome::Unavailable,
         Outcome::Unavailable},
        {"lost", {.outcome = HttpResponse::Outcome::Lost, .reason = "closed"}, Outcome::Unavailable, Outcome::Unknown},
    };
    for (const ResponseCase &expected : cases) {
        CAPTURE(expected.name);
        const StoreReply read = interpretReadResponse(expected.response, "k", "10.0.0.9:9000");
        CHECK(read.outcome == expected.read);
        const StoreReply update = interpretUpdateResponse(expected.response, "k", "10.0.0.9:9000");
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
    const StoreReply reply = interpretReadResponse(makeResponse(200, "\"7\""), "k", "peer");
    CHECK(reply.object.value == "v");
    CHECK(reply.object.revision == Revision(7));
    CHECK(reply.time == StoreTime{1796360400});
}

// Guards against accepting a malformed response as a complete list: missing rows would look like removed instances.
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
        HttpResponse response = makeResponse(200, "");
        response.body = body;
        const StoreListing listing = interpretListingResponse(response, Step::StoreWatch, "10.0.0.9:9000");
        CHECK(listing.outcome == StoreOutcome::Unavailable);
        CHECK(listing.reason.rfind("store-watch: 10.0.0.9:9000: malformed response", 0) == 0);
    }
    for (const char *body : {"",
                             "{}",
                             R"({"instances":[{"id":"a"}]})",
                             R"({"instances":[{"id":"a","address":"x","zone":"z","state":"gone","incarnation":1}]})"}) {
        CAPTURE(body);
        HttpResponse response = makeResponse(200, "");
        response.body = body;
        const InstanceListing listing = interpretInstancesResponse(response, "10.0.0.9:9000");
        CHECK(listing.outcome == StoreOutcome::Unavailable);
        CHECK(listing.instances.empty());
    }
}
