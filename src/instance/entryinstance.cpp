#include <filbertmount/instance/entryinstance.h>

#include "instance/adminview.h"
#include "instance/attempttelemetry.h"
#include "instance/documentapplier.h"
#include "instance/documentsource.h"
#include "instance/peerlink.h"
#include "instance/storereader.h"
#include "instance/upstreammonitor.h"

#include <filbertmount/admin/adminport.h>
#include <filbertmount/proxy/callerserver.h>
#include <filbertmount/proxy/upstreamclient.h>
#include <filbertmount/quarantine/crashhistorysync.h>
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

// The router is ticked at each interval, the other modules at every SlowTickRatio-th.
constexpr absl::Duration TickInterval = absl::Milliseconds(5);
constexpr int SlowTickRatio = 8;

// How long shutdown waits for claims that still have to be completed or released in the store.
constexpr Duration ClaimDrainTimeout = std::chrono::seconds(5);

HttpStoreOptions storeOptions(const StoreSettings &settings)
{
    return {.address = settings.address->text(), .timeout = settings.timeout};
}

// Seeds differ between instances: with equal ones, all members would pick the same peers at the same time.
std::uint64_t randomSeed()
{
    std::random_device device;
    return std::uniform_int_distribution<std::uint64_t>()(device);
}

Member selfMember(const InstanceSettings &settings)
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

/** Owns the modules, declared in dependency order and therefore destroyed in reverse. */
class EntryInstance::State
{
public:
    State(const InstanceSettings &initialSettings, std::unique_ptr<PeerLink> peerLink)
        : settings(initialSettings)
        , events(initialSettings.identity.id.value())
        , peers(std::move(peerLink))
        , table(&decodeStoreDocument)
        , gate({}, ProcessClock::now())
        , gossip({.self = initialSettings.identity.id, .seed = randomSeed()}, table, gate)
        , router({.self = initialSettings.identity.id,
                  .zone = initialSettings.identity.zone,
                  .send = peers->sender(),
                  .seed = randomSeed()})
        , crashGuard(initialSettings.identity.id,
                     [this](const Wire::Body &body) {
                         peers->sendToAll(body);
                     },
                     {})
        , crashHistory(initialSettings.identity.id, crashGuard, randomSeed())
        , upstreamMonitor(
              {.self = initialSettings.identity.id, .seed = randomSeed(), .instanceLimit = initialSettings.limits.entryInstances},
              {.router = router, .client = client, .peers = *peers, .events = events})
        , documentApplier(table, router, directory, upstreamMonitor, events)
        , client({.workers = initialSettings.limits.workers})
        , exchangeDependencies{.router = router, .client = client}
    {
        if (settings.store.address) {
            store.emplace(storeOptions(settings.store));
            claims.emplace(*store, settings.identity.id, peers->sender(), ClaimOptions{});
            exchangeDependencies.claims = claimCallbacks();
        }
        exchangeDependencies.crashGuard = &crashGuard;
        exchangeDependencies.attemptEnded = [this](const Placement &placement, const AttemptReport &report) {
            upstreamMonitor.attemptEnded(placement, report);
            telemetry.attemptEnded(placement, report);
        };
        exchangeDependencies.acceptsRequests = [this] {
            return gate.admits(ProcessClock::now(), !directory.empty());
        };
        peers->connect({.router = router,
                        .gossip = gossip,
                        .claims = claims ? &*claims : nullptr,
                        .upstreamMonitor = upstreamMonitor,
                        .crashGuard = crashGuard,
                        .crashHistory = crashHistory});
    }
    State(const State &) = delete;
    State &operator=(const State &) = delete;
    ~State();

    Result<void> start();
    void tick();
    void pullCrashHistory(Instant now);
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
    CrashGuard crashGuard;
    CrashHistorySync crashHistory;
    /** Uses the client declared below, which is destroyed first and thereby ends the transfers that report to this object. */
    UpstreamMonitor upstreamMonitor;
    DocumentApplier documentApplier;
    UpstreamClient client;
    ExchangeDependencies exchangeDependencies;
    std::optional<StoreReader> storeReader;
    std::unique_ptr<CallerServer> callers;
    std::optional<AdminPort> admin;
    std::atomic<bool> draining = false;

private:
    [[nodiscard]] ClaimCallbacks claimCallbacks();
    Result<void> loadDocumentFiles();
    void startStoreReader();
    Result<void> listen();

    absl::Notification m_stopping;
    std::thread m_timer;
};

ClaimCallbacks EntryInstance::State::claimCallbacks()
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

Result<void> EntryInstance::State::loadDocumentFiles()
{
    BOOST_LEAF_AUTO(documents, readDocumentFiles(settings.documentFiles));
    for (const FileDocument &document : documents) {
        // The lowest revision that the store assigns, so any later revision replaces a document from a file.
        table.apply(document.service, Revision(1), document.value);
    }
    documentApplier.applyChanges();
    return {};
}

void EntryInstance::State::startStoreReader()
{
    if (!store) {
        return;
    }
    storeReader.emplace(
        StoreReader::Options{.store = storeOptions(settings.store),
                             .schedule = {.self = settings.identity.id,
                                          .region = settings.identity.region,
                                          .expectedMembers = static_cast<std::size_t>(settings.limits.entryInstances)},
                             .peerList = settings.peers.instanceList},
        StoreReader::Targets{
            .store = *store, .table = table, .documents = documentApplier, .gate = gate, .gossip = gossip, .peers = *peers});
}

Result<void> EntryInstance::State::listen()
{
    const CallerServerOptions options{.address = settings.addresses.callers.ip,
                                      .port = settings.addresses.callers.port,
                                      .workers = settings.limits.workers,
                                      .maxConnections = settings.limits.connections,
                                      .idleTimeout = settings.limits.idleTimeout,
                                      .headerTimeout = settings.limits.requestTimeout + settings.limits.idleTimeout};
    BOOST_LEAF_ASSIGN(callers, CallerServer::listen(options, directory, exchangeDependencies));
    admin.emplace(settings.addresses.administration,
                  settings.reloadable.teams,
                  adminSources({.instance = settings.identity.id,
                                .table = table,
                                .router = router,
                                .upstreamMonitor = upstreamMonitor,
                                .peers = *peers,
                                .events = events,
                                .metrics = metrics,
                                .store = store ? &*store : nullptr,
                                .readiness =
                                    [this] {
                                        return readiness();
                                    },
                                .onAccepted =
                                    [this](const ServiceName &service, Revision revision, const std::string &value) {
                                        table.apply(service, revision, withoutHistory(value));
                                        documentApplier.applyChanges();
                                        peers->send(gossip.announce({service}));
                                    }}));
    return admin->start();
}

Result<void> EntryInstance::State::start()
{
    BOOST_LEAF_CHECK(loadDocumentFiles());
    const bool noPeersConfigured = settings.peers.addresses.empty() && settings.peers.instanceList.empty();
    if (!store && noPeersConfigured) {
        gate.confirm(ProcessClock::now()); // Without a store and peers, the document files are always current.
    }
    startStoreReader();
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
    const bool standalone = !store && peers->members().size() == 1;
    if (gate.tick(now) && standalone) {
        gate.confirm(now);
    }
    peers->tick(now);
    documentApplier.applyChanges();
    upstreamMonitor.tick(now);
    crashGuard.tick(now);
    pullCrashHistory(now);
    callers->tick(now);
}

void EntryInstance::State::pullCrashHistory(Instant now)
{
    std::vector<InstanceId> members;
    for (const Member &member : peers->members()) {
        members.push_back(member.id);
    }
    if (std::optional<PeerMessage> pull = crashHistory.tick(members, now)) {
        PeerOutbox outbox;
        outbox.push_back(std::move(*pull));
        peers->send(std::move(outbox));
    }
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
    if (!documentApplier.allListsRead()) {
        return {.ready = false, .reason = "the upstream list of a service has not been read yet"};
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
    storeReader.reset();
    if (claims && !claims->drain(ClaimDrainTimeout)) {
        logLine(LogLevel::Warning, "shutdown timed out waiting for claims to be completed or released");
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
                                      .self = selfMember(settings),
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

Result<void> checkDocumentFiles(const InstanceSettings &settings)
{
    BOOST_LEAF_CHECK(readDocumentFiles(settings.documentFiles));
    return {};
}

} // namespace Filbertmount
