#include <filbertmount/telemetry/eventring.h>
#include <filbertmount/telemetry/log.h>
#include <filbertmount/telemetry/metrics.h>

#include "telemetry/boundedlogbackend.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace Filbertmount;

// Guards against log lines that are not valid JSON or contain line breaks.
TEST_CASE("log lines are single JSON objects whatever the message holds")
{
    for (const std::string message : {"plain", "two\nlines", "quote \" backslash \\", "not UTF-8: \xff\xfe"}) {
        const std::string line = logLineText(
            LogLevel::Warning, message, {{"count", std::int64_t{3}}, {"share", 0.5}, {"ok", true}, {"peer", message}}, "e1");
        CHECK(line.find('\n') == std::string::npos);
        const nlohmann::json parsed = nlohmann::json::parse(line);
        CHECK(parsed["level"] == "warning");
        CHECK(parsed["instance"] == "e1");
        CHECK(parsed["count"] == 3);
        CHECK(parsed["ok"] == true);
    }
}

TEST_CASE("event ring keeps the latest events in order")
{
    EventRing ring("e1", 3);
    for (const char *kind : {"a", "b", "c", "d"}) {
        ring.record({.kind = kind, .service = {}, .request = {}, .text = {}});
    }
    const std::vector<Event> all = ring.eventsAfter(0);
    REQUIRE(all.size() == 3);
    CHECK(all.front().kind == "b");
    CHECK(all.back().sequence == 4);
    CHECK(ring.eventsAfter(3).size() == 1);
    CHECK(ring.eventsAfter(0, 2).back().kind == "c");
    CHECK(ring.eventsAfter(9).empty());
}

// Guards against showing an effect before its cause when the clock of a process steps back.
TEST_CASE("merged time line keeps the order of each process")
{
    const auto event = [](std::string instance, std::int64_t time, std::uint64_t sequence) {
        return Event{.wallTimeUs = time,
                     .sequence = sequence,
                     .instance = std::move(instance),
                     .kind = {},
                     .service = {},
                     .request = {},
                     .text = {}};
    };
    const std::vector<Event> merged =
        mergeTimelines({{event("a", 100, 1), event("a", 50, 2), event("a", 130, 3)}, {event("b", 110, 1), event("b", 120, 2)}});
    std::string order;
    for (const Event &entry : merged) {
        order += entry.instance + std::to_string(entry.sequence) + " ";
    }
    CHECK(order == "a1 a2 b1 b2 a3 ");
}

TEST_CASE("metrics appear in the text format with their labels")
{
    Metrics metrics;
    metrics.counter(MetricNames::Requests, {{"service", "shopfront"}}).Increment();
    metrics.counter(MetricNames::Requests, {{"service", "shopfront"}}).Increment();
    metrics.histogram(MetricNames::RequestSeconds, {{"service", "shopfront"}}).Observe(0.0015);
    const std::string text = metrics.exposition();
    CHECK(text.find("filbertmount_requests_total{service=\"shopfront\"} 2") != std::string::npos);
    CHECK(text.find("le=\"0.0019\"} 1") != std::string::npos);
}

TEST_CASE("log: lines beyond the rate are counted instead of written")
{
    LineRateLimit limit(10);
    const Instant start{std::chrono::seconds(5)};
    int admitted = 0;
    for (int line = 0; line < 100; ++line) {
        admitted += limit.admit(start) ? 1 : 0;
    }
    CHECK(admitted == 10);
    CHECK(limit.takeDropped() == 90);
    CHECK(limit.takeDropped() == 0);
    CHECK(limit.admit(start + std::chrono::seconds(1)));
}
