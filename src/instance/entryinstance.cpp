#include <filbertmount/instance/entryinstance.h>

#include "instance/adminview.h"
#include "instance/attempttelemetry.h"
#include "instance/documentfollower.h"
#include "instance/documentsource.h"
#include "instance/peerlink.h"
#include "instance/storefollower.h"
#include "instance/upstreamwatch.h"

#include <filbertmount/admin/adminport.h>
#include <filbertmount/proxy/callerserver.h>
#include <filbertmount/proxy/upstreamclient.h>
#include <filbertmount/quarantine/crashguard.h>
#include <filbertmount/replication/storedocument.h>
#include <filbertmount/telemetry/log.h>

#include <absl/synchronization/notification.h>

#include <atomic>
#include <optional>
#include <random>
#include <thread>
#include <utility>

namespace Filbertmount {

namespace {

// Time between two ticks of the routing, and how many of them pass between two ticks of the slower modules.
constexpr absl::Duration TickInterval = absl::Milliseconds(5);
constexpr int SlowTickRatio = 8;

// How long a stop waits for claims that are to be released or completed.
constexpr Duration ClaimDrainTime = std::chrono::seconds(5);

HttpStoreOptions storeOptions(const StoreSettings &settings)
{
    return {.address = settings.address->text(), .timeout = settings.timeout};
}

// Members that draw the same random sequence would all choose the same peers at the same time.
std::uint64_t randomSeed()
{
    std::random_device device;
    return std::uniform_int_distribution<std::uint64_t>()(device);
}

Member selfOf(const InstanceSettings &settings)
{
    return {.id = settings.identity.id,
            .peerAddress = settings.addresses.peers.text(),
            .adminAddress = settings.addresses.administration.text(),
            .zone = settings.identity.zone,
            .region = settings.identity.region};
}

std::vector<std::string> staticPeers(const PeerSettings &settings)
{
    std::vector<std::string> addresses;
    for (const Endpoint &endpoint : settings.addresses) {
        addresses.push_back(endpoint.text());
    }
    return addresses;
}

} // namespace

/** The modules in the order in which they depend on each other; destroyed in reverse. */
class EntryInstance::State
{
public:
    State(const InstanceSettings &given, std::unique_ptr<PeerLink> link)
        : settings(given)
        , events(given.identity.id.value())
        , peers(std::move(link))
        , table(&decodeStoreDocument)
        , gate({}, ProcessClock::now())
        , gossip({.self = given.identity.id, .seed = randomSeed()}, table, gate)
        , router({.self = given.identity.id, .zone = given.identity.zone, .send = peers->sender(), .seed = randomSeed()})
        , crashes(given.identity.id,
                  [this](const Wire::Body &body) {
                      peers->sendToAll(body);
                  },
                  {})
        , watch({.self = given.identity.id, .seed = randomSeed(), .instanceLimit = given.limits.entryInstances},
                {.router = router, .client = client, .peers = *peers, .events = events})
        , followed(table, router, directory, watch, events)
        , client({.workers = given.limits.workers})
        , ports{.router = router, .client = client}
    {
        if (settings.store.address) {
            store.emplace(storeOptions(settings.store));
            claims.emplace(*store, settings.identity.id, peers->sender(), ClaimOptions{});
            ports.claims = claimPort();
        }
        ports.crashGuard = &crashes;
        ports.attemptEnded = [this](const Placement &placement, const AttemptReport &report) {
            watch.attemptEnded(placement, report);
            telemetry.attemptEnded(placement, report);
        };
        ports.acceptsRequests = [this] {
            return gate.admits(ProcessClock::now(), !directory.empty());
        };
        peers->connect(
            {.router = router, .gossip = gossip, .claims = claims ? &*claims : nullptr, .watch = watch, .crashes = crashes});
    }
    State(const State &) = delete;
    State &operator=(const State &) = delete;
    ~State();

    Result<void> start();
    void tick();
    [[nodiscard]] ReadinessReport readiness();

    const InstanceSettings settings;
    EventRing events;
    Metrics metrics;
    AttemptTelemetry telemetry{metrics, events};
    std::unique_ptr<PeerLink> peers;
    std::optional<HttpObjectStore> store;
    std::optional<StoreClaims> claims;
    DocumentTable table;
    FreshnessGate gate;
    DocumentGossip gossip;
    Router router;
    ServiceDirectory directory;
    CrashGuard crashes;
    /** Refers to the client, which is destroyed first and ends its transfers then. */
    UpstreamWatch watch;
    DocumentFollower followed;
    UpstreamClient client;
    ExchangeDependencies ports;
    std::optional<StoreFollower> storeFollower;
    std::unique_ptr<CallerServer> callers;
    std::optional<AdminPort> admin;
    std::atomic<bool> draining = false;

private:
    [[nodiscard]] ClaimCallbacks claimPort();
    Result<void> takeFiles();
    void followStore();
    Result<void> listen();

    absl::Notification m_stopping;
    std::thread m_timer;
};

ClaimCallbacks EntryInstance::State::claimPort()
{
    return {.claim =
                [this](const ServiceDocument &document, const std::string &key, ClaimHandler handler) {
                    claims->claim(document.service,
                                  key,
                                  document.claims.retention,
                                  telemetry.claimHandler(document.service, std::move(handler)));
                },
            .complete =
                [this](const ClaimId &id, int status) {
                    claims->complete(id, status);
                },
            .release =
                [this](const ClaimId &id) {
                    claims->release(id);
                }};
}

Result<void> EntryInstance::State::takeFiles()
{
    BOOST_LEAF_AUTO(documents, readDocumentFiles(settings.documentFiles));
    for (const FileDocument &document : documents) {
        // Lower than any revision of the store, which counts from 1 over all keys.
        table.apply(document.service, Revision(1), document.value);
    }
    followed.follow();
    return {};
}

void EntryInstance::State::followStore()
{
    if (!store) {
        return;
    }
    storeFollower.emplace(
        StoreFollower::Options{.store = storeOptions(settings.store),
                               .schedule = {.self = settings.identity.id,
                                            .region = settings.identity.region,
                                            .expectedMembers = static_cast<std::size_t>(settings.limits.entryInstances)},
                               .peerList = settings.peers.instanceList},
        StoreFollower::Targets{
            .store = *store, .table = table, .documents = followed, .gate = gate, .gossip = gossip, .peers = *peers});
}

Result<void> EntryInstance::State::listen()
{
    const CallerServerOptions options{.address = settings.addresses.callers.ip,
                                      .port = settings.addresses.callers.port,
                                      .workers = settings.limits.workers,
                                      .maxConnections = settings.limits.connections,
                                      .idleTimeout = settings.limits.idleTimeout,
                                      .headerTimeout = settings.limits.requestTimeout + settings.limits.idleTimeout};
    BOOST_LEAF_ASSIGN(callers, CallerServer::listen(options, directory, ports));
    admin.emplace(settings.addresses.administration,
                  settings.reloadable.teams,
                  adminSources({.instance = settings.identity.id,
                                .table = table,
                                .router = router,
                                .watch = watch,
                                .peers = *peers,
                                .events = events,
                                .metrics = metrics,
                                .store = store ? &*store : nullptr,
                                .readiness =
                                    [this] {
                                        return readiness();
                                    },
                                .accepted =
                                    [this](const ServiceName &service, Revision revision, const std::string &value) {
                                        table.apply(service, revision, withoutHistory(value));
                                        followed.follow();
                                        peers->send(gossip.announce({service}));
                                    }}));
    return admin->start();
}

Result<void> EntryInstance::State::start()
{
    BOOST_LEAF_CHECK(takeFiles());
    const bool alone = settings.peers.addresses.empty() && settings.peers.instanceList.empty();
    if (!store && alone) {
        gate.confirm(ProcessClock::now()); // There is nobody to ask.
    }
    followStore();
    BOOST_LEAF_CHECK(listen());
    m_timer = std::thread([this] {
        for (int count = 0; !m_stopping.WaitForNotificationWithTimeout(TickInterval); ++count) {
            router.tick(ProcessClock::now());
            if (count % SlowTickRatio == 0) {
                tick();
            }
        }
    });
    return {};
}

void EntryInstance::State::tick()
{
    const Instant now = ProcessClock::now();
    const bool alone = !store && peers->members().size() == 1;
    if (gate.tick(now) && alone) {
        gate.confirm(now);
    }
    peers->tick(now);
    followed.follow();
    watch.tick(now);
    crashes.tick(now);
    callers->tick(now);
}

ReadinessReport EntryInstance::State::readiness()
{
    if (draining) {
        return {.ready = false, .reason = "the instance is draining"};
    }
    if (directory.empty()) {
        return {.ready = false, .reason = "no service document is in force"};
    }
    if (!gate.admits(ProcessClock::now(), true)) {
        return {.ready = false, .reason = "the documents are not known to be current"};
    }
    if (!followed.listsKnown()) {
        return {.ready = false, .reason = "the upstreams of a service have not been listed yet"};
    }
    return {.ready = true};
}

EntryInstance::State::~State()
{
    if (admin) {
        admin->stop();
    }
    if (m_timer.joinable()) {
        m_stopping.Notify();
        m_timer.join();
    }
    callers.reset();
    storeFollower.reset();
    if (claims && !claims->drain(ClaimDrainTime)) {
        logLine(LogLevel::Warning, "claims were not settled before the stop");
    }
    peers->stop();
}

EntryInstance::EntryInstance(std::unique_ptr<State> state)
    : m_state(std::move(state))
{
}

EntryInstance::~EntryInstance() = default;

Result<std::unique_ptr<EntryInstance>> EntryInstance::start(const InstanceSettings &settings)
{
    BOOST_LEAF_AUTO(peers,
                    PeerLink::listen({.cluster = settings.identity.cluster,
                                      .self = selfOf(settings),
                                      .staticPeers = staticPeers(settings.peers),
                                      .seed = randomSeed()}));
    std::unique_ptr<EntryInstance> instance(new EntryInstance(std::make_unique<State>(settings, std::move(peers))));
    BOOST_LEAF_CHECK(instance->m_state->start());
    return instance;
}

void EntryInstance::reload(const ReloadableSettings &settings)
{
    setUpLog({.level = settings.logLevel, .instance = m_state->settings.identity.id.value()});
    m_state->admin->setTeams(settings.teams);
}

void EntryInstance::announceDrain()
{
    m_state->draining = true;
}

void EntryInstance::drain()
{
    announceDrain();
    m_state->callers->drain();
}

bool EntryInstance::drained() const
{
    return m_state->callers->drained(ProcessClock::now());
}

std::uint16_t EntryInstance::callerPort() const
{
    return m_state->callers->port();
}

std::uint16_t EntryInstance::adminPort() const
{
    return m_state->admin->port();
}

Result<void> checkInstance(const InstanceSettings &settings)
{
    BOOST_LEAF_CHECK(readDocumentFiles(settings.documentFiles));
    return {};
}

} // namespace Filbertmount
