#include "edge/registrationupkeep.h"

#include "support/loopserver.h"

#include "storeprotocol.h"

#include <absl/strings/str_cat.h>
#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

using namespace Filbertmount;
using namespace Filbertmount::TestSupport;
using namespace std::chrono_literals;

namespace {

/** A store that holds the list of instances and lists, creates and deletes its entries. */
class ListStore
{
public:
    explicit ListStore(IoLoop &loop)
        : m_server(loop, [this](ScriptedPeer &peer) {
            respond(peer);
        })
    {
    }

    void put(const std::string &name, const std::string &spec)
    {
        entries[name] = absl::StrCat(
            R"({"metadata":{"name":")", name, R"(","revision":)", ++m_revision, R"(},"spec":)", spec, R"(,"status":null})");
    }

    [[nodiscard]] Tcp::endpoint endpoint() const
    {
        return m_server.endpoint();
    }

    std::map<std::string, std::string> entries;
    std::vector<std::string> calls;
    /** Writes that are applied although no response arrives. */
    int lostResponses = 0;

private:
    void respond(ScriptedPeer &peer)
    {
        const std::size_t end = peer.received.find("\r\n\r\n");
        const std::size_t body = peer.received.find('{');
        const bool hasBody = peer.received.starts_with("POST");
        if (end == std::string::npos || (hasBody && body == std::string::npos)) {
            return;
        }
        const std::string request = std::exchange(peer.received, {});
        calls.push_back(request.substr(0, request.find(" HTTP")));
        const std::string response = hasBody ? create(request.substr(body)) : otherCall(request);
        if (!request.starts_with("GET") && lostResponses > 0) {
            --lostResponses;
            peer.close();
            return;
        }
        peer.send(response);
    }

    std::string create(const std::string &object)
    {
        const std::size_t start = object.find(R"("name":")") + 8;
        const std::string name = object.substr(start, object.find('"', start) - start);
        if (entries.contains(name)) {
            return "HTTP/1.1 409 X\r\nContent-Length: 0\r\n\r\n";
        }
        const std::size_t spec = object.find(R"("spec":)") + 7;
        put(name, object.substr(spec, object.find('}', spec) + 1 - spec));
        return "HTTP/1.1 201 X\r\nContent-Length: 0\r\n\r\n";
    }

    std::string otherCall(const std::string &request)
    {
        if (request.starts_with("DELETE")) {
            const std::size_t start = request.rfind('/', request.find('?')) + 1;
            ++m_revision;
            return entries.erase(request.substr(start, request.find('?') - start)) > 0
                ? "HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n"
                : "HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n";
        }
        std::string items;
        for (const auto &[name, entry] : entries) {
            absl::StrAppend(&items, items.empty() ? "" : ",", entry);
        }
        const std::string listing = absl::StrCat(R"({"items":[)", items, R"(],"store_revision":)", m_revision, "}");
        return absl::StrCat("HTTP/1.1 200 X\r\nContent-Length: ", listing.size(), "\r\n\r\n", listing);
    }

    int m_revision = 1;
    ScriptedServer m_server;
};

/** The registration of the instance at the address "a". */
struct Process {
    Process(IoLoop &loop, const ListStore &store)
        : registration(loop,
                       Platform::StoreProtocol(),
                       "a",
                       {.peerAddress = "a"},
                       {.store = store.endpoint()},
                       mirror,
                       metrics,
                       [](const MirrorChanges &) {})
    {
        registration.start();
    }

    StateMirror mirror;
    Metrics metrics;
    InstanceRegistration<Platform::StoreProtocol> registration;
};

/** The upkeep of the instance "a", the only one of its fleet, with the instances that the test makes known. */
struct Upkeep {
    Upkeep(IoLoop &loop, const ListStore &store, const KnownInstancesOptions &options, bool isDeciding = false)
        : known(options)
        , fleet(loop, {.cluster = "test", .self = {.id = InstanceId("a"), .peerAddress = "127.0.0.35:17662"}}, metrics)
        , router({.self = InstanceId("a"), .send = fleet.sender()})
        , upkeep(loop,
                 Platform::StoreProtocol(),
                 {.store = store.endpoint()},
                 {.mirror = mirror, .fleet = fleet, .known = known, .metrics = metrics},
                 {.instanceName = "a",
                  .peerAddress = "a",
                  .needsList =
                      [isDeciding] {
                          return isDeciding;
                      },
                  .onConfirmed =
                      [this](Instant sentAt) {
                          known.confirmListing(sentAt, ProcessClock::now(), false);
                      },
                  .onChange =
                      [this](const MirrorChanges &) {
                          follow();
                      }})
    {
        fleet.setRouter(router);
    }

    void follow()
    {
        std::vector<RegisteredInstance> registered;
        std::vector<SilenceReport> reports;
        for (const auto &[name, object] : mirror.instances()) {
            const auto &record = std::get<InstanceRecord>(object.value);
            if (!record.silent.empty()) {
                reports.push_back({.name = name, .silent = record.silent, .isWithdrawal = record.isWithdrawal});
                continue;
            }
            registered.push_back({.peerAddress = record.peerAddress, .isDeparture = record.isDeparture});
        }
        known.setRegistered(registered, ProcessClock::now());
        known.setReports(std::move(reports), ProcessClock::now());
    }

    Metrics metrics;
    StateMirror mirror;
    KnownInstances known;
    Fleet fleet;
    Router router;
    RegistrationUpkeep<Platform::StoreProtocol> upkeep;
};

constexpr const char *Departed = R"({"departed":true,"peer_address":"a"})";

} // namespace

// An instance that left for good stayed registered, and the instances that remained had no majority for quotas.
TEST_CASE("instance registration: an instance that shuts down is listed as departed, whatever is lost on the way")
{
    for (const int lostResponses : {0, 1, 3}) {
        CAPTURE(lostResponses);
        IoLoop loop{1};
        ListStore store(loop);
        Process process(loop, store);
        REQUIRE(runUntil(loop, [&] {
            return store.entries.contains("a");
        }));
        store.lostResponses = lostResponses;
        process.registration.depart();
        REQUIRE(runUntil(loop, [&] {
            return store.entries.contains("a.departed") && store.lostResponses == 0;
        }));
        CHECK(store.entries.at("a.departed").find(Departed) != std::string::npos);
        Process other(loop, store);
        REQUIRE(runUntil(loop, [&] {
            return other.mirror.instances().contains("a.departed");
        }));
        CHECK(std::get<InstanceRecord>(other.mirror.instances().at("a.departed").value).isDeparture);
    }
}

// An instance that is listed as departed while it runs would not count when others decide who has a majority.
TEST_CASE("instance registration: an instance that starts again is no longer listed as departed")
{
    IoLoop loop{1};
    ListStore store(loop);
    store.put("a", R"({"peer_address":"a"})");
    store.put("a.departed", Departed);
    const Process process(loop, store);
    REQUIRE(runUntil(loop, [&] {
        return !store.entries.contains("a.departed");
    }));
    CHECK(store.entries.contains("a"));
}

// Without the removal, the list grows with each machine that is replaced.
TEST_CASE("registration upkeep: the entries of an instance that departed long ago are deleted, the departure last")
{
    IoLoop loop{1};
    ListStore store(loop);
    store.put("b", R"({"peer_address":"b"})");
    store.put("b.departed", R"({"departed":true,"peer_address":"b"})");
    Upkeep upkeep(loop, store, {.departureRetention = 1ms});
    // The steps are seconds apart, so the test gives the times.
    Instant now = ProcessClock::now();
    REQUIRE(runUntil(loop, [&] {
        now += 10s;
        upkeep.upkeep.tick(now);
        return store.entries.empty();
    }));
    std::vector<std::string> deletions;
    for (const std::string &call : store.calls) {
        if (call.starts_with("DELETE")) {
            deletions.push_back(call.substr(call.rfind('/') + 1));
        }
    }
    REQUIRE(deletions.size() >= 2);
    CHECK(deletions.front().starts_with("b?"));
    CHECK(deletions.back().starts_with("b.departed?"));
}

// Without the departure of a silent machine, machines that are replaced one by one take the majority away. On the smaller side of
// a partition all others are silent, so no departure may be added there.
TEST_CASE("registration upkeep: departures are added by a majority only, and wrong ones are removed")
{
    struct Row {
        std::string name;
        MemberList live;
        bool hasDeparture;
        std::string call;
    };
    const Member a{.id = InstanceId("a"), .peerAddress = "a"};
    const Member b{.id = InstanceId("b"), .peerAddress = "b"};
    const Member c{.id = InstanceId("c"), .peerAddress = "c"};
    const Row rows[] = {
        {"a majority misses an instance", {a, c}, false, "POST /api/objects/filbertmount-instances"},
        {"a minority misses the others", {a}, false, ""},
        {"a live instance is listed as departed",
         {a, b, c},
         true,
         "DELETE /api/objects/filbertmount-instances/b.departed?revision=5"},
    };
    for (const Row &row : rows) {
        CAPTURE(row.name);
        IoLoop loop{1};
        ListStore store(loop);
        for (const std::string name : {"a", "b", "c"}) {
            store.put(name, R"({"peer_address":")" + name + R"("})");
        }
        if (row.hasDeparture) {
            store.put("b.departed", R"({"departed":true,"peer_address":"b"})");
        }
        Upkeep upkeep(loop, store, {.silenceLimit = 1ms, .wrongDepartureTime = 1ms});
        upkeep.known.setMembers(row.live, {}, ProcessClock::now());
        const auto isWrite = [](const std::string &call) {
            return !call.starts_with("GET");
        };
        // Writes happen between two listings, which are seconds apart, so the test gives the times.
        Instant now = ProcessClock::now();
        for (int step = 0; step < 5; ++step) {
            now += 3s;
            upkeep.upkeep.tick(now);
            const std::size_t calls = store.calls.size();
            runUntil(loop, [&, end = ProcessClock::now() + 100ms] {
                return store.calls.size() > calls || ProcessClock::now() >= end;
            });
            runUntil(loop, [end = ProcessClock::now() + 10ms] {
                return ProcessClock::now() >= end;
            });
        }
        const auto written = std::find_if(store.calls.begin(), store.calls.end(), isWrite);
        CHECK((written == store.calls.end() ? std::string() : *written) == row.call);
    }
}

// Without the report, what is left of a fleet never counts as a majority again. A report on live instances would let both parts
// of a divided fleet count as one.
TEST_CASE("registration upkeep: a deciding minority reports silent instances, and reports on live ones are withdrawn")
{
    struct Row {
        std::string name;
        std::vector<std::string> live;
        bool isDeciding;
        std::string report;
        /** Names of the entries that are created, and of those that are deleted, in order. */
        std::vector<std::string> writes;
    };
    const Row rows[] = {
        {"a minority that decides", {"a"}, true, {}, {"POST a.silent"}},
        {"a minority that does not decide", {"a"}, false, {}, {}},
        {"a majority", {"a", "b"}, true, {}, {}},
        {"a report on a live instance", {"a", "b"}, true, "b", {"POST c.silent-1.withdrawn", "DELETE c.silent-1"}},
        {"a report on the silent ones", {"a", "b"}, true, "c", {}},
        {"a report on an instance that has left", {"a", "b"}, true, "d", {"DELETE c.silent-1"}},
    };
    for (const Row &row : rows) {
        CAPTURE(row.name);
        IoLoop loop{1};
        ListStore store(loop);
        for (const std::string name : {"a", "b", "c"}) {
            store.put(name, R"({"peer_address":")" + name + R"("})");
        }
        if (!row.report.empty()) {
            store.put("c.silent-1", R"({"peer_address":"c","silent":[")" + row.report + R"("]})");
        }
        Upkeep upkeep(loop, store, {.reportDelay = 1ms}, row.isDeciding);
        MemberList live;
        for (const std::string &address : row.live) {
            live.push_back({.id = InstanceId(address), .peerAddress = address});
        }
        upkeep.known.setMembers(live, {}, ProcessClock::now());
        Instant now = ProcessClock::now();
        for (int step = 0; step < 12; ++step) {
            now += 700ms;
            upkeep.upkeep.tick(now);
            runUntil(loop, [end = ProcessClock::now() + 30ms] {
                return ProcessClock::now() >= end;
            });
        }
        std::vector<std::string> names;
        for (const auto &[name, entry] : store.entries) {
            names.push_back(name);
        }
        const auto created = [&](const std::string &start) {
            return std::any_of(names.begin(), names.end(), [&](const std::string &name) {
                return name.starts_with(start);
            });
        };
        std::size_t writes = 0;
        for (const std::string &call : store.calls) {
            writes += call.starts_with("GET") ? 0 : 1;
        }
        CHECK(writes == row.writes.size());
        for (const std::string &write : row.writes) {
            CAPTURE(write);
            const std::string name = write.substr(write.find(' ') + 1);
            CHECK((write.starts_with("POST") ? created(name) : !store.entries.contains(name)));
        }
    }
}

// An instance that stopped deciding while a report was pending would have listed the instances twice a second from then on.
TEST_CASE("registration upkeep: an instance that does not decide does not list early for a pending report")
{
    IoLoop loop{1};
    ListStore store(loop);
    for (const std::string name : {"a", "b"}) {
        store.put(name, R"({"peer_address":")" + name + R"("})");
    }
    Upkeep upkeep(loop, store, {});
    const Instant start = ProcessClock::now();
    upkeep.known.setMembers({{.id = InstanceId("a"), .peerAddress = "a"}}, {}, start);
    upkeep.known.setRegistered({{"a"}, {"b"}}, start);
    upkeep.known.setReports({{.name = "r", .silent = {"b"}}}, start);
    upkeep.known.confirmListing(start, start, false);
    REQUIRE(upkeep.known.reports().usableAt().has_value());
    constexpr int steps = 40;
    for (int step = 1; step <= steps; ++step) {
        upkeep.upkeep.tick(start + step * 700ms);
        runUntil(loop, [end = ProcessClock::now() + 5ms] {
            return ProcessClock::now() >= end;
        });
    }
    // In 28 s, one listing every five seconds is due.
    CHECK(store.calls.size() <= 7);
}
