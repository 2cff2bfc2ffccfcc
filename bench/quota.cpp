// Measures the time and the allocations of one decision about a quota, and the messages and bytes of quotas by fleet size.
// Usage: filbertmount-bench-quota [--fleet]

#include "allocationcounter.h"

#include "../tests/support/quotafleet.h"

#include <benchmark/benchmark.h>

#include <cstdio>
#include <string_view>

using namespace Filbertmount;
using namespace Filbertmount::Testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr QuotaLimit Limit{.ratePerSecond = 1000, .burst = 100};

/** Replies to the requests of @p client with @p tokens for each account. */
void answer(QuotaClient &client, Instant now, std::uint32_t tokens, std::uint64_t retryAfterUs)
{
    PeerOutbox outbox;
    client.flush(now, outbox);
    std::vector<QuotaDecision> decisions;
    for (const PeerMessage &message : outbox) {
        const Wire::QuotaRequest &request = message.envelope.bodies(0).quota_request();
        Wire::QuotaReply reply;
        reply.set_request(request.request());
        for (const Wire::QuotaDemand &demand : request.demands()) {
            Wire::QuotaGrant &grant = *reply.add_grants();
            grant.set_account(demand.account());
            grant.set_tokens(tokens);
            grant.set_retry_after_us(retryAfterUs);
        }
        client.onReply(message.to, reply, now, decisions);
    }
}

/** Measures acquire() for one of many accounts that has tokens, or is exhausted. */
void decide(benchmark::State &state, bool hasTokens)
{
    QuotaClient client({}, 1);
    const Instant now = Instant() + seconds(100);
    client.setOwners(QuotaOwnerList(1, {InstanceId("owner")}), now);
    std::vector<std::string> names;
    for (int index = 0; index < state.range(0); ++index) {
        names.push_back("account-" + std::to_string(index));
        client.acquire({.account = names.back(), .limit = Limit, .version = 1, .deadline = now + seconds(1)}, now);
    }
    answer(client, now, hasTokens ? 4'000'000'000U : 0, hasTokens ? 0 : 400'000);
    const std::uint64_t before = allocationsOfThread;
    std::size_t next = 0;
    for (const auto step : state) {
        static_cast<void>(step);
        next = next + 1 < names.size() ? next + 1 : 0;
        benchmark::DoNotOptimize(
            client.acquire({.account = names[next], .limit = Limit, .version = 1, .deadline = now + seconds(1)}, now));
    }
    state.counters["allocations"] =
        benchmark::Counter(static_cast<double>(allocationsOfThread - before), benchmark::Counter::kAvgIterations);
}

void grantedLocally(benchmark::State &state)
{
    decide(state, true);
}

void refusedLocally(benchmark::State &state)
{
    decide(state, false);
}

/** Prints the messages and bytes of a fleet at 720 requests per second, of which a few large accounts send most. */
void measureFleet(std::size_t instances, std::size_t accounts)
{
    constexpr double total = 720;
    constexpr int length = 10;
    QuotaFleet fleet(instances, {.seed = 1});
    double sum = 0;
    for (std::size_t index = 0; index < accounts; ++index) {
        sum += 1.0 / static_cast<double>(index + 1);
    }
    for (std::size_t index = 0; index < accounts; ++index) {
        const double perSecond = total / sum / static_cast<double>(index + 1);
        fleet.addLoad({.account = "account-" + std::to_string(index),
                       .limit = {.ratePerSecond = std::max(1.0, perSecond * 1.25), .burst = std::max(5.0, perSecond)},
                       .perSecond = perSecond});
    }
    fleet.net.runFor(seconds(6));
    const auto before = fleet.traffic();
    const Instant start = fleet.net.now();
    fleet.net.runFor(seconds(length));
    const auto after = fleet.traffic();
    std::size_t granted = 0;
    std::size_t refused = 0;
    for (std::size_t index = 0; index < accounts; ++index) {
        granted += countBetween(fleet.tally(index).granted, start, fleet.net.now());
        refused += countBetween(fleet.tally(index).refused, start, fleet.net.now())
            + countBetween(fleet.tally(index).unavailable, start, fleet.net.now());
    }
    std::printf("%4zu instances %6zu accounts: %7.0f messages/s %9.0f bytes/s %5.2f messages/request refused %zu of %zu\n",
                instances,
                accounts,
                static_cast<double>(after.messages - before.messages) / length,
                static_cast<double>(after.bytes - before.bytes) / length,
                static_cast<double>(after.messages - before.messages) / static_cast<double>(granted + refused),
                refused,
                granted + refused);
}

} // namespace

BENCHMARK(grantedLocally)->Arg(84)->Arg(10000);
BENCHMARK(refusedLocally)->Arg(84)->Arg(10000);

int main(int argc, char **argv)
{
    if (argc > 1 && std::string_view(argv[1]) == "--fleet") {
        for (const std::size_t instances : {14U, 135U, 400U}) {
            for (const std::size_t accounts : {84U, 10000U}) {
                measureFleet(instances, accounts);
            }
        }
        return 0;
    }
    benchmark::Initialize(&argc, argv);
    benchmark::RunSpecifiedBenchmarks();
    return 0;
}
