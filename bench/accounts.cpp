// Measures the decision on an API key, and the time and memory for a configuration with accounts of four keys each.

#include "allocationcounter.h"

#include <filbertmount/accounts/authenticator.h>

#include <benchmark/benchmark.h>

#include <malloc.h>

#include <memory>

using namespace Filbertmount;

namespace {

constexpr int KeysPerAccount = 4;
const Headers RequestHeaders = {{"Host", "shop.example"},
                                {"Accept", "*/*"},
                                {"Api-Key", "key-7-2"},
                                {"Content-Type", "text/plain"}};

RouteSet configuration(std::int64_t accounts)
{
    RouteSet routes{
        .version = RouteSetVersion(1), .routes = {{.name = "r", .host = "shop.example", .pathPrefix = "/"}}, .requiresKey = true};
    for (std::int64_t number = 0; number < accounts; ++number) {
        ClientAccount account{.name = AccountName("account-" + std::to_string(number)), .rate = 10, .burst = 20};
        for (int key = 0; key < KeysPerAccount; ++key) {
            account.keyDigests.push_back(sha256("key-" + std::to_string(number) + "-" + std::to_string(key)));
        }
        routes.accounts.push_back(std::move(account));
    }
    return routes;
}

void authenticate(benchmark::State &state)
{
    const RouteIndex index(configuration(state.range(0)));
    const Authenticator authenticator({.keyHeader = "Api-Key"});
    const AuthenticationQuery query{
        .configuration = index, .route = index.routes().routes[0], .headers = RequestHeaders, .confirmationAge = std::nullopt};
    const std::uint64_t before = allocationsOfThread;
    for (const auto step : state) {
        static_cast<void>(step);
        benchmark::DoNotOptimize(authenticator.authenticate(query));
    }
    state.counters["allocations"] =
        benchmark::Counter(static_cast<double>(allocationsOfThread - before), benchmark::Counter::kAvgIterations);
}

/** The counter is the memory of one configuration in use. */
void buildIndex(benchmark::State &state)
{
    const RouteSet routes = configuration(state.range(0));
    const std::size_t before = mallinfo2().uordblks + mallinfo2().hblkhd;
    const auto inUse = std::make_unique<RouteIndex>(routes);
    state.counters["bytes"] = static_cast<double>(mallinfo2().uordblks + mallinfo2().hblkhd - before);
    for (const auto step : state) {
        static_cast<void>(step);
        benchmark::DoNotOptimize(RouteIndex(routes));
    }
}

} // namespace

BENCHMARK(authenticate)->Arg(84)->Arg(10'000);
BENCHMARK(buildIndex)->Arg(84)->Arg(10'000);

BENCHMARK_MAIN();
