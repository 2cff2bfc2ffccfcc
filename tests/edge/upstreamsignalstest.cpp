#include "edge/upstreamsignals.h"

#include <doctest/doctest.h>

using namespace Filbertmount;
using namespace std::chrono_literals;

TEST_CASE("upstream signals: only a 503 with a time above zero asks for a pause")
{
    struct Row {
        int status;
        const char *retryAfter;
        std::optional<Duration> pause;
    };
    for (const Row &row : {Row{503, "2", 2s},
                           Row{503, "0.25", 250ms},
                           Row{503, "1e9", 600s},
                           Row{503, "0", std::nullopt},
                           Row{503, "-1", std::nullopt},
                           Row{503, "inf", std::nullopt},
                           Row{503, "nan", std::nullopt},
                           Row{503, "", std::nullopt},
                           Row{503, "2 seconds", std::nullopt},
                           Row{503, "Sat, 05 Dec 2026 09:00:00 GMT", std::nullopt},
                           Row{429, "2", std::nullopt},
                           Row{200, "2", std::nullopt}}) {
        CAPTURE(row.status);
        CAPTURE(row.retryAfter);
        ClientResponse response;
        response.status = row.status;
        response.headers = {{.name = "Retry-After", .value = row.retryAfter}};
        CHECK(readSignals(response, {}, Incarnation(7)).pause == row.pause);
    }
}

TEST_CASE("upstream signals: a draining upstream is named by its incarnation")
{
    struct Row {
        const char *value;
        bool isDraining;
    };
    for (const Row &row : {Row{"1", true}, Row{"0", false}, Row{"", false}}) {
        CAPTURE(row.value);
        ClientResponse response;
        response.headers = {{.name = "draining", .value = row.value}};
        CHECK(readSignals(response, {.draining = "Draining"}, Incarnation(7)).draining.has_value() == row.isDraining);
    }
}

TEST_CASE("upstream signals: the time for which an upstream stays cold is read if it is a number of milliseconds")
{
    struct Row {
        const char *value;
        std::optional<Duration> warmup;
    };
    for (const Row &row : {Row{"2500", 2500ms},
                           Row{"0.5", 500us},
                           Row{"0", 0ms},
                           Row{"1e99", 600s},
                           Row{"-1", std::nullopt},
                           Row{"nan", std::nullopt},
                           Row{"", std::nullopt},
                           Row{"2 s", std::nullopt}}) {
        CAPTURE(row.value);
        ClientResponse response;
        response.headers = {{.name = "warm-up", .value = row.value}};
        CHECK(readSignals(response, {.warmupLeft = "Warm-Up"}, Incarnation(7)).warmup == row.warmup);
    }
}
