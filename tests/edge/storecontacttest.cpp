#include <filbertmount/edge/storecontact.h>

#include <doctest/doctest.h>

using namespace Filbertmount;
using namespace std::chrono_literals;

namespace {

Instant at(Duration time)
{
    return Instant(100s + time);
}

/** Contact until 2 s, then failed calls from 3 s to 5 s: an outage that began at 2 s. */
StoreContact contactInOutage()
{
    StoreContact contact;
    contact.recordResponse(at(0s));
    contact.recordResponse(at(2s));
    for (const Duration time : {3s, 4s, 5s}) {
        contact.recordFailure(at(time));
    }
    return contact;
}

} // namespace

TEST_CASE("store contact: an outage begins with the last response before calls fail for a second, and ends with a response")
{
    StoreContact contact;
    contact.recordResponse(at(0s));
    contact.recordFailure(at(1s));
    contact.recordFailure(at(1900ms));
    CHECK_FALSE(contact.isOutage());
    contact.recordFailure(at(2s));
    CHECK(contact.isOutage());
    CHECK(contact.lastOutageStart() == at(0s));
    contact.recordResponse(at(6s));
    CHECK_FALSE(contact.isOutage());
    CHECK(contact.outageEndedAt() == at(6s));
    CHECK(contact.span()->since == at(6s));
    CHECK_FALSE(contact.covers(at(0s), at(6s)));
}

TEST_CASE("store contact: a span of another instance changes an outage by the part of it that the span covers")
{
    struct Row {
        const char *name;
        ContactSpan span;
        bool isOutage;
        std::optional<Instant> endedAt;
    };
    const Row rows[] = {
        {"before the calls failed", {at(0s), at(2500ms)}, true, std::nullopt},
        {"the whole outage", {at(1s), at(5s)}, false, std::nullopt},
        {"the outage from its begin", {at(2s), at(5s)}, false, std::nullopt},
        {"the end of the outage", {at(4s), at(5s)}, false, at(4s)},
        {"one response", {at(5s), at(5s)}, false, at(5s)},
    };
    for (const Row &row : rows) {
        CAPTURE(std::string(row.name));
        StoreContact contact = contactInOutage();
        contact.recordSpan(row.span);
        CHECK(contact.isOutage() == row.isOutage);
        CHECK(contact.outageEndedAt() == row.endedAt);
    }
}

TEST_CASE("store contact: a span that arrives after the own first response cancels the outage as well")
{
    StoreContact contact = contactInOutage();
    contact.recordResponse(at(6s));
    contact.recordSpan({.since = at(0s), .until = at(5500ms)});
    CHECK_FALSE(contact.outageEndedAt().has_value());
    CHECK(contact.covers(at(2s), at(6s)));
}

TEST_CASE("store contact: while others have contact, failures of the own calls alone are no outage")
{
    StoreContact contact;
    for (int tenth = 0; tenth < 50; ++tenth) {
        const Instant now = at(100ms * tenth);
        contact.recordFailure(now);
        if (tenth % 7 == 0) {
            contact.recordSpan({.since = at(0s), .until = now + 1ms});
        }
        CHECK_FALSE(contact.isOutage());
    }
}

TEST_CASE("store contact: spans are joined across short gaps, and a long gap starts a new one")
{
    StoreContact contact;
    contact.recordResponse(at(0s));
    contact.recordSpan({.since = at(2s), .until = at(3s)});
    CHECK(contact.covers(at(0s), at(3s)));
    contact.recordSpan({.since = at(6s), .until = at(7s)});
    CHECK_FALSE(contact.covers(at(3s), at(7s)));
    CHECK(contact.covers(at(6s), at(7s)));
    // An old span does not replace a newer one.
    contact.recordSpan({.since = at(0s), .until = at(3s)});
    CHECK(contact.span()->since == at(6s));
    contact.forgetSpan();
    CHECK_FALSE(contact.covers(at(6s), at(7s)));
}
